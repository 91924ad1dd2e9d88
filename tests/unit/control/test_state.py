"""Tests the control state machine: compare-and-set, resent orders, tenants and keys, rollouts, snapshots."""

from __future__ import annotations

import json

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from springmux.control.commands import (
    AbortRollout,
    AnyCommand,
    ApplyConfiguration,
    Outcome,
    PauseRollout,
    PutTemplate,
    RemoveTenant,
    ResumeRollout,
    RevokeKey,
    SetClaimRing,
    UnknownCommandError,
    encode_command,
)
from springmux.control.decided_order_store import MAX_SYSTEM_ORDERS
from springmux.control.persistent_map import PersistentMap
from springmux.control.state import ControlState
from springmux.control.state_snapshot import UnreadableSnapshotError
from springmux.coordination.claims.ring import ClaimRing, RingMember
from springmux.coordination.identifiers import NodeId, Revision, ZoneName
from springmux.rollout.plan import RolloutPhase
from springmux.vocabulary.names import KeyId, OrderId, RolloutId, ServiceName, TenantName
from tests.unit.control.support import (
    DOCUMENT,
    Log,
    configure,
    configured,
    finish,
    promote,
    put_key,
    put_tenant,
    step,
)

TEXT = ServiceName("text")


def pause(order: str) -> PauseRollout:
    return PauseRollout(order=OrderId(order), service=TEXT)


def resume(order: str) -> ResumeRollout:
    return ResumeRollout(order=OrderId(order), service=TEXT)


def abort(order: str, rollout: str = "") -> AbortRollout:
    return AbortRollout(order=OrderId(order), service=TEXT, rollout=RolloutId(rollout))


def test_of_two_operators_with_the_same_next_version_one_wins_and_the_other_learns_of_it() -> None:
    log = configured()
    assert log.outcome(configure("first", 2, DOCUMENT)) is Outcome.ACCEPTED
    lost = log.run(configure("second", 2, {"services": {}}))
    assert lost.outcome is Outcome.CONFLICT
    assert lost.winner == {"version": 2, "order": "first", "issued_by": "operator"}
    assert set(log.state.view().configuration.services) == {"text", "pages"}


def test_a_version_that_skips_one_is_a_conflict() -> None:
    assert configured().outcome(configure("skip", 3, DOCUMENT)) is Outcome.CONFLICT


def test_a_patch_changes_only_what_it_names() -> None:
    log = configured()
    patch = {"limits": {"queue_length": 9}, "services": {"pages": None}}
    assert log.outcome(configure("p", 2, patch, partial=True)) is Outcome.ACCEPTED
    configuration = log.state.view().configuration
    assert (configuration.version, configuration.limits.queue_length) == (2, 9)
    assert list(configuration.services) == ["text"]
    document = log.state.configuration_document()
    assert document is not None and json.loads(document)["limits"] == {"queue_length": 9}


def test_an_invalid_document_changes_nothing_and_names_its_errors() -> None:
    log = configured()
    before = log.state.view().configuration
    result = log.run(configure("bad", 2, {"services": {"text": {}}, "x": 1}))
    assert result.outcome is Outcome.INVALID
    assert [error.path for error in result.errors] == ["x", "services.text.stable"]
    assert log.state.view().configuration is before
    assert log.state.check_configuration(b'{"x": 1}') != ()


def test_a_resent_order_gets_its_first_result_also_after_a_snapshot() -> None:
    log = configured()
    first = log.run(configure("again", 2, DOCUMENT))
    log.run(configure("next", 3, DOCUMENT))
    assert log.run(configure("again", 2, DOCUMENT)) == first
    restored = Log(ControlState())
    restored.state.restore(log.state.snapshot())
    restored.index = log.index
    assert restored.run(configure("again", 2, DOCUMENT)) == first
    assert restored.state.view().configuration.version == 3
    assert restored.state.result_of_order(OrderId("again")) == first


