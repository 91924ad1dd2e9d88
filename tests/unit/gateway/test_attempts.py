"""Rules for another attempt of a request at another engine."""

from __future__ import annotations

from springmux.control.gateway_configuration import Backend, GatewayRoute, GatewayRouteKind
from springmux.coordination.retry_budget import RetryBudget
from springmux.gateway.attempts import MAX_UNSENT_ATTEMPTS, AttemptEnd, AttemptRules
from springmux.vocabulary.names import RouteName, ServiceName


def _rules(
    kind: GatewayRouteKind, attempts: int = 2, resumable: bool = False, floor: int = 10, deadline: float = 5.0
) -> AttemptRules:
    route = GatewayRoute(
        name=RouteName("r"),
        host="a.example",
        path_prefix="/",
        kind=kind,
        backends=(Backend(ServiceName("s"), 1.0),),
        max_attempts=attempts,
        resumable=resumable,
    )
    return AttemptRules(route, RetryBudget(0.15, floor), deadline)


def test_a_request_that_may_have_been_executed_is_retried_only_if_repeatable() -> None:
    """Given a lost response, only a safe request or a resumable stream gets another attempt."""
    assert not _rules(GatewayRouteKind.UNSAFE).may_try_again(AttemptEnd.MAY_HAVE_RUN, 0.0)
    assert not _rules(GatewayRouteKind.STREAM).may_try_again(AttemptEnd.MAY_HAVE_RUN, 0.0)
    assert _rules(GatewayRouteKind.SAFE).may_try_again(AttemptEnd.MAY_HAVE_RUN, 0.0)
    assert _rules(GatewayRouteKind.STREAM, resumable=True).may_try_again(AttemptEnd.MAY_HAVE_RUN, 0.0)


def test_the_routes_maximum_of_executed_attempts_is_respected() -> None:
    """Given a maximum of two attempts, the request is not sent to a third engine."""
    rules = _rules(GatewayRouteKind.SAFE)
    assert rules.may_try_again(AttemptEnd.ERROR_RESPONSE, 0.0)
    assert not rules.may_try_again(AttemptEnd.MAY_HAVE_RUN, 0.0)


def test_a_declined_attempt_does_not_count_as_executed() -> None:
    """Given declined attempts, an unsafe request goes to other engines up to the limit of declines."""
    rules = _rules(GatewayRouteKind.UNSAFE, attempts=1)
    assert rules.may_try_again(AttemptEnd.DECLINED, 0.0)
    assert rules.may_try_again(AttemptEnd.DECLINED, 0.0)
    assert not rules.may_try_again(AttemptEnd.DECLINED, 0.0)
    assert not rules.may_have_run


def test_may_have_run_is_set_after_a_lost_response_even_after_a_decline() -> None:
    """Given a lost response after a decline, the response must not say that the request was not executed."""
    rules = _rules(GatewayRouteKind.SAFE)
    rules.may_try_again(AttemptEnd.DECLINED, 0.0)
    rules.may_try_again(AttemptEnd.MAY_HAVE_RUN, 0.0)
    assert rules.may_have_run


def test_the_retry_budget_limits_sent_attempts_but_not_failed_connections() -> None:
    """Given no budget, nothing is sent again, but connections to other engines may be attempted."""
    assert not _rules(GatewayRouteKind.SAFE, floor=0).may_try_again(AttemptEnd.MAY_HAVE_RUN, 0.0)
    rules = _rules(GatewayRouteKind.UNSAFE, floor=0)
    assert [rules.may_try_again(AttemptEnd.UNSENT, 0.0) for _ in range(MAX_UNSENT_ATTEMPTS)] == [
        *([True] * (MAX_UNSENT_ATTEMPTS - 1)),
        False,
    ]


def test_nothing_is_retried_near_the_deadline() -> None:
    """Given too little time before the deadline, the request gets no further attempt."""
    assert not _rules(GatewayRouteKind.SAFE, deadline=1.0).may_try_again(AttemptEnd.DECLINED, 0.96)
