"""Choice of the engine by prefix, load, version and zone."""

from __future__ import annotations

import random
from collections import Counter

import msgspec
import pytest

from springmux.gateway.placement import ExchangeOutcome, Placement, PromptMetadata
from springmux.vocabulary.engines import EngineStatus
from springmux.vocabulary.names import EngineId, ServiceName

from .pool_state import free_capacity, known_versions
from .transcripts import (
    PLAIN,
    SHORT,
    TEXT,
    V1,
    V2,
    choose_and_dispatch,
    chosen_engine,
    complete_request,
    dispatch_to,
    long_prompt,
    make_engine,
    make_engines,
    make_placement,
    make_view,
    with_status,
)

DOCUMENTS = [f"dossier-{number}" for number in range(134)]


def chosen_by_document(placement: Placement, now: float) -> dict[str, str | None]:
    return {document: chosen_engine(placement, long_prompt(document), now) for document in DOCUMENTS}


def test_every_node_chooses_the_same_engine_for_a_prefix() -> None:
    placements = [make_placement(make_engines(12), seed=seed) for seed in range(20)]
    found = [chosen_by_document(placement, 1.0) for placement in placements]
    assert all(one == found[0] for one in found)
    counts = Counter(found[0].values())
    assert len(counts) == 12
    assert max(counts.values()) <= 3 * 134 / 12


def test_engines_get_prefixes_in_proportion_to_their_capacity() -> None:
    records = [make_engine(0, capacity=64), *(make_engine(number, capacity=16) for number in range(1, 5))]
    placement = make_placement(records)
    counts = Counter(chosen_engine(placement, long_prompt(f"p{number}"), 1.0) for number in range(600))
    assert 240 <= counts["e0"] <= 360  # half the capacity


def test_the_loss_of_an_engine_moves_only_its_prefixes() -> None:
    records = make_engines(12)
    placement = make_placement(records)
    before = chosen_by_document(placement, 1.0)
    lost = records[4]
    placement.update_engines(
        make_view([*records[:4], with_status(lost, EngineStatus.LOST), *records[5:]]), 2.0
    )
    after = chosen_by_document(placement, 2.0)
    moved = {document for document in DOCUMENTS if before[document] != after[document]}
    assert moved == {document for document in DOCUMENTS if before[document] == "e4"}
    assert len({after[document] for document in moved}) >= 3


def test_a_small_session_part_does_not_change_the_engine_of_a_prompt() -> None:
    placement = make_placement(make_engines(12))
    with_session = PromptMetadata((("d", 13_300), ("session", 37), ("own", 3000)), 16_337, 100)
    assert chosen_engine(placement, with_session, 1.0) == chosen_engine(placement, long_prompt("d"), 1.0)


def test_a_prefix_leaves_an_engine_with_clearly_more_load_than_the_others() -> None:
    records = make_engines(6)
    placement = make_placement(records, fleet_size=1)
    preferred = chosen_engine(placement, long_prompt("d"), 1.0)
    record = next(record for record in records if record.engine == preferred)
    for number in range(8):
        dispatch_to(placement, record, 1.0, long_prompt(f"other{number}"))
    second = chosen_engine(placement, long_prompt("d"), 1.0)
    assert second != preferred
    others = {chosen_engine(make_placement(records, seed=seed), long_prompt("d"), 1.0) for seed in range(5)}
    assert others == {preferred}


def test_a_prefix_stays_at_an_engine_with_a_short_queue() -> None:
    records = make_engines(6)
    placement = make_placement(records)
    preferred = chosen_engine(placement, long_prompt("d"), 1.0)
    record = next(record for record in records if record.engine == preferred)
    for _ in range(2):
        dispatch_to(placement, record, 1.0, SHORT)
    assert chosen_engine(placement, long_prompt("d"), 1.0) == preferred


def test_a_frequent_prefix_spreads_over_several_engines_and_a_rare_one_does_not() -> None:
    placement = make_placement(make_engines(12), fleet_size=12)
    hot: Counter[str] = Counter()
    rare: set[str | None] = set()
    now = 0.0
    for number in range(200):
        now += 0.1
        document = "rare" if number % 50 == 0 else "hot"
        record = placement.choose(TEXT, (V1,), long_prompt(document), (), now)
        assert record is not None
        dispatch = placement.record_dispatch(record, long_prompt(document), now)
        placement.record_first_event(dispatch, now + 0.09)
        placement.record_end(dispatch, ExchangeOutcome.OK, now + 0.09)
        if document == "rare":
            rare.add(record.engine)
        else:
            hot[record.engine] += 1
    assert len(rare) == 1
    assert 3 <= len(hot) <= 8
    assert max(hot.values()) < 0.5 * sum(hot.values())


