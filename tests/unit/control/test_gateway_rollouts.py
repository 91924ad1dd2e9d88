"""Tests rollouts of the gateway's services: the source of their stable version, and which records stay."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from springmux.control.commands import CONTENT_ORDER_PREFIX, AbortRollout, Outcome, PromoteRollout
from springmux.control.state import ControlState
from springmux.rollout.plan import RolloutPhase
from springmux.rollout.planning.standard_plan import plan_for
from springmux.vocabulary.names import OrderId, RolloutId, ServiceName, VersionName
from tests.unit.control.gateway_support import change, patch, whole, with_gateway
from tests.unit.control.support import DOCUMENT, Log, configure, finish, promote, step

TEXT = ServiceName("text")


def promote_from(stable: str, order: str, **fields: Any) -> PromoteRollout:
    return msgspec.structs.replace(promote(order, **fields), stable=VersionName(stable))


def abort(order: str) -> AbortRollout:
    return AbortRollout(order=OrderId(order), service=TEXT)


def members_without_text() -> dict[str, Any]:
    return {"routes": [], "services": [{"name": "pages"}]}


def log_with_finished_rollout(candidate: str = "v2") -> Log:
    """Return a log in which the gateway's service ``text`` went from v1 to ``candidate``."""
    log = with_gateway()
    for command in (promote_from("v1", "go", candidate=candidate), step(1, 0.5), step(2, 1.0), finish()):
        assert log.outcome(command) is Outcome.ACCEPTED
    return log


def test_a_gateway_service_without_a_record_has_no_stable_version_here() -> None:
    assert with_gateway().state.view().stable_version(TEXT) is None


def test_the_first_rollout_of_a_gateway_service_starts_from_the_version_that_the_node_reports() -> None:
    log = with_gateway()
    assert log.outcome(promote_from("v1", "go")) is Outcome.ACCEPTED
    record = log.state.view().rollouts[TEXT]
    assert (record.stable, record.candidate) == ("v1", "v2")
    assert log.state.view().stable_version(TEXT) == "v1"


def test_without_a_known_stable_version_a_first_rollout_is_invalid() -> None:
    result = with_gateway().run(promote("go"))
    assert (result.outcome, result.errors[0].path) == (Outcome.INVALID, "stable")


def test_a_first_rollout_to_the_stable_version_is_invalid() -> None:
    result = with_gateway().run(promote_from("v2", "go"))
    assert (result.outcome, result.errors[0].path) == (Outcome.INVALID, "plan.candidate")


@pytest.mark.parametrize("stable", ["", "v1", "v9"])
def test_later_rollouts_start_from_the_record_whatever_the_node_reports(stable: str) -> None:
    log = log_with_finished_rollout()
    assert log.outcome(promote_from(stable, "next", rollout="r2", candidate="v3")) is Outcome.ACCEPTED
    assert log.state.view().rollouts[TEXT].stable == "v2"
    assert log.outcome(abort("back")) is Outcome.ACCEPTED
    assert log.outcome(promote_from(stable, "once more", rollout="r3", candidate="v4")) is Outcome.ACCEPTED
    assert log.state.view().rollouts[TEXT].stable == "v2"


def test_the_version_that_the_node_reports_is_ignored_for_a_service_of_the_chat_configuration() -> None:
    log = Log()
    log.run(configure("c1", 1, DOCUMENT))
    assert log.outcome(promote_from("v7", "go")) is Outcome.ACCEPTED
    assert log.state.view().rollouts[TEXT].stable == "v1"


def test_promoting_the_version_that_a_done_rollout_released_is_accepted_without_change() -> None:
    log = log_with_finished_rollout()
    before = log.state.view().rollouts
    assert log.outcome(promote_from("v1", "resent under another id", rollout="r9")) is Outcome.ACCEPTED
    assert log.state.view().rollouts == before
    assert len(log.state.ended_rollouts()) == 1


def test_promoting_the_stable_version_after_an_aborted_rollout_is_invalid() -> None:
    log = with_gateway()
    log.run(promote_from("v1", "go"))
    log.run(abort("back"))
    result = log.run(promote_from("v1", "stay", rollout="r2", candidate="v1"))
    assert (result.outcome, result.errors[0].path) == (Outcome.INVALID, "plan.candidate")


