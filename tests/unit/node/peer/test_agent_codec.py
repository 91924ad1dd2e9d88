"""The codec reports changes of a sender's log position, and every message."""

from springmux.agent.events import LeaderObserved
from springmux.agent.log_position import LogPosition
from springmux.control.delivery.events import PeerRevisionObserved
from springmux.coordination.identifiers import NodeId, Revision, Term
from springmux.coordination.membership.contact_messages import ContactHeartbeat
from springmux.coordination.state_machine import MessageReceived
from springmux.node.peer.agent_codec import AgentCodec

PEER, LEADER = NodeId("peer"), NodeId("leader")


class Follower:
    """An agent with a settable log position."""

    def __init__(self, term: int, leader: NodeId | None, revision: int) -> None:
        self.log_position = LogPosition(Term(term), leader, Revision(revision))


def kinds(codec: AgentCodec, data: bytes) -> list[type]:
    return [type(event) for event in codec.decode(PEER, data)]


def test_the_first_message_tells_leader_and_revision_the_next_only_itself() -> None:
    own = Follower(1, None, 7)
    data = AgentCodec(Follower(1, LEADER, 7)).encode(ContactHeartbeat(1))
    codec = AgentCodec(own)
    assert kinds(codec, data) == [LeaderObserved, PeerRevisionObserved, MessageReceived]
    own.log_position = LogPosition(Term(1), LEADER, Revision(7))
    assert kinds(codec, data) == [MessageReceived]


def test_a_peer_that_is_ahead_is_heard_each_time() -> None:
    codec = AgentCodec(Follower(1, LEADER, 3))
    data = AgentCodec(Follower(1, LEADER, 4)).encode(ContactHeartbeat(1))
    assert kinds(codec, data) == kinds(codec, data) == [PeerRevisionObserved, MessageReceived]


def test_a_newer_term_is_heard_and_an_older_one_is_not() -> None:
    codec = AgentCodec(Follower(5, LEADER, 0))
    newer = AgentCodec(Follower(6, PEER, 0)).encode(ContactHeartbeat(1))
    older = AgentCodec(Follower(4, PEER, 0)).encode(ContactHeartbeat(1))
    assert LeaderObserved in kinds(codec, newer)
    assert LeaderObserved not in kinds(codec, older)
