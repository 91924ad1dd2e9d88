"""Messages and stored records have the same bytes as those of earlier versions.

Guards against a renamed tag or a changed order of fields, which earlier versions can't decode.
"""

from __future__ import annotations

import json
from typing import Any

import msgspec
import pytest

from springmux.agent import wire
from springmux.control.commands import AnyCommand, decode_command, encode_command, encode_uncompressed
from springmux.control.state_snapshot import decode_snapshot, encode_snapshot
from springmux.coordination.claims.journal import ClaimEntry
from springmux.coordination.identifiers import NodeId, Revision, Term
from springmux.node.peer.handshake import Handshake, decode_handshake, encode_handshake
from springmux.storage.records import RecordType
from unit.compatibility.encoded_types import encoded_types
from unit.compatibility.shapes import example_of, shape_of
from unit.compatibility.write_examples import EXAMPLES

EXAMPLE_BY_NAME: dict[str, dict[str, Any]] = json.loads(EXAMPLES.read_text("utf-8"))
TYPES = encoded_types()


def bytes_of(name: str) -> bytes:
    """Return the encoded bytes of an example."""
    return bytes.fromhex(EXAMPLE_BY_NAME[name]["bytes"])


def names_of_group(group: str) -> list[str]:
    """Return the names of the examples of a group."""
    return [name for name in EXAMPLE_BY_NAME if name.startswith(f"{group}/")]


def test_every_encoded_type_has_an_example_and_every_example_a_type() -> None:
    assert sorted(TYPES) == sorted(EXAMPLE_BY_NAME)


@pytest.mark.parametrize("name", sorted(EXAMPLE_BY_NAME))
def test_an_example_is_decoded_and_encoded_again_byte_for_byte(name: str) -> None:
    data = bytes_of(name)
    value = msgspec.msgpack.decode(data, type=TYPES[name])
    assert msgspec.msgpack.encode(value) == data
    assert value == example_of(TYPES[name])


@pytest.mark.parametrize("name", sorted(EXAMPLE_BY_NAME))
def test_the_encoded_form_is_unchanged(name: str) -> None:
    assert shape_of(TYPES[name]) == EXAMPLE_BY_NAME[name]["shape"]


@pytest.mark.parametrize("name", names_of_group("message"))
def test_a_message_is_decoded_by_the_union_of_all_messages(name: str) -> None:
    message = msgspec.msgpack.decode(bytes_of(name), type=TYPES[name])
    sent = wire.encode(Term(7), NodeId("leader"), Revision(9), message)
    assert sent == b"\x94\x07\xa6leader\x09" + bytes_of(name)
    envelope = wire.decode(sent)
    assert (envelope.term, envelope.leader, envelope.revision) == (7, "leader", 9)
    assert type(envelope.message) is TYPES[name]
    assert envelope.message == message


@pytest.mark.parametrize("name", names_of_group("command"))
def test_a_command_is_decoded_by_the_union_of_all_commands(name: str) -> None:
    command: AnyCommand = decode_command(bytes_of(name))
    assert type(command) is TYPES[name]
    assert encode_uncompressed(command) == bytes_of(name)
    assert decode_command(encode_command(command)) == command


@pytest.mark.parametrize("name", names_of_group("handshake"))
def test_a_handshake_is_decoded_by_the_union_of_all_handshakes(name: str) -> None:
    handshake: Handshake = decode_handshake(bytes_of(name))
    assert type(handshake) is TYPES[name]
    assert encode_handshake(handshake) == bytes_of(name)


@pytest.mark.parametrize("name", [name for name in names_of_group("claims") if name != "claims/start"])
def test_a_claim_entry_is_decoded_by_the_union_of_all_entries(name: str) -> None:
    assert type(msgspec.msgpack.decode(bytes_of(name), type=ClaimEntry)) is TYPES[name]


def test_the_state_snapshot_is_decoded_and_encoded_again() -> None:
    image = msgspec.msgpack.decode(bytes_of("snapshot/state"), type=TYPES["snapshot/state"])
    written = encode_snapshot(image)  # type: ignore[arg-type]
    assert decode_snapshot(written) == image
    assert written.startswith(b"SMCTL\x02")


def test_the_numbers_of_record_types_are_unchanged() -> None:
    assert [kind.value for kind in RecordType] == [1, 2, 3, 4, 5, 6]


def test_checker_detects_a_changed_tag() -> None:
    """Mutation: the type of a peer message gets another tag."""

    class Renamed(TYPES["message/MemberNack"], frozen=True, tag="Renamed"):  # type: ignore[misc]
        pass

    with pytest.raises(msgspec.ValidationError):
        msgspec.msgpack.decode(bytes_of("message/MemberNack"), type=Renamed)
    assert shape_of(Renamed) != EXAMPLE_BY_NAME["message/MemberNack"]["shape"]
