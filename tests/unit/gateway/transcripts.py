"""Builders of engines, views, prompts and placements for the gateway's tests."""

from __future__ import annotations

import random
from collections.abc import Iterable

import msgspec

from springmux.control.gateway_configuration import GatewayService
from springmux.coordination.identifiers import Address, ZoneName
from springmux.gateway.placement import Dispatch, ExchangeOutcome, Placement, PromptMetadata
from springmux.vocabulary.engines import EngineRecord, EngineStatus, EnginesView
from springmux.vocabulary.names import EngineId, ServiceName, VersionName

TEXT = ServiceName("text")
V1 = VersionName("v1")
V2 = VersionName("v2")
SHORT = PromptMetadata((("common", 55), ("session", 37), ("own", 291)), 383, 60)
PLAIN = PromptMetadata()


def make_engine(number: int, version: VersionName = V1, capacity: int = 16, zone: str = "a") -> EngineRecord:
    """Return a ready engine ``eN``."""
    return EngineRecord(
        engine=EngineId(f"e{number}"),
        service=TEXT,
        version=version,
        address=Address(f"10.0.0.{number}:80"),
        capacity=capacity,
        incarnation=1,
        zone=ZoneName(zone),
    )


def make_engines(count: int, version: VersionName = V1) -> list[EngineRecord]:
    """Return ready engines e0, e1, ..."""
    return [make_engine(number, version) for number in range(count)]


def make_view(records: Iterable[EngineRecord], first_seen_at: float = -100.0) -> EnginesView:
    """Return a directory view of ``records``, all first seen at the same time."""
    found = {record.engine: record for record in records}
    return EnginesView(found, dict.fromkeys(found, first_seen_at), {})


def with_status(record: EngineRecord, status: EngineStatus) -> EngineRecord:
    """Return the next record of the engine, with a different status."""
    return msgspec.structs.replace(record, status=status, sequence=record.sequence + 1)


def make_placement(
    records: Iterable[EngineRecord], seed: int = 1, fleet_size: int = 12, zone: str = "a"
) -> Placement:
    """Return a node's placement that has known ``records`` for a long time."""
    placement = Placement(zone, random.Random(seed))
    placement.set_fleet_size(fleet_size)
    placement.update_services({TEXT: GatewayService(TEXT)})
    placement.update_engines(make_view(records), 0.0)
    return placement


def long_prompt(document: str) -> PromptMetadata:
    """Return a long prompt with a shared document."""
    return PromptMetadata(((document, 13_300), (f"own-{document}", 3720)), 17_020, 200)


def chosen_engine(
    placement: Placement,
    prompt: PromptMetadata,
    now: float,
    versions: tuple[VersionName, ...] = (V1,),
    trial_allowed: bool = False,
) -> str | None:
    """Return the name of the chosen engine, or ``None``."""
    record = placement.choose(TEXT, versions, prompt, (), now, trial_allowed=trial_allowed)
    return None if record is None else record.engine


def dispatch_to(
    placement: Placement, record: EngineRecord, now: float, prompt: PromptMetadata = SHORT
) -> Dispatch:
    """Dispatch a request to a given engine."""
    return placement.record_dispatch(record, prompt, now)


def choose_and_dispatch(
    placement: Placement, prompt: PromptMetadata, now: float, versions: tuple[VersionName, ...] = (V1,)
) -> str:
    """Dispatch a request to the engine chosen for it; return the engine's name."""
    record = placement.choose(TEXT, versions, prompt, (), now)
    assert record is not None
    dispatch_to(placement, record, now, prompt)
    return record.engine


def complete_request(
    placement: Placement,
    record: EngineRecord,
    outcome: ExchangeOutcome,
    now: float,
    duration_s: float = 0.03,
    prompt: PromptMetadata = SHORT,
) -> None:
    """Dispatch a request to a given engine ``duration_s`` before ``now``, and end it at ``now``."""
    dispatch = placement.record_dispatch(record, prompt, now - duration_s)
    placement.record_end(dispatch, outcome, now)
