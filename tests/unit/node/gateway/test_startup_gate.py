"""Requests that come before a started node knows its configuration or any engine."""

from __future__ import annotations

import asyncio

import pytest

from springmux.node.gateway import startup_gate
from springmux.node.gateway.startup_gate import STARTUP_S, StartupGate
from tests.unit.node.gateway.scripted_engines import COMPLETE_RESPONSE, now, play
from tests.unit.node.gateway.stand_ins import SAFE, Node, RecordingClient


def started(node: Node) -> Node:
    """Return ``node`` as of its start."""
    node.services.startup_gate = StartupGate(now() + STARTUP_S)
    return node


def test_a_request_before_the_configuration_is_served_once_it_is_known() -> None:
    """Given a node without configuration, which comes after 0.5 s: the engine's answer, not a refusal."""

    async def scenario() -> None:
        node = started(Node(SAFE, COMPLETE_RESPONSE, configured=False))
        began = now()
        asyncio.get_running_loop().call_later(0.5, node.configure)
        client = await node.ask()
        assert client.status == 200
        assert client.responded_at - began == pytest.approx(0.5, abs=0.05)

    play(scenario())


def test_a_request_before_any_engine_is_served_once_one_is_known() -> None:
    """Given a configured node that knows no engine until 0.8 s after."""

    async def scenario() -> None:
        node = started(Node(SAFE, COMPLETE_RESPONSE, versions=()))
        began = now()
        asyncio.get_running_loop().call_later(0.8, node.update_engines)
        client = await node.ask()
        assert client.status == 200
        assert client.responded_at - began == pytest.approx(0.8, abs=0.05)

    play(scenario())


def test_nothing_is_held_longer_than_the_start_lasts() -> None:
    """Given a configuration that never comes: 503 at the end of the start, and at once after it."""

    async def scenario() -> None:
        node = started(Node(SAFE, configured=False))
        began = now()
        first = await node.ask()
        assert first.status == 503 and first.header(b"retry-after") == b"1.00"
        assert first.responded_at - began == pytest.approx(STARTUP_S, abs=0.05)
        second = await node.ask()
        assert second.status == 503 and second.responded_at == first.responded_at

    play(scenario())


def test_a_held_request_whose_client_leaves_is_dropped_and_frees_its_place(monkeypatch) -> None:
    """Given room for one, a second is refused at once; after the first has left, a third is held."""
    monkeypatch.setattr(startup_gate, "MAX_WAITING", 1)

    async def scenario() -> None:
        node = started(Node(SAFE, COMPLETE_RESPONSE, configured=False))
        leaving = RecordingClient()
        held = asyncio.ensure_future(node.forwarder.handle(leaving))
        await asyncio.sleep(0.1)
        assert (await node.ask()).status == 503
        leaving.leave()
        await held
        assert not leaving.begun
        asyncio.get_running_loop().call_later(0.2, node.configure)
        assert (await node.ask()).status == 200

    play(scenario())


def test_a_held_request_keeps_its_own_time() -> None:
    """Given a deadline of 0.3 s and a configuration after 0.5 s: nothing is sent, and the refusal says so."""

    async def scenario() -> None:
        node = started(Node(SAFE, COMPLETE_RESPONSE, configured=False))
        asyncio.get_running_loop().call_later(0.5, node.configure)
        client = await node.ask((b"x-deadline-ms", b"300"))
        assert client.status == 503 and node.sent == []

    play(scenario())