def test_short_prompts_avoid_an_engine_with_a_long_prefill() -> None:
    records = make_engines(3)
    placement = make_placement(records)
    dispatch = dispatch_to(placement, records[0], 1.0, long_prompt("d"))
    for _ in range(6):
        assert choose_and_dispatch(placement, SHORT, 1.0) != "e0"
    placement.record_first_event(dispatch, 1.1)
    assert chosen_engine(placement, PromptMetadata((), 300), 3.0) == "e0"


def test_short_prompts_avoid_an_engine_whose_last_response_waited_in_a_queue() -> None:
    records = make_engines(2)
    placement = make_placement(records)
    dispatch = dispatch_to(placement, records[0], 1.0, PromptMetadata((), 383))
    placement.record_first_event(dispatch, 1.4)
    placement.record_end(dispatch, ExchangeOutcome.OK, 1.4)
    # The other engine was used later, so the least recent use favours the first one.
    complete_request(placement, records[1], ExchangeOutcome.OK, 1.42, duration_s=0.01)
    assert {chosen_engine(placement, PromptMetadata((), 383), 1.45) for _ in range(20)} == {"e1"}
    dispatch_to(placement, records[1], 3.0)
    assert chosen_engine(placement, PromptMetadata((), 383), 3.0) == "e0"


def test_short_prompts_spread_evenly() -> None:
    placement = make_placement(make_engines(4))
    counts: Counter[str] = Counter()
    for number in range(400):
        prompt = PromptMetadata((("common", 55), (f"s{number}", 37), (f"o{number}", 291)), 383, 60)
        counts[choose_and_dispatch(placement, prompt, 1.0)] += 1
    assert len(counts) == 4 and all(90 <= count <= 110 for count in counts.values())


def test_a_short_prompt_has_the_same_engines_at_every_node() -> None:
    """Nodes without knowledge of each other send the prompts of one subject to the same engine while idle."""
    records = make_engines(16)
    for subject in range(20):
        prompt = PromptMetadata((("common", 341), (f"s{subject}", 227), ("own", 900)), 1468, 60)
        chosen = {chosen_engine(make_placement(records, seed), prompt, 1.0) for seed in range(10)}
        assert len(chosen) == 1


def test_a_subject_with_many_short_prompts_spreads_beyond_its_engines() -> None:
    """Once a subject's own engines are loaded, other engines serve its prompts as well."""
    placement = make_placement(make_engines(16))
    prompt = PromptMetadata((("common", 341), ("hot", 227), ("own", 900)), 1468, 60)
    counts = Counter(choose_and_dispatch(placement, prompt, 1.0) for _ in range(160))
    assert len(counts) == 16 and max(counts.values()) <= 20


def test_a_session_returns_to_its_engine_unless_its_load_is_higher() -> None:
    records = make_engines(8)
    placement = make_placement(records)
    complete_request(placement, records[5], ExchangeOutcome.OK, 1.0)
    again = PromptMetadata((("common", 55), ("session", 37), ("own2", 291)), 383, 60)
    assert {chosen_engine(placement, again, 3.0) for _ in range(20)} == {"e5"}
    for _ in range(2):
        dispatch_to(placement, records[5], 3.0, PromptMetadata((), 200))
    assert "e5" not in {chosen_engine(placement, again, 3.0) for _ in range(20)}


def test_reported_loads_of_other_nodes_count_until_the_next_report() -> None:
    placement = make_placement(make_engines(2))
    placement.update_other_loads({EngineId("e0"): (3.0, 20_000.0), EngineId("gone"): (1.0, 1.0)})
    assert {chosen_engine(placement, SHORT, 1.0) for _ in range(20)} == {"e1"}
    placement.update_other_loads({EngineId("e1"): (3.0, 20_000.0)})
    assert {chosen_engine(placement, SHORT, 1.0) for _ in range(20)} == {"e0"}


def test_the_estimated_prefill_includes_the_tokens_queued_ahead() -> None:
    records = make_engines(1)
    placement = make_placement(records)
    placement.update_other_loads({records[0].engine: (1.0, 10_000.0)})
    cold = dispatch_to(placement, records[0], 1.0, long_prompt("d"))
    again = dispatch_to(placement, records[0], 1.0, long_prompt("d"))
    assert cold.prefill_wait_s == pytest.approx((cold.expected_tokens + 10_000.0) / 50_000.0)
    assert again.expected_tokens < cold.expected_tokens
    assert again.prefill_wait_s == pytest.approx(
        (again.expected_tokens + cold.expected_tokens + 10_000.0) / 50_000.0
    )