def test_an_order_id_used_for_another_command_is_a_conflict() -> None:
    log = configured()
    log.run(put_tenant("same"))
    assert log.outcome(put_tenant("same", tokens_per_s=99.0)) is Outcome.CONFLICT
    assert log.state.view().tenants[TenantName("acme")].tokens_per_s == 10.0
    assert log.state.recall(encode_command(put_tenant("same", tokens_per_s=99.0))) is not None


def test_a_promotion_resent_through_another_node_with_another_rollout_id_gets_the_first_result() -> None:
    log = configured()
    first = log.run(promote("go", rollout="made-here"))
    assert log.run(promote("go", rollout="made-there")) == first


def test_the_order_window_is_bounded_in_number_and_bytes() -> None:
    by_number = Log(ControlState(max_orders=5))
    by_bytes = Log(ControlState(max_order_bytes=600))
    for log in (by_number, by_bytes):
        for number in range(20):
            log.run(put_tenant(f"o{number}"))
        assert log.state.result_of_order(OrderId("o0")) is None
        assert log.state.result_of_order(OrderId("o19")) is not None
    assert by_number.state.result_of_order(OrderId("o15")) is not None
    assert by_number.state.result_of_order(OrderId("o14")) is None


def test_the_leaders_own_orders_are_bounded_and_evict_no_operators_order() -> None:
    log = Log(ControlState(max_orders=5))
    log.run(put_tenant("operator"))
    rings = [ClaimRing(version, ()) for version in range(1, MAX_SYSTEM_ORDERS + 2)]
    for ring in rings:
        log.run(SetClaimRing(order=OrderId(f"ring/{ring.version}"), issued_by="system", ring=ring))
    log.state.restore(log.state.snapshot())
    assert log.state.result_of_order(OrderId("operator")) is not None
    assert log.state.result_of_order(OrderId("ring/1")) is None
    assert log.state.result_of_order(OrderId("ring/2")) is not None


def test_an_index_applied_before_changes_nothing_and_an_unknown_command_raises() -> None:
    log = configured()
    revision = log.state.view().revision
    assert log.state.apply(revision, encode_command(put_tenant("t"))) is None
    with pytest.raises(UnknownCommandError):
        log.state.apply(Revision(revision + 5), b"\x81\xa4type\xa3New")
    assert log.state.view().revision == revision


def test_history_keeps_who_made_each_version_and_the_newest_documents() -> None:
    log = Log()
    for version in range(1, 251):
        log.run(configure(f"c{version}", version, {"limits": {"queue_length": version}}))
    history = log.state.configuration_history()
    assert [entry.version for entry in history] == list(range(51, 251))
    assert log.state.configuration_document(231) == b'{"limits":{"queue_length":231}}'
    assert log.state.configuration_document(230) is None


def test_a_document_parsed_in_advance_is_used_only_for_its_base_version() -> None:
    log = configured()
    patch = configure("p", 2, {"limits": {"queue_length": 9}}, partial=True)
    log.state.prepare(encode_command(patch))
    other = configure("other", 2, {"limits": {"queue_timeout_s": 3}}, partial=True)
    assert log.outcome(other) is Outcome.ACCEPTED
    late = configure("late", 3, {"limits": {"queue_length": 9}}, partial=True)
    assert log.outcome(late) is Outcome.ACCEPTED
    limits = log.state.view().configuration.limits
    assert (limits.queue_length, limits.queue_timeout_s) == (9, 3)


def test_keys_are_bound_to_their_tenant_and_revoked_with_it() -> None:
    log = configured()
    assert log.outcome(put_key("early")) is Outcome.INVALID
    log.run(put_tenant("t"))
    assert log.outcome(put_key("k")) is Outcome.ACCEPTED
    assert log.outcome(put_key("k again")) is Outcome.ACCEPTED
    assert log.outcome(put_key("other secret", secret="s2")) is Outcome.CONFLICT
    assert log.outcome(put_key("other id", key="k2")) is Outcome.CONFLICT
    earlier_view = log.state.view()
    assert log.outcome(RemoveTenant(order=OrderId("rm"), tenant=TenantName("acme"))) is Outcome.ACCEPTED
    (record,) = log.state.view().keys.values()
    assert record.revoked
    assert [record.revoked for record in earlier_view.keys.values()] == [False]
    log.run(put_tenant("t2"))
    assert log.outcome(put_key("k back")) is Outcome.CONFLICT


