"""Which engine a request goes to, by prefix, load, versions and zone."""

from __future__ import annotations

import random
from collections import Counter

import msgspec
import pytest

from springmux.gateway.placement import ExchangeOutcome, Placement, PromptMetadata
from springmux.vocabulary.engines import EngineStatus
from springmux.vocabulary.names import EngineId, ServiceName

from .places import free_places, known_versions
from .transcripts import (
    PLAIN,
    SHORT,
    TEXT,
    V1,
    V2,
    choose_and_send,
    chosen,
    engine,
    engines,
    exchange,
    long_prompt,
    node,
    send,
    view,
    with_status,
)

DOSSIERS = [f"dossier-{number}" for number in range(134)]


def homes(placement: Placement, now: float) -> dict[str, str | None]:
    return {dossier: chosen(placement, long_prompt(dossier), now) for dossier in DOSSIERS}


def test_every_node_places_a_prefix_on_the_same_engine() -> None:
    placements = [node(engines(12), seed=seed) for seed in range(20)]
    found = [homes(placement, 1.0) for placement in placements]
    assert all(one == found[0] for one in found)
    counts = Counter(found[0].values())
    assert len(counts) == 12
    assert max(counts.values()) <= 3 * 134 / 12


def test_engines_get_prefixes_by_capacity() -> None:
    records = [engine(0, capacity=64), *(engine(number, capacity=16) for number in range(1, 5))]
    placement = node(records)
    counts = Counter(chosen(placement, long_prompt(f"p{number}"), 1.0) for number in range(600))
    assert 240 <= counts["e0"] <= 360  # half the capacity


def test_loss_of_an_engine_moves_only_its_prefixes() -> None:
    records = engines(12)
    placement = node(records)
    before = homes(placement, 1.0)
    lost = records[4]
    placement.update_engines(view([*records[:4], with_status(lost, EngineStatus.LOST), *records[5:]]), 2.0)
    after = homes(placement, 2.0)
    moved = {dossier for dossier in DOSSIERS if before[dossier] != after[dossier]}
    assert moved == {dossier for dossier in DOSSIERS if before[dossier] == "e4"}
    assert len({after[dossier] for dossier in moved}) >= 3


def test_a_small_session_part_does_not_part_a_prompt_from_its_dossier() -> None:
    placement = node(engines(12))
    with_session = PromptMetadata((("d", 13_300), ("session", 37), ("own", 3000)), 16_337, 100)
    assert chosen(placement, with_session, 1.0) == chosen(placement, long_prompt("d"), 1.0)


def test_a_prefix_leaves_an_engine_that_holds_clearly_more_of_the_work() -> None:
    records = engines(6)
    placement = node(records, nodes=1)
    home = chosen(placement, long_prompt("d"), 1.0)
    record = next(record for record in records if record.engine == home)
    for number in range(8):
        send(placement, record, 1.0, long_prompt(f"other{number}"))
    second = chosen(placement, long_prompt("d"), 1.0)
    assert second != home
    others = {chosen(node(records, seed=seed), long_prompt("d"), 1.0) for seed in range(5)}
    assert others == {home}


def test_a_short_queue_is_waited_for_rather_than_prefill_anew() -> None:
    records = engines(6)
    placement = node(records)
    home = chosen(placement, long_prompt("d"), 1.0)
    record = next(record for record in records if record.engine == home)
    for _ in range(2):
        send(placement, record, 1.0, SHORT)
    assert chosen(placement, long_prompt("d"), 1.0) == home


def test_a_hot_prefix_spreads_over_few_engines_and_a_rare_one_does_not() -> None:
    placement = node(engines(12), nodes=12)
    hot: Counter[str] = Counter()
    rare: set[str | None] = set()
    now = 0.0
    for number in range(200):
        now += 0.1
        dossier = "rare" if number % 50 == 0 else "hot"
        record = placement.choose(TEXT, (V1,), long_prompt(dossier), (), now)
        assert record is not None
        dispatch = placement.record_dispatch(record, long_prompt(dossier), now)
        placement.record_first_event(dispatch, now + 0.09)
        placement.record_end(dispatch, ExchangeOutcome.OK, now + 0.09)
        if dossier == "rare":
            rare.add(record.engine)
        else:
            hot[record.engine] += 1
    assert len(rare) == 1
    assert 3 <= len(hot) <= 8
    assert max(hot.values()) < 0.5 * sum(hot.values())


def test_shorts_avoid_an_engine_with_a_long_prefill() -> None:
    records = engines(3)
    placement = node(records)
    dispatch = send(placement, records[0], 1.0, long_prompt("d"))
    for _ in range(6):
        assert choose_and_send(placement, SHORT, 1.0) != "e0"
    placement.record_first_event(dispatch, 1.1)
    assert chosen(placement, PromptMetadata((), 300), 3.0) == "e0"


