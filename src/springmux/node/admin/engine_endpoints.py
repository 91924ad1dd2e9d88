"""Admin endpoints of engines: announce, heartbeat, drain, leave, and the directory."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Callable
from typing import Annotated, Literal

import msgspec
from aiohttp import web

from springmux.agent.events import EngineAnnounced, EngineDraining, EngineHeartbeat, EngineLeft
from springmux.coordination.identifiers import Address, ZoneName
from springmux.coordination.state_machine import Event
from springmux.node.addresses import check_address
from springmux.node.admin.errors import invalid_field_error
from springmux.node.admin.json_bodies import decode_body, json_response
from springmux.node.health import NodeHealth
from springmux.node.settings import NAME_PATTERN
from springmux.vocabulary.engines import EngineLoad, EngineRecord, EngineStatus, EnginesView
from springmux.vocabulary.errors import ApiResponseError
from springmux.vocabulary.names import EngineId, ServiceName, VersionName

_NAME = re.compile(NAME_PATTERN)
MAX_CAPACITY = 1_000_000
"""Upper bound of an engine's capacity, far above any engine; sums over many engines stay exact."""
_MAX_COUNT = (1 << 63) - 1
"""Largest integer that a peer message can hold."""
NonNegativeInteger = Annotated[int, msgspec.Meta(ge=0, le=_MAX_COUNT)]


class AnnounceBody(msgspec.Struct, frozen=True, kw_only=True):
    """Body of ``POST /v1/engines/announce`` (docs/API.md)."""

    engine: str
    service: str
    version: str
    address: str
    capacity: Annotated[int, msgspec.Meta(ge=1, le=MAX_CAPACITY)]
    incarnation: NonNegativeInteger
    zone: str = ""


class HeartbeatBody(AnnounceBody, frozen=True, kw_only=True):
    """Body of ``POST /v1/engines/heartbeat``: an announcement with a sequence number, status and load."""

    sequence: NonNegativeInteger
    status: Literal["ready", "draining"] = "ready"
    running: NonNegativeInteger = 0
    queued: NonNegativeInteger = 0
    cache_used: Annotated[float, msgspec.Meta(ge=0.0, le=1.0)] = 0.0


class EngineBody(msgspec.Struct, frozen=True):
    """Body of drain and leave. ``incarnation`` keeps a late duplicate from stopping the next incarnation."""

    engine: str
    incarnation: NonNegativeInteger = 0


class EngineEntry(msgspec.Struct, frozen=True):
    """One engine of the directory: its record and its last known load."""

    record: dict[str, object]
    load: dict[str, object] | None


class EngineList(msgspec.Struct, frozen=True):
    """Response of ``GET /v1/engines``."""

    engines: tuple[EngineEntry, ...]


class EngineEndpoints:
    """Submits the reports of engines to the agent as events."""

    def __init__(
        self, submit: Callable[[Event], None], engines: Callable[[], EnginesView], health: NodeHealth
    ) -> None:
        self._submit = submit
        self._engines = engines
        self._health = health

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Register the endpoints' paths at ``router``."""
        router.add_post("/v1/engines/announce", self._announce)
        router.add_post("/v1/engines/heartbeat", self._heartbeat)
        router.add_post("/v1/engines/drain", self._drain)
        router.add_post("/v1/engines/leave", self._leave)
        router.add_get("/v1/engines", self._list)

    async def _announce(self, request: web.Request) -> web.Response:
        body = decode_body(await request.read(), AnnounceBody)
        return self._accept(EngineAnnounced(record=_record(body, 0, EngineStatus.READY)))

    async def _heartbeat(self, request: web.Request) -> web.Response:
        body = decode_body(await request.read(), HeartbeatBody)
        record = _record(body, body.sequence, EngineStatus(body.status))
        load = EngineLoad(
            engine=record.engine,
            running=body.running,
            queued=body.queued,
            cache_used=body.cache_used,
            measured_at=asyncio.get_running_loop().time(),
        )
        return self._accept(EngineHeartbeat(record=record, load=load))

    async def _drain(self, request: web.Request) -> web.Response:
        body = decode_body(await request.read(), EngineBody)
        return self._accept(EngineDraining(EngineId(_checked_name("engine", body.engine)), body.incarnation))

    async def _leave(self, request: web.Request) -> web.Response:
        body = decode_body(await request.read(), EngineBody)
        return self._accept(EngineLeft(EngineId(_checked_name("engine", body.engine)), body.incarnation))

    def _accept(self, event: Event) -> web.Response:
        """Submit a report, or reject one that would reach no other node, so that the engine tries another."""
        rejection = self._health.report_rejection()
        if rejection is not None:
            raise ApiResponseError(rejection)
        self._submit(event)
        return web.Response(status=204)

    async def _list(self, _: web.Request) -> web.Response:
        view = self._engines()
        entries = []
        for engine, record in sorted(view.engines.items()):
            load = view.loads.get(engine)
            entries.append(EngineEntry(_fields(record), _fields(load) if load is not None else None))
        return json_response(EngineList(tuple(entries)))


def _checked_name(path: str, name: str) -> str:
    if not _NAME.fullmatch(name):
        raise invalid_field_error(path, f"must match {NAME_PATTERN}")
    return name


def _record(body: AnnounceBody, sequence: int, status: EngineStatus) -> EngineRecord:
    _checked_name("engine", body.engine)
    _checked_name("service", body.service)
    _checked_name("version", body.version)
    if body.zone:
        _checked_name("zone", body.zone)
    try:
        check_address(body.address)
    except ValueError as error:
        raise invalid_field_error("address", str(error)) from None
    return EngineRecord(
        engine=EngineId(body.engine),
        service=ServiceName(body.service),
        version=VersionName(body.version),
        address=Address(body.address),
        capacity=body.capacity,
        incarnation=body.incarnation,
        sequence=sequence,
        status=status,
        zone=ZoneName(body.zone),
    )


def _fields(record: EngineRecord | EngineLoad) -> dict[str, object]:
    """Return a record's values by field name; the record itself is encoded as an array, as for peers."""
    return msgspec.structs.asdict(record)
