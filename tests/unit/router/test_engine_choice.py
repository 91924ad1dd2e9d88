"""Choice of engines: affinity against load, bounds, slow start, versions, loss after loss, drain."""

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
from support.playbook import PAGES, TEXT, V1, V2, Playbook, Scene, chat, draining, engine, piece

SIX = [engine(f"e{n}") for n in range(6)]


def long_prompt(number: int, tail: str = "") -> bytes:
    return chat("draft", content=f"dossier {number} " * 600 + tail)


def where(scene: Scene) -> str:
    return scene.dispatched().engine.engine


def one_after_another(playbook: Playbook, numbers: range) -> dict[int, str]:
    """Each prompt ends before the next one comes."""
    found = {}
    for number in numbers:
        scene = playbook.open(long_prompt(number))
        found[number] = where(scene)
        scene.give(ClientDisconnected())
    return found


def test_a_prefix_returns_to_its_engine_and_says_so() -> None:
    playbook = Playbook(SIX)
    first = one_after_another(playbook, range(30))

    again = one_after_another(playbook, range(30))

    assert again == first
    # The last, partial block is not indexed.
    assert all(0.8 < outcome.expected_hit < 1.0 for outcome in playbook.chooser.outcomes[30:])
    assert len(set(first.values())) == 6


def test_nodes_agree_on_the_place_of_a_new_prefix_without_a_message() -> None:
    assert one_after_another(Playbook(SIX), range(40)) == one_after_another(Playbook(SIX), range(40))


def test_a_hot_prefix_spreads_within_the_bound() -> None:
    playbook = Playbook(SIX)
    counts: Counter[str] = Counter()
    for number in range(120):
        counts[where(playbook.open(long_prompt(1, str(number))))] += 1
        assert max(counts.values()) <= max(2, 1.25 * sum(counts.values()) / 6 + 1)

    assert len(counts) == 6


def test_short_work_avoids_an_engine_that_prefills() -> None:
    playbook = Playbook([engine("e0"), engine("e1")])
    busy = where(playbook.open(long_prompt(1)))

    captions = {where(playbook.open(chat(content=str(number)))) for number in range(2)}

    assert busy not in captions


def test_with_the_first_piece_the_prefill_is_no_longer_outstanding() -> None:
    playbook = Playbook([engine("e0")])
    scene = playbook.open(long_prompt(1))
    slot = playbook.router._core.engine_table.slots[EngineId("e0")]
    before = slot.outstanding_tokens
    scene.head()
    scene.data(piece("r1", 0))

    assert (before > 1000, slot.outstanding_tokens) == (True, 64)
    scene.give(ClientDisconnected())
    assert (slot.outstanding_tokens, slot.in_flight) == (0, 0)


def test_reports_of_other_nodes_load_count_while_they_are_fresh() -> None:
    playbook = Playbook(SIX)
    home = one_after_another(playbook, range(1))[0]
    busy = EngineLoad(EngineId(home), 8, 90, measured_at=playbook.now)
    playbook.see(SIX, loads=[busy])

    assert one_after_another(playbook, range(1))[0] != home
    playbook.now += 5.0
    fresh = Playbook(SIX, now=playbook.now)
    fresh.see(SIX, loads=[busy])
    assert one_after_another(fresh, range(1))[0] == home


def test_a_stale_report_says_nothing() -> None:
    playbook = Playbook(SIX)
    home = one_after_another(playbook, range(1))[0]
    others = [EngineLoad(record.engine, 8, 90, measured_at=10.0) for record in SIX if record.engine != home]
    fresh = Playbook(SIX)
    fresh.see(SIX, loads=others)

    assert one_after_another(fresh, range(1))[0] == home


def test_a_cached_prefix_outweighs_some_waiting() -> None:
    playbook = Playbook(SIX)
    home = one_after_another(playbook, range(1))[0]
    playbook.see(SIX, loads=[EngineLoad(EngineId(home), 2, 0, measured_at=playbook.now)])

    assert one_after_another(playbook, range(1))[0] == home


def test_a_lost_engines_prefixes_spread_and_the_others_stay() -> None:
    playbook = Playbook(SIX)
    before = one_after_another(playbook, range(90))

    playbook.see(SIX[1:])
    after = one_after_another(playbook, range(90))

    moved = {number for number in before if before[number] == "e0"}
    assert {number for number in before if before[number] != after[number]} == moved
    assert len({after[number] for number in moved}) >= 4


def test_a_second_loss_after_a_replacement_finds_no_cold_herd() -> None:
    playbook = Playbook(SIX)
    one_after_another(playbook, range(200))
    replaced = [engine("e0", incarnation=2), *SIX[1:]]
    playbook.see(replaced, first_seen={"e0": playbook.now})
    early = Counter(one_after_another(playbook, range(200, 400)).values())
    playbook.now += 5.0
    half = Counter(one_after_another(playbook, range(400, 600)).values())

    playbook.see([record for record in replaced if record.engine != "e1"], first_seen={"e0": 100.0})
    second = Counter(one_after_another(playbook, range(600, 800)).values())
    playbook.now += 5.0
    late = Counter(one_after_another(playbook, range(800, 1000)).values())

    assert early["e0"] < half["e0"] < late["e0"]
    assert early["e0"] <= 10
    assert second["e0"] < 40 <= 50
    assert 25 <= late["e0"] <= 60