def test_shorts_avoid_an_engine_whose_last_answer_waited_for_others_prefill() -> None:
    records = engines(2)
    placement = node(records)
    dispatch = send(placement, records[0], 1.0, PromptMetadata((), 383))
    placement.record_first_event(dispatch, 1.4)
    placement.record_end(dispatch, ExchangeOutcome.OK, 1.4)
    # The other one was used later, so the order of use speaks for the first.
    exchange(placement, records[1], ExchangeOutcome.OK, 1.42, took_s=0.01)
    assert {chosen(placement, PromptMetadata((), 383), 1.45) for _ in range(20)} == {"e1"}
    send(placement, records[1], 3.0)
    assert chosen(placement, PromptMetadata((), 383), 3.0) == "e0"


def test_shorts_spread_evenly() -> None:
    placement = node(engines(4))
    counts: Counter[str] = Counter()
    for number in range(400):
        prompt = PromptMetadata((("common", 55), (f"s{number}", 37), (f"o{number}", 291)), 383, 60)
        counts[choose_and_send(placement, prompt, 1.0)] += 1
    assert len(counts) == 4 and all(90 <= count <= 110 for count in counts.values())


def test_a_short_prompt_has_the_same_engines_at_every_node() -> None:
    """Given nodes that know nothing of each other, prompts of one subject meet at two engines while idle."""
    records = engines(16)
    for subject in range(20):
        prompt = PromptMetadata((("common", 341), (f"s{subject}", 227), ("own", 900)), 1468, 60)
        places = {chosen(node(records, seed), prompt, 1.0) for seed in range(10)}
        assert len(places) == 1


def test_a_subject_with_many_short_prompts_spreads_beyond_its_engines() -> None:
    """Given a subject that fills its engines, other engines take their part."""
    placement = node(engines(16))
    prompt = PromptMetadata((("common", 341), ("hot", 227), ("own", 900)), 1468, 60)
    counts = Counter(choose_and_send(placement, prompt, 1.0) for _ in range(160))
    assert len(counts) == 16 and max(counts.values()) <= 20


def test_a_session_returns_to_its_engine_unless_that_is_loaded_more() -> None:
    records = engines(8)
    placement = node(records)
    exchange(placement, records[5], ExchangeOutcome.OK, 1.0)
    again = PromptMetadata((("common", 55), ("session", 37), ("own2", 291)), 383, 60)
    assert {chosen(placement, again, 3.0) for _ in range(20)} == {"e5"}
    for _ in range(2):
        send(placement, records[5], 3.0, PromptMetadata((), 200))
    assert "e5" not in {chosen(placement, again, 3.0) for _ in range(20)}


def test_reported_load_of_others_counts_until_the_next_report() -> None:
    placement = node(engines(2))
    placement.update_other_loads({EngineId("e0"): (3.0, 20_000.0), EngineId("gone"): (1.0, 1.0)})
    assert {chosen(placement, SHORT, 1.0) for _ in range(20)} == {"e1"}
    placement.update_other_loads({EngineId("e1"): (3.0, 20_000.0)})
    assert {chosen(placement, SHORT, 1.0) for _ in range(20)} == {"e0"}


def test_what_must_be_read_before_a_first_event_counts_all_that_lies_ahead() -> None:
    records = engines(1)
    placement = node(records)
    placement.update_other_loads({records[0].engine: (1.0, 10_000.0)})
    cold = send(placement, records[0], 1.0, long_prompt("d"))
    again = send(placement, records[0], 1.0, long_prompt("d"))
    assert cold.prefill_wait_s == pytest.approx((cold.expected_tokens + 10_000.0) / 50_000.0)
    assert again.expected_tokens < cold.expected_tokens
    assert again.prefill_wait_s == pytest.approx(
        (again.expected_tokens + cold.expected_tokens + 10_000.0) / 50_000.0
    )


def test_only_changes_of_the_own_load_are_told() -> None:
    records = engines(3)
    placement = node(records)
    first = send(placement, records[0], 1.0, PromptMetadata((), 100))
    send(placement, records[1], 1.0, PromptMetadata((), 50))
    assert sorted(placement.take_changed_loads()) == [("e0", 1, 100.0), ("e1", 1, 50.0)]
    assert placement.take_changed_loads() == []
    placement.record_first_event(first, 1.1)
    assert placement.take_changed_loads() == [("e0", 1, 0.0)]
    placement.update_engines(view(records[1:]), 1.2)
    placement.record_end(first, ExchangeOutcome.OK, 1.3)
    assert placement.take_changed_loads() == [("e0", 0, 0.0)]