def test_only_changes_of_the_own_load_are_returned() -> None:
    records = make_engines(3)
    placement = make_placement(records)
    first = dispatch_to(placement, records[0], 1.0, PromptMetadata((), 100))
    dispatch_to(placement, records[1], 1.0, PromptMetadata((), 50))
    assert sorted(placement.take_changed_loads()) == [("e0", 1, 100.0), ("e1", 1, 50.0)]
    assert placement.take_changed_loads() == []
    placement.record_first_event(first, 1.1)
    assert placement.take_changed_loads() == [("e0", 1, 0.0)]
    placement.update_engines(make_view(records[1:]), 1.2)
    placement.record_end(first, ExchangeOutcome.OK, 1.3)
    assert placement.take_changed_loads() == [("e0", 0, 0.0)]


def test_a_full_engine_is_avoided_and_has_no_free_capacity() -> None:
    records = [make_engine(0, capacity=2), make_engine(1, capacity=2)]
    placement = make_placement(records)
    assert free_capacity(placement, TEXT, (V1,), 1.0) == 4
    for _ in range(2):
        dispatch_to(placement, records[0], 1.0, PromptMetadata((), 10))
    dispatch_to(placement, records[1], 1.0, PromptMetadata((), 1900))
    assert free_capacity(placement, TEXT, (V1,), 1.0) == 1
    assert chosen_engine(placement, PromptMetadata((), 10), 1.0) == "e1"


def test_plain_requests_go_to_the_least_loaded_engine_and_the_zone_breaks_ties() -> None:
    records = [make_engine(number, capacity=6, zone=zone) for number, zone in enumerate("abbc")]
    placement = make_placement(records, fleet_size=1, zone="c")
    assert {chosen_engine(placement, PLAIN, 1.0) for _ in range(10)} == {"e3"}
    dispatch = dispatch_to(placement, records[3], 1.0, PLAIN)
    assert chosen_engine(placement, PLAIN, 1.0) != "e3"
    placement.record_end(dispatch, ExchangeOutcome.OK, 1.05)
    assert chosen_engine(placement, PLAIN, 1.1) == "e3"


def test_the_zone_does_not_break_ties_when_the_fleet_is_busy() -> None:
    records = [make_engine(number, capacity=6, zone=zone) for number, zone in enumerate("abbc")]
    placement = make_placement(records, fleet_size=12, zone="c")
    now, counts = 1.0, Counter[str]()
    for _ in range(80):
        now += 0.05
        record = placement.choose(TEXT, (V1,), PLAIN, (), now)
        assert record is not None
        counts[record.engine] += 1
        dispatch = dispatch_to(placement, record, now, PLAIN)
        placement.record_end(dispatch, ExchangeOutcome.OK, now + 0.04)
    # This node has one request in flight, so the fleet has twelve on a capacity of 24.
    assert counts["e3"] <= 40


def test_a_new_engine_gets_few_prefixes_at_first_and_its_full_share_later() -> None:
    old = make_engines(4)
    placement = make_placement(old)
    new = make_engine(9)
    directory = make_view([*old, new])
    first_seen = {**directory.first_seen_at, new.engine: 100.0}
    placement.update_engines(msgspec.structs.replace(directory, first_seen_at=first_seen), 100.0)
    shares = []
    for now in (100.5, 105.0, 111.0):
        placed = chosen_by_document(placement, now)
        shares.append({document for document, preferred in placed.items() if preferred == "e9"})
    assert shares[0] <= shares[1] <= shares[2]
    assert len(shares[0]) < 0.4 * len(shares[2])
    assert len(shares[2]) >= 134 / 5 / 2


def test_a_new_engine_gets_few_short_requests_although_it_is_the_least_loaded() -> None:
    old = make_engines(4)
    placement = make_placement(old)
    new = make_engine(9)
    directory = make_view([*old, new])
    first_seen = {**directory.first_seen_at, new.engine: 100.0}
    placement.update_engines(msgspec.structs.replace(directory, first_seen_at=first_seen), 100.0)
    for now, least, most in ((100.5, 10, 60), (105.0, 100, 260), (111.0, 360, 440)):
        counts: Counter[str] = Counter()
        for _ in range(2000):
            record = placement.choose(TEXT, (V1,), PromptMetadata((), 300), (), now)
            assert record is not None
            counts[record.engine] += 1
            placement.record_end(dispatch_to(placement, record, now, PLAIN), ExchangeOutcome.ABANDONED, now)
        assert least <= counts["e9"] <= most


def test_engines_of_an_entirely_new_version_share_its_prefixes_immediately() -> None:
    old = make_engines(4)
    new = [make_engine(number, V2) for number in range(10, 13)]
    directory = make_view([*old, *new])
    first_seen = {**directory.first_seen_at, **dict.fromkeys((record.engine for record in new), 100.0)}
    found = []
    for seed in range(3):
        placement = make_placement(old, seed=seed)
        placement.update_engines(msgspec.structs.replace(directory, first_seen_at=first_seen), 100.0)
        found.append([chosen_engine(placement, long_prompt(name), 100.1, (V2, V1)) for name in DOCUMENTS])
    assert found[0] == found[1] == found[2]
    assert set(found[0]) == {"e10", "e11", "e12"}


