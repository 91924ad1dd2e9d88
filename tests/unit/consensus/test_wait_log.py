"""A replica without a group says what it waits for, but not more than once a second."""

from springmux.coordination.consensus.events import FoundingCandidates
from springmux.coordination.consensus.wait_log import LOG_PERIOD_S, REPEAT_PERIOD_S
from springmux.coordination.state_machine import LogLine, Tick
from tests.support.consensus_cluster import Cluster


def wait_lines(machine, times):
    """Tick a replica at ``times``; return the time and reason of each line."""
    lines = []
    for now in times:
        effects = machine.replica.handle(Tick(), now)
        lines += [(now, e.fields["reason"]) for e in effects if isinstance(e, LogLine)]
    return lines


def test_reason_is_logged_once_and_repeated_rarely():
    machine = Cluster(1, ("a",)).machines["a"]
    machine.replica.handle(FoundingCandidates((), established=False), 0.0)
    lines = wait_lines(machine, [step / 10 for step in range(1, 250)])
    assert {reason for _, reason in lines} == {"too few controllers that may found"}
    assert 2 <= len(lines) <= 1 + 25 / REPEAT_PERIOD_S


def test_changing_reasons_are_logged_once_a_period_at_most():
    cluster = Cluster(1, ("b",))
    machine = cluster.machines["b"]
    log = machine.replica._founding._wait_log
    for step in range(100):
        machine.replica._core.now = step / 10
        log.record(f"reason {step}")
    lines = [effect for effect in machine.replica._core.take_effects() if isinstance(effect, LogLine)]
    assert len(lines) == 10 / LOG_PERIOD_S
