"""Entries merge into the newest state regardless of the order in which, and how often, they arrive."""

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from springmux.agent.directory.entry import (
    DirectoryEntry,
    departed_entry,
    merge_entries,
    refresh_entry,
    stop_entry,
)
from springmux.vocabulary.engines import EngineRecord, EngineStatus

RECORD = EngineRecord("e", "text", "v1", "10.0.0.1:1", 8, incarnation=5)
ENTRIES = st.builds(
    lambda incarnation, sequence, version, intent, health, left: DirectoryEntry(
        EngineRecord("e", "text", version, "10.0.0.1:1", 8, incarnation, sequence), intent, health, left
    ),
    st.integers(1, 2),
    st.integers(0, 2),
    st.sampled_from(["v1", "v2"]),
    st.integers(0, 3),
    st.integers(0, 3),
    st.booleans(),
)


@settings(derandomize=True, max_examples=300)
@given(ENTRIES, ENTRIES, ENTRIES)
def test_merge_is_commutative_associative_and_idempotent(one, two, three):
    assert merge_entries(one, two) == merge_entries(two, one)
    assert merge_entries(one, merge_entries(two, three)) == merge_entries(merge_entries(one, two), three)
    assert merge_entries(one, one) == one


@settings(derandomize=True, max_examples=300)
@given(ENTRIES, ENTRIES)
def test_published_age_key_never_decreases(one, two):
    assert merge_entries(one, two).published().age_key >= one.published().age_key


@settings(derandomize=True, max_examples=100)
@given(ENTRIES)
def test_departure_without_a_record_keeps_the_record_and_the_facts_of_its_incarnation(known):
    merged = merge_entries(known, departed_entry("e", known.record.incarnation))
    assert merged.record == known.record
    assert merged.status is EngineStatus.LEFT
    assert (merged.intent, merged.health) == (max(1, known.intent), known.health)
    assert merge_entries(known, departed_entry("e", known.record.incarnation - 1)) == known


def test_only_an_announcement_reverts_a_drain():
    draining = stop_entry(DirectoryEntry(RECORD), left=False)
    assert draining.status is EngineStatus.DRAINING
    after_heartbeat = refresh_entry(draining, RECORD, draining=False, announced=False)
    assert after_heartbeat.status is EngineStatus.DRAINING
    assert merge_entries(DirectoryEntry(RECORD, health=2), after_heartbeat).status is EngineStatus.DRAINING
    announced = refresh_entry(draining, RECORD, draining=False, announced=True)
    assert merge_entries(draining, announced).status is EngineStatus.READY


@pytest.mark.parametrize("intent", range(4))
@pytest.mark.parametrize("health", range(4))
def test_status_is_lost_only_if_the_engine_is_not_draining(intent, health):
    """Guards against requests to a draining engine as a last resort, because LOST hid that it drains."""
    status = DirectoryEntry(RECORD, intent, health).published().status
    if intent % 2:
        assert status is EngineStatus.DRAINING
    else:
        assert status is (EngineStatus.LOST if health % 2 else EngineStatus.READY)
    assert DirectoryEntry(RECORD, intent, health, left=True).published().status is EngineStatus.LEFT


def test_heartbeat_changes_the_entry_only_if_fields_other_than_the_sequence_differ():
    known = DirectoryEntry(RECORD)
    counted = msgspec.structs.replace(RECORD, sequence=9)
    assert refresh_entry(known, counted, draining=False, announced=False) == known
    upgraded = msgspec.structs.replace(RECORD, sequence=1, version="v2")
    assert refresh_entry(known, upgraded, False, False).published().version == "v2"