def test_draining_engines_get_no_requests_and_lost_ones_only_as_a_last_resort() -> None:
    records = make_engines(2)
    placement = make_placement(records)
    draining = with_status(records[0], EngineStatus.DRAINING)
    placement.update_engines(make_view([draining, records[1]]), 1.0)
    assert {chosen_engine(placement, SHORT, 1.0) for _ in range(20)} == {"e1"}
    placement.update_engines(make_view([draining, with_status(records[1], EngineStatus.LOST)]), 2.0)
    assert chosen_engine(placement, SHORT, 2.0) == "e1"
    placement.update_engines(make_view([draining]), 3.0)
    assert chosen_engine(placement, SHORT, 3.0) is None
    assert known_versions(placement, TEXT) == {V1}
    placement.update_engines(make_view([with_status(draining, EngineStatus.LEFT)]), 4.0)
    assert known_versions(placement, TEXT) == frozenset()
    assert known_versions(placement, ServiceName("none")) == frozenset()


def test_versions_are_used_in_order_of_preference() -> None:
    records = [make_engine(0, V1), make_engine(1, V1), make_engine(2, V2)]
    placement = make_placement(records)
    assert chosen_engine(placement, SHORT, 1.0, (V2, V1)) == "e2"
    subjects = [PromptMetadata(((f"s{number}", 92), ("own", 291)), 383, 60) for number in range(20)]
    assert {chosen_engine(placement, prompt, 1.0, (V1, V2)) for prompt in subjects} == {"e0", "e1"}
    placement.update_engines(make_view([*records[:2], with_status(records[2], EngineStatus.DRAINING)]), 2.0)
    assert chosen_engine(placement, SHORT, 2.0, (V2, V1)) in {"e0", "e1"}
    assert chosen_engine(placement, SHORT, 2.0, (V2,)) is None
    assert chosen_engine(placement, SHORT, 2.0, ()) in {"e0", "e1"}


def test_a_version_with_only_suspect_engines_is_skipped() -> None:
    records = [make_engine(0, V1), make_engine(1, V2)]
    placement = make_placement(records)
    complete_request(placement, records[1], ExchangeOutcome.CONNECT_FAILED, 1.0)
    assert chosen_engine(placement, SHORT, 1.1, (V2, V1)) == "e0"
    assert chosen_engine(placement, SHORT, 1.1, (V2,)) == "e1"


def test_the_engines_limit_selects_the_same_engines_at_every_node_for_the_first_version_only() -> None:
    records = [*make_engines(8, V2), *(make_engine(number, V1) for number in range(20, 24))]
    used: set[str] = set()
    for seed in range(10):
        placement = make_placement(records, seed=seed)
        for number in range(40):
            prompt = long_prompt(f"d{number}") if number % 2 else PromptMetadata((), 300)
            record = placement.choose(TEXT, (V2, V1), prompt, (), 1.0, engines_limit=2)
            assert record is not None
            assert record.version == V2
            used.add(record.engine)
    assert len(used) == 2
    placement = make_placement(records)
    for name in used:
        record = next(one for one in records if one.engine == name)
        complete_request(placement, record, ExchangeOutcome.CONNECT_FAILED, 1.0)
    fallbacks = set()
    for _ in range(40):
        record = placement.choose(TEXT, (V2, V1), PromptMetadata((), 300), (), 1.1, engines_limit=2)
        assert record is not None
        fallbacks.add(record.engine)
        dispatch_to(placement, record, 1.1, PromptMetadata((), 300))
    assert fallbacks == {"e20", "e21", "e22", "e23"}


def test_excluded_engines_are_never_chosen() -> None:
    records = make_engines(3)
    placement = make_placement(records)
    for document in DOCUMENTS[:20]:
        record = placement.choose(TEXT, (V1,), long_prompt(document), {EngineId("e0"), EngineId("e2")}, 1.0)
        assert record is not None
        assert record.engine == "e1"
    assert placement.choose(TEXT, (V1,), SHORT, {record.engine for record in records}, 1.0) is None
    assert placement.choose(ServiceName("none"), (), SHORT, (), 1.0) is None


def test_load_counts_return_to_zero() -> None:
    records = make_engines(3)
    placement = make_placement(records)
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


def test_reported_loads_do_not_count_for_plain_back_ends() -> None:
    """A call ends before a load report of it arrives.

    If reported loads counted, a back end that looks free to all nodes would be full.
    """
    records = make_engines(3)
    placement = make_placement(records)
    placement.update_other_loads({record.engine: (9.0, 0.0) for record in records[:2]})
    counts = Counter(choose_and_dispatch(placement, PLAIN, 1.0) for _ in range(30))
    assert dict(counts) == {"e0": 10, "e1": 10, "e2": 10}
