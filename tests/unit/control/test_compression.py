"""Tests the compression of commands and snapshots: round trips, damaged bytes, and resent orders."""

from __future__ import annotations

import msgspec
import pytest

from springmux.agent.effects import PrepareCommands
from springmux.agent.state_applier import StateApplier
from springmux.control import compression
from springmux.control.commands import AnyCommand, ApplyGateway, decode_command, encode_command
from springmux.control.compression import (
    COMPRESS_FROM_BYTES,
    MARKER,
    MAX_UNCOMPRESSED_BYTES,
    compress,
    decompress,
    uncompressed_size_bytes,
)
from springmux.control.delivery.effects import ApplyCommands
from springmux.control.delivery.messages import DeliveredCommand
from springmux.control.state import ControlState
from springmux.control.state_snapshot import FORMAT, FORMAT_UNCOMPRESSED, decode_snapshot
from springmux.coordination.identifiers import Revision
from springmux.vocabulary.names import OrderId
from tests.unit.control.support import Log, put_tenant

LARGE = b'{"name":"route"}' * 20_000


def gateway_change(routes: int) -> AnyCommand:
    names = [f"route-{number}" for number in range(routes)]
    items = [
        {"name": name, "host": "a.example", "path_prefix": f"/{name}/", "service": "s"} for name in names
    ]
    document = {"version": 1, "routes": items, "services": [{"name": "s"}]}
    return ApplyGateway(order=OrderId("o"), base_version=0, document=msgspec.json.encode(document))


@pytest.mark.parametrize("uncompressed", [b"", b"\x80", b"x" * (COMPRESS_FROM_BYTES - 1), LARGE])
def test_decompression_restores_the_compressed_bytes(uncompressed: bytes) -> None:
    data = compress(uncompressed)
    assert decompress(data) == uncompressed
    assert uncompressed_size_bytes(data) == len(uncompressed)


def test_only_large_values_are_compressed() -> None:
    assert compress(LARGE[: COMPRESS_FROM_BYTES - 1]) == LARGE[: COMPRESS_FROM_BYTES - 1]
    assert len(compress(LARGE)) < len(LARGE) // 50


@pytest.mark.parametrize(
    "data",
    [
        MARKER,
        MARKER + b"\x00\x00\x00\x05",
        compress(LARGE)[:-1],
        compress(LARGE)[:40] + b"\xff\xff" + compress(LARGE)[42:],
        MARKER + (len(LARGE) - 1).to_bytes(4, "big") + compress(LARGE)[5:],
        MARKER + (len(LARGE) + 1).to_bytes(4, "big") + compress(LARGE)[5:],
        MARKER + (MAX_UNCOMPRESSED_BYTES + 1).to_bytes(4, "big") + compress(LARGE)[5:],
    ],
)
def test_damaged_bytes_are_rejected(data: bytes) -> None:
    with pytest.raises(msgspec.DecodeError):
        decompress(data)
    with pytest.raises(msgspec.DecodeError):
        decode_command(data)


def test_a_large_command_survives_encoding_and_decoding() -> None:
    command = gateway_change(500)
    data = encode_command(command)
    assert data.startswith(MARKER) and len(data) < 8_000
    assert decode_command(data) == command


def test_a_resent_order_is_recognized_whatever_its_compression(monkeypatch: pytest.MonkeyPatch) -> None:
    """Builds of zlib differ, so replicas that digest compressed bytes would disagree on resent orders."""
    command = gateway_change(500)
    data = encode_command(command)
    state = ControlState()
    first = state.apply(Revision(1), data)
    monkeypatch.setattr(compression, "LEVEL", 9)
    resent = encode_command(command)
    assert resent != data
    assert first is not None and state.apply(Revision(2), resent) == first


def test_a_command_that_is_large_only_when_uncompressed_is_parsed_off_the_event_loop() -> None:
    data = encode_command(gateway_change(1_000))
    assert len(data) < 64 * 1024 < uncompressed_size_bytes(data)
    work = ApplyCommands((DeliveredCommand(Revision(0), Revision(1), data),))
    assert StateApplier().enqueue(work) == ([], [PrepareCommands((data,))])


def test_a_snapshot_of_an_earlier_program_is_decoded() -> None:
    log = Log(ControlState())
    for number in range(400):
        log.run(put_tenant(f"order-{number}", f"tenant-{number}"))
    snapshot = log.state.snapshot()
    header = len(FORMAT) + 8
    assert snapshot.startswith(FORMAT) and snapshot[header : header + 1] == MARKER
    earlier_format = FORMAT_UNCOMPRESSED + snapshot[len(FORMAT) : header] + decompress(snapshot[header:])
    assert len(earlier_format) > 2 * len(snapshot)
    assert decode_snapshot(earlier_format) == decode_snapshot(snapshot)
    restored = ControlState()
    restored.restore(earlier_format)
    assert restored.snapshot() == snapshot
