"""The codec reports changes in a sender's log position, and every message.

Guards against a node that misses a newer leader or revision, for instance because a fetch was lost.
"""

from springmux.agent.events import LeaderObserved
from springmux.agent.log_position import LogPosition
from springmux.control.delivery.events import PeerRevisionObserved
from springmux.coordination.identifiers import NodeId, Revision, Term
from springmux.coordination.membership.contact_messages import ContactHeartbeat
from springmux.coordination.state_machine import MessageReceived
from springmux.node.peer.agent_codec import AgentCodec

PEER, LEADER = NodeId("peer"), NodeId("leader")


class FakeAgent:
    """The part of an agent that the codec reads, with a settable log position."""

    def __init__(self, term: int, leader: NodeId | None, revision: int) -> None:
        self.log_position = LogPosition(Term(term), leader, Revision(revision))


def event_types(codec: AgentCodec, data: bytes) -> list[type]:
    return [type(event) for event in codec.decode(PEER, data)]


def test_an_unchanged_log_position_is_reported_only_with_the_first_message() -> None:
    own = FakeAgent(1, None, 7)
    data = AgentCodec(FakeAgent(1, LEADER, 7)).encode(ContactHeartbeat(1))
    codec = AgentCodec(own)
    assert event_types(codec, data) == [LeaderObserved, PeerRevisionObserved, MessageReceived]
    own.log_position = LogPosition(Term(1), LEADER, Revision(7))
    assert event_types(codec, data) == [MessageReceived]


def test_every_message_of_a_peer_that_is_ahead_reports_its_revision() -> None:
    codec = AgentCodec(FakeAgent(1, LEADER, 3))
    data = AgentCodec(FakeAgent(1, LEADER, 4)).encode(ContactHeartbeat(1))
    assert event_types(codec, data) == event_types(codec, data) == [PeerRevisionObserved, MessageReceived]


def test_the_leader_of_a_newer_term_is_reported_and_that_of_an_older_is_not() -> None:
    codec = AgentCodec(FakeAgent(5, LEADER, 0))
    newer = AgentCodec(FakeAgent(6, PEER, 0)).encode(ContactHeartbeat(1))
    older = AgentCodec(FakeAgent(4, PEER, 0)).encode(ContactHeartbeat(1))
    assert LeaderObserved in event_types(codec, newer)
    assert LeaderObserved not in event_types(codec, older)
