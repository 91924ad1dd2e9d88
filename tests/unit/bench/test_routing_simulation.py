"""Routing traces and policies: reproducible traces, complete service, and differences between policies."""

import msgspec

from springmux.lab.bench.routing_comparison import ENGINE_SPEC
from springmux.lab.bench.routing_policies import POLICIES
from springmux.lab.bench.routing_simulation import RoutingSimulation
from springmux.lab.bench.routing_traces import TraceCase, make_trace

SHORT = TraceCase(name="short", dossiers_per_s=20.0, captions_per_s=20.0, prefixes=30, seconds=20.0)


def run_policy(policy: str, case: TraceCase = SHORT) -> RoutingSimulation:
    simulation = RoutingSimulation(6, ENGINE_SPEC, POLICIES[policy], seed=1)
    simulation.run(make_trace(case, 1), case.replacements)
    return simulation


def hit_share(simulation: RoutingSimulation) -> float:
    return sum(request.cached_share for request in simulation.served) / len(simulation.served)


def test_trace_is_reproducible_from_its_seed_and_sorted_by_time() -> None:
    first, second = make_trace(SHORT, 7), make_trace(SHORT, 7)
    assert first == second
    assert first != make_trace(SHORT, 8)
    assert [request.at for request in first] == sorted(request.at for request in first)


def test_hot_prefix_begins_most_of_the_dossiers() -> None:
    hot = msgspec.structs.replace(SHORT, hot_share=0.8)
    dossiers = [request for request in make_trace(hot, 1) if request.kind == "dossier"]
    begins = [request.prompt[:24_000] for request in dossiers]
    assert max(begins.count(begin) for begin in set(begins)) > 0.7 * len(begins)


def test_bursts_raise_the_caption_rate_only_in_their_intervals() -> None:
    bursts = msgspec.structs.replace(SHORT, burst_factor=10.0)
    captions = [request.at for request in make_trace(bursts, 1) if request.kind == "caption"]
    assert sum(at >= 15.0 for at in captions) > 5 * sum(at < 5.0 for at in captions)


def test_every_policy_serves_every_request() -> None:
    sent = len(make_trace(SHORT, 1))
    assert {name: len(run_policy(name).served) for name in POLICIES} == dict.fromkeys(POLICIES, sent)


def test_prefix_aware_policy_has_more_cache_hits_than_random() -> None:
    assert hit_share(run_policy("springmux")) > hit_share(run_policy("random")) + 0.05


def test_round_robin_uses_each_engine_once_per_cycle() -> None:
    simulation = RoutingSimulation(3, ENGINE_SPEC, POLICIES["round robin"], seed=1)
    trace = make_trace(SHORT, 1)[:3]
    simulation.run(trace, ())
    assert sorted(model.cache.used_share > 0 for model in simulation._models.values()) == [True] * 3


def test_requests_on_a_lost_engine_are_lost_and_a_replacement_joins() -> None:
    case = msgspec.structs.replace(SHORT, replacements=(10.0,))
    simulation = run_policy("random", case)
    assert simulation.lost > 0
    assert simulation.lost + len(simulation.served) == len(make_trace(case, 1))
    assert {slot.record.engine for slot in simulation.usable_slots()} >= {"replacement-0"}
    assert "engine-0" not in {slot.record.engine for slot in simulation.usable_slots()}
