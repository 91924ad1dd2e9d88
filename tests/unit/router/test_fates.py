"""What becomes of a request when engines, nodes, claims or clients fail: one fate each, told truthfully."""

from __future__ import annotations

import pytest

from springmux.control.view import AdmissionLimits
from springmux.coordination.claims.decision import ClaimVerdict
from springmux.coordination.state_machine import Tick
from springmux.router import effects as out
from springmux.router import events as ev
from springmux.router.events import UpstreamCause
from support.playbook import Playbook, Scene, chat, piece


def approval(playbook: Playbook, action: str = "a1") -> Scene:
    return playbook.open(call="approve", headers={"idempotency-key": action})


def granted(playbook: Playbook) -> Scene:
    scene = approval(playbook)
    scene.claim(ClaimVerdict.GRANTED)
    return scene


def test_nothing_is_sent_before_the_claim_is_granted() -> None:
    scene = approval(Playbook())

    assert [type(effect) for effect in scene.effects] == [out.RequestClaim]


def test_one_action_is_one_claim_per_tenant_and_route() -> None:
    playbook = Playbook()
    keys = [approval(playbook, action).all(out.RequestClaim)[0].claim_key for action in ("a1", "a2")]
    south = playbook.open(call="approve", key="cleo", headers={"idempotency-key": "a1"})

    assert len({*keys, south.all(out.RequestClaim)[0].claim_key}) == 3


def test_a_whole_answer_is_kept_and_replayed_to_a_resend() -> None:
    playbook = Playbook()
    first = granted(playbook)
    first.answer(b'{"slot":7}')
    (settled,) = first.all(out.SettleClaim)
    assert settled.ran

    second = approval(playbook)
    second.claim(ClaimVerdict.FINISHED, settled.answer)

    assert not second.all(out.Dispatch)
    assert second.body == b'{"slot":7}'
    headers = dict(second.all(out.ResponseHead)[0].headers)
    assert (headers["X-Replayed"], headers["X-Request-Id"]) == ("true", "r2")


def test_the_same_key_with_another_body_never_gets_the_first_ones_answer() -> None:
    playbook = Playbook()
    first = granted(playbook)
    first.answer(b'{"slot":7}')

    other = playbook.open(b'{"page":2}', call="approve", headers={"idempotency-key": "a1"})
    other.claim(ClaimVerdict.FINISHED, first.all(out.SettleClaim)[0].answer)

    assert (other.error.status, other.error.code, other.error.fate) == (422, "invalid_request", "unknown")
    assert not other.all(out.Dispatch)


@pytest.mark.parametrize(("size", "kept"), [(8_000, True), (8_300, False)])
def test_an_answer_is_kept_up_to_what_the_claim_holders_take(size: int, kept: bool) -> None:
    scene = granted(Playbook())
    scene.answer(b'"' + b"x" * (size - 2) + b'"')

    assert bool(scene.all(out.SettleClaim)[0].answer) is kept


@pytest.mark.parametrize(
    ("verdict", "status", "code", "fate"),
    [
        (ClaimVerdict.RUNNING, 409, "duplicate_request", "unknown"),
        (ClaimVerdict.FINISHED, 409, "duplicate_request", "unknown"),
        (ClaimVerdict.UNAVAILABLE, 503, "claim_unavailable", "refused"),
    ],
)
def test_no_claim_no_run(verdict: ClaimVerdict, status: int, code: str, fate: str) -> None:
    scene = approval(Playbook())
    scene.claim(verdict)

    assert (scene.error.status, scene.error.code, scene.error.fate) == (status, code, fate)
    assert not scene.all(out.Dispatch)
    assert not scene.all(out.SettleClaim)


def test_a_resend_to_the_same_node_meets_the_running_one() -> None:
    playbook = Playbook()
    first = approval(playbook)
    second = approval(playbook)

    assert (second.error.status, second.error.fate) == (409, "unknown")
    assert not second.all(out.RequestClaim)
    first.claim(ClaimVerdict.UNAVAILABLE)
    assert approval(playbook).all(out.RequestClaim)


def test_a_late_grant_is_given_back() -> None:
    scene = approval(Playbook())
    scene.tick()
    assert scene.error.code == "claim_unavailable"

    scene.claim(ClaimVerdict.GRANTED)

    assert not scene.all(out.Dispatch)
    assert not scene.all(out.SettleClaim)[0].ran
    assert scene.over


