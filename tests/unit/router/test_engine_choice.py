"""Engine choice: cache affinity against load, load bound, slow start, versions, repeated losses, draining."""

from __future__ import annotations

from collections import Counter

import pytest

from springmux.control.view import AdmissionLimits
from springmux.rollout.outcome import VersionChoice
from springmux.router import effects as out
from springmux.router.events import ClientDisconnected, StopRequested, UpstreamCause
from springmux.router.prefix_index import MAX_HOLDERS, PrefixIndex, hash_prefix
from springmux.vocabulary.engines import EngineLoad, EngineRecord
from springmux.vocabulary.names import EngineId
from support.playbook import (
    CALL_SERVICE,
    PROMPT_SERVICE,
    V1,
    V2,
    DrivenFlow,
    Playbook,
    chat,
    draining,
    engine,
    stream_chunk,
)

SIX_ENGINES = [engine(f"e{n}") for n in range(6)]


def long_prompt(number: int, tail: str = "") -> bytes:
    return chat("draft", content=f"dossier {number} " * 600 + tail)


def chosen_engine(flow: DrivenFlow) -> str:
    return flow.last_dispatch().engine.engine


def choose_sequentially(playbook: Playbook, prompt_numbers: range) -> dict[int, str]:
    """Return the engine of each prompt; each request ends before the next one begins."""
    engines_by_prompt = {}
    for number in prompt_numbers:
        flow = playbook.open(long_prompt(number))
        engines_by_prompt[number] = chosen_engine(flow)
        flow.deliver(ClientDisconnected())
    return engines_by_prompt


def test_resent_prefixes_return_to_their_engine_with_the_expected_hit() -> None:
    playbook = Playbook(SIX_ENGINES)
    first = choose_sequentially(playbook, range(30))

    again = choose_sequentially(playbook, range(30))

    assert again == first
    # The last, partial block is not indexed.
    assert all(0.8 < outcome.expected_hit < 1.0 for outcome in playbook.version_filter.outcomes[30:])
    assert len(set(first.values())) == 6


def test_nodes_place_new_prefixes_on_the_same_engines() -> None:
    assert choose_sequentially(Playbook(SIX_ENGINES), range(40)) == choose_sequentially(
        Playbook(SIX_ENGINES), range(40)
    )


def test_hot_prefix_spreads_over_all_engines_within_the_load_bound() -> None:
    playbook = Playbook(SIX_ENGINES)
    counts: Counter[str] = Counter()
    for number in range(120):
        counts[chosen_engine(playbook.open(long_prompt(1, str(number))))] += 1
        assert max(counts.values()) <= max(2, 1.25 * sum(counts.values()) / 6 + 1)

    assert len(counts) == 6


def test_short_prompts_avoid_an_engine_that_prefills_a_long_one() -> None:
    playbook = Playbook([engine("e0"), engine("e1")])
    busy = chosen_engine(playbook.open(long_prompt(1)))

    engines_of_short_prompts = {
        chosen_engine(playbook.open(chat(content=str(number)))) for number in range(2)
    }

    assert busy not in engines_of_short_prompts


def test_prefill_is_no_longer_outstanding_after_the_first_chunk() -> None:
    playbook = Playbook([engine("e0")])
    flow = playbook.open(long_prompt(1))
    slot = playbook.router._core.engine_table.slots[EngineId("e0")]
    before = slot.outstanding_tokens
    flow.receive_head()
    flow.receive_data(stream_chunk("r1", 0))

    assert (before > 1000, slot.outstanding_tokens) == (True, 64)
    flow.deliver(ClientDisconnected())
    assert (slot.outstanding_tokens, slot.in_flight) == (0, 0)