def test_a_revoked_key_stays_known_and_an_unknown_one_is_not_found() -> None:
    log = configured()
    log.run(put_tenant("t"))
    log.run(put_key("k"))
    assert log.outcome(RevokeKey(order=OrderId("r"), key=KeyId("k1"))) is Outcome.ACCEPTED
    assert log.outcome(RevokeKey(order=OrderId("r2"), key=KeyId("k9"))) is Outcome.NOT_FOUND
    assert next(iter(log.state.view().keys.values())).revoked


@pytest.mark.parametrize("name", ["", "a b", "x\n", "n" * 129])
def test_names_that_do_not_fit_a_url_are_invalid(name: str) -> None:
    assert Log().outcome(put_tenant("t", name=name)) is Outcome.INVALID


def test_a_template_must_be_a_json_object() -> None:
    log = Log()
    good = PutTemplate(order=OrderId("a"), name="weekly", document=b"{}")
    assert log.outcome(good) is Outcome.ACCEPTED
    assert log.outcome(PutTemplate(order=OrderId("b"), name="weekly", document=b"[]")) is Outcome.INVALID
    assert dict(log.state.view().templates) == {"weekly": b"{}"}


@pytest.mark.parametrize("depth", [33, 900, 5000])
def test_a_deeply_nested_document_is_invalid_on_every_node(depth: int) -> None:
    document = b'{"a":' * depth + b"1" + b"}" * depth
    template = PutTemplate(order=OrderId("t"), name="deep", document=document)
    assert Log().outcome(template) is Outcome.INVALID
    patch = ApplyConfiguration(order=OrderId("c"), version=1, document=document, partial=True)
    assert Log().outcome(patch) is Outcome.INVALID


def test_a_rollout_advances_step_by_step_and_its_candidate_becomes_stable() -> None:
    log = configured()
    assert log.outcome(promote("go")) is Outcome.ACCEPTED
    assert log.outcome(finish()) is Outcome.CONFLICT
    assert log.outcome(step(2, 1.0)) is Outcome.CONFLICT
    assert log.outcome(step(1, 0.01)) is Outcome.CONFLICT
    assert log.outcome(step(1, 0.5, rollout="r0")) is Outcome.CONFLICT
    assert log.outcome(step(1, 0.5)) is Outcome.ACCEPTED
    assert log.outcome(finish()) is Outcome.CONFLICT
    assert log.outcome(step(2, 1.0)) is Outcome.ACCEPTED
    assert log.outcome(step(3, 1.0)) is Outcome.CONFLICT
    assert log.outcome(step(3, 0.5)) is Outcome.CONFLICT
    assert log.state.view().stable_version(TEXT) == "v1"
    assert log.outcome(finish()) is Outcome.ACCEPTED
    assert log.state.view().stable_version(TEXT) == "v2"
    assert log.state.view().rollouts[TEXT].phase is RolloutPhase.DONE
    (ended,) = log.state.ended_rollouts(TEXT)
    assert ended.previous_stable == "v1"
    assert log.outcome(abort("late")) is Outcome.CONFLICT


def test_a_second_promotion_is_a_conflict_that_names_the_running_rollout() -> None:
    log = configured()
    log.run(promote("go"))
    lost = log.run(promote("go2", rollout="r2", candidate="v3"))
    assert lost.outcome is Outcome.CONFLICT
    assert lost.winner is not None and lost.winner["rollout"] == "r1"
    assert log.outcome(promote("pages", rollout="r3", service="pages", candidate="p2")) is Outcome.ACCEPTED


def test_a_promotion_of_the_stable_version_or_an_unknown_service_is_invalid() -> None:
    log = configured()
    assert log.run(promote("a", candidate="v1")).errors[0].path == "plan.candidate"
    assert log.run(promote("b", service="nothing")).errors[0].path == "plan.service"


