"""Admission: reserved slots, shares that apply only under pressure, short queues, immediate rejections."""

from __future__ import annotations

import pytest

from springmux.control.view import AdmissionLimits
from springmux.coordination.state_machine import Tick
from springmux.router import effects as out
from springmux.router import events as ev
from springmux.vocabulary.engines import EngineLoad
from springmux.vocabulary.names import EngineId
from support.playbook import DrivenFlow, Playbook, chat, engine

SMALL_LIMITS = AdmissionLimits(
    max_in_flight=20, interactive_reserved=6, transaction_reserved=4, queue_length=8, queue_timeout_s=1.0
)
"""There are ten shared slots: bulk can use all of them, the other classes at most seven."""


def is_admitted(flow: DrivenFlow) -> bool:
    return bool(flow.effects_of(out.Dispatch)) or bool(flow.effects_of(out.RequestClaim))


def open_requests(playbook: Playbook, count: int, route: str, keys: str = "ann ben cleo") -> list[DrivenFlow]:
    names = keys.split()
    return [playbook.open(chat(route), key=names[n % len(names)]) for n in range(count)]


def test_bulk_cannot_use_the_slots_reserved_for_interactive_and_transaction() -> None:
    playbook = Playbook(limits=SMALL_LIMITS)
    open_requests(playbook, 40, "draft")

    assert all(is_admitted(flow) for flow in open_requests(playbook, 6, "caption"))
    assert all(is_admitted(playbook.open(call="approve")) for _ in range(4))
    assert playbook.router.status().in_flight == {"interactive": 6, "bulk": 10, "transaction": 4}


def test_interactive_burst_leaves_bulk_its_part_of_the_shared_slots() -> None:
    playbook = Playbook(limits=SMALL_LIMITS)
    open_requests(playbook, 60, "caption")

    assert playbook.router.status().in_flight["interactive"] <= 14
    assert all(is_admitted(flow) for flow in open_requests(playbook, 2, "draft"))


def test_request_with_a_too_long_expected_wait_is_rejected_immediately() -> None:
    playbook = Playbook(limits=SMALL_LIMITS)
    flows = open_requests(playbook, 30, "draft")

    refused = [flow for flow in flows if flow.effects_of(out.ResponseError)]
    assert refused
    for flow in refused:
        assert (flow.error.code, flow.error.fate) == ("overloaded", "refused")
        assert flow.error.retry_after_s is not None
        assert flow.error.status in (429, 503)
    assert playbook.router.status().sheds["bulk"] == len(refused)


def fill_slots_and_queue_one(playbook: Playbook) -> tuple[DrivenFlow, list[DrivenFlow]]:
    running = open_requests(playbook, 10, "draft")
    waiting = playbook.open(chat("draft"), key="cleo")
    assert not waiting.effects
    return waiting, running


def test_queued_request_gets_a_freed_slot_and_the_driver_is_notified() -> None:
    playbook = Playbook(limits=SMALL_LIMITS)
    woken: list[str] = []
    playbook.router.set_wake_listener(woken.append)
    waiting, running = fill_slots_and_queue_one(playbook)

    running[0].deliver(ev.ClientDisconnected())

    assert woken == [waiting.request.request_id]
    assert waiting.router_flow.next_deadline() <= playbook.now
    waiting.deliver(Tick())
    assert is_admitted(waiting)


def test_queued_request_without_a_slot_is_rejected_at_the_queue_timeout() -> None:
    playbook = Playbook(limits=SMALL_LIMITS)
    waiting, _ = fill_slots_and_queue_one(playbook)

    while not waiting.is_done:
        waiting.tick()

    assert playbook.now == pytest.approx(101.0)
    assert waiting.error.code == "overloaded"


