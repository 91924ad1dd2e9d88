"""The codec passes on what is news of a sender's place, and every message."""

from springmux.agent.events import LeaderObserved
from springmux.control.delivery.events import PeerRevisionObserved
from springmux.coordination.identifiers import NodeId, Revision, Term
from springmux.coordination.membership.contact_messages import ContactHeartbeat
from springmux.coordination.state_machine import MessageReceived
from springmux.node.peer.agent_codec import AgentCodec

PEER, LEADER = NodeId("peer"), NodeId("leader")


class Placed:
    """An agent's place."""

    def __init__(self, term: int, leader: NodeId | None, revision: int) -> None:
        self.place: tuple[Term, NodeId | None, Revision] = (Term(term), leader, Revision(revision))


def kinds(codec: AgentCodec, data: bytes) -> list[type]:
    return [type(event) for event in codec.decode(PEER, data)]


def test_the_first_message_tells_leader_and_revision_the_next_only_itself() -> None:
    own = Placed(1, None, 7)
    data = AgentCodec(Placed(1, LEADER, 7)).encode(ContactHeartbeat(1))
    codec = AgentCodec(own)
    assert kinds(codec, data) == [LeaderObserved, PeerRevisionObserved, MessageReceived]
    own.place = (Term(1), LEADER, Revision(7))
    assert kinds(codec, data) == [MessageReceived]


def test_a_peer_that_is_ahead_is_heard_each_time() -> None:
    codec = AgentCodec(Placed(1, LEADER, 3))
    data = AgentCodec(Placed(1, LEADER, 4)).encode(ContactHeartbeat(1))
    assert kinds(codec, data) == kinds(codec, data) == [PeerRevisionObserved, MessageReceived]


def test_a_newer_term_is_heard_and_an_older_one_is_not() -> None:
    codec = AgentCodec(Placed(5, LEADER, 0))
    newer = AgentCodec(Placed(6, PEER, 0)).encode(ContactHeartbeat(1))
    older = AgentCodec(Placed(4, PEER, 0)).encode(ContactHeartbeat(1))
    assert LeaderObserved in kinds(codec, newer)
    assert LeaderObserved not in kinds(codec, older)