def test_reported_load_of_other_nodes_counts_until_the_report_expires() -> None:
    playbook = Playbook(SIX_ENGINES)
    preferred = choose_sequentially(playbook, range(1))[0]
    busy = EngineLoad(EngineId(preferred), 8, 90, measured_at=playbook.now)
    playbook.update_engines(SIX_ENGINES, loads=[busy])

    assert choose_sequentially(playbook, range(1))[0] != preferred
    playbook.now += 5.0
    fresh = Playbook(SIX_ENGINES, now=playbook.now)
    fresh.update_engines(SIX_ENGINES, loads=[busy])
    assert choose_sequentially(fresh, range(1))[0] == preferred


def test_expired_load_reports_are_ignored() -> None:
    playbook = Playbook(SIX_ENGINES)
    preferred = choose_sequentially(playbook, range(1))[0]
    others = [
        EngineLoad(record.engine, 8, 90, measured_at=10.0)
        for record in SIX_ENGINES
        if record.engine != preferred
    ]
    fresh = Playbook(SIX_ENGINES)
    fresh.update_engines(SIX_ENGINES, loads=others)

    assert choose_sequentially(fresh, range(1))[0] == preferred


def test_cached_prefix_outweighs_a_short_wait() -> None:
    playbook = Playbook(SIX_ENGINES)
    preferred = choose_sequentially(playbook, range(1))[0]
    playbook.update_engines(
        SIX_ENGINES, loads=[EngineLoad(EngineId(preferred), 2, 0, measured_at=playbook.now)]
    )

    assert choose_sequentially(playbook, range(1))[0] == preferred


def test_only_the_prefixes_of_a_lost_engine_move_to_several_others() -> None:
    playbook = Playbook(SIX_ENGINES)
    before = choose_sequentially(playbook, range(90))

    playbook.update_engines(SIX_ENGINES[1:])
    after = choose_sequentially(playbook, range(90))

    moved = {number for number in before if before[number] == "e0"}
    assert {number for number in before if before[number] != after[number]} == moved
    assert len({after[number] for number in moved}) >= 4


def test_loss_during_slow_start_of_a_replacement_does_not_flood_it() -> None:
    playbook = Playbook(SIX_ENGINES)
    choose_sequentially(playbook, range(200))
    records_with_replacement = [engine("e0", incarnation=2), *SIX_ENGINES[1:]]
    playbook.update_engines(records_with_replacement, first_seen={"e0": playbook.now})
    early = Counter(choose_sequentially(playbook, range(200, 400)).values())
    playbook.now += 5.0
    half = Counter(choose_sequentially(playbook, range(400, 600)).values())

    playbook.update_engines(
        [record for record in records_with_replacement if record.engine != "e1"], first_seen={"e0": 100.0}
    )
    second = Counter(choose_sequentially(playbook, range(600, 800)).values())
    playbook.now += 5.0
    late = Counter(choose_sequentially(playbook, range(800, 1000)).values())

    assert early["e0"] < half["e0"] < late["e0"]
    assert early["e0"] <= 10
    assert second["e0"] < 40 <= 50
    assert 25 <= late["e0"] <= 60


def test_restarted_engine_has_an_empty_cache() -> None:
    playbook = Playbook([engine("e0")])
    choose_sequentially(playbook, range(1))
    playbook.update_engines([engine("e0", incarnation=2)])
    choose_sequentially(playbook, range(1))

    assert [outcome.expected_hit for outcome in playbook.version_filter.outcomes] == [0.0, 0.0]


def test_draining_engine_gets_no_new_requests_and_keeps_its_streams() -> None:
    playbook = Playbook([engine("e0"), engine("e1")])
    running = [playbook.open(long_prompt(number)) for number in range(4)]
    playbook.update_engines([draining(engine("e0")), engine("e1")])

    later = {chosen_engine(playbook.open(long_prompt(number))) for number in range(4)}

    assert later == {"e1"}
    assert not any(flow.is_done for flow in running)


def test_prefix_index_is_bounded_in_blocks_and_holders() -> None:
    index = PrefixIndex(max_entries=10)
    playbook = Playbook(SIX_ENGINES)
    slots = list(playbook.router._core.engine_table.slots.values())
    for number in range(100):
        index.record(hash_prefix(str(number).encode()), slots[0])
    same = hash_prefix(b"same")
    for slot in slots:
        index.record(same, slot)

    assert len(index) == 10
    assert len(index.lookup(same)) == MAX_HOLDERS