def test_a_full_batch_is_avoided_and_leaves_no_free_place() -> None:
    records = [engine(0, capacity=2), engine(1, capacity=2)]
    placement = node(records)
    assert free_places(placement, TEXT, (V1,), 1.0) == 4
    for _ in range(2):
        send(placement, records[0], 1.0, PromptMetadata((), 10))
    send(placement, records[1], 1.0, PromptMetadata((), 1900))
    assert free_places(placement, TEXT, (V1,), 1.0) == 1
    assert chosen(placement, PromptMetadata((), 10), 1.0) == "e1"


def test_plain_requests_go_to_the_least_loaded_and_by_zone_only_at_a_tie() -> None:
    records = [engine(number, capacity=6, zone=zone) for number, zone in enumerate("abbc")]
    placement = node(records, nodes=1, zone="c")
    assert {chosen(placement, PLAIN, 1.0) for _ in range(10)} == {"e3"}
    dispatch = send(placement, records[3], 1.0, PLAIN)
    assert chosen(placement, PLAIN, 1.0) != "e3"
    placement.record_end(dispatch, ExchangeOutcome.OK, 1.05)
    assert chosen(placement, PLAIN, 1.1) == "e3"


def test_the_zone_does_not_count_when_the_fleet_is_busy() -> None:
    records = [engine(number, capacity=6, zone=zone) for number, zone in enumerate("abbc")]
    placement = node(records, nodes=12, zone="c")
    now, counts = 1.0, Counter[str]()
    for _ in range(80):
        now += 0.05
        record = placement.choose(TEXT, (V1,), PLAIN, (), now)
        assert record is not None
        counts[record.engine] += 1
        dispatch = send(placement, record, now, PLAIN)
        placement.record_end(dispatch, ExchangeOutcome.OK, now + 0.04)
    # One request at a time here, twelve in the fleet on 24 places.
    assert counts["e3"] <= 40


def test_a_cold_engine_takes_few_prefixes_at_first_and_its_own_at_last() -> None:
    old = engines(4)
    placement = node(old)
    new = engine(9)
    directory = view([*old, new])
    firsts = {**directory.first_seen_at, new.engine: 100.0}
    placement.update_engines(msgspec.structs.replace(directory, first_seen_at=firsts), 100.0)
    shares = []
    for now in (100.5, 105.0, 111.0):
        placed = homes(placement, now)
        shares.append({dossier for dossier, home in placed.items() if home == "e9"})
    assert shares[0] <= shares[1] <= shares[2]
    assert len(shares[0]) < 0.4 * len(shares[2])
    assert len(shares[2]) >= 134 / 5 / 2


def test_a_cold_engine_gets_few_short_requests_though_it_is_the_idlest() -> None:
    old = engines(4)
    placement = node(old)
    new = engine(9)
    directory = view([*old, new])
    firsts = {**directory.first_seen_at, new.engine: 100.0}
    placement.update_engines(msgspec.structs.replace(directory, first_seen_at=firsts), 100.0)
    for now, least, most in ((100.5, 10, 60), (105.0, 100, 260), (111.0, 360, 440)):
        counts: Counter[str] = Counter()
        for _ in range(2000):
            record = placement.choose(TEXT, (V1,), PromptMetadata((), 300), (), now)
            assert record is not None
            counts[record.engine] += 1
            placement.record_end(send(placement, record, now, PLAIN), ExchangeOutcome.ABANDONED, now)
        assert least <= counts["e9"] <= most


def test_a_version_that_is_all_new_keeps_its_prefixes_apart_at_once() -> None:
    old = engines(4)
    new = [engine(number, V2) for number in range(10, 13)]
    directory = view([*old, *new])
    firsts = {**directory.first_seen_at, **dict.fromkeys((record.engine for record in new), 100.0)}
    found = []
    for seed in range(3):
        placement = node(old, seed=seed)
        placement.update_engines(msgspec.structs.replace(directory, first_seen_at=firsts), 100.0)
        found.append([chosen(placement, long_prompt(name), 100.1, (V2, V1)) for name in DOSSIERS])
    assert found[0] == found[1] == found[2]
    assert set(found[0]) == {"e10", "e11", "e12"}


def test_draining_engines_get_nothing_at_once_and_lost_ones_only_as_last_resort() -> None:
    records = engines(2)
    placement = node(records)
    draining = with_status(records[0], EngineStatus.DRAINING)
    placement.update_engines(view([draining, records[1]]), 1.0)
    assert {chosen(placement, SHORT, 1.0) for _ in range(20)} == {"e1"}
    placement.update_engines(view([draining, with_status(records[1], EngineStatus.LOST)]), 2.0)
    assert chosen(placement, SHORT, 2.0) == "e1"
    placement.update_engines(view([draining]), 3.0)
    assert chosen(placement, SHORT, 3.0) is None
    assert known_versions(placement, TEXT) == {V1}
    placement.update_engines(view([with_status(draining, EngineStatus.LEFT)]), 4.0)
    assert known_versions(placement, TEXT) == frozenset()
    assert known_versions(placement, ServiceName("none")) == frozenset()


