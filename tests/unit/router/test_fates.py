"""Fates of requests when engines, nodes, claims or clients fail: each error reports the true fate."""

from __future__ import annotations

import pytest

from springmux.control.view import AdmissionLimits
from springmux.coordination.claims.decision import ClaimVerdict
from springmux.coordination.state_machine import Tick
from springmux.router import effects as out
from springmux.router import events as ev
from springmux.router.events import UpstreamCause
from support.playbook import DrivenFlow, Playbook, chat, stream_chunk


def open_approval(playbook: Playbook, action: str = "a1") -> DrivenFlow:
    return playbook.open(call="approve", headers={"idempotency-key": action})


def open_granted_approval(playbook: Playbook) -> DrivenFlow:
    flow = open_approval(playbook)
    flow.decide_claim(ClaimVerdict.GRANTED)
    return flow


def test_at_most_once_request_is_not_sent_before_its_claim_is_granted() -> None:
    flow = open_approval(Playbook())

    assert [type(effect) for effect in flow.effects] == [out.RequestClaim]


def test_claim_keys_differ_by_idempotency_key_and_tenant() -> None:
    playbook = Playbook()
    keys = [
        open_approval(playbook, action).effects_of(out.RequestClaim)[0].claim_key for action in ("a1", "a2")
    ]
    south = playbook.open(call="approve", key="cleo", headers={"idempotency-key": "a1"})

    assert len({*keys, south.effects_of(out.RequestClaim)[0].claim_key}) == 3


def test_complete_response_is_stored_and_replayed_to_a_resent_request() -> None:
    playbook = Playbook()
    first = open_granted_approval(playbook)
    first.receive_json(b'{"slot":7}')
    (settled,) = first.effects_of(out.SettleClaim)
    assert settled.ran

    second = open_approval(playbook)
    second.decide_claim(ClaimVerdict.FINISHED, settled.answer)

    assert not second.effects_of(out.Dispatch)
    assert second.body == b'{"slot":7}'
    headers = dict(second.effects_of(out.ResponseHead)[0].headers)
    assert (headers["X-Replayed"], headers["X-Request-Id"]) == ("true", "r2")


def test_reused_idempotency_key_with_another_body_does_not_get_the_stored_response() -> None:
    playbook = Playbook()
    first = open_granted_approval(playbook)
    first.receive_json(b'{"slot":7}')

    other = playbook.open(b'{"page":2}', call="approve", headers={"idempotency-key": "a1"})
    other.decide_claim(ClaimVerdict.FINISHED, first.effects_of(out.SettleClaim)[0].answer)

    assert (other.error.status, other.error.code, other.error.fate) == (422, "invalid_request", "unknown")
    assert not other.effects_of(out.Dispatch)


@pytest.mark.parametrize(("size", "is_stored"), [(8_000, True), (8_300, False)])
def test_response_is_stored_only_up_to_the_size_limit_of_claim_holders(size: int, is_stored: bool) -> None:
    flow = open_granted_approval(Playbook())
    flow.receive_json(b'"' + b"x" * (size - 2) + b'"')

    assert bool(flow.effects_of(out.SettleClaim)[0].answer) is is_stored


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
    flow = open_approval(Playbook())
    flow.decide_claim(verdict)

    assert (flow.error.status, flow.error.code, flow.error.fate) == (status, code, fate)
    assert not flow.effects_of(out.Dispatch)
    assert not flow.effects_of(out.SettleClaim)


def test_resent_request_is_rejected_while_the_first_one_runs_at_the_same_node() -> None:
    playbook = Playbook()
    first = open_approval(playbook)
    second = open_approval(playbook)

    assert (second.error.status, second.error.fate) == (409, "unknown")
    assert not second.effects_of(out.RequestClaim)
    first.decide_claim(ClaimVerdict.UNAVAILABLE)
    assert open_approval(playbook).effects_of(out.RequestClaim)


def test_late_grant_is_released() -> None:
    flow = open_approval(Playbook())
    flow.tick()
    assert flow.error.code == "claim_unavailable"

    flow.decide_claim(ClaimVerdict.GRANTED)

    assert not flow.effects_of(out.Dispatch)
    assert not flow.effects_of(out.SettleClaim)[0].ran
    assert flow.is_done


