"""The soak's plan, configurations and checkers, without processes."""

from __future__ import annotations

import random
from pathlib import Path

import pytest

from springmux.control.commands import ApplyGateway, Outcome
from springmux.control.gateway_section import GatewaySection
from springmux.lab.soak.availability import MAX_REFUSAL_S
from springmux.lab.soak.configurations import (
    MOVING_PATH,
    SERVICES,
    UNKNOWN_KEY,
    UNKNOWN_ROUTE,
    Version,
    first_version,
    full_document,
    next_version,
    numbered_path,
    partial_document,
)
from springmux.lab.soak.consistency_checker import (
    CLOSE_RACE_S,
    IN_FORCE_S,
    REGRESSION_GRACE_S,
    ConsistencyChecker,
)
from springmux.lab.soak.engines import DRAIN_S, StandInEngine
from springmux.lab.soak.findings import Findings, Rule
from springmux.lab.soak.fleet import SoakFleet, SoakNode
from springmux.lab.soak.history import ConfigurationHistory
from springmux.lab.soak.http_connection import Response
from springmux.lab.soak.plan import (
    FIRST_STEPS_S,
    QUIET_S,
    SETTLE_S,
    SignalKind,
    SoakSize,
    make_first_steps,
    make_plan,
)
from springmux.vocabulary.names import OrderId

SIZE = SoakSize()
OLD_KEY, NEW_KEY = "key-1", "key-2"
FIRST = Version(1, {numbered_path(1): SERVICES[0], MOVING_PATH: SERVICES[0]}, (OLD_KEY,))
SECOND = Version(2, {**FIRST.routes, numbered_path(2): SERVICES[1], MOVING_PATH: SERVICES[1]}, (NEW_KEY,))


def test_a_seed_determines_the_steps() -> None:
    assert make_plan(7, SIZE) == make_plan(7, SIZE)
    assert make_plan(7, SIZE) != make_plan(8, SIZE)


def test_steps_are_ordered_and_lie_between_the_start_and_the_quiet_end() -> None:
    for seed in range(30):
        times = [step.at_s for step in make_plan(seed, SIZE)]
        assert times == sorted(times)
        assert times[0] >= SETTLE_S and times[-1] < SIZE.seconds - QUIET_S


def test_plans_of_some_seeds_send_every_signal_to_every_node() -> None:
    steps = [step for seed in range(30) for step in make_plan(seed, SIZE)]
    assert {step.kind for step in steps} == set(SignalKind)
    for kind in SignalKind:
        assert {step.node for step in steps if step.kind is kind} == set(range(SIZE.nodes))


def test_first_starts_are_struck_but_for_one_controller() -> None:
    plans = [make_first_steps(seed, SIZE) for seed in range(60)]
    assert make_first_steps(7, SIZE) == plans[7]
    killed = [{step.node for step in plan if step.kind is SignalKind.KILL} for plan in plans]
    assert {len(nodes) for nodes in killed} == {0, 1, 2}
    assert set().union(*killed) == set(range(SIZE.controllers))
    steps = [step for plan in plans for step in plan]
    assert {step.kind for step in steps} == {SignalKind.KILL, SignalKind.FREEZE}
    assert all(step.node < SIZE.controllers and step.at_s < FIRST_STEPS_S for step in steps)


def test_signals_overlap() -> None:
    """With most seeds a node gets a signal while another node is down or frozen."""
    overlapping = 0
    for seed in range(30):
        plan = make_plan(seed, SIZE)
        overlapping += any(
            first.node != second.node and first.at_s < second.at_s < first.at_s + first.for_s
            for first in plan
            for second in plan
        )
    assert overlapping > 25


def applied(section: GatewaySection, base: int, document: bytes, partial: bool) -> Outcome:
    order = OrderId(f"order-{base}")
    return section.apply(
        ApplyGateway(order=order, base_version=base, document=document, partial=partial)
    ).outcome


def test_a_partial_change_gives_the_same_configuration_as_the_full_document() -> None:
    source = random.Random(1)
    section = GatewaySection()
    version = first_version()
    assert applied(section, 0, full_document(version), False) is Outcome.ACCEPTED
    for _ in range(100):
        following = next_version(version, version.number, source)
        document = partial_document(version, following)
        assert applied(section, version.number, document, True) is Outcome.ACCEPTED
        full_section = GatewaySection()
        assert applied(full_section, 0, full_document(following), False) is Outcome.ACCEPTED
        partial_configuration, full_configuration = section.configuration, full_section.configuration
        assert set(partial_configuration.routes) == set(full_configuration.routes)
        assert partial_configuration.tenants == full_configuration.tenants
        version = following


