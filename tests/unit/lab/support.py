"""Builders of records for the tests of the checks. The run begins at 100 s of the monotonic clock."""

from __future__ import annotations

import msgspec

from springmux.lab.checks.verdict import Verdict
from springmux.lab.records import (
    Arrival,
    CallRecord,
    Ending,
    OrderRecord,
    RolloutRun,
    RunRecords,
    StatusSample,
)
from springmux.lab.stand_ins.model_engine import chunk_text

BEGAN_AT_S = 100.0
ENDED_AT_S = 200.0


def records(**fields: object) -> RunRecords:
    """Return the records of a run of 100 s."""
    values = {"experiment": "test", "began_at_s": BEGAN_AT_S, "ended_at_s": ENDED_AT_S, **fields}
    return RunRecords(**values)  # type: ignore[arg-type]


def call(action: str, **fields: object) -> CallRecord:
    """Return the record of a call; its times count from the beginning of the run."""
    values = {
        "route": "proof-approval",
        "kind": "call",
        "tenant": "norte",
        "zone": "north",
        "node": "n1",
        "at_s": 1.0,
        "ended_s": 1.5,
        "action": action,
        **fields,
    }
    return msgspec.convert(values, CallRecord)


def prompt_arrivals(version: str, count: int, from_s: float, to_s: float) -> list[Arrival]:
    """Return arrivals of prompts at equal intervals, the first at ``from_s``, all before ``to_s``."""
    step_s = (to_s - from_s) / count
    return [
        Arrival(
            from_s + number * step_s, "e1", "text", version, "caption-hint", f"{version}-{from_s}-{number}"
        )
        for number in range(count)
    ]


def bad_endings(version: str, count: int, from_s: float, step_s: float) -> list[Ending]:
    """Return endings of bad responses, ``step_s`` apart."""
    return [
        Ending(from_s + number * step_s, "e1", "text", version, f"{version}-{number}", True)
        for number in range(count)
    ]


def rollout(bad: bool, ended_at_s: float, phase: str) -> RolloutRun:
    """Return a rollout of v2 that begins at 110 s and has a deadline of 60 s."""
    return RolloutRun(
        service="text",
        stable="v1",
        candidate="v2",
        bad=bad,
        by_s=60.0,
        allowance=20,
        expose_share=0.10,
        began_at_s=110.0,
        ended_at_s=ended_at_s,
        phase=phase,
    )


def order(name: str, status: int, **fields: object) -> OrderRecord:
    """Return the record of one attempt of an order, answered at 110 s."""
    values = {
        "order": name,
        "kind": "patch_configuration",
        "node": "n1",
        "sent_at_s": 109.9,
        "answered_at_s": 110.0,
        "status": status,
        **fields,
    }
    return msgspec.convert(values, OrderRecord)


def sample(node: str, at_s: float, revision: int, ready: bool = True) -> StatusSample:
    """Return a status that a node reported."""
    return StatusSample(at_s, at_s, node, answered=True, ready=ready, revision=revision)


def chunk(stream: str, seq: int, last: bool = False, text: str = "") -> bytes:
    """Return one event of a stream, a chunk of the response."""
    body: dict[str, object] = {
        "id": stream,
        "seq": seq,
        "choices": [
            {
                "delta": {"content": text or chunk_text(stream, seq)},
                "finish_reason": "stop" if last else None,
            }
        ],
    }
    if last:
        body["usage"] = {"total_tokens": 40 + seq}
    return b"data: " + msgspec.json.encode(body) + b"\n\n"


DONE = b"data: [DONE]\n\n"


def evidence(verdict: Verdict) -> str:
    """Return the evidence of a verdict, which must be that the promise is broken."""
    assert verdict.kept is False
    return "; ".join(verdict.evidence)
