"""Experiment files are validated, a seed determines the traffic, and the slots of a script don't overlap."""

from __future__ import annotations

from itertools import pairwise
from pathlib import Path

import pytest

from springmux.lab.experiment import script
from springmux.lab.faults.catalogue import FAULTS, choose_faults
from springmux.lab.load.traffic import PlannedRequest, Surge, TrafficSource
from springmux.lab.plan import ExperimentError, built_in_experiments, load_experiment

ANUARIO = load_experiment("anuario")


def requests(seed: int, seconds: float = 3.0, surges: tuple[Surge, ...] = ()) -> list[PlannedRequest]:
    return list(TrafficSource(ANUARIO, seed).all_requests(seconds, surges))


def test_built_in_experiments_have_the_expected_sizes() -> None:
    sizes = {
        plan.name: (len(plan.node_names()), sum(c for _, _, c in plan.node_names()), len(plan.tenants))
        for plan in built_in_experiments()
    }
    assert sizes == {"anuario": (12, 4, 5), "derwent": (9, 3, 5)}


def test_error_for_an_unknown_experiment_names_the_built_in_ones() -> None:
    with pytest.raises(ExperimentError, match="built-in experiments: anuario, derwent"):
        load_experiment("nowhere")


@pytest.mark.parametrize(
    ("text", "message"), [("name = ", "Invalid"), ('name = "x"', "missing required field")]
)
def test_error_for_an_invalid_file_has_its_name_and_the_cause(
    tmp_path: Path, text: str, message: str
) -> None:
    file = tmp_path / "wrong.toml"
    file.write_text(text)
    with pytest.raises(ExperimentError, match=f"wrong.toml: .*{message}"):
        load_experiment(str(file))


def test_a_seed_determines_the_requests() -> None:
    assert requests(7) == requests(7)
    assert [request.at_s for request in requests(7)] != [request.at_s for request in requests(8)]


def test_requests_are_ordered_by_time_and_have_unique_actions() -> None:
    generated = requests(7)
    assert all(earlier.at_s <= later.at_s < 3.0 for earlier, later in pairwise(generated))
    assert len({request.action for request in generated}) == len(generated)


def test_a_surge_does_not_change_the_ordinary_requests() -> None:
    surge = Surge(route="caption-hint", from_s=1.0, for_s=1.0, extra_per_s=50.0, tenant="isla", prefix=0)
    ordinary = requests(7)
    generated = requests(7, surges=(surge,))
    extra = [request for request in generated if request not in ordinary]
    assert [request for request in generated if request in ordinary] == ordinary
    assert 20 < len(extra) < 100
    assert {(r.tenant, r.traffic.route, 1.0 <= r.at_s < 2.0) for r in extra} == {
        ("isla", "caption-hint", True)
    }


def test_error_for_an_unknown_fault_names_it() -> None:
    with pytest.raises(ExperimentError, match="no fault named nothing"):
        choose_faults("node-killed, nothing")


def test_slots_do_not_overlap_and_fit_into_the_run() -> None:
    slots = script.schedule_faults(choose_faults("all"))
    assert len(slots) == len(FAULTS)
    assert all(earlier.at_s + earlier.scenario.duration_s <= later.at_s for earlier, later in pairwise(slots))
    assert script.needed_traffic_s(slots, ANUARIO) >= slots[-1].at_s + slots[-1].scenario.duration_s
    assert [surge.for_s for surge in script.scheduled_surges(slots, ANUARIO)] == [10.0, 10.0, 20.0]
