"""Changes are relayed once, in batches, and those around a loss of contact a second time."""

from springmux.agent.directory.entry import DirectoryEntry
from springmux.agent.directory.relay_queue import RelayQueue
from springmux.agent.directory.settings import DirectorySettings
from springmux.agent.directory.table import DirectoryTable
from springmux.coordination.state_machine import NEVER
from springmux.vocabulary.engines import EngineRecord

SETTINGS = DirectorySettings()


def entry_of(name):
    return DirectoryEntry(EngineRecord(name, "text", "v1", "10.0.0.1:1", 8, incarnation=1))


def queue_with_changes(*changes):
    """Return a queue whose changes, pairs of time and engine, were relayed at once."""
    table = DirectoryTable()
    queue = RelayQueue(table, SETTINGS)
    for at, name in changes:
        entry = entry_of(name)
        table.merge(entry, at)
        queue.add(entry, at)
        assert queue.take(0.0, at) == [entry]
        queue.expire(at)
    return queue


def test_changes_are_batched():
    queue = queue_with_changes()
    queue.add(entry_of("one"), 1.0)
    assert queue.take(0.5, 1.0) == [entry_of("one")]
    assert queue.due_at == NEVER
    queue.add(entry_of("two"), 1.1)
    assert queue.due_at == 1.5
    assert queue.take(0.5, 1.4) == []
    assert queue.take(0.5, 1.5) == [entry_of("two")]


def test_changes_shortly_before_and_during_a_loss_of_contact_are_relayed_again():
    """Guards against reports that an engine made to a cut-off node and that no other node hears of."""
    noticed_at = 10.0
    queue = queue_with_changes((5.0, "early"), (noticed_at - SETTINGS.contact_loss_s + 0.1, "unheard"))
    queue.expire(noticed_at)
    queue.change_contact(connected=False)
    queue.add(entry_of("unknown"), 11.0)
    assert queue.take(0.0, 11.0) == [entry_of("unknown")]
    queue.expire(100.0)
    queue.change_contact(connected=True)
    assert queue.take(0.0, 100.0) == [entry_of("unheard")], "only what the table still has"


def test_changes_are_relayed_once_while_contact_lasts():
    queue = queue_with_changes((1.0, "one"), (2.0, "two"))
    queue.expire(2.0 + SETTINGS.contact_loss_s)
    queue.change_contact(connected=True)
    assert queue.take(0.0, 10.0) == []
