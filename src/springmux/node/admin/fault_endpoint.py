"""``POST /v1/lab/faults``: replace the faults in force by those in its body; faults left out end."""

from __future__ import annotations

import msgspec
from aiohttp import web

from springmux.node.admin.errors import bad_field, decode_failure
from springmux.node.fault_injection import FaultInjector, NodeFaults

FAULTS_PATH = "/v1/lab/faults"
MAX_DISK_DELAY_S = 3600.0


class FaultEndpoint:
    """Set the faults of one node's injector."""

    def __init__(self, injector: FaultInjector) -> None:
        self._injector = injector

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Register the path."""
        router.add_post(FAULTS_PATH, self._set)

    async def _set(self, request: web.Request) -> web.Response:
        try:
            faults = msgspec.json.decode(await request.read(), type=NodeFaults)
        except msgspec.DecodeError as error:
            raise decode_failure(error) from None
        if not 0.0 <= faults.disk_delay_s <= MAX_DISK_DELAY_S:
            raise bad_field("disk_delay_s", f"must be 0 to {MAX_DISK_DELAY_S:g}")
        self._injector.set(faults)
        return web.Response(status=204)
