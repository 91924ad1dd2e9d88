"""Fates of requests when engines, nodes, claims or clients fail: each error reports the true fate."""

from __future__ import annotations

import pytest

from springmux.control.view import AdmissionLimits
from springmux.coordination.claims.decision import ClaimVerdict
from springmux.coordination.state_machine import Tick
from springmux.router import effects as out
from springmux.router import events as ev
from springmux.router.events import UpstreamCause
from support.playbook import Playbook, Scene, chat, piece


def open_approval(playbook: Playbook, action: str = "a1") -> Scene:
    return playbook.open(call="approve", headers={"idempotency-key": action})


def open_granted_approval(playbook: Playbook) -> Scene:
    scene = open_approval(playbook)
    scene.claim(ClaimVerdict.GRANTED)
    return scene


def test_at_most_once_request_is_not_sent_before_its_claim_is_granted() -> None:
    scene = open_approval(Playbook())

    assert [type(effect) for effect in scene.effects] == [out.RequestClaim]


def test_claim_keys_differ_by_idempotency_key_and_tenant() -> None:
    playbook = Playbook()
    keys = [open_approval(playbook, action).all(out.RequestClaim)[0].claim_key for action in ("a1", "a2")]
    south = playbook.open(call="approve", key="cleo", headers={"idempotency-key": "a1"})

    assert len({*keys, south.all(out.RequestClaim)[0].claim_key}) == 3


def test_complete_response_is_stored_and_replayed_to_a_resent_request() -> None:
    playbook = Playbook()
    first = open_granted_approval(playbook)
    first.answer(b'{"slot":7}')
    (settled,) = first.all(out.SettleClaim)
    assert settled.ran

    second = open_approval(playbook)
    second.claim(ClaimVerdict.FINISHED, settled.answer)

    assert not second.all(out.Dispatch)
    assert second.body == b'{"slot":7}'
    headers = dict(second.all(out.ResponseHead)[0].headers)
    assert (headers["X-Replayed"], headers["X-Request-Id"]) == ("true", "r2")


def test_reused_idempotency_key_with_another_body_does_not_get_the_stored_response() -> None:
    playbook = Playbook()
    first = open_granted_approval(playbook)
    first.answer(b'{"slot":7}')

    other = playbook.open(b'{"page":2}', call="approve", headers={"idempotency-key": "a1"})
    other.claim(ClaimVerdict.FINISHED, first.all(out.SettleClaim)[0].answer)

    assert (other.error.status, other.error.code, other.error.fate) == (422, "invalid_request", "unknown")
    assert not other.all(out.Dispatch)


@pytest.mark.parametrize(("size", "is_stored"), [(8_000, True), (8_300, False)])
def test_response_is_stored_only_up_to_the_size_limit_of_claim_holders(size: int, is_stored: bool) -> None:
    scene = open_granted_approval(Playbook())
    scene.answer(b'"' + b"x" * (size - 2) + b'"')

    assert bool(scene.all(out.SettleClaim)[0].answer) is is_stored


@pytest.mark.parametrize(
    ("verdict", "status", "code", "fate"),
    [
        (ClaimVerdict.RUNNING, 409, "duplicate_request", "unknown"),
        (ClaimVerdict.FINISHED, 409, "duplicate_request", "unknown"),
        (ClaimVerdict.UNAVAILABLE, 503, "claim_unavailable", "refused"),
    ],
)
def test_request_without_a_granted_claim_is_not_sent(
    verdict: ClaimVerdict, status: int, code: str, fate: str
) -> None:
    scene = open_approval(Playbook())
    scene.claim(verdict)

    assert (scene.error.status, scene.error.code, scene.error.fate) == (status, code, fate)
    assert not scene.all(out.Dispatch)
    assert not scene.all(out.SettleClaim)


def test_resent_request_is_rejected_while_the_first_one_runs_at_the_same_node() -> None:
    playbook = Playbook()
    first = open_approval(playbook)
    second = open_approval(playbook)

    assert (second.error.status, second.error.fate) == (409, "unknown")
    assert not second.all(out.RequestClaim)
    first.claim(ClaimVerdict.UNAVAILABLE)
    assert open_approval(playbook).all(out.RequestClaim)


def test_late_grant_is_released() -> None:
    scene = open_approval(Playbook())
    scene.tick()
    assert scene.error.code == "claim_unavailable"

    scene.claim(ClaimVerdict.GRANTED)

    assert not scene.all(out.Dispatch)
    assert not scene.all(out.SettleClaim)[0].ran
    assert scene.over


def test_resumed_node_still_waits_for_a_late_grant_to_release_it() -> None:
    scene = open_approval(Playbook())
    scene.give(ev.ClientDisconnected())
    scene.give(Tick(), after=60.0)
    assert not scene.over

    scene.claim(ClaimVerdict.GRANTED)

    assert not scene.all(out.SettleClaim)[0].ran


def test_grant_after_the_deadline_is_released_and_the_request_is_not_sent() -> None:
    playbook = Playbook()
    scene = open_approval(playbook)
    playbook.now += 31.0
    scene.claim(ClaimVerdict.GRANTED)

    assert (scene.error.code, scene.error.fate) == ("deadline_exceeded", "refused")
    assert not scene.all(out.Dispatch)
    assert not scene.all(out.SettleClaim)[0].ran


