"""Ejection of failing and unresponsive engines, and whether the engine or its version is at fault."""

from __future__ import annotations

import pytest

from springmux.control.view import AdmissionLimits
from springmux.coordination.claims.decision import ClaimVerdict
from springmux.router import effects as out
from springmux.router.events import ClientDisconnected, UpstreamCause
from springmux.vocabulary.engines import EngineLoad, EngineRecord
from springmux.vocabulary.names import EngineId
from support.playbook import DONE, DrivenFlow, Playbook, chat, engine, stream_chunk

LARGE_RETRY_BUDGET = AdmissionLimits(retry_floor=10_000)
SIX_ENGINES = [engine(f"e{n}") for n in range(6)]


def finish_stream(flow: DrivenFlow) -> None:
    flow.receive_head()
    flow.receive_data(stream_chunk(flow.request.request_id, 0, last=True) + DONE)
    flow.receive_end()


def play_prompts(playbook: Playbook, dead: set[str], count: int) -> list[str]:
    """Play prompts of different prefixes, refused by ``dead`` engines; return the engines of all attempts."""
    tried: list[str] = []
    for _ in range(count):
        flow = playbook.open(next_prompt_body(playbook))
        while not flow.is_done:
            name = flow.last_dispatch().engine.engine
            tried.append(name)
            if name in dead:
                flow.fail_upstream(UpstreamCause.REFUSED, sent=False)
            else:
                finish_stream(flow)
        playbook.now += 0.01
    return tried


def next_prompt_body(playbook: Playbook) -> bytes:
    return chat(content=f"prompt {playbook.requests}")


def test_refusing_engine_is_ejected_immediately_and_probed_at_growing_intervals() -> None:
    playbook = Playbook(SIX_ENGINES)
    tried = play_prompts(playbook, {"e0"}, 1000)

    assert 3 <= tried.count("e0") <= 6
    assert playbook.router.status().ejections == tried.count("e0")
    assert all(
        outcome.ending != "engine_lost" or outcome.engine == "e0"
        for outcome in playbook.version_filter.outcomes
    )


def test_successful_probe_ends_the_ejection() -> None:
    playbook = Playbook(SIX_ENGINES)
    play_prompts(playbook, {"e0"}, 50)
    playbook.now += 2.0

    tried = play_prompts(playbook, set(), 300)

    assert 20 <= tried.count("e0") <= 90


def test_success_of_a_request_sent_before_the_ejection_does_not_end_it() -> None:
    playbook = Playbook(SIX_ENGINES[:3])
    early = playbook.open(next_prompt_body(playbook))
    name = early.last_dispatch().engine.engine
    while not playbook.router.status().ejections:
        later = playbook.open(next_prompt_body(playbook))
        if later.last_dispatch().engine.engine == name:
            later.fail_upstream(UpstreamCause.REFUSED, sent=False)
    finish_stream(early)

    assert name not in play_prompts(playbook, set(), 30)


def test_half_open_engine_gets_one_probe_at_a_time() -> None:
    playbook = Playbook(SIX_ENGINES)
    play_prompts(playbook, {"e0"}, 50)
    playbook.now += 2.0

    open_flows = [playbook.open(next_prompt_body(playbook)) for _ in range(60)]

    assert sum(flow.last_dispatch().engine.engine == "e0" for flow in open_flows) == 1


def test_at_most_once_request_is_never_the_probe() -> None:
    pages = [engine("p0", service="pages"), engine("p1", service="pages")]
    playbook = Playbook(pages)
    while not playbook.router.status().ejections:
        flow = playbook.open(call="lookup")
        while not flow.is_done:
            if flow.last_dispatch().engine.engine == "p0":
                flow.fail_upstream(UpstreamCause.REFUSED, sent=False)
            else:
                flow.receive_json(b"{}")
    playbook.now += 60.0
    for _ in range(30):
        flow = playbook.open(call="approve")
        flow.decide_claim(ClaimVerdict.GRANTED)
        assert flow.last_dispatch().engine.engine == "p1"
        flow.deliver(ClientDisconnected())


def test_at_most_a_third_of_the_engines_is_ejected() -> None:
    playbook = Playbook(SIX_ENGINES, limits=LARGE_RETRY_BUDGET)
    fail_prompts(playbook, 200)

    slots = playbook.router._core.engine_table.slots.values()
    assert sum(slot.ejected_until >= 0.0 for slot in slots) == 2


def fail_prompts(playbook: Playbook, count: int) -> None:
    for _ in range(count):
        flow = playbook.open(next_prompt_body(playbook))
        while not flow.is_done:
            flow.receive_head(500)


def test_only_engine_is_never_ejected() -> None:
    playbook = Playbook(SIX_ENGINES[:1], limits=LARGE_RETRY_BUDGET)
    fail_prompts(playbook, 20)

    assert playbook.open().effects_of(out.Dispatch)


def test_ejected_engine_is_used_if_no_other_remains() -> None:
    playbook = Playbook(SIX_ENGINES[:3])
    play_prompts(playbook, {"e0"}, 30)
    playbook.update_engines(SIX_ENGINES[:1])

    assert playbook.open().last_dispatch().engine.engine == "e0"


def playbook_after_timeout(listed: bool, loads: list[EngineLoad] | None = None) -> Playbook:
    playbook = Playbook([engine("e0")], limits=AdmissionLimits(retry_floor=0))
    flow = playbook.open()
    playbook.update_engines([engine("e0")] if listed else [], loads=loads or [])
    flow.tick()
    assert flow.error.code == "deadline_exceeded"
    return playbook


