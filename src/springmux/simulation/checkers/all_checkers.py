"""Create and run all checkers."""

from __future__ import annotations

from springmux.simulation.checkers.at_most_once import AtMostOnceChecker
from springmux.simulation.checkers.complete_responses import CompleteResponseChecker
from springmux.simulation.checkers.consistency import ConsistencyChecker
from springmux.simulation.checkers.delivery import DeliveryChecker
from springmux.simulation.checkers.draining import DrainChecker
from springmux.simulation.checkers.durability import DurabilityChecker
from springmux.simulation.checkers.exposure import ExposureChecker, RollbackChecker
from springmux.simulation.checkers.finishing import RolloutDeadlineChecker, RolloutEndChecker
from springmux.simulation.checkers.orders import OrdersChecker
from springmux.simulation.checkers.quota import QuotaChecker
from springmux.simulation.checkers.repeats import RetriesChecker
from springmux.simulation.checkers.streams import StreamsChecker
from springmux.simulation.checkers.violation import Checker, Violation
from springmux.simulation.history import History
from springmux.simulation.run_context import RunContext


def make_checkers(history: History, context: RunContext) -> list[Checker]:
    """Return one checker of each kind."""
    return [
        AtMostOnceChecker(history),
        CompleteResponseChecker(history),
        StreamsChecker(history),
        ExposureChecker(history, context),
        RollbackChecker(history, context),
        RolloutDeadlineChecker(history, context),
        RolloutEndChecker(history, context),
        DeliveryChecker(history),
        OrdersChecker(history),
        DrainChecker(history),
        QuotaChecker(history, context),
        RetriesChecker(history, len(context.deployment.places())),
        DurabilityChecker(history, context),
        ConsistencyChecker(history),
    ]


def check(history: History, context: RunContext) -> list[Violation]:
    """Return the violations found by all checkers, in the order of time."""
    violations = [
        violation for checker in make_checkers(history, context) for violation in checker.violations()
    ]
    return sorted(violations, key=lambda violation: violation.at)
