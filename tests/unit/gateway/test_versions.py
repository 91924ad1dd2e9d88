"""Choice of a request's version, and use or return of its credit for the candidate."""

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
PROMPT = PromptMetadata()


class _Chooser:
    """Version filter that returns a fixed choice and records the returned credits."""

    def __init__(self, choice: VersionChoice, expired: frozenset[VersionName] = frozenset()) -> None:
        self._choice = choice
        self._expired = expired
        self.returned_credits: list[VersionName] = []

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
        raise AssertionError("a selection starts no watch")

    def overdue(self, watch: FirstTokenWatch, now: float) -> None:
        raise AssertionError("a selection starts no watch")

    def return_credit(self, service: ServiceName, version: VersionName, now: float) -> None:
        self.returned_credits.append(version)

    def recheck(self, service: ServiceName, version: VersionName, now: float) -> bool:
        return version not in self._expired

    def observe(self, outcome: PromptOutcome, now: float, watch: FirstTokenWatch | None = None) -> None:
        raise AssertionError("a selection records no outcome")


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


def test_a_sent_attempt_at_the_candidate_uses_the_credit() -> None:
    """Given a credit and a sent attempt that failed, the next attempt goes to the stable version."""
    chooser = _Chooser(CANDIDATE_FIRST)
    selection = VersionSelection(chooser, SERVICE, ROUTE, 1, 0.0)
    placement = _placement(OLD, OLD, NEW, NEW)
    first = selection.next_engine(placement, PROMPT, 0.0)
    assert first is not None and first.version == NEW
    selection.record_sent(first)
    second = selection.next_engine(placement, PROMPT, 0.0)
    assert second is not None and second.version == OLD
    selection.return_credit(0.0)
    assert chooser.returned_credits == []


def test_a_credit_is_given_back_if_the_candidate_has_no_engine() -> None:
    """Given a candidate without an engine, the credit is returned and the stable version serves."""
    chooser = _Chooser(CANDIDATE_FIRST)
    selection = VersionSelection(chooser, SERVICE, ROUTE, 1, 0.0)
    found = selection.next_engine(_placement(OLD), PROMPT, 0.0)
    assert found is not None and found.version == OLD
    assert chooser.returned_credits == [NEW]


def test_a_candidate_rejected_by_the_recheck_gets_no_request() -> None:
    """Given a recheck that rejects the candidate, as after an expired lease, its engines are not chosen."""
    chooser = _Chooser(CANDIDATE_FIRST, frozenset({NEW}))
    found = VersionSelection(chooser, SERVICE, ROUTE, 1, 0.0).next_engine(_placement(OLD, NEW), PROMPT, 0.0)
    assert found is not None and found.version == OLD


def test_no_engine_is_chosen_if_only_other_versions_have_engines() -> None:
    """Given only engines of a version that may not be used, no engine is chosen."""
    chooser = _Chooser(VersionChoice((OLD,)))
    assert VersionSelection(chooser, SERVICE, ROUTE, 1, 0.0).next_engine(_placement(NEW), PROMPT, 0.0) is None


def test_any_version_serves_while_there_is_no_rollout() -> None:
    """Given no versions from the filter, any engine of the service serves."""
    found = VersionSelection(_Chooser(VersionChoice(())), SERVICE, ROUTE, 1, 0.0).next_engine(
        _placement(NEW), PROMPT, 0.0
    )
    assert found is not None


def test_a_rollout_that_began_after_the_first_attempt_applies_to_the_retry() -> None:
    """Given a rollout that began before the retry, the retry goes to the stable version."""
    chooser = _Chooser(VersionChoice(()))
    selection = VersionSelection(chooser, SERVICE, ROUTE, 1, 0.0)
    placement = _placement(OLD, NEW, NEW, NEW)
    first = next(record for record in _records(placement) if record.version == NEW)
    selection.record_sent(first)
    chooser.change(CANDIDATE_FIRST)
    for _ in range(3):
        found = selection.next_engine(placement, PROMPT, 0.0)
        assert found is not None and found.version == OLD
    assert chooser.returned_credits == [NEW]


def _records(placement: Placement) -> list[EngineRecord]:
    found: list[EngineRecord] = []
    while True:
        tried = {record.engine for record in found}
        record = placement.choose(SERVICE, (), PROMPT, tried, 0.0)
        if record is None:
            return found
        found.append(record)