def test_a_version_determines_the_outcome_of_a_request() -> None:
    assert SECOND.outcome(numbered_path(2), NEW_KEY) == SERVICES[1]
    assert SECOND.outcome(numbered_path(2), OLD_KEY) == UNKNOWN_KEY
    assert SECOND.outcome(numbered_path(3), NEW_KEY) == UNKNOWN_ROUTE


class CheckerHarness:
    """A checker of a fleet with one running node and two versions; the second was acknowledged at 10 s."""

    def __init__(self, tmp_path: Path, undisturbed: bool = True) -> None:
        self.findings = Findings()
        self.history = ConfigurationHistory()
        for version, at in ((FIRST, 0.0), (SECOND, 10.0)):
            self.history.record_sent(version, at).acknowledged_at = at
        nodes = SoakFleet(SoakSize(nodes=1, controllers=1), tmp_path, self.findings, random.Random(1))
        self.node: SoakNode = nodes.nodes[0]
        self.node.incarnation = 1
        nodes.is_undisturbed = lambda node, now: undisturbed  # type: ignore[method-assign]
        self.checker = ConsistencyChecker(self.history, nodes, self.findings)

    def respond(self, path: str, key: str, at: float, status: int, body: bytes = b"") -> list[Rule]:
        request = self.checker.record_sent(f"request-{at}", self.node, path, key, at)
        self.checker.check_response(request, Response(status, {}, body), at + 0.01)
        return [finding.rule for finding in self.findings.found]


LATE_S = 10.0 + IN_FORCE_S + 0.1


@pytest.mark.parametrize(
    ("path", "key", "status", "body"),
    [
        (numbered_path(2), NEW_KEY, 404, b""),
        (numbered_path(1), NEW_KEY, 401, b""),
        (numbered_path(1), OLD_KEY, 200, SERVICES[0].encode()),
        (MOVING_PATH, NEW_KEY, 200, SERVICES[0].encode()),
    ],
    ids=["a new route", "a new key", "a removed key", "a moved route"],
)
def test_a_response_by_an_older_version_is_found_when_the_newer_one_is_due(
    path: str, key: str, status: int, body: bytes, tmp_path: Path
) -> None:
    assert CheckerHarness(tmp_path).respond(path, key, LATE_S, status, body) == [Rule.NEWEST]


def test_an_older_version_is_allowed_until_the_newer_one_is_due_and_at_disturbed_nodes(
    tmp_path: Path,
) -> None:
    old = (numbered_path(1), OLD_KEY, 200, SERVICES[0].encode())
    path, key, status, body = old
    assert CheckerHarness(tmp_path).respond(path, key, 10.0 + IN_FORCE_S - 0.1, status, body) == []
    assert CheckerHarness(tmp_path, undisturbed=False).respond(path, key, LATE_S, status, body) == []


def test_a_node_may_not_return_to_an_older_version(tmp_path: Path) -> None:
    harness = CheckerHarness(tmp_path, undisturbed=False)
    assert harness.respond(MOVING_PATH, NEW_KEY, 10.5, 200, SERVICES[1].encode()) == []
    assert harness.respond(MOVING_PATH, OLD_KEY, 10.6, 200, SERVICES[0].encode()) == []
    later = 10.5 + REGRESSION_GRACE_S + 0.1
    assert harness.respond(MOVING_PATH, OLD_KEY, later, 200, SERVICES[0].encode()) == [Rule.NO_REGRESSION]


def test_a_new_incarnation_may_begin_with_an_older_version(tmp_path: Path) -> None:
    harness = CheckerHarness(tmp_path, undisturbed=False)
    harness.respond(MOVING_PATH, NEW_KEY, 10.5, 200, SERVICES[1].encode())
    harness.node.incarnation = 2
    assert harness.respond(MOVING_PATH, OLD_KEY, 12.0, 200, SERVICES[0].encode()) == []