def test_a_thawed_node_still_waits_for_the_grant_that_it_must_give_back() -> None:
    scene = approval(Playbook())
    scene.give(ev.ClientDisconnected())
    scene.give(Tick(), after=60.0)
    assert not scene.over

    scene.claim(ClaimVerdict.GRANTED)

    assert not scene.all(out.SettleClaim)[0].ran


def test_a_grant_after_the_deadline_is_given_back_and_not_sent() -> None:
    playbook = Playbook()
    scene = approval(playbook)
    playbook.now += 31.0
    scene.claim(ClaimVerdict.GRANTED)

    assert (scene.error.code, scene.error.fate) == ("deadline_exceeded", "refused")
    assert not scene.all(out.Dispatch)
    assert not scene.all(out.SettleClaim)[0].ran


def test_an_unsent_approval_goes_to_another_engine() -> None:
    scene = granted(Playbook())
    scene.fail(UpstreamCause.REFUSED, sent=False)

    first, second = scene.all(out.Dispatch)
    assert first.engine.engine != second.engine.engine
    assert all(dispatch.fresh for dispatch in (first, second))


def test_an_approval_that_reached_no_engine_is_refused_and_its_claim_free() -> None:
    scene = granted(Playbook())
    while not scene.over:
        scene.fail(UpstreamCause.REFUSED, sent=False)

    assert len(scene.all(out.Dispatch)) == 3
    assert (scene.error.code, scene.error.fate) == ("no_engine", "refused")
    assert not scene.all(out.SettleClaim)[0].ran


@pytest.mark.parametrize(
    "trouble", ["reset", "refused", "protocol", "500", "silence", "odd", "stop", "revoked"]
)
def test_a_sent_approval_without_an_answer_is_unknown_and_never_sent_again(trouble: str) -> None:
    scene = granted(Playbook())
    if trouble in ("reset", "refused", "protocol"):
        scene.fail(UpstreamCause(trouble), sent=True)
    elif trouble == "500":
        scene.head(500)
    elif trouble == "silence":
        scene.tick()
    elif trouble == "odd":
        scene.head(x_request_id="r77")
    elif trouble == "stop":
        scene.give(ev.StopRequested())
    else:
        scene.give(ev.KeyRevoked())

    assert len(scene.all(out.Dispatch)) == 1
    assert scene.error.fate == "unknown"
    (settled,) = scene.all(out.SettleClaim)
    assert settled.ran
    assert settled.answer == b""
    assert scene.over


def test_a_frozen_node_that_wakes_with_a_granted_claim_does_not_send() -> None:
    playbook = Playbook()
    scene = approval(playbook)
    playbook.connected = False
    scene.claim(ClaimVerdict.GRANTED)

    assert scene.error.code == "cut_off"
    assert not scene.all(out.Dispatch)
    assert not scene.all(out.SettleClaim)[0].ran


def test_a_client_error_of_the_engine_is_its_answer_and_evidence_but_no_fault_of_its_health() -> None:
    playbook = Playbook()
    for number in range(9):
        scene = approval(playbook, f"a{number}")
        scene.claim(ClaimVerdict.GRANTED)
        scene.answer(b'{"error":"no such page"}', status=422)
        assert scene.all(out.ResponseHead)[0].status == 422
        assert scene.all(out.SettleClaim)[0].answer

    assert playbook.chooser.endings() == ["rejected"] * 9
    assert playbook.router.status().ejections == 0


@pytest.mark.parametrize(
    "body_and_headers",
    [
        (b'{"a":1', {}),
        (b'{"a":1}', {"content_length": "9"}),
        (b'{"a":1}', {"content_length": "3"}),
        (b'{"a":1}', {"content_length": ""}),
        (b'{"a":1}', {"content_length": "99999999"}),
        (b'{"a":1}', {"x_request_id": "r0"}),
        (b'{"a":1}', {"x_engine_id": "p9"}),
        (b'{"a":1}', {"x_engine_version": ""}),
        (b'{"a":1}', {"x_engine_version": "v\udcff"}),
        (b'{"a":1}', {"content_type": "text\udcff"}),
        (b'{"a":1}', {"retry_after": "1\udcff"}),
        (b'{"a":"\xff"}', {}),
    ],
)
def test_an_answer_that_is_not_proven_whole_is_not_passed_on(
    body_and_headers: tuple[bytes, dict[str, str]],
) -> None:
    body, headers = body_and_headers
    scene = granted(Playbook())
    scene.head(**{"content_type": "application/json", "content_length": str(len(body))} | headers)
    scene.data(body)
    scene.end()

    assert not scene.all(out.ResponseHead)
    assert scene.error.code == "engine_protocol"
    assert not any(close.reusable for close in scene.all(out.CloseUpstream))