CANDIDATE_FIRST = VersionChoice(versions=(V2, V1), candidate=True)
BOTH_VERSIONS = [*SIX_ENGINES[:3], *(engine(f"c{n}", V2) for n in range(3))]


def playbook_with_choice(engines: list[EngineRecord], choice: VersionChoice = CANDIDATE_FIRST) -> Playbook:
    playbook = Playbook(engines)
    playbook.version_filter.choice = choice
    return playbook


def test_credit_is_returned_if_the_candidate_has_no_engine() -> None:
    playbook = playbook_with_choice(SIX_ENGINES)

    assert playbook.open().last_dispatch().engine.version == V1
    assert playbook.version_filter.returned_credits == [V2]


def test_credit_is_returned_if_the_candidate_is_no_longer_allowed_at_dispatch() -> None:
    playbook = playbook_with_choice(BOTH_VERSIONS)
    playbook.version_filter.allowed = frozenset({V1})

    assert playbook.open().last_dispatch().engine.version == V1
    assert playbook.version_filter.returned_credits == [V2]


def test_sent_candidate_prompt_uses_its_credit_and_is_retried_on_the_stable_version() -> None:
    playbook = playbook_with_choice(BOTH_VERSIONS)
    flow = playbook.open()
    flow.receive_head(500)

    assert [d.engine.version for d in flow.effects_of(out.Dispatch)] == [V2, V1]
    flow.deliver(StopRequested())
    assert playbook.version_filter.returned_credits == []
    assert playbook.version_filter.choice_count == 1


def test_unsent_candidate_prompt_retries_the_candidate_before_returning_its_credit() -> None:
    playbook = playbook_with_choice([*SIX_ENGINES[:3], engine("c0", V2), engine("c1", V2)])
    flow = playbook.open()
    flow.fail_upstream(UpstreamCause.REFUSED, sent=False)
    flow.fail_upstream(UpstreamCause.REFUSED, sent=False)

    assert [d.engine.version for d in flow.effects_of(out.Dispatch)] == [V2, V2, V1]
    assert playbook.version_filter.returned_credits == [V2]


def test_retry_does_not_go_to_another_version_while_the_preferred_one_has_engines() -> None:
    playbook = playbook_with_choice([SIX_ENGINES[0], engine("c0", V2)], VersionChoice(versions=(V1, V2)))
    flow = playbook.open()
    flow.receive_head(500)

    assert [d.engine.version for d in flow.effects_of(out.Dispatch)] == [V1]
    assert flow.error.code == "engine_error"
    last = playbook_with_choice([engine("c0", V2)], VersionChoice(versions=(V1, V2))).open()
    assert last.last_dispatch().engine.version == V2


def test_candidate_prompts_use_no_more_engines_than_the_limit() -> None:
    playbook = playbook_with_choice(
        BOTH_VERSIONS, VersionChoice(versions=(V2, V1), candidate=True, engines_limit=1)
    )
    wider = playbook_with_choice(
        BOTH_VERSIONS, VersionChoice(versions=(V2, V1), candidate=True, engines_limit=2)
    )

    one = {chosen_engine(playbook.open(long_prompt(number))) for number in range(9)}
    two = {chosen_engine(wider.open(long_prompt(number))) for number in range(9)}

    assert len(one) == 1
    assert len(two) == 2
    assert one < two


@pytest.mark.parametrize("service", [PROMPT_SERVICE, CALL_SERVICE])
def test_calls_and_prompts_use_only_engines_of_their_service(service: str) -> None:
    playbook = Playbook(limits=AdmissionLimits())
    flow = playbook.open(call="lookup") if service == CALL_SERVICE else playbook.open()

    assert flow.last_dispatch().engine.service == service
