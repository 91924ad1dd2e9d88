"""Each check of the control plane passes a good run and reports a planted violation."""

from __future__ import annotations

from springmux.lab.checks import control_plane_checks
from springmux.lab.records import FaultEvent, Recovery, RevocationRecord
from tests.unit.lab.support import order, records, sample

CHANGE = order("o1", 200, revision=7)


def fault(began: bool, at_s: float) -> FaultEvent:
    return FaultEvent(at_s=at_s, fault="freeze", target="n1", began=began)


def test_delivery_check_reports_a_node_behind_after_two_seconds() -> None:
    on_time = records(orders=[CHANGE], samples=[sample("n1", 111.9, 6), sample("n1", 112.1, 7)])
    late = records(orders=[CHANGE], samples=[sample("n1", 112.1, 6)])
    assert control_plane_checks.changes_in_force(on_time).kept
    assert control_plane_checks.changes_in_force(late).evidence == (
        "n1: revision 6 at 2.10 s after patch_configuration (revision 7)",
    )


def test_delivery_check_ignores_a_node_that_is_not_ready() -> None:
    run = records(orders=[CHANGE], samples=[sample("n1", 115.0, 6, ready=False)])
    assert control_plane_checks.changes_in_force(run).kept


def test_delivery_check_allows_a_frozen_node_two_seconds_after_its_thaw() -> None:
    faults = [fault(True, 109.0), fault(False, 120.0)]
    soon = records(orders=[CHANGE], samples=[sample("n1", 121.9, 6)], faults=faults)
    late = records(orders=[CHANGE], samples=[sample("n1", 122.1, 6)], faults=faults)
    other = records(orders=[CHANGE], samples=[sample("n2", 121.9, 6)], faults=faults)
    assert control_plane_checks.changes_in_force(soon).kept
    assert control_plane_checks.changes_in_force(late).kept is False
    assert control_plane_checks.changes_in_force(other).kept is False


def test_regression_check_reports_an_older_state_only_of_a_ready_node() -> None:
    restarted = [sample("n1", 110, 7), sample("n1", 115, 0, ready=False), sample("n1", 116, 7)]
    back = [sample("n1", 110, 7), sample("n1", 115, 0, ready=False), sample("n1", 116, 6)]
    assert control_plane_checks.no_state_regression(records(samples=restarted)).kept
    assert control_plane_checks.no_state_regression(records(samples=back)).evidence == (
        "n1: revision 6 after 7 at 16.00 s",
    )


def test_race_check_reports_no_winner_two_winners_and_an_unnamed_winner() -> None:
    won = order("a", 200, race="r", revision=7)
    rejected = order("b", 409, race="r", has_winner=True)
    assert control_plane_checks.single_race_winner(records(orders=[won, rejected])).kept
    two = [won, order("b", 200, race="r", revision=8)]
    none = [order("a", 409, race="r", has_winner=True), rejected]
    uninformed = [won, order("b", 409, race="r")]
    for orders in (two, none, uninformed):
        assert control_plane_checks.single_race_winner(records(orders=orders)).kept is False


def test_idempotence_check_reports_a_different_response_and_a_rejection() -> None:
    lost = order("a", 0)
    first, again = order("a", 200, revision=7, version=3), order("a", 200, revision=7, version=3)
    assert control_plane_checks.idempotent_orders(records(orders=[lost, first, again])).kept
    changed = [first, order("a", 200, revision=8, version=4)]
    refused = [lost, order("a", 409)]
    for orders in (changed, refused):
        assert control_plane_checks.idempotent_orders(records(orders=orders)).kept is False


def test_invalid_order_check_reports_acceptance_missing_paths_and_a_wrong_status() -> None:
    good = order("a", 422, expected=422, error_paths=("routes.x.service",))
    assert control_plane_checks.invalid_orders_rejected(records(orders=[good])).kept
    for wrong in (
        order("a", 200, expected=422),
        order("a", 422, expected=422),
        order("a", 422, expected=413),
    ):
        assert control_plane_checks.invalid_orders_rejected(records(orders=[wrong])).kept is False


def test_revocation_check_reports_a_key_that_works_too_long() -> None:
    for stream, refused, kept in (
        (0.5, 0.1, True),
        (None, 0.1, False),
        (0.5, None, False),
        (2.1, 0.1, False),
    ):
        run = records(revocations=[RevocationRecord(110.0, stream, refused)])
        assert control_plane_checks.keys_revoked(run).kept is kept


def test_recovery_check_reports_a_slow_restart_and_lost_state() -> None:
    for back, found, rollouts, kept in (
        (111.9, 40, True, True),
        (112.1, 40, True, False),
        (0.0, 40, True, False),
        (105.0, 39, True, False),
        (105.0, 40, False, False),
    ):
        recovery = Recovery(100.0, back, 250, 40, found, rollouts)
        assert control_plane_checks.recovery_after_restart(records(recoveries=[recovery])).kept is kept
