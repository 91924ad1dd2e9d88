"""Admission: reserved slots, fair shares under pressure only, short queues, refusals at once."""

from __future__ import annotations

import pytest

from springmux.control.view import AdmissionLimits
from springmux.coordination.state_machine import Tick
from springmux.router import effects as out
from springmux.router import events as ev
from springmux.vocabulary.engines import EngineLoad
from springmux.vocabulary.names import EngineId
from support.playbook import Playbook, Scene, chat, engine

SMALL = AdmissionLimits(
    max_in_flight=20, interactive_reserved=6, transaction_reserved=4, queue_length=8, queue_timeout_s=1.0
)
"""Ten shared slots; bulk may have all of them, the others at most seven."""


def admitted(scene: Scene) -> bool:
    return bool(scene.all(out.Dispatch)) or bool(scene.all(out.RequestClaim))


def fill(playbook: Playbook, count: int, route: str, keys: str = "ann ben cleo") -> list[Scene]:
    names = keys.split()
    return [playbook.open(chat(route), key=names[n % len(names)]) for n in range(count)]


def test_interactive_and_transactions_never_wait_behind_bulk() -> None:
    playbook = Playbook(limits=SMALL)
    fill(playbook, 40, "draft")

    assert all(admitted(scene) for scene in fill(playbook, 6, "caption"))
    assert all(admitted(playbook.open(call="approve")) for _ in range(4))
    assert playbook.router.status().in_flight == {"interactive": 6, "bulk": 10, "transaction": 4}


def test_a_burst_of_captions_leaves_bulk_its_part() -> None:
    playbook = Playbook(limits=SMALL)
    fill(playbook, 60, "caption")

    assert playbook.router.status().in_flight["interactive"] <= 14
    assert all(admitted(scene) for scene in fill(playbook, 2, "draft"))


def test_a_request_that_would_wait_too_long_is_refused_at_once() -> None:
    playbook = Playbook(limits=SMALL)
    scenes = fill(playbook, 30, "draft")

    refused = [scene for scene in scenes if scene.all(out.ResponseError)]
    assert refused
    for scene in refused:
        assert (scene.error.code, scene.error.fate) == ("overloaded", "refused")
        assert scene.error.retry_after_s is not None
        assert scene.error.status in (429, 503)
    assert playbook.router.status().sheds["bulk"] == len(refused)


def waiting_and_running(playbook: Playbook) -> tuple[Scene, list[Scene]]:
    running = fill(playbook, 10, "draft")
    waiting = playbook.open(chat("draft"), key="cleo")
    assert not waiting.effects
    return waiting, running


def test_a_waiting_request_gets_a_freed_slot_and_the_driver_is_notified() -> None:
    playbook = Playbook(limits=SMALL)
    woken: list[str] = []
    playbook.router.set_wake_listener(woken.append)
    waiting, running = waiting_and_running(playbook)

    running[0].give(ev.ClientDisconnected())

    assert woken == [waiting.request.request_id]
    assert waiting.flow.next_deadline() <= playbook.now
    waiting.give(Tick())
    assert admitted(waiting)


def test_a_request_that_waited_in_vain_is_refused_at_the_limit() -> None:
    playbook = Playbook(limits=SMALL)
    waiting, _ = waiting_and_running(playbook)

    while not waiting.over:
        waiting.tick()

    assert playbook.now == pytest.approx(101.0)
    assert waiting.error.code == "overloaded"


def test_a_waiting_request_chooses_its_engine_when_it_is_dispatched() -> None:
    playbook = Playbook(limits=SMALL)
    waiting, running = waiting_and_running(playbook)
    running[0].give(ev.ClientDisconnected())
    playbook.see([engine("e9")])

    waiting.give(Tick())

    assert waiting.dispatched().engine.engine == "e9"


def test_a_revoked_or_gone_waiter_leaves_the_queue() -> None:
    playbook = Playbook(limits=SMALL)
    waiting, running = waiting_and_running(playbook)

    assert waiting.flow in playbook.revoke("cleo")
    waiting.give(ev.KeyRevoked())

    assert (waiting.error.code, waiting.error.fate) == ("revoked_key", "refused")
    assert playbook.router.status().queued["bulk"] == 0
    running[0].give(ev.ClientDisconnected())
    assert playbook.router.status().in_flight["bulk"] == 9


@pytest.mark.parametrize(("swelling", "other"), [("ann", "ben"), ("ann ben", "cleo")])
def test_one_that_swells_presses_only_on_itself(swelling: str, other: str) -> None:
    """A key beside its own tenant's other key; a tenant beside another tenant."""
    playbook = Playbook(limits=SMALL)
    swollen = fill(playbook, 40, "draft", swelling)
    refused = [scene for scene in swollen if scene.all(out.ResponseError)]

    late = playbook.open(chat("draft"), key=other)

    assert {scene.error.status for scene in refused} == {429}
    assert admitted(late)


def test_a_key_is_held_to_its_share_while_its_tenant_is_below_its_own() -> None:
    playbook = Playbook(limits=SMALL)
    fill(playbook, 5, "draft", "ann")
    fill(playbook, 3, "draft", "cleo")

    assert playbook.open(chat("draft"), key="ann").error.status == 429
    assert admitted(playbook.open(chat("draft"), key="cleo"))


def test_when_slots_are_held_long_nobody_is_let_wait() -> None:
    playbook = Playbook(limits=SMALL)
    first = fill(playbook, 10, "draft")
    playbook.now += 300.0
    for scene in first:
        scene.give(ev.ClientDisconnected())
    fill(playbook, 10, "draft")

    late = playbook.open(chat("draft"), key="cleo")

    assert (late.error.status, late.error.code) == (503, "overloaded")
    assert late.error.retry_after_s is not None
    assert late.error.retry_after_s > 1.0


def test_the_least_served_tenant_gets_the_next_slot() -> None:
    playbook = Playbook(limits=SMALL)
    running = fill(playbook, 6, "draft", "ann ben") + fill(playbook, 4, "draft", "cleo")
    north = playbook.open(chat("draft"), key="ben")
    south = playbook.open(chat("draft"), key="cleo")

    running[0].give(ev.ClientDisconnected())
    north.give(Tick(), 0.05)
    south.give(Tick())

    assert north.effects == []
    assert admitted(south)


def test_shares_do_not_bind_without_pressure() -> None:
    playbook = Playbook(limits=SMALL)

    assert all(admitted(scene) for scene in fill(playbook, 7, "draft", "ann"))


def test_when_engines_queue_the_swollen_key_yields() -> None:
    playbook = Playbook()
    fill(playbook, 20, "draft", "ann")
    fill(playbook, 4, "draft", "cleo")
    playbook.now += 1.0
    names = ["e0", "e1", "e2"]
    loads = [EngineLoad(EngineId(name), 8, 30, measured_at=playbook.now) for name in names]
    playbook.see([engine(name) for name in names], loads=loads)

    assert playbook.open(chat("draft"), key="ann").error.status == 429
    assert admitted(playbook.open(chat("draft"), key="cleo"))