def test_a_whole_completion_must_carry_the_request_id() -> None:
    scene = Playbook(limits=AdmissionLimits(retry_floor=0)).open(chat(stream=False))
    scene.answer(b'{"id":"r5","choices":[]}')
    assert not scene.all(out.ResponseHead)

    right = Playbook().open(chat(stream=False))
    right.answer(b'{"id":"r1","choices":[],"usage":{"prompt_tokens":9,"completion_tokens":4}}')
    assert right.whole
    assert right.playbook.quota.settled == [(67.0, 13.0)]


def test_a_repeatable_prompt_is_retried_until_its_first_byte() -> None:
    scene = Playbook().open()
    scene.head(503)
    assert len({dispatch.engine.engine for dispatch in scene.all(out.Dispatch)}) == 2

    scene.head()
    scene.data(piece("r1", 0))
    scene.fail(UpstreamCause.RESET, sent=True)

    assert len(scene.all(out.Dispatch)) == 2
    assert scene.all(out.ResponseAborted)


def test_a_node_cut_off_between_two_attempts_does_not_retry() -> None:
    playbook = Playbook()
    sent, unsent = playbook.open(), playbook.open()
    playbook.connected = False
    sent.head(500)
    unsent.fail(UpstreamCause.REFUSED, sent=False)

    assert [len(scene.all(out.Dispatch)) for scene in (sent, unsent)] == [1, 1]
    assert [scene.error.fate for scene in (sent, unsent)] == ["failed", "refused"]


def test_retries_stay_within_the_budget() -> None:
    playbook = Playbook(limits=AdmissionLimits(retry_share=0.15, retry_floor=3))
    for _ in range(100):
        scene = playbook.open()
        while not scene.over:
            scene.head(500)
            playbook.now += 0.001

    status = playbook.router.status()
    assert status.requests == 100
    assert 10 <= status.retries <= 0.15 * 100 + 3
    assert status.dispatches == status.requests + status.retries


@pytest.mark.parametrize(("call", "fate"), [("", "failed"), ("approve", "unknown")])
def test_at_the_deadline_the_answer_comes_at_once(call: str, fate: str) -> None:
    playbook = Playbook()
    scene = playbook.open(chat(stream=False) if not call else b"", call=call)
    if call:
        scene.claim(ClaimVerdict.GRANTED)
        scene.head(content_type="application/json", content_length="50")
        while not scene.over:
            scene.data(b" ", after=4.0)
            if scene.flow.next_deadline() <= playbook.now:
                scene.tick()
    else:
        scene.tick()

    assert playbook.now <= 132.0
    assert (scene.error.status, scene.error.code, scene.error.fate) == (504, "deadline_exceeded", fate)


def test_a_client_who_leaves_frees_everything() -> None:
    playbook = Playbook()
    prompt = playbook.open()
    sale = granted(playbook)
    asking = approval(playbook, "a2")
    for scene in (prompt, sale, asking):
        scene.give(ev.ClientDisconnected())
    asking.claim(ClaimVerdict.GRANTED)

    assert prompt.all(out.CloseUpstream) == [out.CloseUpstream(1, reusable=False)]
    assert [sale.all(out.SettleClaim)[0].ran, asking.all(out.SettleClaim)[0].ran] == [True, False]
    assert playbook.quota.settled == [(67.0, 0.0)]
    assert set(playbook.router.status().in_flight.values()) == {0}
    assert all(scene.over for scene in (prompt, sale, asking))
    assert "caller_gone" in playbook.chooser.endings()
    assert not playbook.router._flows


def test_a_revoked_key_ends_its_running_streams_only() -> None:
    playbook = Playbook()
    ann, ben = playbook.open(), playbook.open(key="ben")
    for scene in (ann, ben):
        scene.head()
        scene.data(piece(scene.request.request_id, 0))

    assert playbook.revoke("ann") == [ann.flow]
    ann.give(ev.KeyRevoked())

    assert b"event: error" in ann.body
    assert b"revoked_key" in ann.body
    assert ann.all(out.ResponseAborted)
    assert not ann.whole
    assert not ben.over