def test_unsent_at_most_once_request_goes_to_another_engine() -> None:
    scene = open_granted_approval(Playbook())
    scene.fail(UpstreamCause.REFUSED, sent=False)

    first, second = scene.all(out.Dispatch)
    assert first.engine.engine != second.engine.engine
    assert all(dispatch.fresh for dispatch in (first, second))


def test_at_most_once_request_that_reached_no_engine_is_refused_and_its_claim_released() -> None:
    scene = open_granted_approval(Playbook())
    while not scene.over:
        scene.fail(UpstreamCause.REFUSED, sent=False)

    assert len(scene.all(out.Dispatch)) == 3
    assert (scene.error.code, scene.error.fate) == ("no_engine", "refused")
    assert not scene.all(out.SettleClaim)[0].ran


@pytest.mark.parametrize(
    "failure", ["reset", "refused", "protocol", "500", "silence", "odd", "stop", "revoked"]
)
def test_sent_at_most_once_request_without_a_response_is_unknown_and_not_retried(failure: str) -> None:
    scene = open_granted_approval(Playbook())
    if failure in ("reset", "refused", "protocol"):
        scene.fail(UpstreamCause(failure), sent=True)
    elif failure == "500":
        scene.head(500)
    elif failure == "silence":
        scene.tick()
    elif failure == "odd":
        scene.head(x_request_id="r77")
    elif failure == "stop":
        scene.give(ev.StopRequested())
    else:
        scene.give(ev.KeyRevoked())

    assert len(scene.all(out.Dispatch)) == 1
    assert scene.error.fate == "unknown"
    (settled,) = scene.all(out.SettleClaim)
    assert settled.ran
    assert settled.answer == b""
    assert scene.over


def test_resumed_node_without_a_majority_does_not_send_a_request_with_a_granted_claim() -> None:
    playbook = Playbook()
    scene = open_approval(playbook)
    playbook.connected = False
    scene.claim(ClaimVerdict.GRANTED)

    assert scene.error.code == "cut_off"
    assert not scene.all(out.Dispatch)
    assert not scene.all(out.SettleClaim)[0].ran


def test_client_error_of_an_engine_is_forwarded_and_recorded_but_does_not_eject_it() -> None:
    playbook = Playbook()
    for number in range(9):
        scene = open_approval(playbook, f"a{number}")
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
def test_response_that_is_not_verifiably_complete_is_not_forwarded(
    body_and_headers: tuple[bytes, dict[str, str]],
) -> None:
    body, headers = body_and_headers
    scene = open_granted_approval(Playbook())
    scene.head(**{"content_type": "application/json", "content_length": str(len(body))} | headers)
    scene.data(body)
    scene.end()

    assert not scene.all(out.ResponseHead)
    assert scene.error.code == "engine_protocol"
    assert not any(close.reusable for close in scene.all(out.CloseUpstream))


def test_complete_response_with_another_request_id_is_not_forwarded() -> None:
    scene = Playbook(limits=AdmissionLimits(retry_floor=0)).open(chat(stream=False))
    scene.answer(b'{"id":"r5","choices":[]}')
    assert not scene.all(out.ResponseHead)

    right = Playbook().open(chat(stream=False))
    right.answer(b'{"id":"r1","choices":[],"usage":{"prompt_tokens":9,"completion_tokens":4}}')
    assert right.whole
    assert right.playbook.quota.settled == [(67.0, 13.0)]


def test_repeatable_prompt_is_retried_until_its_first_byte_is_forwarded() -> None:
    scene = Playbook().open()
    scene.head(503)
    assert len({dispatch.engine.engine for dispatch in scene.all(out.Dispatch)}) == 2

    scene.head()
    scene.data(piece("r1", 0))
    scene.fail(UpstreamCause.RESET, sent=True)

    assert len(scene.all(out.Dispatch)) == 2
    assert scene.all(out.ResponseAborted)


def test_node_partitioned_between_two_attempts_does_not_retry() -> None:
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
def test_request_ends_with_an_error_at_its_deadline(call: str, fate: str) -> None:
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


def test_client_disconnect_releases_all_resources() -> None:
    playbook = Playbook()
    prompt = playbook.open()
    granted_approval = open_granted_approval(playbook)
    claiming_approval = open_approval(playbook, "a2")
    for scene in (prompt, granted_approval, claiming_approval):
        scene.give(ev.ClientDisconnected())
    claiming_approval.claim(ClaimVerdict.GRANTED)

    assert prompt.all(out.CloseUpstream) == [out.CloseUpstream(1, reusable=False)]
    assert [granted_approval.all(out.SettleClaim)[0].ran, claiming_approval.all(out.SettleClaim)[0].ran] == [
        True,
        False,
    ]
    assert playbook.quota.settled == [(67.0, 0.0)]
    assert set(playbook.router.status().in_flight.values()) == {0}
    assert all(scene.over for scene in (prompt, granted_approval, claiming_approval))
    assert "caller_gone" in playbook.chooser.endings()
    assert not playbook.router._flows


def test_revoked_key_ends_only_its_own_streams() -> None:
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
