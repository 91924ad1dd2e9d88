"""Engines that fail in a row or go dark, and whose fault it was."""

from __future__ import annotations

import pytest

from springmux.control.view import AdmissionLimits
from springmux.coordination.claims.decision import ClaimVerdict
from springmux.router import effects as out
from springmux.router.events import ClientDisconnected, UpstreamCause
from springmux.vocabulary.engines import EngineLoad, EngineRecord
from springmux.vocabulary.names import EngineId
from support.playbook import DONE, Playbook, Scene, chat, engine, piece

GENEROUS = AdmissionLimits(retry_floor=10_000)
SIX = [engine(f"e{n}") for n in range(6)]


def finish(scene: Scene) -> None:
    scene.head()
    scene.data(piece(scene.request.request_id, 0, last=True) + DONE)
    scene.end()


def play(playbook: Playbook, dead: set[str], count: int) -> list[str]:
    """Play prompts of different prefixes against engines of which some refuse; return all that were tried."""
    tried: list[str] = []
    for _ in range(count):
        scene = playbook.open(content(playbook))
        while not scene.over:
            name = scene.dispatched().engine.engine
            tried.append(name)
            if name in dead:
                scene.fail(UpstreamCause.REFUSED, sent=False)
            else:
                finish(scene)
        playbook.now += 0.01
    return tried


def content(playbook: Playbook) -> bytes:
    return chat(content=f"prompt {playbook.requests}")


def test_a_refusing_engine_is_out_at_once_and_probed_ever_more_rarely() -> None:
    playbook = Playbook(SIX)
    tried = play(playbook, {"e0"}, 1000)

    assert 3 <= tried.count("e0") <= 6
    assert playbook.router.status().ejections == tried.count("e0")
    assert all(
        outcome.ending != "engine_lost" or outcome.engine == "e0" for outcome in playbook.chooser.outcomes
    )


def test_an_engine_comes_back_by_one_good_probe() -> None:
    playbook = Playbook(SIX)
    play(playbook, {"e0"}, 50)
    playbook.now += 2.0

    tried = play(playbook, set(), 300)

    assert 20 <= tried.count("e0") <= 90


def test_an_answer_from_before_the_ejection_does_not_undo_it() -> None:
    playbook = Playbook(SIX[:3])
    early = playbook.open(content(playbook))
    name = early.dispatched().engine.engine
    while not playbook.router.status().ejections:
        later = playbook.open(content(playbook))
        if later.dispatched().engine.engine == name:
            later.fail(UpstreamCause.REFUSED, sent=False)
    finish(early)

    assert name not in play(playbook, set(), 30)


def test_a_half_open_engine_gets_one_probe_at_a_time() -> None:
    playbook = Playbook(SIX)
    play(playbook, {"e0"}, 50)
    playbook.now += 2.0

    open_scenes = [playbook.open(content(playbook)) for _ in range(60)]

    assert sum(scene.dispatched().engine.engine == "e0" for scene in open_scenes) == 1


def test_an_approval_is_never_the_probe() -> None:
    pages = [engine("p0", service="pages"), engine("p1", service="pages")]
    playbook = Playbook(pages)
    while not playbook.router.status().ejections:
        scene = playbook.open(call="lookup")
        while not scene.over:
            if scene.dispatched().engine.engine == "p0":
                scene.fail(UpstreamCause.REFUSED, sent=False)
            else:
                scene.answer(b"{}")
    playbook.now += 60.0
    for _ in range(30):
        scene = playbook.open(call="approve")
        scene.claim(ClaimVerdict.GRANTED)
        assert scene.dispatched().engine.engine == "p1"
        scene.give(ClientDisconnected())


def test_never_more_than_a_third_is_out() -> None:
    playbook = Playbook(SIX, limits=GENEROUS)
    everything_fails(playbook, 200)

    slots = playbook.router._core.engine_table.slots.values()
    assert sum(slot.ejected_until >= 0.0 for slot in slots) == 2


def everything_fails(playbook: Playbook, count: int) -> None:
    for _ in range(count):
        scene = playbook.open(content(playbook))
        while not scene.over:
            scene.head(500)


def test_the_only_engine_is_never_out() -> None:
    playbook = Playbook(SIX[:1], limits=GENEROUS)
    everything_fails(playbook, 20)

    assert playbook.open().all(out.Dispatch)


def test_if_only_ejected_engines_remain_they_are_used() -> None:
    playbook = Playbook(SIX[:3])
    play(playbook, {"e0"}, 30)
    playbook.see(SIX[:1])

    assert playbook.open().dispatched().engine.engine == "e0"


def timed_out(listed: bool, loads: list[EngineLoad] | None = None) -> Playbook:
    playbook = Playbook([engine("e0")], limits=AdmissionLimits(retry_floor=0))
    scene = playbook.open()
    playbook.see([engine("e0")] if listed else [], loads=loads or [])
    scene.tick()
    assert scene.error.code == "deadline_exceeded"
    return playbook


