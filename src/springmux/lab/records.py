"""What an experiment writes down: back ends' events, orders, status samples, faults, rollouts.

All times are seconds of the machine's monotonic clock, which every process on it shares; only
:class:`CallRecord` counts from the run's beginning, ``RunRecords.began_at_s``.
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
    """A back end is through with a request. ``bad``: the version's planned fault touched the answer."""

    at_s: float
    engine: str
    service: str
    version: str
    request: str
    bad: bool


class Execution(msgspec.Struct, frozen=True, tag="Execution"):
    """A service carried out an action (its effect happened)."""

    at_s: float
    engine: str
    service: str
    action: str


BackEndEvent = Arrival | Ending | Execution


class OrderRecord(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One sending of one operator's order and its answer. ``status`` 0: no answer (lost or dropped).

    ``race`` groups orders that raced under one version number; ``expected`` is the status that a
    deliberately wrong order must get (0: none).
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
    """What one node said of itself. ``answered`` false: it gave no status in time."""

    asked_at_s: float
    at_s: float
    node: str
    answered: bool
    ready: bool = False
    revision: int = 0
    configuration_version: int = 0
    reason: str = ""


class FaultEvent(msgspec.Struct, frozen=True, kw_only=True):
    """A fault's beginning or end. ``target``: the node or back end that it touched."""

    at_s: float
    fault: str
    target: str
    began: bool
    detail: str = ""


class RolloutRun(msgspec.Struct, kw_only=True):
    """One rollout from its promotion's acknowledgement. ``ended_at_s`` 0: it did not end in the run."""

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
    """A node took an engine's word that it drains. ``gone_at_s``: when it had left.

    Its successor may have its name.
    """

    engine: str
    told_at_s: float
    gone_at_s: float


class QuotaWindow(msgspec.Struct, frozen=True):
    """A time in which a tenant asked for more than its quota."""

    tenant: str
    from_s: float
    to_s: float
    tokens_per_s: float
    burst_tokens: float


class Recovery(msgspec.Struct, frozen=True):
    """A restart of the whole fleet. ``back_at_s`` 0: service did not come back in the run.

    ``wanted_version`` is the newest acknowledged configuration, ``found_version`` the one after it;
    ``rollouts_kept``: every rollout's record stood as before.
    """

    began_at_s: float
    back_at_s: float
    changes_before: int
    wanted_version: int
    found_version: int
    rollouts_kept: bool = True


class RevocationRecord(msgspec.Struct, frozen=True):
    """A key was revoked while a stream of it ran and a connection of it was kept alive.

    ``stream_ended_after_s`` and ``refused_after_s``: since the acknowledgement, ``None`` if it didn't happen.
    """

    acknowledged_at_s: float
    stream_ended_after_s: float | None
    refused_after_s: float | None


class CallRecord(msgspec.Struct, kw_only=True, omit_defaults=True):
    """What became of one sending of one request, times counted from the run's beginning.

    ``tokens``: the engine's true count. ``asked_tokens``: what a whole answer would have counted.
    ``fault``: a broken promise that the caller saw itself. ``told``: a node gave the answer, so that its
    ``fate`` is the fleet's word, not the caller's guess about a lost connection.
    """

    route: str
    kind: str
    tenant: str
    zone: str
    node: str
    at_s: float
    ended_s: float = 0.0
    sending: int = 0
    action: str = ""
    status: int = 0
    whole: bool = False
    code: str = ""
    fate: str = ""
    engine: str = ""
    version: str = ""
    first_piece_s: float | None = None
    mean_gap_s: float | None = None
    pieces: int = 0
    tokens: int = 0
    asked_tokens: int = 0
    fault: str = ""
    told: bool = False
    request: str = ""


class Trouble(msgspec.Struct, frozen=True):
    """A part of the script that could not be carried through, for instance a node that did not come back."""

    at_s: float
    what: str
    reason: str


class TenantQuota(msgspec.Struct, frozen=True):
    """A tenant's quota throughout the run."""

    tenant: str
    tokens_per_s: float
    burst_tokens: float


class RunRecords(msgspec.Struct, kw_only=True):
    """Everything that the checkers look at."""

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
    troubles: list[Trouble] = []

    def take_back_end_event(self, event: BackEndEvent) -> None:
        """File one event of a back end."""
        if isinstance(event, Arrival):
            self.arrivals.append(event)
        elif isinstance(event, Ending):
            self.endings.append(event)
        else:
            self.executions.append(event)

    def sort(self) -> None:
        """Put what came from several processes into order of time."""
        self.arrivals.sort(key=lambda event: event.at_s)
        self.endings.sort(key=lambda event: event.at_s)
        self.executions.sort(key=lambda event: event.at_s)
        self.samples.sort(key=lambda sample: sample.at_s)


Record = TypeVar("Record")
BUFFER_BYTES = 1 << 16
"""Writes of some hundred records at a time, so that recording doesn't disturb what it records."""


class LineWriter:
    """Appends records to a file, a line of JSON each, until it is closed."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("ab", buffering=BUFFER_BYTES)
        self._encoder = msgspec.json.Encoder()

    def write(self, record: msgspec.Struct) -> None:
        """Append one record (buffered)."""
        self._file.write(self._encoder.encode(record) + b"\n")

    def close(self) -> None:
        """Write out what is buffered and close the file."""
        self._file.close()


def back_end_events(path: Path) -> Iterator[BackEndEvent]:
    """Yield what a host of back ends wrote down."""
    return _read_lines(path, msgspec.json.Decoder(BackEndEvent))


def call_records(path: Path) -> Iterator[CallRecord]:
    """Yield what the callers wrote down."""
    return _read_lines(path, msgspec.json.Decoder(CallRecord))


def _read_lines(path: Path, decoder: msgspec.json.Decoder[Record]) -> Iterator[Record]:
    """Yield the records of a file; a last line that a killed process left half written is skipped."""
    with path.open("rb") as file:
        for line in file:
            if line.endswith(b"\n"):
                yield decoder.decode(line)