def test_versions_are_tried_in_their_order() -> None:
    records = [engine(0, V1), engine(1, V1), engine(2, V2)]
    placement = node(records)
    assert chosen(placement, SHORT, 1.0, (V2, V1)) == "e2"
    subjects = [PromptMetadata(((f"s{number}", 92), ("own", 291)), 383, 60) for number in range(20)]
    assert {chosen(placement, prompt, 1.0, (V1, V2)) for prompt in subjects} == {"e0", "e1"}
    placement.update_engines(view([*records[:2], with_status(records[2], EngineStatus.DRAINING)]), 2.0)
    assert chosen(placement, SHORT, 2.0, (V2, V1)) in {"e0", "e1"}
    assert chosen(placement, SHORT, 2.0, (V2,)) is None
    assert chosen(placement, SHORT, 2.0, ()) in {"e0", "e1"}


def test_a_suspect_version_yields_to_the_next() -> None:
    records = [engine(0, V1), engine(1, V2)]
    placement = node(records)
    exchange(placement, records[1], ExchangeOutcome.CONNECT_FAILED, 1.0)
    assert chosen(placement, SHORT, 1.1, (V2, V1)) == "e0"
    assert chosen(placement, SHORT, 1.1, (V2,)) == "e1"


def test_the_limit_names_the_same_engines_at_every_node_and_holds_for_the_first_version() -> None:
    records = [*engines(8, V2), *(engine(number, V1) for number in range(20, 24))]
    used: set[str] = set()
    for seed in range(10):
        placement = node(records, seed=seed)
        for number in range(40):
            prompt = long_prompt(f"d{number}") if number % 2 else PromptMetadata((), 300)
            record = placement.choose(TEXT, (V2, V1), prompt, (), 1.0, engines_limit=2)
            assert record is not None
            assert record.version == V2
            used.add(record.engine)
    assert len(used) == 2
    placement = node(records)
    for name in used:
        record = next(one for one in records if one.engine == name)
        exchange(placement, record, ExchangeOutcome.CONNECT_FAILED, 1.0)
    fallbacks = set()
    for _ in range(40):
        record = placement.choose(TEXT, (V2, V1), PromptMetadata((), 300), (), 1.1, engines_limit=2)
        assert record is not None
        fallbacks.add(record.engine)
        send(placement, record, 1.1, PromptMetadata((), 300))
    assert fallbacks == {"e20", "e21", "e22", "e23"}


def test_excluded_engines_are_never_chosen() -> None:
    records = engines(3)
    placement = node(records)
    for dossier in DOSSIERS[:20]:
        record = placement.choose(TEXT, (V1,), long_prompt(dossier), {EngineId("e0"), EngineId("e2")}, 1.0)
        assert record is not None
        assert record.engine == "e1"
    assert placement.choose(TEXT, (V1,), SHORT, {record.engine for record in records}, 1.0) is None
    assert placement.choose(ServiceName("none"), (), SHORT, (), 1.0) is None


def test_counts_return_to_nothing() -> None:
    records = engines(3)
    placement = node(records)
    source = random.Random(3)
    dispatches = []
    for number in range(60):
        prompt = source.choice([SHORT, PLAIN, long_prompt(f"d{number % 7}")])
        record = placement.choose(TEXT, (), prompt, (), 1.0)
        assert record is not None
        dispatches.append(placement.record_dispatch(record, prompt, 1.0))
    for dispatch in dispatches:
        placement.record_first_event(dispatch, 1.2)
        placement.record_end(dispatch, source.choice(list(ExchangeOutcome)), 1.5)
        placement.record_end(dispatch, ExchangeOutcome.OK, 1.6)
    assert {dispatch.slot.in_flight for dispatch in dispatches} == {0}
    assert {dispatch.slot.prefill_tokens for dispatch in dispatches} == {0.0}


def test_what_others_had_at_a_plain_back_end_a_while_ago_does_not_decide() -> None:
    """A call is over before news of it arrives; the back end that looked free to all would be full."""
    records = engines(3)
    placement = node(records)
    placement.update_other_loads({record.engine: (9.0, 0.0) for record in records[:2]})
    counts = Counter(choose_and_send(placement, PLAIN, 1.0) for _ in range(30))
    assert dict(counts) == {"e0": 10, "e1": 10, "e2": 10}
