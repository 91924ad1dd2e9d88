"""Timeouts of attempts at busy and unresponsive engines, and the retry reserved before a cancellation."""

from __future__ import annotations

import pytest

from springmux.control.gateway_configuration import Backend, GatewayRoute, GatewayRouteKind
from springmux.coordination.retry_budget import RetryBudget
from springmux.gateway.attempt_timeouts import AttemptTimeouts
from springmux.gateway.attempts import AttemptEnd, AttemptRules
from springmux.vocabulary.names import RouteName, ServiceName

ROUTE = GatewayRoute(
    name=RouteName("caption"),
    host="a.example",
    path_prefix="/",
    kind=GatewayRouteKind.STREAM,
    backends=(Backend(ServiceName("s"), 1.0),),
    target_ms=500.0,
    gap_target_ms=400.0,
    max_attempts=2,
    resumable=True,
)


@pytest.mark.parametrize(
    ("elapsed_s", "first", "unresponsive", "over"),
    [
        (0.29, True, True, False),
        (0.31, True, True, True),
        (0.31, True, False, False),
        (0.99, True, False, False),
        (1.01, True, False, True),
        (0.79, False, True, False),
        (0.81, False, True, True),
        (0.81, False, False, False),
        (2.41, False, False, True),
    ],
)
def test_an_unresponsive_engine_times_out_sooner_than_a_busy_one(
    elapsed_s: float, first: bool, unresponsive: bool, over: bool
) -> None:
    """Given no events of a response, the timeout depends on whether the engine has sent anything else."""
    assert AttemptTimeouts(ROUTE).is_over(elapsed_s, first, unresponsive) is over


@pytest.mark.parametrize(
    ("prefill_s", "elapsed_s", "unresponsive", "over"),
    [
        (0.34, 0.67, True, False),
        (0.34, 0.69, True, True),
        (0.34, 0.99, False, False),
        (0.01, 0.31, True, True),
        (0.80, 1.59, False, False),
        (0.80, 1.61, False, True),
    ],
)
def test_the_first_event_timeout_covers_the_estimated_prefill(
    prefill_s: float, elapsed_s: float, unresponsive: bool, over: bool
) -> None:
    """Given a prompt whose prefill exceeds the usual timeout, the attempt doesn't time out during it."""
    assert AttemptTimeouts(ROUTE, prefill_s).is_over(elapsed_s, True, unresponsive) is over


def test_a_retry_is_reserved_before_the_running_attempt_is_cancelled() -> None:
    """Given no budget, no retry can be reserved; given one, the reserved retry needs no further budget."""
    rules_without_budget = AttemptRules(ROUTE, RetryBudget(0.15, 0), deadline=5.0)
    assert not rules_without_budget.reserve(1.0)
    rules = AttemptRules(ROUTE, RetryBudget(0.0, 1), deadline=5.0)
    assert rules.reserve(1.0)
    assert not rules.reserve(1.0)
    assert rules.may_try_again(AttemptEnd.MAY_HAVE_RUN, 1.0)


def test_nothing_is_reserved_near_the_deadline_or_without_another_engine() -> None:
    """Given too little time or no further attempt, no retry is reserved."""
    assert not AttemptRules(ROUTE, RetryBudget(0.0, 1), deadline=1.0).reserve(0.97)
    rules = AttemptRules(ROUTE, RetryBudget(0.0, 5), deadline=5.0)
    assert rules.may_try_again(AttemptEnd.MAY_HAVE_RUN, 1.0)
    assert not rules.reserve(1.0)
