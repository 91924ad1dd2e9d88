"""Which version a request goes to, and what becomes of its credit."""

from __future__ import annotations

import random

from springmux.coordination.identifiers import Address
from springmux.gateway.placement import Placement, PromptMetadata
from springmux.gateway.versions import VersionSelection
from springmux.rollout.outcome import FirstTokenWatch, PromptOutcome, VersionChoice
from springmux.vocabulary.engines import EngineRecord, EnginesView
from springmux.vocabulary.names import EngineId, RouteName, ServiceName, VersionName

SERVICE = ServiceName("text")
ROUTE = RouteName("draft")
OLD, NEW = VersionName("v1"), VersionName("v2")
FACTS = PromptMetadata()


class _Chooser:
    """A version filter that gives one choice and notes what comes back."""

    def __init__(self, choice: VersionChoice, lapsed: frozenset[VersionName] = frozenset()) -> None:
        self._choice = choice
        self._lapsed = lapsed
        self.given_back: list[VersionName] = []

    def change(self, choice: VersionChoice) -> None:
        self._choice = choice

    def choose(
        self, service: ServiceName, prefix_key: int, now: float, route: RouteName | None = None
    ) -> VersionChoice:
        assert route == ROUTE
        return self._choice

    def watch(
        self, service: ServiceName, route: RouteName, prompt_bytes: int, expected_hit: float, now: float
    ) -> FirstTokenWatch | None:
        raise AssertionError("a selection watches nothing")

    def overdue(self, watch: FirstTokenWatch, now: float) -> None:
        raise AssertionError("a selection watches nothing")

    def give_back(self, service: ServiceName, version: VersionName, now: float) -> None:
        self.given_back.append(version)

    def recheck(self, service: ServiceName, version: VersionName, now: float) -> bool:
        return version not in self._lapsed

    def observe(self, outcome: PromptOutcome, now: float, watch: FirstTokenWatch | None = None) -> None:
        raise AssertionError("a selection observes nothing")


def _placement(*versions: VersionName) -> Placement:
    records = {
        EngineId(f"e{number}"): EngineRecord(
            EngineId(f"e{number}"), SERVICE, version, Address(f"127.0.0.1:{9000 + number}"), 8, 1
        )
        for number, version in enumerate(versions)
    }
    placement = Placement("north", random.Random(1))
    placement.update_engines(EnginesView(records, dict.fromkeys(records, -100.0), {}), 0.0)
    return placement


CANDIDATE_FIRST = VersionChoice((NEW, OLD), candidate=True, engines_limit=1)


def test_a_candidate_is_tried_once_and_pays_with_its_credit() -> None:
    """Given a credit and a sent attempt that failed, the next goes to the released version."""
    chooser = _Chooser(CANDIDATE_FIRST)
    selection = VersionSelection(chooser, SERVICE, ROUTE, 1, 0.0)
    placement = _placement(OLD, OLD, NEW, NEW)
    first = selection.next_engine(placement, FACTS, 0.0)
    assert first is not None and first.version == NEW
    selection.record_sent(first)
    second = selection.next_engine(placement, FACTS, 0.0)
    assert second is not None and second.version == OLD
    selection.give_back(0.0)
    assert chooser.given_back == []


def test_an_unused_credit_is_given_back() -> None:
    """Given a candidate without an engine, the credit returns and the released version serves."""
    chooser = _Chooser(CANDIDATE_FIRST)
    selection = VersionSelection(chooser, SERVICE, ROUTE, 1, 0.0)
    found = selection.next_engine(_placement(OLD), FACTS, 0.0)
    assert found is not None and found.version == OLD
    assert chooser.given_back == [NEW]


def test_a_lease_that_lapsed_meanwhile_sends_nothing_to_the_candidate() -> None:
    """Given a recheck that refuses the candidate, its engines are not chosen."""
    chooser = _Chooser(CANDIDATE_FIRST, frozenset({NEW}))
    found = VersionSelection(chooser, SERVICE, ROUTE, 1, 0.0).next_engine(_placement(OLD, NEW), FACTS, 0.0)
    assert found is not None and found.version == OLD


def test_a_withdrawn_version_is_no_way_out() -> None:
    """Given only engines of a version that may not be used, there is none."""
    chooser = _Chooser(VersionChoice((OLD,)))
    assert VersionSelection(chooser, SERVICE, ROUTE, 1, 0.0).next_engine(_placement(NEW), FACTS, 0.0) is None


def test_a_service_without_a_rollout_takes_any_version() -> None:
    """Given no versions from the filter, any engine of the service serves."""
    found = VersionSelection(_Chooser(VersionChoice(())), SERVICE, ROUTE, 1, 0.0).next_engine(
        _placement(NEW), FACTS, 0.0
    )
    assert found is not None


def test_a_rollout_that_began_since_the_first_attempt_binds_the_retry() -> None:
    """Given no rollout at first and one by the retry, the retry goes to the released version."""
    chooser = _Chooser(VersionChoice(()))
    selection = VersionSelection(chooser, SERVICE, ROUTE, 1, 0.0)
    placement = _placement(OLD, NEW, NEW, NEW)
    first = next(record for record in _records(placement) if record.version == NEW)
    selection.record_sent(first)
    chooser.change(CANDIDATE_FIRST)
    for _ in range(3):
        found = selection.next_engine(placement, FACTS, 0.0)
        assert found is not None and found.version == OLD
    assert chooser.given_back == [NEW]


def _records(placement: Placement) -> list[EngineRecord]:
    found: list[EngineRecord] = []
    while True:
        tried = {record.engine for record in found}
        record = placement.choose(SERVICE, (), FACTS, tried, 0.0)
        if record is None:
            return found
        found.append(record)