def test_resumed_node_still_waits_for_a_late_grant_to_release_it() -> None:
    flow = open_approval(Playbook())
    flow.deliver(ev.ClientDisconnected())
    flow.deliver(Tick(), after=60.0)
    assert not flow.is_done

    flow.decide_claim(ClaimVerdict.GRANTED)

    assert not flow.effects_of(out.SettleClaim)[0].ran


def test_grant_after_the_deadline_is_released_and_the_request_is_not_sent() -> None:
    playbook = Playbook()
    flow = open_approval(playbook)
    playbook.now += 31.0
    flow.decide_claim(ClaimVerdict.GRANTED)

    assert (flow.error.code, flow.error.fate) == ("deadline_exceeded", "refused")
    assert not flow.effects_of(out.Dispatch)
    assert not flow.effects_of(out.SettleClaim)[0].ran


def test_unsent_at_most_once_request_goes_to_another_engine() -> None:
    flow = open_granted_approval(Playbook())
    flow.fail_upstream(UpstreamCause.REFUSED, sent=False)

    first, second = flow.effects_of(out.Dispatch)
    assert first.engine.engine != second.engine.engine
    assert all(dispatch.fresh for dispatch in (first, second))


def test_at_most_once_request_that_reached_no_engine_is_refused_and_its_claim_released() -> None:
    flow = open_granted_approval(Playbook())
    while not flow.is_done:
        flow.fail_upstream(UpstreamCause.REFUSED, sent=False)

    assert len(flow.effects_of(out.Dispatch)) == 3
    assert (flow.error.code, flow.error.fate) == ("no_engine", "refused")
    assert not flow.effects_of(out.SettleClaim)[0].ran


@pytest.mark.parametrize(
    "failure", ["reset", "refused", "protocol", "500", "silence", "odd", "stop", "revoked"]
)
def test_sent_at_most_once_request_without_a_response_is_unknown_and_not_retried(failure: str) -> None:
    flow = open_granted_approval(Playbook())
    if failure in ("reset", "refused", "protocol"):
        flow.fail_upstream(UpstreamCause(failure), sent=True)
    elif failure == "500":
        flow.receive_head(500)
    elif failure == "silence":
        flow.tick()
    elif failure == "odd":
        flow.receive_head(x_request_id="r77")
    elif failure == "stop":
        flow.deliver(ev.StopRequested())
    else:
        flow.deliver(ev.KeyRevoked())

    assert len(flow.effects_of(out.Dispatch)) == 1
    assert flow.error.fate == "unknown"
    (settled,) = flow.effects_of(out.SettleClaim)
    assert settled.ran
    assert settled.answer == b""
    assert flow.is_done


def test_resumed_node_without_a_majority_does_not_send_a_request_with_a_granted_claim() -> None:
    playbook = Playbook()
    flow = open_approval(playbook)
    playbook.connected = False
    flow.decide_claim(ClaimVerdict.GRANTED)

    assert flow.error.code == "cut_off"
    assert not flow.effects_of(out.Dispatch)
    assert not flow.effects_of(out.SettleClaim)[0].ran


def test_client_error_of_an_engine_is_forwarded_and_recorded_but_does_not_eject_it() -> None:
    playbook = Playbook()
    for number in range(9):
        flow = open_approval(playbook, f"a{number}")
        flow.decide_claim(ClaimVerdict.GRANTED)
        flow.receive_json(b'{"error":"no such page"}', status=422)
        assert flow.effects_of(out.ResponseHead)[0].status == 422
        assert flow.effects_of(out.SettleClaim)[0].answer

    assert playbook.version_filter.endings() == ["rejected"] * 9
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
    flow = open_granted_approval(Playbook())
    flow.receive_head(**{"content_type": "application/json", "content_length": str(len(body))} | headers)
    flow.receive_data(body)
    flow.receive_end()

    assert not flow.effects_of(out.ResponseHead)
    assert flow.error.code == "engine_protocol"
    assert not any(close.reusable for close in flow.effects_of(out.CloseUpstream))


