"""``POST /v1/lab/faults``: replaces the injected faults with those in the body; omitted faults end."""

from __future__ import annotations

import msgspec
from aiohttp import web

from springmux.node.admin.errors import decode_failure, invalid_field_error
from springmux.node.fault_injection import FaultInjector, NodeFaults

FAULTS_PATH = "/v1/lab/faults"
MAX_DISK_DELAY_S = 3600.0


class FaultEndpoint:
    """Sets the faults that one node's injector injects."""

    def __init__(self, injector: FaultInjector) -> None:
        self._injector = injector

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Register the endpoint's path at ``router``."""
        router.add_post(FAULTS_PATH, self._set)

    async def _set(self, request: web.Request) -> web.Response:
        try:
            faults = msgspec.json.decode(await request.read(), type=NodeFaults)
        except msgspec.DecodeError as error:
            raise decode_failure(error) from None
        if not 0.0 <= faults.disk_delay_s <= MAX_DISK_DELAY_S:
            raise invalid_field_error("disk_delay_s", f"must be 0 to {MAX_DISK_DELAY_S:g}")
        self._injector.set(faults)
        return web.Response(status=204)
