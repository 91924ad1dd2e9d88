"""Forwarders beside a candidate version: credits bound its runs, and an abort ends them."""

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
EACH = 5
"""One request in so many has a credit for the candidate."""
PER_S = 80.0
ABORTED_AT, END = 5.0, 7.0
CONNECTING_S = 0.3
"""Less than an attempt to connect takes."""
AFTER_TIMEOUT_S = 3.0


class CreditChooser(Chooser):
    """A version filter of a fleet: counts the credits that it gives, and gives none after the abort."""

    def __init__(self) -> None:
        super().__init__(VersionChoice((V1,)))
        self.requests = 0
        self.credits = 0
        self.aborted = False

    def choose(
        self, service: ServiceName, prefix_key: int, now: float, route: RouteName | None = None
    ) -> VersionChoice:
        self.requests += 1
        if self.aborted or self.requests % EACH:
            return VersionChoice((V1,))
        self.credits += 1
        return VersionChoice((V2, V1), candidate=True)

    def recheck(self, service: ServiceName, version: VersionName, now: float) -> bool:
        return version != V2 or not self.aborted

    @property
    def spent(self) -> int:
        """Credits that weren't given back."""
        return self.credits - len(self.given_back)


def beside_a_candidate(
    behaviour: Behaviour, dark: Sequence[str] = (), dark_at: float = 0.0
) -> tuple[GatewayFleet, CreditChooser]:
    """The candidate's engines behave so, or some take no connection any more; an abort comes under load."""
    fleets: list[GatewayFleet] = []
    chooser = CreditChooser()

    async def story() -> None:
        fleet = GatewayFleet(14, chooser=chooser)
        fleets.append(fleet)
        for name in CANDIDATES:
            engine = fleet.add_engine(name, behaviour, first_seen=-100.0, version=V2)
            if name in dark:
                fleet.at(dark_at, engine.go_dark)
        fleet.press(SETTLED_S, END, PER_S, kinds=(SAFE, STREAM))
        fleet.at(ABORTED_AT, lambda: setattr(chooser, "aborted", True))
        await fleet.run(END + AFTER_TIMEOUT_S)

    play(story())
    return fleets[0], chooser


def candidate_runs(fleet: GatewayFleet, since: float = 0.0) -> int:
    return sum(run.engine in CANDIDATES and run.at - fleet.began > since for run in fleet.farm.runs)


def without_filter(
    selection: VersionSelection, placement: Any, facts: Any, now: float
) -> EngineRecord | None:
    """Choose an engine of the versions as they were at first, without asking the filter again."""
    return selection._choose(placement, selection._versions, facts, now)


LOSING = Behaviour(losing=0.5)


def test_a_candidate_runs_no_more_than_its_credits_though_it_loses_answers() -> None:
    fleet, chooser = beside_a_candidate(LOSING)
    rules.check_safety(fleet)
    assert 10 < candidate_runs(fleet) <= chooser.spent
    assert rules.served_share(fleet, SETTLED_S, END) > 0.95


def test_the_checker_sees_a_retry_at_the_candidate_without_a_credit(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(
        VersionSelection, "record_sent", lambda selection, record: selection.excluded.add(record.engine)
    )
    fleet, chooser = beside_a_candidate(LOSING)
    assert candidate_runs(fleet) > chooser.spent


def test_credits_of_a_candidate_that_takes_no_connection_are_given_back() -> None:
    fleet, chooser = beside_a_candidate(Behaviour(), dark=CANDIDATES)
    rules.check_safety(fleet)
    assert candidate_runs(fleet) == chooser.spent == 0
    assert chooser.credits > 10


def test_the_checker_sees_credits_that_are_kept(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(
        VersionSelection, "give_back", lambda selection, now: setattr(selection, "_credit", False)
    )
    _, chooser = beside_a_candidate(Behaviour(), dark=CANDIDATES)
    assert chooser.spent > 0


def abort_while_connecting() -> int:
    """Two engines of the candidate go dark just before the abort; return its runs after that."""
    fleet, _ = beside_a_candidate(Behaviour(), dark=CANDIDATES[:2], dark_at=ABORTED_AT - CONNECTING_S)
    rules.check_safety(fleet)
    times = [at - fleet.began for at, name in fleet.farm.tries if name in CANDIDATES[:2]]
    assert any(ABORTED_AT - CONNECTING_S < at < ABORTED_AT for at in times), "nothing was connecting"
    return candidate_runs(fleet, since=ABORTED_AT)


def test_a_request_that_found_no_connection_does_not_reach_an_aborted_candidate() -> None:
    assert abort_while_connecting() == 0


def test_the_checker_sees_a_candidate_in_use_after_its_abort(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(VersionSelection, "next_engine", without_filter)
    assert abort_while_connecting() > 0