def test_queued_request_chooses_its_engine_at_dispatch() -> None:
    playbook = Playbook(limits=SMALL_LIMITS)
    waiting, running = fill_slots_and_queue_one(playbook)
    running[0].deliver(ev.ClientDisconnected())
    playbook.update_engines([engine("e9")])

    waiting.deliver(Tick())

    assert waiting.last_dispatch().engine.engine == "e9"


def test_queued_request_of_a_revoked_key_leaves_the_queue() -> None:
    playbook = Playbook(limits=SMALL_LIMITS)
    waiting, running = fill_slots_and_queue_one(playbook)

    assert waiting.router_flow in playbook.revoke("cleo")
    waiting.deliver(ev.KeyRevoked())

    assert (waiting.error.code, waiting.error.fate) == ("revoked_key", "refused")
    assert playbook.router.status().queued["bulk"] == 0
    running[0].deliver(ev.ClientDisconnected())
    assert playbook.router.status().in_flight["bulk"] == 9


@pytest.mark.parametrize(("bursting_keys", "other_key"), [("ann", "ben"), ("ann ben", "cleo")])
def test_burst_over_its_share_does_not_keep_others_out(bursting_keys: str, other_key: str) -> None:
    """Cases: a key and another key of its tenant; a tenant and another tenant."""
    playbook = Playbook(limits=SMALL_LIMITS)
    burst = open_requests(playbook, 40, "draft", bursting_keys)
    refused = [flow for flow in burst if flow.effects_of(out.ResponseError)]

    late_request = playbook.open(chat("draft"), key=other_key)

    assert {flow.error.status for flow in refused} == {429}
    assert is_admitted(late_request)


def test_key_over_its_share_is_rejected_while_its_tenant_is_below_its_share() -> None:
    playbook = Playbook(limits=SMALL_LIMITS)
    open_requests(playbook, 5, "draft", "ann")
    open_requests(playbook, 3, "draft", "cleo")

    assert playbook.open(chat("draft"), key="ann").error.status == 429
    assert is_admitted(playbook.open(chat("draft"), key="cleo"))


def test_request_is_rejected_instead_of_queued_if_slots_are_held_long() -> None:
    playbook = Playbook(limits=SMALL_LIMITS)
    first = open_requests(playbook, 10, "draft")
    playbook.now += 300.0
    for flow in first:
        flow.deliver(ev.ClientDisconnected())
    open_requests(playbook, 10, "draft")

    late_request = playbook.open(chat("draft"), key="cleo")

    assert (late_request.error.status, late_request.error.code) == (503, "overloaded")
    assert late_request.error.retry_after_s is not None
    assert late_request.error.retry_after_s > 1.0


def test_tenant_with_the_fewest_requests_in_flight_gets_the_next_slot() -> None:
    playbook = Playbook(limits=SMALL_LIMITS)
    running = open_requests(playbook, 6, "draft", "ann ben") + open_requests(playbook, 4, "draft", "cleo")
    north = playbook.open(chat("draft"), key="ben")
    south = playbook.open(chat("draft"), key="cleo")

    running[0].deliver(ev.ClientDisconnected())
    north.deliver(Tick(), 0.05)
    south.deliver(Tick())

    assert north.effects == []
    assert is_admitted(south)


def test_shares_do_not_apply_without_pressure() -> None:
    playbook = Playbook(limits=SMALL_LIMITS)

    assert all(is_admitted(flow) for flow in open_requests(playbook, 7, "draft", "ann"))


def test_key_over_its_share_is_rejected_while_the_engines_are_under_pressure() -> None:
    playbook = Playbook()
    open_requests(playbook, 20, "draft", "ann")
    open_requests(playbook, 4, "draft", "cleo")
    playbook.now += 1.0
    names = ["e0", "e1", "e2"]
    loads = [EngineLoad(EngineId(name), 8, 30, measured_at=playbook.now) for name in names]
    playbook.update_engines([engine(name) for name in names], loads=loads)

    assert playbook.open(chat("draft"), key="ann").error.status == 429
    assert is_admitted(playbook.open(chat("draft"), key="cleo"))