def test_a_restarted_engine_is_cold() -> None:
    playbook = Playbook([engine("e0")])
    one_after_another(playbook, range(1))
    playbook.see([engine("e0", incarnation=2)])
    one_after_another(playbook, range(1))

    assert [outcome.expected_hit for outcome in playbook.chooser.outcomes] == [0.0, 0.0]


def test_a_draining_engine_gets_nothing_new_and_finishes_its_streams() -> None:
    playbook = Playbook([engine("e0"), engine("e1")])
    running = [playbook.open(long_prompt(number)) for number in range(4)]
    playbook.see([draining(engine("e0")), engine("e1")])

    later = {where(playbook.open(long_prompt(number))) for number in range(4)}

    assert later == {"e1"}
    assert not any(scene.over for scene in running)


def test_the_index_is_bounded() -> None:
    index = PrefixIndex(max_entries=10)
    playbook = Playbook(SIX)
    slots = list(playbook.router._core.engine_table.slots.values())
    for number in range(100):
        index.record(hash_prefix(str(number).encode()), slots[0])
    same = hash_prefix(b"same")
    for slot in slots:
        index.record(same, slot)

    assert len(index) == 10
    assert len(index.lookup(same)) == MAX_HOLDERS


CANDIDATE_FIRST = VersionChoice(versions=(V2, V1), candidate=True)
BOTH = [*SIX[:3], *(engine(f"c{n}", V2) for n in range(3))]


def rollout(engines: list[EngineRecord], choice: VersionChoice = CANDIDATE_FIRST) -> Playbook:
    playbook = Playbook(engines)
    playbook.chooser.choice = choice
    return playbook


def test_a_credit_is_returned_where_the_candidate_has_no_engine() -> None:
    playbook = rollout(SIX)

    assert playbook.open().dispatched().engine.version == V1
    assert playbook.chooser.given_back == [V2]


def test_a_credit_is_returned_when_the_lease_is_gone_at_dispatch() -> None:
    playbook = rollout(BOTH)
    playbook.chooser.allowed = frozenset({V1})

    assert playbook.open().dispatched().engine.version == V1
    assert playbook.chooser.given_back == [V2]


def test_a_sent_candidate_prompt_keeps_its_credit_and_is_retried_on_stable() -> None:
    playbook = rollout(BOTH)
    scene = playbook.open()
    scene.head(500)

    assert [d.engine.version for d in scene.all(out.Dispatch)] == [V2, V1]
    scene.give(StopRequested())
    assert playbook.chooser.given_back == []
    assert playbook.chooser.chosen == 1


def test_an_unsent_candidate_prompt_tries_the_candidate_again_then_returns_its_credit() -> None:
    playbook = rollout([*SIX[:3], engine("c0", V2), engine("c1", V2)])
    scene = playbook.open()
    scene.fail(UpstreamCause.REFUSED, sent=False)
    scene.fail(UpstreamCause.REFUSED, sent=False)

    assert [d.engine.version for d in scene.all(out.Dispatch)] == [V2, V2, V1]
    assert playbook.chooser.given_back == [V2]


def test_a_retry_never_leaks_to_a_version_that_was_not_preferred() -> None:
    playbook = rollout([SIX[0], engine("c0", V2)], VersionChoice(versions=(V1, V2)))
    scene = playbook.open()
    scene.head(500)

    assert [d.engine.version for d in scene.all(out.Dispatch)] == [V1]
    assert scene.error.code == "engine_error"
    last = rollout([engine("c0", V2)], VersionChoice(versions=(V1, V2))).open()
    assert last.dispatched().engine.version == V2


def test_the_canary_is_concentrated_on_as_many_engines_as_allowed() -> None:
    playbook = rollout(BOTH, VersionChoice(versions=(V2, V1), candidate=True, engines_limit=1))
    wider = rollout(BOTH, VersionChoice(versions=(V2, V1), candidate=True, engines_limit=2))

    one = {where(playbook.open(long_prompt(number))) for number in range(9)}
    two = {where(wider.open(long_prompt(number))) for number in range(9)}

    assert len(one) == 1
    assert len(two) == 2
    assert one < two


@pytest.mark.parametrize("service", [TEXT, PAGES])
def test_calls_and_prompts_use_only_their_services_engines(service: str) -> None:
    playbook = Playbook(limits=AdmissionLimits())
    scene = playbook.open(call="lookup") if service == PAGES else playbook.open()

    assert scene.dispatched().engine.service == service
