"""Wire format between nodes: the envelope of every message, and the union of all message types."""

from __future__ import annotations

import functools
import operator
from typing import Any

import msgspec

from springmux.agent import messages as agent_messages
from springmux.agent.directory import messages as directory_messages
from springmux.control import order_messages
from springmux.control.delivery import messages as delivery_messages
from springmux.control.freshness import messages as freshness_messages
from springmux.coordination.claims import messages as claim_messages
from springmux.coordination.consensus import messages as consensus_messages
from springmux.coordination.identifiers import NodeId, Revision, Term
from springmux.coordination.membership import contact_messages
from springmux.coordination.membership import messages as membership_messages
from springmux.coordination.quota import messages as quota_messages
from springmux.coordination.state_machine import PeerMessage
from springmux.coordination.usage import messages as usage_messages
from springmux.rollout import messages as rollout_messages

_MODULES = (
    agent_messages,
    claim_messages,
    consensus_messages,
    contact_messages,
    delivery_messages,
    directory_messages,
    freshness_messages,
    membership_messages,
    order_messages,
    quota_messages,
    rollout_messages,
    usage_messages,
)

ALL_MESSAGES: tuple[type[PeerMessage], ...] = tuple(
    message for module in _MODULES for message in module.MESSAGES
)
"""Every message type of the fleet, each with its own wire tag."""

_AnyMessage: Any = functools.reduce(operator.or_, ALL_MESSAGES)


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A message with the sender's log position: newest term, that term's leader (if known), state revision.

    A node with an older revision fetches the newer state from the sender (:mod:`springmux.control.delivery`).
    """

    term: Term
    leader: NodeId
    revision: Revision
    message: _AnyMessage


_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Envelope] = msgspec.msgpack.Decoder(Envelope)


def encode(term: Term, leader: NodeId | None, revision: Revision, message: PeerMessage) -> bytes:
    """Return the wire bytes of ``message``."""
    return _encoder.encode(Envelope(term, leader or NodeId(""), revision, message))


def decode(data: bytes) -> Envelope:
    """Return the envelope in ``data``.

    :raises msgspec.DecodeError: if the bytes are not a valid message.
    """
    return _decoder.decode(data)