def test_a_resent_promotion_is_the_same_order_although_another_node_reports_another_stable_version() -> None:
    log = with_gateway()
    first = log.run(promote_from("v1", "go"))
    assert log.run(promote_from("v0", "go", rollout="made by another node")) == first
    assert log.state.view().rollouts[TEXT].rollout == RolloutId("r1")


def test_a_change_of_one_configuration_keeps_the_rollouts_of_the_others_services() -> None:
    log = log_with_finished_rollout()
    chat = {"services": {"chat": {"stable": "c1"}}}
    assert log.outcome(configure("c1", 1, chat)) is Outcome.ACCEPTED
    chat_rollout = promote("chat", rollout="r2", service="chat", candidate="c2")
    assert log.outcome(chat_rollout) is Outcome.ACCEPTED
    log.run(AbortRollout(order=OrderId("end"), service=ServiceName("chat")))
    assert log.outcome(patch(1, remove={"tenants": ["other"]})) is Outcome.ACCEPTED
    assert log.outcome(configure("c2", 2, {"limits": {"queue_length": 9}}, partial=True)) is Outcome.ACCEPTED
    assert set(log.state.view().rollouts) == {"text", "chat"}
    assert log.outcome(configure("c3", 3, {})) is Outcome.ACCEPTED
    assert set(log.state.view().rollouts) == {"text"}


def test_a_running_rollout_of_a_gateway_service_does_not_block_the_chat_configuration() -> None:
    log = with_gateway()
    log.run(promote_from("v1", "go"))
    assert log.outcome(configure("c1", 1, {"services": {"chat": {"stable": "c1"}}})) is Outcome.ACCEPTED
    assert log.state.view().rollouts[TEXT].phase is RolloutPhase.CANARY


def test_a_removed_service_loses_its_ended_record_and_may_start_anew() -> None:
    log = log_with_finished_rollout()
    assert log.outcome(change(1, whole(2, **members_without_text()))) is Outcome.ACCEPTED
    assert TEXT not in log.state.view().rollouts
    assert len(log.state.ended_rollouts(TEXT)) == 1
    assert log.run(promote_from("v5", "gone", rollout="r2")).errors[0].path == "plan.service"
    log.run(change(2, whole(3)))
    assert log.outcome(promote_from("v5", "anew", rollout="r3")) is Outcome.ACCEPTED
    assert log.state.view().rollouts[TEXT].stable == "v5"


def test_a_removed_service_keeps_its_running_record_until_the_rollout_ends() -> None:
    log = with_gateway()
    log.run(promote_from("v1", "go"))
    assert log.outcome(change(1, whole(2, **members_without_text()))) is Outcome.ACCEPTED
    assert log.state.view().rollouts[TEXT].phase is RolloutPhase.CANARY
    restored = ControlState()
    restored.restore(log.state.snapshot())
    assert restored.view() == log.state.view()
    assert log.outcome(abort("end")) is Outcome.ACCEPTED
    assert log.run(promote_from("v1", "gone", rollout="r2")).errors[0].path == "plan.service"
    log.run(patch(2, remove={"tenants": ["other"]}))
    assert TEXT not in log.state.view().rollouts


def test_an_order_id_from_content_gets_its_first_result_although_the_next_node_plans_another_canary() -> None:
    """The node that accepts an order chooses the canary by its own measurement of the traffic.

    The same order resent to another node then carries another plan, and must still get its first result.
    """
    log = with_gateway()
    plans = [plan_for(TEXT, VersionName("v2"), 12.0, 0.1, 50, 5000, rate) for rate in (30.0, 31.0)]
    assert plans[0] != plans[1]
    order = OrderId(f"{CONTENT_ORDER_PREFIX}abc")
    orders = [
        PromoteRollout(order=order, rollout=RolloutId("abc"), plan=p, stable=VersionName("v1")) for p in plans
    ]
    first, again = (log.run(command) for command in orders)
    assert first.outcome is Outcome.ACCEPTED
    assert again == first
