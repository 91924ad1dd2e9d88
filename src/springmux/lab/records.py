"""Records of an experiment: back ends' events, orders, status samples, faults, rollouts.

All times are seconds of the machine's monotonic clock, which every process on it shares; only
:class:`CallRecord` counts from the beginning of the run, ``RunRecords.began_at_s``. Fields whose Python name
differs from the encoded one keep the encoded name of earlier records.
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
    """A back end has finished a request. ``bad``: the planned fault of the version affected the response."""

    at_s: float
    engine: str
    service: str
    version: str
    request: str
    bad: bool


class Execution(msgspec.Struct, frozen=True, tag="Execution"):
    """A service executed an action: its effect happened."""

    at_s: float
    engine: str
    service: str
    action: str


BackEndEvent = Arrival | Ending | Execution


class OrderRecord(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One attempt of an operator's order and its response. ``status`` 0: no response (lost or dropped).

    ``race`` groups orders submitted concurrently under one version number; ``expected`` is the status
    that a deliberately invalid order must get (0: none).
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
    """Status that one node reported. ``answered`` false: no status within the timeout."""

    requested_at_s: float = msgspec.field(name="asked_at_s")
    at_s: float
    node: str
    answered: bool
    ready: bool = False
    revision: int = 0
    configuration_version: int = 0
    reason: str = ""


class FaultEvent(msgspec.Struct, frozen=True, kw_only=True):
    """Beginning or end of a fault. ``target``: the affected node or back end."""

    at_s: float
    fault: str
    target: str
    began: bool
    detail: str = ""


class RolloutRun(msgspec.Struct, kw_only=True):
    """One rollout, from the acknowledgement of its promotion. ``ended_at_s`` 0: it did not end in the run."""

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
    """A node acknowledged that an engine drains. ``gone_at_s``: when the engine had left.

    Its successor may have the same name.
    """

    engine: str
    acknowledged_at_s: float = msgspec.field(name="told_at_s")
    gone_at_s: float


class QuotaWindow(msgspec.Struct, frozen=True):
    """An interval in which a tenant requested more than its quota."""

    tenant: str
    from_s: float
    to_s: float
    tokens_per_s: float
    burst_tokens: float


class Recovery(msgspec.Struct, frozen=True):
    """A restart of the whole fleet. ``back_at_s`` 0: service did not come back in the run.

    ``expected_version`` is the newest configuration acknowledged before the restart, ``found_version``
    the one in force after it; ``rollouts_kept``: every rollout record survived unchanged.
    """

    began_at_s: float
    back_at_s: float
    changes_before: int
    expected_version: int = msgspec.field(name="wanted_version")
    found_version: int
    rollouts_kept: bool = True


class RevocationRecord(msgspec.Struct, frozen=True):
    """A key was revoked while one of its streams ran and one of its connections was kept alive.

    ``stream_ended_after_s`` and ``refused_after_s`` count from the acknowledgement; ``None``: did not happen.
    """

    acknowledged_at_s: float
    stream_ended_after_s: float | None
    refused_after_s: float | None


class CallRecord(msgspec.Struct, kw_only=True, omit_defaults=True):
    """Outcome of one attempt of one request; times count from the beginning of the run.

    ``tokens``: the count that the engine reports. ``requested_tokens``: the count of a complete response.
    ``fault``: a protocol violation that the client detected. ``reported_by_node``: a node sent the
    response, so its ``fate`` is the fleet's statement and not the client's guess about a lost connection.
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
    """A step of the script that failed, for instance a node that did not come back."""

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
        """Add one event of a back end."""
        if isinstance(event, Arrival):
            self.arrivals.append(event)
        elif isinstance(event, Ending):
            self.endings.append(event)
        else:
            self.executions.append(event)

    def sort(self) -> None:
        """Sort by time what came from several processes."""
        self.arrivals.sort(key=lambda event: event.at_s)
        self.endings.sort(key=lambda event: event.at_s)
        self.executions.sort(key=lambda event: event.at_s)
        self.samples.sort(key=lambda sample: sample.at_s)


Record = TypeVar("Record")
BUFFER_BYTES = 1 << 16
"""Some hundred records a write, so that recording does not disturb the measurement."""


class LineWriter:
    """Appends records to a file, a line of JSON each, until it is closed."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("ab", buffering=BUFFER_BYTES)
        self._encoder = msgspec.json.Encoder()

    def write(self, record: msgspec.Struct) -> None:
        """Append one record (buffered)."""
        self._file.write(self._encoder.encode(record) + b"\n")

    def close(self) -> None:
        """Flush the buffer and close the file."""
        self._file.close()


def back_end_events(path: Path) -> Iterator[BackEndEvent]:
    """Yield the events that a host of back ends recorded."""
    return _read_lines(path, msgspec.json.Decoder(BackEndEvent))


def call_records(path: Path) -> Iterator[CallRecord]:
    """Yield the records of the load clients."""
    return _read_lines(path, msgspec.json.Decoder(CallRecord))


def _read_lines(path: Path, decoder: msgspec.json.Decoder[Record]) -> Iterator[Record]:
    """Yield the records of a file; skip an incomplete last line, left by a killed process."""
    with path.open("rb") as file:
        for line in file:
            if line.endswith(b"\n"):
                yield decoder.decode(line)