def test_a_missing_response_is_found_unless_the_node_has_a_new_incarnation(tmp_path: Path) -> None:
    harness = CheckerHarness(tmp_path)
    request = harness.checker.record_sent("request", harness.node, MOVING_PATH, NEW_KEY, 11.0)
    harness.checker.check_missing_response(request, 0, 11.0 + CLOSE_RACE_S / 2)
    assert not harness.findings.found
    harness.checker.check_missing_response(request, 1, 11.0 + CLOSE_RACE_S / 2)
    harness.checker.check_missing_response(request, 0, 11.0 + 2 * CLOSE_RACE_S)
    assert [finding.rule for finding in harness.findings.found] == [Rule.ANSWERED] * 2
    harness.node.incarnation = 2
    harness.checker.check_missing_response(request, 1, 12.0)
    assert len(harness.findings.found) == 2


ENGINE_STOPPED_AT = 11.0


def runs_at_a_stopped_engine(harness: CheckerHarness, sent_at: float, run_at: float) -> list[Rule]:
    """Let an engine run a request after its stop was acknowledged; return the broken rules."""
    engine = StandInEngine("first-1", "first", [], random.Random(1), lambda engine, request_id: None)
    engine.stop_acknowledged_at = ENGINE_STOPPED_AT
    harness.checker.record_sent("request", harness.node, MOVING_PATH, NEW_KEY, sent_at)
    harness.checker.check_run(engine, "request", run_at)
    return [finding.rule for finding in harness.findings.found]


def test_a_request_at_a_stopped_engine_is_found_unless_it_is_early_or_its_node_disturbed(
    tmp_path: Path,
) -> None:
    last = ENGINE_STOPPED_AT + DRAIN_S
    assert runs_at_a_stopped_engine(CheckerHarness(tmp_path), last, last + 0.01) == [Rule.DRAINED]
    assert runs_at_a_stopped_engine(CheckerHarness(tmp_path), last - 0.1, last - 0.05) == []
    disturbed = CheckerHarness(tmp_path, undisturbed=False)
    assert runs_at_a_stopped_engine(disturbed, last, last + 0.01) == []
    stopping = CheckerHarness(tmp_path)
    stopping.node.stopping = True
    assert runs_at_a_stopped_engine(stopping, last, last + 0.01) == []


def test_refused_requests_are_recorded_to_check_that_none_ran(tmp_path: Path) -> None:
    harness = CheckerHarness(tmp_path)
    harness.respond(MOVING_PATH, NEW_KEY, 11.0, 503)
    assert harness.checker.refused == ["request-11.0"]


def refusals(
    harness: CheckerHarness, begin: float, end: float, status: int = 503, step_s: float = 0.1
) -> list[Rule]:
    """Let the node respond to a valid request with ``status`` every ``step_s``; return the broken rules."""
    at = begin
    found: list[Rule] = []
    while at < end:
        found = harness.respond(numbered_path(1), NEW_KEY, at, status)
        at += step_s
    return found


@pytest.mark.parametrize("status", [429, 500, 502, 503])
def test_an_undisturbed_node_that_refuses_all_requests_is_found_once(tmp_path: Path, status: int) -> None:
    begin = LATE_S + 1.0
    assert refusals(CheckerHarness(tmp_path), begin, begin + 3 * MAX_REFUSAL_S, status) == [Rule.AVAILABLE]


def test_a_node_that_serves_some_requests_is_not_found(tmp_path: Path) -> None:
    harness = CheckerHarness(tmp_path)
    at = LATE_S + 1.0
    for _ in range(10):
        assert refusals(harness, at, at + 0.8 * MAX_REFUSAL_S) == []
        at += 0.8 * MAX_REFUSAL_S
        body = SERVICES[0].encode()
        assert harness.respond(numbered_path(1), NEW_KEY, at, 200, body) == []
        at += 0.1


def test_disturbed_and_stopping_nodes_may_refuse_and_invalid_requests_may_be_refused(tmp_path: Path) -> None:
    begin = LATE_S + 1.0
    assert refusals(CheckerHarness(tmp_path, undisturbed=False), begin, begin + 3 * MAX_REFUSAL_S) == []
    stopping = CheckerHarness(tmp_path)
    stopping.node.stopping = True
    assert refusals(stopping, begin, begin + 3 * MAX_REFUSAL_S) == []
    harness = CheckerHarness(tmp_path)
    for number in range(100):
        assert harness.respond(numbered_path(1), OLD_KEY, begin + number / 10, 503) == []


def test_an_undisturbed_node_that_accepts_no_connection_is_found(tmp_path: Path) -> None:
    harness = CheckerHarness(tmp_path)
    for number in range(100):
        harness.checker.check_unreachable(harness.node, 20.0 + number / 10)
    assert [finding.rule for finding in harness.findings.found] == [Rule.AVAILABLE]