def test_a_timeout_of_an_engine_that_the_directory_lost_is_the_engines_loss() -> None:
    assert timed_out(listed=False).chooser.endings() == ["engine_lost"]


def test_a_timeout_of_an_engine_that_reports_or_is_still_listed_is_its_versions_fault() -> None:
    alive = EngineLoad(EngineId("e0"), 1, 0, measured_at=109.0)
    assert timed_out(listed=True, loads=[alive]).chooser.endings() == ["timed_out"]
    assert timed_out(listed=True).chooser.endings() == ["timed_out"]


def test_a_short_silence_waits_until_the_directory_would_know() -> None:
    gone, listed = (Playbook([engine("e0")], idle_timeout_s=2.0) for _ in range(2))
    for playbook in (gone, listed):
        scene = playbook.open()
        scene.head()
        scene.data(piece("r1", 0))
        scene.tick()
        assert playbook.chooser.endings() == []

    gone.see([])
    listed.now += 2.4
    listed.see([engine("e0")])
    assert listed.chooser.endings() == []
    listed.now += 0.2
    listed.see([engine("e0")])

    assert (gone.chooser.endings(), listed.chooser.endings()) == (["engine_lost"], ["timed_out"])


def broken_off(playbook: Playbook) -> Scene:
    scene = playbook.open()
    scene.head()
    scene.data(piece("r1", 0))
    scene.fail(UpstreamCause.RESET, sent=True)
    assert playbook.chooser.endings() == []
    playbook.now += 0.1
    return scene


def lone(records: list[EngineRecord] | None = None) -> Playbook:
    return Playbook(records or [engine("e0")], limits=AdmissionLimits(retry_floor=0))


def test_a_reset_is_the_versions_fault_if_the_engine_goes_on_answering() -> None:
    playbook = lone()
    broken_off(playbook)
    finish(playbook.open())
    playbook.open()

    assert playbook.chooser.endings() == ["whole", "broken"]


def test_a_reset_is_the_engines_loss_if_the_next_connection_is_refused() -> None:
    playbook = lone()
    broken_off(playbook)
    playbook.open().fail(UpstreamCause.REFUSED, sent=False)
    playbook.open()

    assert playbook.chooser.endings() == ["engine_lost", "engine_lost"]


def test_a_reset_is_the_engines_loss_if_the_directory_says_so_or_nothing_is_heard() -> None:
    gone, silent = lone(), lone()
    broken_off(gone)
    gone.see([])
    broken_off(silent)
    silent.now += 1.0
    silent.open()

    assert gone.chooser.endings() == silent.chooser.endings() == ["engine_lost"]


@pytest.mark.parametrize(("alive", "ending"), [(True, "broken"), (False, "engine_lost")])
def test_a_reset_of_an_engine_that_gets_little_is_explained_by_a_probe(alive: bool, ending: str) -> None:
    playbook = lone()
    probes: list[EngineRecord] = []
    playbook.router.set_probe_listener(probes.append)
    broken_off(playbook)
    (probed,) = probes

    playbook.router.engine_probed(probed, alive, playbook.now)

    assert playbook.chooser.endings() == [ending]


def test_a_probe_begun_before_a_reset_says_nothing_of_it_and_another_follows() -> None:
    playbook = lone()
    probes: list[EngineRecord] = []
    playbook.router.set_probe_listener(probes.append)
    scenes = [playbook.open() for _ in range(2)]
    for scene, after in zip(scenes, (0.01, 0.02), strict=True):
        scene.head()
        scene.fail(UpstreamCause.RESET, sent=True, after=after)
    playbook.router.engine_probed(probes[0], True, playbook.now)
    assert playbook.chooser.endings() == ["broken"]

    playbook.router.engine_probed(probes[1], False, playbook.now)

    assert playbook.chooser.endings() == ["broken", "engine_lost"]
    assert len(probes) == 2


def test_a_reset_is_the_versions_fault_if_later_requests_still_reach_the_engine() -> None:
    """The engine lives and takes requests, but resets each before its first byte."""
    playbook = lone()
    for _ in range(3):
        playbook.open().fail(UpstreamCause.RESET, sent=True, after=0.1)
        playbook.now += 0.2
    playbook.now += 1.0
    playbook.open()

    assert playbook.chooser.endings() == ["broken", "broken", "engine_lost"]


def test_resets_together_with_the_first_say_nothing_of_the_engines_life() -> None:
    playbook = lone()
    scenes = [playbook.open() for _ in range(3)]
    for scene in scenes:
        scene.fail(UpstreamCause.RESET, sent=True)
    playbook.open().fail(UpstreamCause.RESET, sent=True, after=0.1)
    playbook.now += 1.0
    playbook.open()

    assert playbook.chooser.endings() == ["engine_lost"] * 4


def test_a_stream_that_ends_properly_but_too_early_is_broken_at_once() -> None:
    playbook = lone()
    scene = playbook.open()
    scene.head()
    scene.data(piece("r1", 0))
    scene.end()

    assert playbook.chooser.endings() == ["broken"]
    assert b"engine_broke_off" in scene.body