def test_a_checkpoint_records_the_elapsed_time_without_raising_the_weight() -> None:
    log = configured()
    log.run(promote("go"))
    canary = log.state.view().rollouts[TEXT]
    checkpoint = msgspec.structs.replace(
        step(0, canary.weight), phase=RolloutPhase.CANARY, order=OrderId("r1/time/1"), elapsed_s=25.0
    )
    assert log.outcome(checkpoint) is Outcome.ACCEPTED
    record = log.state.view().rollouts[TEXT]
    assert (record.phase, record.weight, record.elapsed_s) == (RolloutPhase.CANARY, canary.weight, 25.0)
    log.run(msgspec.structs.replace(checkpoint, order=OrderId("r1/time/2"), elapsed_s=20.0))
    assert log.state.view().rollouts[TEXT].elapsed_s == 25.0
    raised = msgspec.structs.replace(checkpoint, step=1, order=OrderId("r1/up"), weight=0.5)
    assert log.outcome(raised) is Outcome.CONFLICT
    log.run(step(1, 0.5))
    back = msgspec.structs.replace(step(1, 0.5), phase=RolloutPhase.CANARY, order=OrderId("r1/back"))
    assert log.outcome(back) is Outcome.CONFLICT


def test_claim_rings_follow_one_another_and_survive_a_snapshot() -> None:
    def set_ring(version: int) -> SetClaimRing:
        ring = ClaimRing(version, (RingMember(NodeId("n1"), ZoneName("z1")),))
        return SetClaimRing(order=OrderId(f"ring/{version}"), issued_by="system", ring=ring)

    log = configured()
    assert log.outcome(set_ring(2)) is Outcome.CONFLICT
    assert log.outcome(set_ring(1)) is Outcome.ACCEPTED
    assert log.outcome(set_ring(2)) is Outcome.ACCEPTED
    restored = ControlState()
    restored.restore(log.state.snapshot())
    assert restored.view().claim_ring == log.state.view().claim_ring == set_ring(2).ring
    assert restored.snapshot() == log.state.snapshot()


def test_a_step_rejected_during_a_pause_is_accepted_after_it_under_the_same_order_id() -> None:
    log = configured()
    log.run(promote("go"))
    assert log.outcome(pause("p")) is Outcome.ACCEPTED
    assert log.state.view().rollouts[TEXT].phase is RolloutPhase.PAUSED
    assert log.outcome(step(1, 0.5)) is Outcome.CONFLICT
    assert log.outcome(resume("r")) is Outcome.ACCEPTED
    assert log.outcome(step(1, 0.5)) is Outcome.ACCEPTED
    assert log.outcome(step(1, 0.5)) is Outcome.ACCEPTED
    assert log.state.view().rollouts[TEXT].step == 1


def test_an_abort_is_terminal() -> None:
    log = configured()
    log.run(promote("go"))
    assert log.outcome(abort("other", "r9")) is Outcome.CONFLICT
    assert log.outcome(abort("a", "r1")) is Outcome.ACCEPTED
    record = log.state.view().rollouts[TEXT]
    assert (record.phase, record.weight, record.decision is not None) == (RolloutPhase.ABORTED, 0.0, True)
    for rejected in (pause("p"), resume("r"), step(1, 0.5), finish()):
        assert log.outcome(rejected) is Outcome.CONFLICT
    assert log.outcome(promote("reuse")) is Outcome.CONFLICT
    assert log.outcome(promote("new", rollout="r2")) is Outcome.ACCEPTED


def test_orders_for_a_service_without_a_rollout_are_not_found() -> None:
    log = configured()
    for order in (pause("p"), resume("r"), abort("a"), finish()):
        assert log.outcome(order) is Outcome.NOT_FOUND


def test_a_configuration_may_not_contradict_rollouts() -> None:
    log = configured()
    log.run(promote("go"))
    without = log.run(configure("c2", 2, {"services": {"pages": {"stable": "p1"}}}))
    assert [error.path for error in without.errors] == ["services.text"]
    for order in (step(1, 0.5), step(2, 1.0), finish()):
        log.run(order)
    assert log.outcome(configure("c3", 2, DOCUMENT)) is Outcome.ACCEPTED
    moved = {"services": {"text": {"stable": "v7"}, "pages": {"stable": "p1"}}}
    assert log.run(configure("c4", 3, moved)).errors[0].path == "services.text.stable"
    assert log.outcome(configure("c5", 3, {"services": {"pages": {"stable": "p1"}}})) is Outcome.ACCEPTED
    assert TEXT not in log.state.view().rollouts
    assert log.outcome(configure("c6", 4, moved)) is Outcome.ACCEPTED
    assert log.state.view().stable_version(TEXT) == "v7"


