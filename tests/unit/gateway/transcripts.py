"""Shorthand for transcripts: engines, views, prompts and placements."""

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


def engine(number: int, version: VersionName = V1, capacity: int = 16, zone: str = "a") -> EngineRecord:
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


def engines(count: int, version: VersionName = V1) -> list[EngineRecord]:
    """Return ready engines e0, e1, ..."""
    return [engine(number, version) for number in range(count)]


def view(records: Iterable[EngineRecord], first_seen_at: float = -100.0) -> EnginesView:
    """Return a directory of ``records``, all seen first at one time."""
    found = {record.engine: record for record in records}
    return EnginesView(found, dict.fromkeys(found, first_seen_at), {})


def with_status(record: EngineRecord, status: EngineStatus) -> EngineRecord:
    """Return the next record of an engine, with another status."""
    return msgspec.structs.replace(record, status=status, sequence=record.sequence + 1)


def node(records: Iterable[EngineRecord], seed: int = 1, nodes: int = 12, zone: str = "a") -> Placement:
    """Return one node's placement that knows ``records`` since long."""
    placement = Placement(zone, random.Random(seed))
    placement.set_fleet_size(nodes)
    placement.update_services({TEXT: GatewayService(TEXT)})
    placement.update_engines(view(records), 0.0)
    return placement


def long_prompt(dossier: str) -> PromptMetadata:
    """Return a long prompt on a shared dossier."""
    return PromptMetadata(((dossier, 13_300), (f"own-{dossier}", 3720)), 17_020, 200)


def chosen(
    placement: Placement,
    prompt: PromptMetadata,
    now: float,
    versions: tuple[VersionName, ...] = (V1,),
    trial_allowed: bool = False,
) -> str | None:
    """Return the name of the engine that is chosen now."""
    record = placement.choose(TEXT, versions, prompt, (), now, trial_allowed=trial_allowed)
    return None if record is None else record.engine


def send(placement: Placement, record: EngineRecord, now: float, prompt: PromptMetadata = SHORT) -> Dispatch:
    """Send a request to a given engine."""
    return placement.record_dispatch(record, prompt, now)


def choose_and_send(
    placement: Placement, prompt: PromptMetadata, now: float, versions: tuple[VersionName, ...] = (V1,)
) -> str:
    """Send a request to the engine that is chosen for it; return the engine's name."""
    record = placement.choose(TEXT, versions, prompt, (), now)
    assert record is not None
    send(placement, record, now, prompt)
    return record.engine


def exchange(
    placement: Placement,
    record: EngineRecord,
    outcome: ExchangeOutcome,
    now: float,
    took_s: float = 0.03,
    prompt: PromptMetadata = SHORT,
) -> None:
    """Send a request to a given engine; it ends ``took_s`` later, at ``now``."""
    dispatch = placement.record_dispatch(record, prompt, now - took_s)
    placement.record_end(dispatch, outcome, now)
