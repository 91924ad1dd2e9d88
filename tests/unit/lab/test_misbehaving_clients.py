"""Misbehaving clients of the soak leave their requests unfinished; processes that hold too much are found."""

from __future__ import annotations

import random
from pathlib import Path

import pytest

from springmux.lab.soak.findings import Findings, Rule
from springmux.lab.soak.fleet import CONTROL_PORT, FRONT_PORT, MEMORY_BYTES, READY_PORT, SoakFleet
from springmux.lab.soak.misbehaving_clients import LISTENER_PORTS, Misbehavior, make_script
from springmux.lab.soak.plan import SoakSize
from springmux.node.http.bodies import request_body_decoder
from springmux.node.http.heads import RequestHeadReader

HEAD_LIMIT_BYTES = 16_384
UNFINISHED_BODIES = [
    Misbehavior.UNFINISHED_BODY,
    Misbehavior.TINY_CHUNKS,
    Misbehavior.TOO_LARGE,
    Misbehavior.DRIP,
]


@pytest.mark.parametrize("port", [FRONT_PORT, READY_PORT, CONTROL_PORT])
@pytest.mark.parametrize("kind", UNFINISHED_BODIES)
def test_bodies_are_valid_and_never_end(kind: Misbehavior, port: int) -> None:
    sent = b"".join(make_script(kind, port, "key").pieces)
    reader = RequestHeadReader()
    used = reader.feed(sent)
    assert used is not None
    decoder, _ = request_body_decoder(reader.head())
    decoder.feed(sent[used:])
    while decoder.undecoded_bytes:
        decoder.feed(b"")
    assert not decoder.done


@pytest.mark.parametrize("port", LISTENER_PORTS)
def test_heads_are_of_legal_size_and_never_end(port: int) -> None:
    sent = b"".join(make_script(Misbehavior.UNFINISHED_HEAD, port, "key").pieces)
    assert len(sent) <= HEAD_LIMIT_BYTES and RequestHeadReader().feed(sent) is None


@pytest.mark.parametrize(("held_bytes", "found"), [(MEMORY_BYTES, []), (MEMORY_BYTES + 1, [Rule.BOUNDED])])
def test_a_process_that_holds_too_much_is_a_finding(
    held_bytes: int, found: list[Rule], tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    findings = Findings()
    fleet = SoakFleet(SoakSize(nodes=1, controllers=1), tmp_path, findings, random.Random(1))
    monkeypatch.setattr(type(fleet.nodes[0]), "most_memory_bytes", lambda _node: held_bytes)
    fleet._check_memory()
    assert [finding.rule for finding in findings.found] == found
