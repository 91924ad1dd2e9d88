"""Forwarders during a rollout: credits bound the candidate's runs, and an abort ends them."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

import pytest

from springmux.gateway.versions import VersionSelection
from springmux.rollout.outcome import VersionChoice
from springmux.vocabulary.engines import EngineRecord
from springmux.vocabulary.names import RouteName, ServiceName, VersionName
from tests.unit.bad_days import gateway_rules as rules
from tests.unit.bad_days.gateway_fleet import SAFE, SETTLED_S, STREAM, V1, GatewayFleet
from tests.unit.bad_days.model_engines import Behaviour
from tests.unit.node.gateway.scripted_engines import play
from tests.unit.node.gateway.stand_ins import Chooser

V2 = VersionName("v2")
CANDIDATES = ("c0", "c1", "c2")
CREDIT_INTERVAL = 5
"""One request in this many gets a credit for the candidate."""
REQUESTS_PER_S = 80.0
ABORTED_AT, END = 5.0, 7.0
CONNECT_TIME_S = 0.3
"""Shorter than an attempt to connect."""
AFTER_TIMEOUT_S = 3.0


class CreditChooser(Chooser):
    """A fleet's version filter that counts the credits it grants, and grants none after the abort."""

    def __init__(self) -> None:
        super().__init__(VersionChoice((V1,)))
        self.requests = 0
        self.credits = 0
        self.aborted = False

    def choose(
        self, service: ServiceName, prefix_key: int, now: float, route: RouteName | None = None
    ) -> VersionChoice:
        self.requests += 1
        if self.aborted or self.requests % CREDIT_INTERVAL:
            return VersionChoice((V1,))
        self.credits += 1
        return VersionChoice((V2, V1), candidate=True)

    def recheck(self, service: ServiceName, version: VersionName, now: float) -> bool:
        return version != V2 or not self.aborted

    @property
    def spent(self) -> int:
        """Number of credits that weren't returned."""
        return self.credits - len(self.returned_credits)


def fleet_with_candidate(
    behaviour: Behaviour, unresponsive: Sequence[str] = (), unresponsive_at: float = 0.0
) -> tuple[GatewayFleet, CreditChooser]:
    """Run a fleet with a candidate that is aborted under load.

    :param behaviour: of the candidate's engines.
    :param unresponsive: candidate engines that accept no connection after ``unresponsive_at`` seconds.
    """
    fleets: list[GatewayFleet] = []
    chooser = CreditChooser()

    async def scenario() -> None:
        fleet = GatewayFleet(14, chooser=chooser)
        fleets.append(fleet)
        for name in CANDIDATES:
            engine = fleet.add_engine(name, behaviour, first_seen=-100.0, version=V2)
            if name in unresponsive:
                fleet.schedule(unresponsive_at, engine.stop_responding)
        fleet.generate_load(SETTLED_S, END, REQUESTS_PER_S, kinds=(SAFE, STREAM))
        fleet.schedule(ABORTED_AT, lambda: setattr(chooser, "aborted", True))
        await fleet.run(END + AFTER_TIMEOUT_S)

    play(scenario())
    return fleets[0], chooser


def candidate_runs(fleet: GatewayFleet, since: float = 0.0) -> int:
    return sum(
        run.engine in CANDIDATES and run.started_at - fleet.started_at > since
        for run in fleet.engine_client.runs
    )


def without_recheck(
    selection: VersionSelection, placement: Any, facts: Any, now: float
) -> EngineRecord | None:
    """Choose an engine of the versions chosen first, without checking the filter again."""
    return selection._choose(placement, selection._versions, facts, now)


LOST_RESPONSES = Behaviour(lost_response_share=0.5)


def test_a_candidate_that_loses_responses_runs_no_more_than_its_credits() -> None:
    fleet, chooser = fleet_with_candidate(LOST_RESPONSES)
    rules.check_safety(fleet)
    assert 10 < candidate_runs(fleet) <= chooser.spent
    assert rules.success_share(fleet, SETTLED_S, END) > 0.95


def test_checker_detects_a_retry_at_the_candidate_without_a_credit(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(
        VersionSelection, "record_sent", lambda selection, record: selection.excluded.add(record.engine)
    )
    fleet, chooser = fleet_with_candidate(LOST_RESPONSES)
    assert candidate_runs(fleet) > chooser.spent


def test_credits_of_an_unreachable_candidate_are_returned() -> None:
    fleet, chooser = fleet_with_candidate(Behaviour(), unresponsive=CANDIDATES)
    rules.check_safety(fleet)
    assert candidate_runs(fleet) == chooser.spent == 0
    assert chooser.credits > 10


def test_checker_detects_credits_that_are_not_returned(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(
        VersionSelection, "return_credit", lambda selection, now: setattr(selection, "_credit", False)
    )
    _, chooser = fleet_with_candidate(Behaviour(), unresponsive=CANDIDATES)
    assert chooser.spent > 0


def abort_while_connecting() -> int:
    """Make two candidate engines unresponsive just before the abort; return the candidate's runs after it."""
    fleet, _ = fleet_with_candidate(
        Behaviour(), unresponsive=CANDIDATES[:2], unresponsive_at=ABORTED_AT - CONNECT_TIME_S
    )
    rules.check_safety(fleet)
    times = [at - fleet.started_at for at, name in fleet.engine_client.attempts if name in CANDIDATES[:2]]
    assert any(ABORTED_AT - CONNECT_TIME_S < at < ABORTED_AT for at in times), "no attempt was connecting"
    return candidate_runs(fleet, since=ABORTED_AT)


def test_a_request_whose_connection_failed_does_not_reach_an_aborted_candidate() -> None:
    assert abort_while_connecting() == 0


def test_checker_detects_a_candidate_used_after_its_abort(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(VersionSelection, "next_engine", without_recheck)
    assert abort_while_connecting() > 0