def test_timeout_of_an_engine_removed_from_the_directory_is_an_engine_loss() -> None:
    assert playbook_after_timeout(listed=False).version_filter.endings() == ["engine_lost"]


def test_timeout_of_an_engine_that_reports_or_is_still_listed_is_its_versions_fault() -> None:
    alive = EngineLoad(EngineId("e0"), 1, 0, measured_at=109.0)
    assert playbook_after_timeout(listed=True, loads=[alive]).version_filter.endings() == ["timed_out"]
    assert playbook_after_timeout(listed=True).version_filter.endings() == ["timed_out"]


def test_short_timeout_is_classified_once_the_directory_would_have_detected_a_loss() -> None:
    engine_removed, listed = (Playbook([engine("e0")], idle_timeout_s=2.0) for _ in range(2))
    for playbook in (engine_removed, listed):
        flow = playbook.open()
        flow.receive_head()
        flow.receive_data(stream_chunk("r1", 0))
        flow.tick()
        assert playbook.version_filter.endings() == []

    engine_removed.update_engines([])
    listed.now += 2.4
    listed.update_engines([engine("e0")])
    assert listed.version_filter.endings() == []
    listed.now += 0.2
    listed.update_engines([engine("e0")])

    assert (engine_removed.version_filter.endings(), listed.version_filter.endings()) == (
        ["engine_lost"],
        ["timed_out"],
    )


def reset_stream(playbook: Playbook) -> DrivenFlow:
    flow = playbook.open()
    flow.receive_head()
    flow.receive_data(stream_chunk("r1", 0))
    flow.fail_upstream(UpstreamCause.RESET, sent=True)
    assert playbook.version_filter.endings() == []
    playbook.now += 0.1
    return flow


def playbook_without_retries(records: list[EngineRecord] | None = None) -> Playbook:
    return Playbook(records or [engine("e0")], limits=AdmissionLimits(retry_floor=0))


def test_reset_is_the_versions_fault_if_the_engine_responds_to_a_later_request() -> None:
    playbook = playbook_without_retries()
    reset_stream(playbook)
    finish_stream(playbook.open())
    playbook.open()

    assert playbook.version_filter.endings() == ["whole", "broken"]


def test_reset_is_an_engine_loss_if_the_next_connection_is_refused() -> None:
    playbook = playbook_without_retries()
    reset_stream(playbook)
    playbook.open().fail_upstream(UpstreamCause.REFUSED, sent=False)
    playbook.open()

    assert playbook.version_filter.endings() == ["engine_lost", "engine_lost"]


def test_reset_is_an_engine_loss_if_the_engine_is_removed_or_sends_nothing_more() -> None:
    engine_removed, silent = playbook_without_retries(), playbook_without_retries()
    reset_stream(engine_removed)
    engine_removed.update_engines([])
    reset_stream(silent)
    silent.now += 1.0
    silent.open()

    assert engine_removed.version_filter.endings() == silent.version_filter.endings() == ["engine_lost"]


@pytest.mark.parametrize(("alive", "ending"), [(True, "broken"), (False, "engine_lost")])
def test_reset_of_an_engine_with_few_requests_is_classified_by_a_probe(alive: bool, ending: str) -> None:
    playbook = playbook_without_retries()
    probes: list[EngineRecord] = []
    playbook.router.set_probe_listener(probes.append)
    reset_stream(playbook)
    (probed,) = probes

    playbook.router.engine_probed(probed, alive, playbook.now)

    assert playbook.version_filter.endings() == [ending]


def test_probe_begun_before_a_reset_does_not_classify_it_and_another_probe_follows() -> None:
    playbook = playbook_without_retries()
    probes: list[EngineRecord] = []
    playbook.router.set_probe_listener(probes.append)
    flows = [playbook.open() for _ in range(2)]
    for flow, after in zip(flows, (0.01, 0.02), strict=True):
        flow.receive_head()
        flow.fail_upstream(UpstreamCause.RESET, sent=True, after=after)
    playbook.router.engine_probed(probes[0], True, playbook.now)
    assert playbook.version_filter.endings() == ["broken"]

    playbook.router.engine_probed(probes[1], False, playbook.now)

    assert playbook.version_filter.endings() == ["broken", "engine_lost"]
    assert len(probes) == 2


def test_reset_is_the_versions_fault_if_the_engine_accepts_later_requests() -> None:
    """The engine is up and accepts requests, but resets each before its first byte."""
    playbook = playbook_without_retries()
    for _ in range(3):
        playbook.open().fail_upstream(UpstreamCause.RESET, sent=True, after=0.1)
        playbook.now += 0.2
    playbook.now += 1.0
    playbook.open()

    assert playbook.version_filter.endings() == ["broken", "broken", "engine_lost"]


def test_simultaneous_resets_do_not_show_that_the_engine_is_up() -> None:
    playbook = playbook_without_retries()
    flows = [playbook.open() for _ in range(3)]
    for flow in flows:
        flow.fail_upstream(UpstreamCause.RESET, sent=True)
    playbook.open().fail_upstream(UpstreamCause.RESET, sent=True, after=0.1)
    playbook.now += 1.0
    playbook.open()

    assert playbook.version_filter.endings() == ["engine_lost"] * 4


def test_stream_with_a_proper_but_early_end_is_broken_without_waiting() -> None:
    playbook = playbook_without_retries()
    flow = playbook.open()
    flow.receive_head()
    flow.receive_data(stream_chunk("r1", 0))
    flow.receive_end()

    assert playbook.version_filter.endings() == ["broken"]
    assert b"engine_broke_off" in flow.body
