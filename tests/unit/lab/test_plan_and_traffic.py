"""Experiment files are checked, traffic is the same for the same seed, the script has room for its parts."""

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


def test_the_deployments_have_their_sizes_of_today() -> None:
    sizes = {
        plan.name: (len(plan.node_names()), sum(c for _, _, c in plan.node_names()), len(plan.tenants))
        for plan in built_in_experiments()
    }
    assert sizes == {"anuario": (12, 4, 5), "derwent": (9, 3, 5)}


def test_an_unknown_experiment_names_the_known_ones() -> None:
    with pytest.raises(ExperimentError, match="built-in experiments: anuario, derwent"):
        load_experiment("nowhere")


@pytest.mark.parametrize(
    ("text", "message"), [("name = ", "Invalid"), ('name = "x"', "missing required field")]
)
def test_a_wrong_file_says_where_and_why(tmp_path: Path, text: str, message: str) -> None:
    file = tmp_path / "wrong.toml"
    file.write_text(text)
    with pytest.raises(ExperimentError, match=f"wrong.toml: .*{message}"):
        load_experiment(str(file))


def test_the_same_seed_makes_the_same_requests_and_another_seed_others() -> None:
    assert requests(7) == requests(7)
    assert [request.at_s for request in requests(7)] != [request.at_s for request in requests(8)]


def test_requests_come_in_order_of_time_under_names_of_their_own() -> None:
    made = requests(7)
    assert all(one.at_s <= other.at_s < 3.0 for one, other in pairwise(made))
    assert len({request.action for request in made}) == len(made)


def test_a_surge_leaves_the_ordinary_requests_as_they_are() -> None:
    surge = Surge(route="caption-hint", from_s=1.0, for_s=1.0, extra_per_s=50.0, tenant="isla", prefix=0)
    ordinary = requests(7)
    made = requests(7, surges=(surge,))
    extra = [request for request in made if request not in ordinary]
    assert [request for request in made if request in ordinary] == ordinary
    assert 20 < len(extra) < 100
    assert {(r.tenant, r.traffic.route, 1.0 <= r.at_s < 2.0) for r in extra} == {
        ("isla", "caption-hint", True)
    }


def test_unknown_faults_are_named() -> None:
    with pytest.raises(ExperimentError, match="no fault named nothing"):
        choose_faults("node-killed, nothing")


def test_slots_follow_one_another_and_the_run_has_room_for_all() -> None:
    slots = script.schedule_faults(choose_faults("all"))
    assert len(slots) == len(FAULTS)
    assert all(one.at_s + one.scenario.lasts_s <= other.at_s for one, other in pairwise(slots))
    assert script.needed_traffic_s(slots, ANUARIO) >= slots[-1].at_s + slots[-1].scenario.lasts_s
    assert [surge.for_s for surge in script.scheduled_surges(slots, ANUARIO)] == [10.0, 10.0, 20.0]
