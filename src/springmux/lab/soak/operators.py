"""Operators of a soak: one change after another, each resent unchanged until its outcome is known."""

from __future__ import annotations

import asyncio
import random
import time

import msgspec

from springmux.lab.soak.configurations import (
    Version,
    first_version,
    full_document,
    next_version,
    partial_document,
)
from springmux.lab.soak.engines import ControlEndpoint
from springmux.lab.soak.findings import Findings, Rule
from springmux.lab.soak.history import ConfigurationHistory
from springmux.lab.soak.http_connection import Response, request_once

TARGET = "/v1/gateway/configuration"
REQUEST_TIMEOUT_S = 5.0
RESEND_S = 0.15
GIVE_UP_S = 25.0
"""A change whose outcome is unknown after this time is a finding: no plan blocks the fleet for so long."""
RACE_SHARE = 0.12
FULL_DOCUMENT_SHARE = 0.2
OK, PRECONDITION_FAILED = 200, 412


class ChangeDocument(msgspec.Struct, frozen=True):
    """A configuration change as sent: PUT with the full configuration, PATCH with the difference."""

    method: str
    body: bytes


class SoakOperators:
    """Submits configuration changes throughout a run."""

    def __init__(
        self,
        endpoints: list[ControlEndpoint],
        history: ConfigurationHistory,
        findings: Findings,
        source: random.Random,
        period_s: float,
    ) -> None:
        self._endpoints = endpoints
        self._history = history
        self._findings = findings
        self._random = source
        self._period_s = period_s
        self._current = first_version()
        self._highest_number = self._current.number
        self.stop_requested = asyncio.Event()
        """Set when no further change may begin, so that ``run`` returns."""

    async def begin(self) -> bool:
        """Submit the first configuration; return whether it was accepted."""
        self._history.record_sent(self._current, time.monotonic())
        document = ChangeDocument("PUT", full_document(self._current))
        return await self._send(self._current, 0, document) == OK

    async def run(self) -> None:
        """Submit changes one after another until ``stop_requested`` is set."""
        while not self.stop_requested.is_set():
            await asyncio.sleep(self._period_s * self._random.uniform(0.4, 1.6))
            if self._random.random() < RACE_SHARE:
                await self._race()
            else:
                await self._change()

    async def _change(self) -> None:
        base, version = self._current, self._next_version()
        status = await self._send(version, base.number, self._document(base, version))
        if status == OK:
            self._current = version
            return
        self._history.sent[version.number].refused = status is not None
        self._findings.add(Rule.ACKNOWLEDGED, f"version {version.number} on {base.number} got {status}")

    async def _race(self) -> None:
        """Send two concurrent changes to one version: exactly one wins."""
        base = self._current
        concurrent_versions = [self._next_version(), self._next_version()]
        statuses = await asyncio.gather(
            *(
                self._send(version, base.number, self._document(base, version))
                for version in concurrent_versions
            )
        )
        for version, status in zip(concurrent_versions, statuses, strict=True):
            self._history.sent[version.number].refused = status not in (OK, None)
        self._findings.count("races")
        winners = [
            version for version, status in zip(concurrent_versions, statuses, strict=True) if status == OK
        ]
        if len(winners) == 1 and set(statuses) == {OK, PRECONDITION_FAILED}:
            self._current = winners[0]
            return
        numbers = [version.number for version in concurrent_versions]
        self._findings.add(Rule.ACKNOWLEDGED, f"versions {numbers} on {base.number} got {statuses}")
        if winners:
            self._current = max(winners, key=lambda version: version.number)

    def _next_version(self) -> Version:
        """Return a new version based on the current one, recorded as sent. Numbers are unique."""
        version = next_version(self._current, self._highest_number, self._random)
        self._highest_number = version.number
        self._history.record_sent(version, time.monotonic())
        return version

    def _document(self, base: Version, version: Version) -> ChangeDocument:
        if self._random.random() < FULL_DOCUMENT_SHARE:
            return ChangeDocument("PUT", full_document(version))
        return ChangeDocument("PATCH", partial_document(base, version))

    async def _send(self, version: Version, base: int, document: ChangeDocument) -> int | None:
        """Send a change until its outcome is known; return the status, ``None`` if it stays unknown."""
        began_at = time.monotonic()
        while time.monotonic() - began_at < GIVE_UP_S:
            response = await self._request_change(base, document)
            if response is not None and response.status < 500 and response.status not in (408, 429):
                if response.status == OK:
                    self._history.sent[version.number].acknowledged_at = time.monotonic()
                    self._findings.count("changes acknowledged")
                return response.status
            await asyncio.sleep(RESEND_S)
        return None

    async def _request_change(self, base: int, document: ChangeDocument) -> Response | None:
        endpoint = self._random.choice(self._endpoints)
        headers = {"if-match": str(base), "host": endpoint.host}
        return await request_once(
            endpoint.host, endpoint.port, document.method, TARGET, headers, document.body, REQUEST_TIMEOUT_S
        )


async def read_configuration(endpoint: ControlEndpoint) -> Response | None:
    """Request the full configuration from one node."""
    return await request_once(
        endpoint.host, endpoint.port, "GET", TARGET, {"host": endpoint.host}, b"", REQUEST_TIMEOUT_S
    )
