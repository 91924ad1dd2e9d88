"""Admin listener, back ends' part: announce, heartbeat, drain, leave, and the directory."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Callable
from typing import Annotated, Literal, TypeVar

import msgspec
from aiohttp import web

from springmux.agent.events import EngineAnnounced, EngineDraining, EngineHeartbeat, EngineLeft
from springmux.coordination.identifiers import Address, ZoneName
from springmux.coordination.state_machine import Event
from springmux.node.addresses import check_address
from springmux.node.admin.errors import bad_field, decode_failure
from springmux.node.health import NodeHealth
from springmux.node.settings import NAME_PATTERN
from springmux.vocabulary.engines import EngineLoad, EngineRecord, EngineStatus, EnginesView
from springmux.vocabulary.errors import ApiResponseError
from springmux.vocabulary.names import EngineId, ServiceName, VersionName

_NAME = re.compile(NAME_PATTERN)
MAX_CAPACITY = 1_000_000
"""Far above any engine; sums of many stay exact."""
_MAX_NUMBER = (1 << 63) - 1
"""Peers' messages hold no larger ones."""
Count = Annotated[int, msgspec.Meta(ge=0, le=_MAX_NUMBER)]


class AnnounceBody(msgspec.Struct, frozen=True, kw_only=True):
    """Body of an announcement (docs/API.md)."""

    engine: str
    service: str
    version: str
    address: str
    capacity: Annotated[int, msgspec.Meta(ge=1, le=MAX_CAPACITY)]
    incarnation: Count
    zone: str = ""


class HeartbeatBody(AnnounceBody, frozen=True, kw_only=True):
    """Body of a heartbeat: an announcement with a sequence number, status and load."""

    sequence: Count
    status: Literal["ready", "draining"] = "ready"
    running: Count = 0
    queued: Count = 0
    cache_used: Annotated[float, msgspec.Meta(ge=0.0, le=1.0)] = 0.0


class EngineBody(msgspec.Struct, frozen=True):
    """Body of drain and leave. With the life's incarnation a late copy can't stop the next life."""

    engine: str
    incarnation: Count = 0


class EngineEntry(msgspec.Struct, frozen=True):
    """One line of the directory: the record and its last known load."""

    record: dict[str, object]
    load: dict[str, object] | None


class EngineList(msgspec.Struct, frozen=True):
    """Answer of ``GET /v1/engines``."""

    engines: tuple[EngineEntry, ...]


Body = TypeVar("Body", AnnounceBody, HeartbeatBody, EngineBody)


class EngineEndpoints:
    """Turns back ends' reports into the agent's events."""

    def __init__(
        self, submit: Callable[[Event], None], engines: Callable[[], EnginesView], health: NodeHealth
    ) -> None:
        self._submit = submit
        self._engines = engines
        self._health = health

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Register the paths."""
        router.add_post("/v1/engines/announce", self._announce)
        router.add_post("/v1/engines/heartbeat", self._heartbeat)
        router.add_post("/v1/engines/drain", self._drain)
        router.add_post("/v1/engines/leave", self._leave)
        router.add_get("/v1/engines", self._list)

    async def _announce(self, request: web.Request) -> web.Response:
        body = _decode(await request.read(), AnnounceBody)
        return self._hear(EngineAnnounced(record=_record(body, 0, EngineStatus.READY)))

    async def _heartbeat(self, request: web.Request) -> web.Response:
        body = _decode(await request.read(), HeartbeatBody)
        record = _record(body, body.sequence, EngineStatus(body.status))
        load = EngineLoad(
            engine=record.engine,
            running=body.running,
            queued=body.queued,
            cache_used=body.cache_used,
            measured_at=asyncio.get_running_loop().time(),
        )
        return self._hear(EngineHeartbeat(record=record, load=load))

    async def _drain(self, request: web.Request) -> web.Response:
        body = _decode(await request.read(), EngineBody)
        return self._hear(EngineDraining(EngineId(_plain("engine", body.engine)), body.incarnation))

    async def _leave(self, request: web.Request) -> web.Response:
        body = _decode(await request.read(), EngineBody)
        return self._hear(EngineLeft(EngineId(_plain("engine", body.engine)), body.incarnation))

    def _hear(self, event: Event) -> web.Response:
        """Take a report, or refuse it where it would reach nobody else: the engine goes to another node."""
        deafness = self._health.deafness()
        if deafness is not None:
            raise ApiResponseError(deafness)
        self._submit(event)
        return web.Response(status=204)

    async def _list(self, _: web.Request) -> web.Response:
        view = self._engines()
        entries = []
        for engine, record in sorted(view.engines.items()):
            load = view.loads.get(engine)
            entries.append(EngineEntry(_named(record), _named(load) if load is not None else None))
        body = msgspec.json.encode(EngineList(tuple(entries)))
        return web.Response(body=body, content_type="application/json")


def _decode(data: bytes, kind: type[Body]) -> Body:
    try:
        return msgspec.json.decode(data, type=kind)
    except (msgspec.DecodeError, RecursionError) as error:
        raise decode_failure(error) from None


def _plain(path: str, name: str) -> str:
    if not _NAME.fullmatch(name):
        raise bad_field(path, f"must match {NAME_PATTERN}")
    return name


def _record(body: AnnounceBody, sequence: int, status: EngineStatus) -> EngineRecord:
    for name in ("engine", "service", "version"):
        _plain(name, getattr(body, name))
    if body.zone:
        _plain("zone", body.zone)
    try:
        check_address(body.address)
    except ValueError as error:
        raise bad_field("address", str(error)) from None
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


def _named(record: EngineRecord | EngineLoad) -> dict[str, object]:
    """Return a record by field names (on the peers' wire it is an array)."""
    return {name: getattr(record, name) for name in record.__struct_fields__}
