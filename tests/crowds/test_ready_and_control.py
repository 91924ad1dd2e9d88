"""Crowds at the ready and control listeners of a gateway node.

Guards against callers of these listeners that end the process or shut out the clients of the front listener.
"""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.crowds.crowd import crowd
from tests.crowds.gateway import BODY_BYTES, Gateway, running_gateway
from tests.crowds.processes import send_until_accepted
from tests.crowds.requests import CONNECTIONS, END, MAX_DESCRIPTORS, SHORT_LINES

HEADS = 600
CONTROL_BODIES = 16
CONTROL_BODY_BYTES = 16 << 20
"""Limit of the control listener."""
READY_BODIES = 64
READY_BODY_BYTES = 4 << 20
PIPELINES = 8
PIPELINED_DOCUMENTS = 128
DOCUMENT_BYTES = 400_000
PIPELINED_CHECKS = 150_000
LISTENERS = ("ready", "control")
PATHS = {"ready": b"/readyz", "control": b"/v1/gateway/configuration"}


def head(listener: str, method: bytes, lines: bytes) -> bytes:
    return b"%b %b HTTP/1.1\r\nhost: x\r\n%b" % (method, PATHS[listener], lines)


def port_of(gateway: Gateway, listener: str) -> int:
    return int(getattr(gateway.ports, listener))


async def check_after(gateway: Gateway) -> None:
    """Check a request at the limits, and an operator's order, after the crowd has left."""
    await gateway.check_ordinary_caller(BODY_BYTES)
    await send_until_accepted(gateway.ports.control, "GET", "/v1/gateway/configuration", b"")


@pytest.mark.parametrize("listener", LISTENERS)
async def test_heads_of_short_lines_stop_before_their_end(listener: str, tmp_path: Path) -> None:
    async with running_gateway(tmp_path) as gateway:
        async with crowd(
            gateway.system, port_of(gateway, listener), HEADS, [head(listener, b"GET", SHORT_LINES)]
        ):
            await gateway.check_ordinary_caller()
        await check_after(gateway)


@pytest.mark.parametrize("framing", ["announced", "chunked"])
async def test_bodies_at_control_stop_short_of_their_end(framing: str, tmp_path: Path) -> None:
    lines = b"content-length: %d\r\n" % CONTROL_BODY_BYTES
    body = b"x" * (CONTROL_BODY_BYTES - 1)
    if framing == "chunked":
        lines = b"transfer-encoding: chunked\r\n"
        body = b"%x\r\n%b" % (CONTROL_BODY_BYTES, body)
    async with running_gateway(tmp_path) as gateway:
        pieces = [head("control", b"PUT", lines) + END, body]
        async with crowd(gateway.system, gateway.ports.control, CONTROL_BODIES, pieces):
            await gateway.check_ordinary_caller()
            # An operator's order is served while the crowd is connected, too.
            await send_until_accepted(gateway.ports.control, "GET", "/v1/gateway/configuration", b"")
        await check_after(gateway)


async def test_bodies_at_ready_stop_short_of_their_end(tmp_path: Path) -> None:
    lines = b"content-length: %d\r\n" % READY_BODY_BYTES
    async with running_gateway(tmp_path) as gateway:
        pieces = [head("ready", b"POST", lines) + END, b"x" * (READY_BODY_BYTES - 1)]
        async with crowd(gateway.system, gateway.ports.ready, READY_BODIES, pieces):
            await gateway.check_ordinary_caller()
        await check_after(gateway)


async def test_pipelined_reads_of_a_large_configuration_that_nobody_reads(tmp_path: Path) -> None:
    async with running_gateway(tmp_path) as gateway:
        await gateway.grow_configuration(DOCUMENT_BYTES)
        requests = (head("control", b"GET", b"") + END) * PIPELINED_DOCUMENTS
        async with crowd(gateway.system, gateway.ports.control, PIPELINES, [requests]):
            await gateway.check_ordinary_caller()
        await check_after(gateway)


async def test_pipelined_readiness_checks_that_nobody_reads(tmp_path: Path) -> None:
    async with running_gateway(tmp_path) as gateway:
        requests = (head("ready", b"GET", b"") + END) * PIPELINED_CHECKS
        async with crowd(gateway.system, gateway.ports.ready, PIPELINES, [requests]):
            await gateway.check_ordinary_caller()
        await check_after(gateway)


@pytest.mark.parametrize("listener", LISTENERS)
async def test_more_connections_than_descriptors(listener: str, tmp_path: Path) -> None:
    async with running_gateway(tmp_path, MAX_DESCRIPTORS) as gateway:
        async with crowd(
            gateway.system, port_of(gateway, listener), CONNECTIONS, [head(listener, b"GET", b"") + END]
        ):
            gateway.check_descriptors(MAX_DESCRIPTORS)
            await gateway.check_ordinary_caller()
            await send_until_accepted(gateway.ports.control, "GET", "/v1/gateway/configuration", b"")
        await check_after(gateway)
