"""Each test breaks one rule of the product by a mutation, which the checker of that rule must detect."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from springmux.agent.readiness import Readiness
from springmux.control.configuration_section import ConfigurationSection
from springmux.control.order_window import OrderWindow
from springmux.coordination.claims.decision import ClaimDecision, ClaimVerdict
from springmux.coordination.consensus.replication import Replication
from springmux.coordination.membership.contact_monitor import ContactMonitor
from springmux.coordination.quota.quota_allocator import QuotaAllocator
from springmux.coordination.retry_budget import RetryBudget
from springmux.rollout import step_proposer
from springmux.rollout.judgement.judge import Judge, Verdict
from springmux.rollout.planning import schedule
from springmux.rollout.version_filter import ServiceGate
from springmux.router.engine_table import EngineTable
from springmux.router.events import ClaimDecided
from springmux.router.exchange import Exchange
from springmux.router.flow import RequestFlow
from springmux.router.response_check import ResponseChecker
from springmux.router.retry_policy import RetryPolicy
from springmux.router.stream_check import StreamChecker
from springmux.simulation import run as run_module
from springmux.simulation.engine_model import VersionBehaviour
from springmux.simulation.scenario_faults import EngineReplaced
from springmux.simulation.world.faults import CutNode, Heal, Kill, PowerCut, Restart
from springmux.storage.memory_disk import MemoryFile
from springmux.vocabulary.errors import Fate
from unit.simulation.support import SMALL, small_run, violated_rules

NODES = ("fell-1", "lake-1", "town-1")


@pytest.fixture
def patch(monkeypatch: pytest.MonkeyPatch) -> pytest.MonkeyPatch:
    """Return ``monkeypatch``, which reverts the mutations after the test."""
    return monkeypatch


def test_a_claim_granted_twice_is_detected(patch: pytest.MonkeyPatch) -> None:
    original = RequestFlow._handle_claim_decision
    granted = ClaimDecided(ClaimDecision(ClaimVerdict.GRANTED))
    patch.setattr(
        RequestFlow, "_handle_claim_decision", lambda flow, event, now: original(flow, granted, now)
    )
    assert "at most once" in violated_rules(small_run())


def test_a_rejection_after_sending_is_detected(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Exchange, "fate", lambda exchange: Fate.REFUSED)
    assert "never after a refusal" in violated_rules(small_run(seed=2))
    assert "never after a refusal" in violated_rules(small_run(seed=3))


def test_a_truncated_response_is_detected(patch: pytest.MonkeyPatch) -> None:
    end = ResponseChecker.end

    def drop_last_byte(checker: ResponseChecker) -> None:
        end(checker)
        checker.body = checker.body[:-1]

    patch.setattr(ResponseChecker, "end", drop_last_byte)
    assert "whole and own answer" in violated_rules(small_run())


def test_the_response_to_another_action_is_detected(patch: pytest.MonkeyPatch) -> None:
    end = ResponseChecker.end
    bodies = [b""]

    def swap(checker: ResponseChecker) -> None:
        end(checker)
        bodies.append(checker.body)
        checker.body = bodies[-2] or checker.body

    patch.setattr(ResponseChecker, "end", swap)
    assert "whole and own answer" in violated_rules(small_run())


def test_a_retry_after_forwarded_bytes_is_detected(patch: pytest.MonkeyPatch) -> None:
    after_sent = RetryPolicy.after_sent
    patch.setattr(RetryPolicy, "after_sent", lambda policy, answered, now: after_sent(policy, False, now))
    # With this seed an engine breaks off after its first chunk was sent to the client.
    assert "stream" in violated_rules(small_run("cuts", seed=4))


def test_a_stream_ended_too_early_is_detected(patch: pytest.MonkeyPatch) -> None:
    check = StreamChecker._check_payload

    def finish_early(checker: StreamChecker, payload: bytes) -> bool:
        passed = check(checker, payload)
        checker.finished = checker.finished or checker.chunk_count >= 2
        return passed

    patch.setattr(StreamChecker, "_check_payload", finish_early)
    assert "stream" in violated_rules(small_run())


def _without_ledger(patch: pytest.MonkeyPatch) -> None:
    def accept_anything(gate: ServiceGate, granted: int) -> None:
        gate.available = 1_000_000

    patch.setattr(ServiceGate, "accept_granted", accept_anything)


def _without_judge(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Judge, "judge", lambda judge, evidence: Verdict(False, False, None))


def test_a_missing_exposure_ledger_is_detected(patch: pytest.MonkeyPatch) -> None:
    _without_ledger(patch)
    _without_judge(patch)
    assert "exposure" in violated_rules(small_run("errors"))


def test_a_missing_judge_is_detected(patch: pytest.MonkeyPatch) -> None:
    """Sends all prompts to the bad candidate, so that it gives fifty bad responses well before the end."""
    renew = ServiceGate.renew
    patch.setattr(ServiceGate, "renew", lambda gate, weight, *rest: renew(gate, 1.0, *rest))
    _without_ledger(patch)
    _without_judge(patch)
    assert "rollback time" in violated_rules(small_run("errors"))


def test_a_rollout_without_steps_is_detected(patch: pytest.MonkeyPatch) -> None:
    def never_step(plan: Any, progress: Any) -> schedule.NextStep:
        return schedule.NextStep(schedule.StepKind.WAIT, reason="mutation")

    patch.setattr(step_proposer, "next_step", never_step)
    assert "good rollout done" in violated_rules(small_run())


def test_an_unchanged_stable_version_at_the_end_is_detected(patch: pytest.MonkeyPatch) -> None:
    release = ServiceGate.release
    patch.setattr(ServiceGate, "release", lambda gate, stable: release(gate, gate.stable))
    assert "end of a rollout" in violated_rules(small_run())


def test_a_partitioned_node_that_serves_is_detected(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(ContactMonitor, "connected", lambda contact, now: True)
    faults = [CutNode(at=13.0, node="town-1"), Heal(at=23.0)]
    assert "in force" in violated_rules(small_run(faults=faults))


def test_a_node_ready_before_it_has_the_newest_state_is_detected(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Readiness, "_find_reason", lambda readiness, *given: "")
    patch.setattr(ContactMonitor, "connected", lambda contact, now: True)
    faults = [
        Kill(at=16.0, node="town-1"),
        Restart(at=18.0, node="town-1"),
        CutNode(at=17.9, node="town-1"),
        Heal(at=22.0),
    ]
    assert "in force" in violated_rules(small_run(faults=faults))


def test_an_unchecked_version_number_is_detected(patch: pytest.MonkeyPatch) -> None:
    apply = ConfigurationSection.apply

    def apply_any(section: ConfigurationSection, command: Any, revision: Any, claims: Any) -> Any:
        present = section.current.configuration.version
        if command.version == present:
            command = msgspec.structs.replace(command, version=present + 1)
        return apply(section, command, revision, claims)

    patch.setattr(ConfigurationSection, "apply", apply_any)
    assert "one winner" in violated_rules(small_run())


def test_a_resent_order_decided_again_is_detected(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(OrderWindow, "find", lambda window, order: None)
    assert "same answer again" in violated_rules(small_run())


def test_dispatches_to_draining_engines_are_detected(patch: pytest.MonkeyPatch) -> None:
    original = EngineTable._apply_records

    def all_usable(table: EngineTable, view: Any) -> None:
        original(table, view)
        for slot in table.slots.values():
            slot.usable = True

    patch.setattr(EngineTable, "_apply_records", all_usable)
    faults = [EngineReplaced(at=14.0, version="v1", index=0, grace_s=4.0)]
    assert "drain" in violated_rules(small_run(faults=faults))


def test_an_ignored_quota_is_detected(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(QuotaAllocator, "reserve", lambda quota, account, amount, *rest: True)
    assert "quota" in violated_rules(_run_with_surging_tenant())


def test_a_quota_granted_by_half_is_detected(patch: pytest.MonkeyPatch) -> None:
    reserve = QuotaAllocator.reserve
    patch.setattr(
        QuotaAllocator,
        "reserve",
        lambda quota, account, amount, *rest: reserve(quota, account, 2.0 * amount, *rest),
    )
    assert "quota" in violated_rules(_run_with_surging_tenant())


def _run_with_surging_tenant() -> Any:
    return small_run(
        surging_tenant=2, settings=msgspec.structs.replace(SMALL, faults_s=36.0, traffic_share=0.3)
    )


def test_an_ignored_retry_budget_is_detected(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(RetryBudget, "try_acquire", lambda budget, now: True)
    patch.setattr(run_module, "GOOD", VersionBehaviour(error_share=0.5))
    assert "repeats" in violated_rules(small_run())


def test_a_disk_that_acknowledges_without_syncing_is_detected(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(MemoryFile, "fsync", lambda file: None)
    faults = [PowerCut(at=20.0, node=node) for node in NODES] + [
        Restart(at=21.0, node=node) for node in NODES
    ]
    assert "durability" in violated_rules(small_run(faults=faults))


def test_a_commit_without_a_majority_is_detected(patch: pytest.MonkeyPatch) -> None:
    def commit_own(replication: Replication) -> None:
        core = replication._core
        if core.leadership is not None:
            core.commit_index = max(core.commit_index, core.log.last_index)

    patch.setattr(Replication, "advance_commit", commit_own)
    run = small_run()
    scheduler, world = run.fleet.world.scheduler, run.fleet.world

    def order_at_partitioned_leader() -> None:
        leader = run.fleet.leader()
        assert leader is not None
        world.apply(CutNode(at=world.now, node=leader))
        run.operators.order(run.operators._configuration(partial=True), leader)
        scheduler.after(4.0, lambda: world.apply(Heal(at=world.now)))

    scheduler.at(16.0, order_at_partitioned_leader)
    assert violated_rules(run) & {"committed prefix", "durability", "one winner", "same answer again"}
