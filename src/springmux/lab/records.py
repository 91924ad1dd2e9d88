"""Records of an experiment: events of back ends, orders, status samples, faults and rollouts.

All times are seconds of the machine's monotonic clock, which all its processes share, except those of
:class:`CallRecord`, which count from the beginning of the run, ``RunRecords.began_at_s``. Fields whose
encoded name differs from the Python name keep the encoded name of earlier records.
"""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import TypeVar

import msgspec


class Arrival(msgspec.Struct, frozen=True, tag="Arrival"):
    """A request reached a back end. ``request`` is its ``X-Request-Id``."""

    at_s: float
    engine: str
    service: str
    version: str
    route: str
    request: str


class Ending(msgspec.Struct, frozen=True, tag="Ending"):
    """A back end finished a request. ``bad``: the version's planned fault affected the response."""

    at_s: float
    engine: str
    service: str
    version: str
    request: str
    bad: bool


class Execution(msgspec.Struct, frozen=True, tag="Execution"):
    """A service executed an action, so that the action took effect."""

    at_s: float
    engine: str
    service: str
    action: str


BackEndEvent = Arrival | Ending | Execution


class OrderRecord(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One attempt of an operator's order and its response. ``status`` 0: no response (lost or dropped).

    ``race`` groups orders that were submitted concurrently with the same version number. ``expected`` is the
    status with which a deliberately invalid order must be rejected (0: the order is valid).
    """

    order: str
    kind: str
    node: str
    sent_at_s: float
    answered_at_s: float
    status: int
    outcome: str = ""
    revision: int = 0
    version: int = 0
    code: str = ""
    fate: str = ""
    error_paths: tuple[str, ...] = ()
    has_winner: bool = False
    race: str = ""
    expected: int = 0

    @property
    def accepted(self) -> bool:
        """Whether the order was acknowledged."""
        return self.status == 200


class StatusSample(msgspec.Struct, frozen=True):
    """Status that one node reported. ``answered`` false: the node did not respond within the timeout."""

    requested_at_s: float = msgspec.field(name="asked_at_s")
    at_s: float
    node: str
    answered: bool
    ready: bool = False
    revision: int = 0
    configuration_version: int = 0
    reason: str = ""


class FaultEvent(msgspec.Struct, frozen=True, kw_only=True):
    """Beginning (``began`` true) or end of a fault. ``target``: the affected node or back end."""

    at_s: float
    fault: str
    target: str
    began: bool
    detail: str = ""


class RolloutRun(msgspec.Struct, kw_only=True):
    """One rollout, from the acknowledgement of its promotion.

    ``bad``: the candidate has a planned fault. ``by_s``: time within which the rollout must be complete.
    ``ended_at_s`` 0: the rollout did not end during the run.
    """

    service: str
    stable: str
    candidate: str
    bad: bool
    by_s: float
    allowance: int
    expose_share: float
    began_at_s: float
    ended_at_s: float = 0.0
    phase: str = ""
    reason: str = ""


class DrainRecord(msgspec.Struct, frozen=True):
    """A drain of an engine that a node acknowledged. ``gone_at_s``: time at which the engine had left.

    A replacement engine may have the same name.
    """

    engine: str
    acknowledged_at_s: float = msgspec.field(name="told_at_s")
    gone_at_s: float


class QuotaWindow(msgspec.Struct, frozen=True):
    """An interval in which a tenant requested more than its quota, and that quota."""

    tenant: str
    from_s: float
    to_s: float
    tokens_per_s: float
    burst_tokens: float


class Recovery(msgspec.Struct, frozen=True):
    """A restart of the whole fleet. ``back_at_s`` 0: the fleet did not serve again during the run.

    ``expected_version``: newest configuration version acknowledged before the restart. ``found_version``: the
    version in force after it. ``rollouts_kept``: whether every rollout record survived unchanged.
    """

    began_at_s: float
    back_at_s: float
    changes_before: int
    expected_version: int = msgspec.field(name="wanted_version")
    found_version: int
    rollouts_kept: bool = True


class RevocationRecord(msgspec.Struct, frozen=True):
    """A key was revoked while one of its streams ran and one of its connections was kept alive.

    ``stream_ended_after_s`` and ``refused_after_s`` count from the acknowledgement; ``None``: the event did
    not occur.
    """

    acknowledged_at_s: float
    stream_ended_after_s: float | None
    refused_after_s: float | None


class CallRecord(msgspec.Struct, kw_only=True, omit_defaults=True):
    """Outcome of one attempt of one request; times count from the beginning of the run.

    ``tokens``: number of tokens that the engine reports. ``requested_tokens``: number of tokens of a complete
    response. ``fault``: a protocol violation that the client detected. ``reported_by_node``: a node sent the
    response, so that ``fate`` is the value that the fleet reports and not one that the client infers from a
    lost connection.
    """

    route: str
    kind: str
    tenant: str
    zone: str
    node: str
    at_s: float
    ended_s: float = 0.0
    attempt: int = msgspec.field(default=0, name="sending")
    action: str = ""
    status: int = 0
    complete: bool = msgspec.field(default=False, name="whole")
    code: str = ""
    fate: str = ""
    engine: str = ""
    version: str = ""
    first_chunk_s: float | None = msgspec.field(default=None, name="first_piece_s")
    mean_gap_s: float | None = None
    chunks: int = msgspec.field(default=0, name="pieces")
    tokens: int = 0
    requested_tokens: int = msgspec.field(default=0, name="asked_tokens")
    fault: str = ""
    reported_by_node: bool = msgspec.field(default=False, name="told")
    request: str = ""


class ScriptFailure(msgspec.Struct, frozen=True):
    """A step of the script that failed, for instance because a node did not become ready again."""

    at_s: float
    what: str
    reason: str


class TenantQuota(msgspec.Struct, frozen=True):
    """A tenant's quota throughout the run."""

    tenant: str
    tokens_per_s: float
    burst_tokens: float


class RunRecords(msgspec.Struct, kw_only=True):
    """All records of one run, as the checkers read them."""

    experiment: str
    began_at_s: float
    ended_at_s: float
    prompt_services: tuple[str, ...] = ()
    calls: list[CallRecord] = []
    arrivals: list[Arrival] = []
    endings: list[Ending] = []
    executions: list[Execution] = []
    orders: list[OrderRecord] = []
    samples: list[StatusSample] = []
    faults: list[FaultEvent] = []
    rollouts: list[RolloutRun] = []
    drains: list[DrainRecord] = []
    tenants: list[TenantQuota] = []
    quotas: list[QuotaWindow] = []
    recoveries: list[Recovery] = []
    revocations: list[RevocationRecord] = []
    script_failures: list[ScriptFailure] = msgspec.field(default_factory=list, name="troubles")

    def add_back_end_event(self, event: BackEndEvent) -> None:
        """Add an event to the list of its type."""
        if isinstance(event, Arrival):
            self.arrivals.append(event)
        elif isinstance(event, Ending):
            self.endings.append(event)
        else:
            self.executions.append(event)

    def sort(self) -> None:
        """Sort the lists that several processes or tasks contribute to by time."""
        self.arrivals.sort(key=lambda event: event.at_s)
        self.endings.sort(key=lambda event: event.at_s)
        self.executions.sort(key=lambda event: event.at_s)
        self.samples.sort(key=lambda sample: sample.at_s)


Record = TypeVar("Record")
BUFFER_BYTES = 1 << 16
"""Holds some hundred records, so that few writes to the file disturb the measurement."""


class LineWriter:
    """Appends records to a file, each as one line of JSON."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("ab", buffering=BUFFER_BYTES)
        self._encoder = msgspec.json.Encoder()

    def write(self, record: msgspec.Struct) -> None:
        """Append one record to the buffer."""
        self._file.write(self._encoder.encode(record) + b"\n")

    def close(self) -> None:
        """Flush the buffer and close the file."""
        self._file.close()


def back_end_events(path: Path) -> Iterator[BackEndEvent]:
    """Yield the events in the record file of a back-end host."""
    return _read_lines(path, msgspec.json.Decoder(BackEndEvent))


def call_records(path: Path) -> Iterator[CallRecord]:
    """Yield the records in the record file of the load clients."""
    return _read_lines(path, msgspec.json.Decoder(CallRecord))


def _read_lines(path: Path, decoder: msgspec.json.Decoder[Record]) -> Iterator[Record]:
    """Yield the records of a file; skip an incomplete last line, which a killed process may leave."""
    with path.open("rb") as file:
        for line in file:
            if line.endswith(b"\n"):
                yield decoder.decode(line)