@pytest.mark.parametrize("data", [b"", b"SMCTL\x02", b"SMCTL\x01garbage"])
def test_an_unreadable_snapshot_changes_nothing(data: bytes) -> None:
    log = configured()
    before = log.state.snapshot()
    with pytest.raises(UnreadableSnapshotError):
        log.state.restore(data)
    assert log.state.snapshot() == before


names = st.sampled_from(["a", "b", "c"])
orders = st.integers(0, 30).map(lambda number: f"o{number}")
commands = st.one_of(
    st.builds(put_tenant, orders, names, st.floats(-1, 50)),
    st.builds(put_key, orders, names, names, names),
    st.builds(lambda o, n: RemoveTenant(order=OrderId(o), tenant=TenantName(n)), orders, names),
    st.builds(lambda o, n: RevokeKey(order=OrderId(o), key=KeyId(n)), orders, names),
    st.builds(
        configure, orders, st.integers(1, 5), st.sampled_from([DOCUMENT, {}, {"services": {"text": None}}])
    ),
    st.builds(promote, orders, names, st.sampled_from(["text", "pages"]), names),
    st.builds(step, st.integers(1, 2), st.sampled_from([0.01, 0.5, 1.0]), names),
    st.builds(finish, names),
    st.builds(pause, orders),
    st.builds(resume, orders),
    st.builds(abort, orders, st.sampled_from(["", "a", "b"])),
)


@settings(max_examples=150, derandomize=True, deadline=None)
@given(st.lists(commands, max_size=40), st.integers(0, 40))
def test_equal_logs_give_equal_bytes_with_and_without_an_intermediate_snapshot(
    sequence: list[AnyCommand], snapshot_at: int
) -> None:
    log = configured()
    intermediate_snapshot = b""
    for number, command in enumerate(sequence):
        if number == snapshot_at:
            intermediate_snapshot = log.state.snapshot()
        log.run(command)
    replayed, restored = ControlState(), ControlState()
    if intermediate_snapshot:
        restored.restore(intermediate_snapshot)
    for index, data in log.applied:
        replayed.apply(index, data)
        restored.apply(index, data)
    assert log.state.snapshot() == replayed.snapshot() == restored.snapshot()
    assert restored.view() == log.state.view()


def test_equal_states_give_equal_bytes_whatever_the_order_of_their_commands() -> None:
    log, other = Log(), Log()
    names = [f"t{number}" for number in range(2000)]
    for name, other_name in zip(names, reversed(names), strict=True):
        log.run(put_tenant("", name))
        log.run(put_key("", f"key-{name}", name, name))
        other.run(put_tenant("", other_name))
        other.run(put_key("", f"key-{other_name}", other_name, other_name))
    assert log.state.snapshot() == other.state.snapshot()


@settings(max_examples=100, derandomize=True, deadline=None)
@given(st.lists(st.tuples(st.booleans(), st.text(max_size=3), st.integers())))
def test_a_persistent_map_equals_a_dict_and_does_not_change_earlier_copies(
    changes: list[tuple[bool, str, int]],
) -> None:
    expected: dict[str, int] = {}
    copy: PersistentMap[str, int] = PersistentMap()
    earlier_maps = []
    for is_set, key, value in changes:
        earlier_maps.append((copy, dict(expected)))
        copy = copy.set(key, value) if is_set else copy.without(key)
        expected = {**expected, key: value} if is_set else {k: v for k, v in expected.items() if k != key}
    for earlier_map, content in [*earlier_maps, (copy, expected)]:
        assert dict(earlier_map) == content
        assert len(earlier_map) == len(content)
