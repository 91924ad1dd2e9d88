"""When a request may go to another engine."""

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


def test_what_may_have_run_is_not_sent_again_unless_it_may_be_repeated() -> None:
    """Given a lost answer, only a safe request or a resumable stream has another attempt."""
    assert not _rules(GatewayRouteKind.UNSAFE).may_try_again(AttemptEnd.MAY_HAVE_RUN, 0.0)
    assert not _rules(GatewayRouteKind.STREAM).may_try_again(AttemptEnd.MAY_HAVE_RUN, 0.0)
    assert _rules(GatewayRouteKind.SAFE).may_try_again(AttemptEnd.MAY_HAVE_RUN, 0.0)
    assert _rules(GatewayRouteKind.STREAM, resumable=True).may_try_again(AttemptEnd.MAY_HAVE_RUN, 0.0)


def test_no_more_engines_run_it_than_the_route_allows() -> None:
    """Given two attempts, a third engine gets nothing."""
    rules = _rules(GatewayRouteKind.SAFE)
    assert rules.may_try_again(AttemptEnd.ERROR_RESPONSE, 0.0)
    assert not rules.may_try_again(AttemptEnd.MAY_HAVE_RUN, 0.0)


def test_an_engine_that_declined_has_not_run_it() -> None:
    """Given declines, an unsafe request goes to another engine and may be refused in the end."""
    rules = _rules(GatewayRouteKind.UNSAFE, attempts=1)
    assert rules.may_try_again(AttemptEnd.DECLINED, 0.0)
    assert rules.may_try_again(AttemptEnd.DECLINED, 0.0)
    assert not rules.may_try_again(AttemptEnd.DECLINED, 0.0)
    assert not rules.may_have_run


def test_a_refusal_is_not_promised_once_it_may_have_run() -> None:
    """Given a lost answer after a decline, the client may not be told that it has not run."""
    rules = _rules(GatewayRouteKind.SAFE)
    rules.may_try_again(AttemptEnd.DECLINED, 0.0)
    rules.may_try_again(AttemptEnd.MAY_HAVE_RUN, 0.0)
    assert rules.may_have_run


def test_the_budget_bounds_sends_but_not_vain_connections() -> None:
    """Given no budget, nothing is sent again, but another engine may be connected to."""
    assert not _rules(GatewayRouteKind.SAFE, floor=0).may_try_again(AttemptEnd.MAY_HAVE_RUN, 0.0)
    rules = _rules(GatewayRouteKind.UNSAFE, floor=0)
    assert [rules.may_try_again(AttemptEnd.UNSENT, 0.0) for _ in range(MAX_UNSENT_ATTEMPTS)] == [
        *([True] * (MAX_UNSENT_ATTEMPTS - 1)),
        False,
    ]


def test_near_the_deadline_nothing_is_tried_again() -> None:
    """Given no time left, the request is answered as it is."""
    assert not _rules(GatewayRouteKind.SAFE, deadline=1.0).may_try_again(AttemptEnd.DECLINED, 0.96)
