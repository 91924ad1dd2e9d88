"""Limits of a holder's store: responses are evicted before keys, and only finished keys are evicted."""

from __future__ import annotations

from springmux.coordination.claims.events import ClaimSettings
from springmux.coordination.claims.messages import ClaimAttempt, ClaimRecord, ClaimState
from springmux.coordination.claims.store import ClaimStore
from springmux.coordination.identifiers import NodeId

ATTEMPT = ClaimAttempt(NodeId("a"), 1, "t")


def finished(key: str, answer: bytes = b"") -> ClaimRecord:
    return ClaimRecord(key, (ATTEMPT,), ClaimState.FINISHED, answer)


def running(key: str) -> ClaimRecord:
    return ClaimRecord(key, (ATTEMPT,), ClaimState.RUNNING)


def test_oldest_finished_key_is_evicted_first_and_running_keys_stay() -> None:
    store = ClaimStore(ClaimSettings(max_entries=3))
    for record in (running("r"), finished("old"), finished("new"), finished("newest")):
        store.put(record, 0.0)
    assert [key for key in ("r", "old", "new", "newest") if store.find(key)] == ["r", "new", "newest"]
    store.put(running("r2"), 0.0)
    store.put(running("r3"), 0.0)
    assert not store.has_room()


def test_responses_over_the_size_limit_are_evicted_but_their_keys_stay_finished() -> None:
    store = ClaimStore(ClaimSettings(max_answers_bytes=10))
    store.put(finished("old", b"12345678"), 0.0)
    store.put(finished("new", b"12345678"), 0.0)
    assert store.find("old") == finished("old")
    assert store.find("new") == finished("new", b"12345678")
    assert store.answer_bytes == 8


def test_expired_keys_and_tombstones_are_removed() -> None:
    store = ClaimStore(ClaimSettings(window_s=100.0, tombstone_s=50.0))
    store.put(running("old"), 0.0)
    store.put(running("new"), 60.0)
    store.withdraw(ATTEMPT, 60.0)
    store.expire(105.0)
    assert store.find("old") is None
    assert store.find("new") is not None
    assert store.is_withdrawn(ATTEMPT)
    store.expire(111.0)
    assert not store.is_withdrawn(ATTEMPT)


def test_changes_after_a_position_include_each_record_once() -> None:
    store = ClaimStore(ClaimSettings())
    store.put(running("a"), 0.0)
    store.put(running("b"), 0.0)
    position = store.position
    store.put(finished("a"), 0.0)
    assert [record.key for _, record in store.changes_after(0)] == ["b", "a"]
    assert [record for _, record in store.changes_after(position)] == [finished("a")]
    store.remove("a")
    assert not list(store.changes_after(position))
