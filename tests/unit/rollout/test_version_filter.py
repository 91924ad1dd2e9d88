"""The version filter's choices for single prompts."""

from __future__ import annotations

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from springmux.coordination.identifiers import NodeId, ZoneName
from springmux.rollout.outcome import PromptOutcome
from springmux.rollout.participant import Participant
from springmux.rollout.version_filter import LEASE_S, NO_VERSIONS, ServiceGate, VersionFilter
from springmux.vocabulary.names import RolloutId, ServiceName, VersionName
from tests.unit.rollout.virtual_fleet import CANDIDATE, SERVICE, STABLE, record_of


def filter_with_rollout(weight: float, credits: int, now: float = 0.0) -> VersionFilter:
    chooser = VersionFilter()
    gate = chooser.gates[SERVICE] = ServiceGate(STABLE)
    Participant(NodeId("n"), ZoneName("z"), record_of(), gate, random.Random(1), now)
    gate.renew(weight, 2, now)
    gate.accept_granted(credits)
    return chooser


def test_unknown_service_has_no_versions() -> None:
    assert VersionFilter().choose(ServiceName("nope"), 1, 0.0) == NO_VERSIONS


def test_without_a_rollout_every_prompt_is_counted_and_gets_the_stable_version() -> None:
    chooser = VersionFilter()
    chooser.gates[SERVICE] = ServiceGate(STABLE)
    assert chooser.choose(SERVICE, 1, 0.0).versions == (STABLE,)
    assert chooser.gates[SERVICE].prompts == 1


def test_each_candidate_prompt_spends_one_credit_until_none_is_left() -> None:
    chooser = filter_with_rollout(weight=1.0, credits=2)
    choices = [chooser.choose(SERVICE, key, 0.0) for key in range(4)]
    assert [choice.candidate for choice in choices] == [True, True, False, False]
    assert choices[0].versions == (CANDIDATE, STABLE)
    assert choices[0].engines_limit == 2
    assert chooser.gates[SERVICE].account(1, 0, 1).committed == 2


def test_a_given_back_credit_no_longer_counts_as_committed() -> None:
    chooser = filter_with_rollout(weight=1.0, credits=2)
    chooser.choose(SERVICE, 1, 0.0)
    chooser.return_credit(SERVICE, CANDIDATE, 0.0)
    account = chooser.gates[SERVICE].account(1, 0, 1)
    assert (account.committed, account.sent, account.outstanding) == (1, 0, 1)


def test_an_expired_lease_allows_only_the_stable_version_in_choose_and_recheck() -> None:
    chooser = filter_with_rollout(weight=1.0, credits=5)
    assert chooser.choose(SERVICE, 1, LEASE_S).candidate
    assert chooser.recheck(SERVICE, CANDIDATE, LEASE_S)
    late = LEASE_S + 0.001
    assert chooser.choose(SERVICE, 1, late).versions == (STABLE,)
    assert not chooser.recheck(SERVICE, CANDIDATE, late)
    assert chooser.recheck(SERVICE, STABLE, late)


def test_credits_of_an_expired_lease_are_not_spent_under_the_next_one() -> None:
    chooser = filter_with_rollout(weight=1.0, credits=5)
    gate = chooser.gates[SERVICE]
    gate.expire_credits(LEASE_S + 1)
    gate.accept_granted(5)
    gate.renew(1.0, 0, LEASE_S + 1)
    assert chooser.choose(SERVICE, 1, LEASE_S + 1).versions == (STABLE,)
    assert gate.account(1, 0, 1).committed == 0


def test_the_candidate_serves_without_a_lease_where_no_stable_engine_is_left() -> None:
    chooser = filter_with_rollout(weight=1.0, credits=0)
    gate = chooser.gates[SERVICE]
    gate.set_default_choice(True)
    late = LEASE_S + 1
    assert chooser.choose(SERVICE, 1, late).versions == (STABLE, CANDIDATE)
    assert chooser.recheck(SERVICE, CANDIDATE, late)


def test_a_prompt_that_chose_the_candidate_is_not_sent_to_it_after_the_committed_abort() -> None:
    chooser = filter_with_rollout(weight=1.0, credits=1)
    assert chooser.choose(SERVICE, 1, 0.0).candidate
    gate = chooser.gates[SERVICE]
    gate.release(STABLE)
    assert not chooser.recheck(SERVICE, CANDIDATE, 0.1)
    gate.begin(RolloutId("next"), VersionName("v3"), 0, IgnoringSink())
    assert not chooser.recheck(SERVICE, CANDIDATE, 0.1)
    gate.release(CANDIDATE)
    assert chooser.recheck(SERVICE, CANDIDATE, 0.1)


class IgnoringSink:
    def record(self, outcome: PromptOutcome, now: float) -> None: ...


@settings(derandomize=True, max_examples=50)
@given(st.integers(0, 2**64 - 1), st.floats(0.0, 1.0), st.floats(0.0, 1.0))
def test_a_prefix_sent_to_the_candidate_stays_there_as_the_weight_grows(
    key: int, first: float, second: float
) -> None:
    low, high = sorted((first, second))
    if filter_with_rollout(low, 1).choose(SERVICE, key, 0.0).candidate:
        assert filter_with_rollout(high, 1).choose(SERVICE, key, 0.0).candidate


def test_the_share_of_prefixes_sent_to_the_candidate_equals_the_weight() -> None:
    chooser = filter_with_rollout(weight=0.2, credits=10_000)
    rng = random.Random(4)
    candidate_prompts = sum(
        chooser.choose(SERVICE, rng.getrandbits(64), 0.0).candidate for _ in range(10_000)
    )
    assert 1850 < candidate_prompts < 2150