def test_complete_response_with_another_request_id_is_not_forwarded() -> None:
    flow = Playbook(limits=AdmissionLimits(retry_floor=0)).open(chat(stream=False))
    flow.receive_json(b'{"id":"r5","choices":[]}')
    assert not flow.effects_of(out.ResponseHead)

    right = Playbook().open(chat(stream=False))
    right.receive_json(b'{"id":"r1","choices":[],"usage":{"prompt_tokens":9,"completion_tokens":4}}')
    assert right.is_complete
    assert right.playbook.quota.settled == [(67.0, 13.0)]


def test_repeatable_prompt_is_retried_until_its_first_byte_is_forwarded() -> None:
    flow = Playbook().open()
    flow.receive_head(503)
    assert len({dispatch.engine.engine for dispatch in flow.effects_of(out.Dispatch)}) == 2

    flow.receive_head()
    flow.receive_data(stream_chunk("r1", 0))
    flow.fail_upstream(UpstreamCause.RESET, sent=True)

    assert len(flow.effects_of(out.Dispatch)) == 2
    assert flow.effects_of(out.ResponseAborted)


def test_node_partitioned_between_two_attempts_does_not_retry() -> None:
    playbook = Playbook()
    sent, unsent = playbook.open(), playbook.open()
    playbook.connected = False
    sent.receive_head(500)
    unsent.fail_upstream(UpstreamCause.REFUSED, sent=False)

    assert [len(flow.effects_of(out.Dispatch)) for flow in (sent, unsent)] == [1, 1]
    assert [flow.error.fate for flow in (sent, unsent)] == ["failed", "refused"]


def test_retries_stay_within_the_budget() -> None:
    playbook = Playbook(limits=AdmissionLimits(retry_share=0.15, retry_floor=3))
    for _ in range(100):
        flow = playbook.open()
        while not flow.is_done:
            flow.receive_head(500)
            playbook.now += 0.001

    status = playbook.router.status()
    assert status.requests == 100
    assert 10 <= status.retries <= 0.15 * 100 + 3
    assert status.dispatches == status.requests + status.retries


@pytest.mark.parametrize(("call", "fate"), [("", "failed"), ("approve", "unknown")])
def test_request_ends_with_an_error_at_its_deadline(call: str, fate: str) -> None:
    playbook = Playbook()
    flow = playbook.open(chat(stream=False) if not call else b"", call=call)
    if call:
        flow.decide_claim(ClaimVerdict.GRANTED)
        flow.receive_head(content_type="application/json", content_length="50")
        while not flow.is_done:
            flow.receive_data(b" ", after=4.0)
            if flow.router_flow.next_deadline() <= playbook.now:
                flow.tick()
    else:
        flow.tick()

    assert playbook.now <= 132.0
    assert (flow.error.status, flow.error.code, flow.error.fate) == (504, "deadline_exceeded", fate)


def test_client_disconnect_releases_all_resources() -> None:
    playbook = Playbook()
    prompt = playbook.open()
    granted_approval = open_granted_approval(playbook)
    claiming_approval = open_approval(playbook, "a2")
    for flow in (prompt, granted_approval, claiming_approval):
        flow.deliver(ev.ClientDisconnected())
    claiming_approval.decide_claim(ClaimVerdict.GRANTED)

    assert prompt.effects_of(out.CloseUpstream) == [out.CloseUpstream(1, reusable=False)]
    assert [
        granted_approval.effects_of(out.SettleClaim)[0].ran,
        claiming_approval.effects_of(out.SettleClaim)[0].ran,
    ] == [
        True,
        False,
    ]
    assert playbook.quota.settled == [(67.0, 0.0)]
    assert set(playbook.router.status().in_flight.values()) == {0}
    assert all(flow.is_done for flow in (prompt, granted_approval, claiming_approval))
    assert "caller_gone" in playbook.version_filter.endings()
    assert not playbook.router._flows


def test_revoked_key_ends_only_its_own_streams() -> None:
    playbook = Playbook()
    ann, ben = playbook.open(), playbook.open(key="ben")
    for flow in (ann, ben):
        flow.receive_head()
        flow.receive_data(stream_chunk(flow.request.request_id, 0))

    assert playbook.revoke("ann") == [ann.router_flow]
    ann.deliver(ev.KeyRevoked())

    assert b"event: error" in ann.body
    assert b"revoked_key" in ann.body
    assert ann.effects_of(out.ResponseAborted)
    assert not ann.is_complete
    assert not ben.is_done
