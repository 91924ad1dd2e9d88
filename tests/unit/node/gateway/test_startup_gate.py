"""Requests that arrive before a started node has its configuration or knows any engine.

Guards against refusals right after a start, to which clients respond by waiting a second or giving up.
"""

from __future__ import annotations

import asyncio

import pytest

from springmux.node.gateway import startup_gate
from springmux.node.gateway.startup_gate import STARTUP_S, StartupGate
from tests.unit.node.gateway.scripted_engines import COMPLETE_RESPONSE, now, play
from tests.unit.node.gateway.stand_ins import SAFE, Node, RecordingClient


def with_startup_gate(node: Node) -> Node:
    """Return ``node`` with a startup gate that opens ``STARTUP_S`` from now at the latest."""
    node.services.startup_gate = StartupGate(now() + STARTUP_S)
    return node


def test_a_request_before_the_configuration_is_held_until_it_arrives() -> None:
    """Given a configuration that arrives after 0.5 s, the client gets the engine's response."""

    async def scenario() -> None:
        node = with_startup_gate(Node(SAFE, COMPLETE_RESPONSE, configured=False))
        began_at = now()
        asyncio.get_running_loop().call_later(0.5, node.configure)
        client = await node.send_request()
        assert client.status == 200
        assert client.responded_at - began_at == pytest.approx(0.5, abs=0.05)

    play(scenario())


def test_a_request_before_any_engine_is_known_is_held_until_then() -> None:
    """Given a configured node that knows no engine for 0.8 s, the client gets the engine's response."""

    async def scenario() -> None:
        node = with_startup_gate(Node(SAFE, COMPLETE_RESPONSE, versions=()))
        began_at = now()
        asyncio.get_running_loop().call_later(0.8, node.update_engines)
        client = await node.send_request()
        assert client.status == 200
        assert client.responded_at - began_at == pytest.approx(0.8, abs=0.05)

    play(scenario())


def test_no_request_is_held_after_the_startup_period() -> None:
    """Given no configuration, a request gets 503 at the end of the startup, and a later one immediately."""

    async def scenario() -> None:
        node = with_startup_gate(Node(SAFE, configured=False))
        began_at = now()
        first = await node.send_request()
        assert first.status == 503 and first.header(b"retry-after") == b"1.00"
        assert first.responded_at - began_at == pytest.approx(STARTUP_S, abs=0.05)
        second = await node.send_request()
        assert second.status == 503 and second.responded_at == first.responded_at

    play(scenario())


def test_a_held_request_whose_client_disconnects_makes_room_for_another(monkeypatch) -> None:
    """Given room for one held request, a second is refused; once the first client is gone, a third waits."""
    monkeypatch.setattr(startup_gate, "MAX_WAITING", 1)

    async def scenario() -> None:
        node = with_startup_gate(Node(SAFE, COMPLETE_RESPONSE, configured=False))
        disconnecting = RecordingClient()
        handling = asyncio.ensure_future(node.forwarder.handle(disconnecting))
        await asyncio.sleep(0.1)
        assert (await node.send_request()).status == 503
        disconnecting.disconnect()
        await handling
        assert not disconnecting.begun
        asyncio.get_running_loop().call_later(0.2, node.configure)
        assert (await node.send_request()).status == 200

    play(scenario())


def test_a_held_request_keeps_its_deadline() -> None:
    """Given a deadline of 0.3 s and a configuration after 0.5 s, nothing is sent and the client gets 503."""

    async def scenario() -> None:
        node = with_startup_gate(Node(SAFE, COMPLETE_RESPONSE, configured=False))
        asyncio.get_running_loop().call_later(0.5, node.configure)
        client = await node.send_request((b"x-deadline-ms", b"300"))
        assert client.status == 503 and node.sent == []

    play(scenario())
