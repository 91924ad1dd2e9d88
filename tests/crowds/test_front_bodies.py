"""Crowds that send bodies to the front listener: unfinished, too large, or whole.

Guards against bodies that end a process by its memory, or whose memory ordinary callers then lack.
"""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.crowds.crowd import crowd
from tests.crowds.engine import ORDINARY_PATH
from tests.crowds.gateway import BODY_BYTES, request_head, running_gateway
from tests.crowds.requests import END, announced_body, chunked_body

BODIES = 64
FAR_OVER_BYTES = 16 << 20
DOCUMENT_BYTES = 1 << 20
BODIES_BY_KIND = {
    "announced": announced_body(BODY_BYTES),
    "large chunks": chunked_body(BODY_BYTES, 64 << 10),
    "small chunks": chunked_body(BODY_BYTES, 512),
}


async def test_a_single_body_of_tiny_chunks_at_the_limit_is_served(tmp_path: Path) -> None:
    _, body = chunked_body(BODY_BYTES, 16)
    head = request_head(ORDINARY_PATH, lines=b"x-request-id: one\r\ntransfer-encoding: chunked\r\n") + END
    async with running_gateway(tmp_path) as gateway:
        assert (await gateway.first_bytes(head + body + b"0\r\n\r\n")).startswith(b"HTTP/1.1 200 ")


@pytest.mark.parametrize("kind", BODIES_BY_KIND)
async def test_bodies_stop_short_of_their_end(kind: str, tmp_path: Path) -> None:
    head, body = BODIES_BY_KIND[kind]
    async with running_gateway(tmp_path) as gateway:
        async with crowd(gateway.system, gateway.ports.front, BODIES, [head, body[:-1]]):
            await gateway.check_ordinary_caller()
            # Unfinished bodies yield to one at the limit, too.
            await gateway.check_ordinary_caller(BODY_BYTES)
        await gateway.check_ordinary_caller(BODY_BYTES)


@pytest.mark.parametrize("kind", ["announced", "large chunks", "small chunks"])
async def test_bodies_far_over_the_limit(kind: str, tmp_path: Path) -> None:
    head, body = {
        "announced": announced_body(FAR_OVER_BYTES),
        "large chunks": chunked_body(FAR_OVER_BYTES, 64 << 10),
        "small chunks": chunked_body(FAR_OVER_BYTES, 16),
    }[kind]
    async with running_gateway(tmp_path) as gateway:
        async with crowd(gateway.system, gateway.ports.front, BODIES, [head, body]):
            await gateway.check_ordinary_caller()
        await gateway.check_ordinary_caller(BODY_BYTES)


@pytest.mark.parametrize("kind", BODIES_BY_KIND)
async def test_whole_bodies_wait_for_an_engine(kind: str, tmp_path: Path) -> None:
    head, body = BODIES_BY_KIND[kind]
    end = b"" if kind == "announced" else b"0\r\n\r\n"
    async with running_gateway(tmp_path) as gateway:
        async with crowd(gateway.system, gateway.ports.front, BODIES, [head, body + end]):
            await gateway.check_ordinary_caller()
            # Clients don't keep a node from taking a configuration.
            await gateway.grow_configuration(DOCUMENT_BYTES)
        await gateway.check_ordinary_caller(BODY_BYTES)
