"""The operators of a soak: one change after another, sent again unchanged until it has a clear answer."""

from __future__ import annotations

import asyncio
import random
import time

from springmux.lab.soak.configurations import (
    Version,
    first_version,
    next_version,
    partial_document,
    whole_document,
)
from springmux.lab.soak.engines import ControlPlace
from springmux.lab.soak.findings import Findings, Rule
from springmux.lab.soak.history import ConfigurationHistory
from springmux.lab.soak.wire import Answer, ask_once

TARGET = "/v1/gateway/configuration"
ASK_TIMEOUT_S = 5.0
RESEND_S = 0.15
GIVE_UP_S = 25.0
"""A change without a clear answer for this long is a finding: no plan keeps a fleet from deciding so long."""
RACE_SHARE = 0.12
WHOLE_SHARE = 0.2
OK, CONFLICT = 200, 412


class SoakOperators:
    """Make changes while the run lasts."""

    def __init__(
        self,
        places: list[ControlPlace],
        history: ConfigurationHistory,
        findings: Findings,
        source: random.Random,
        period_s: float,
    ) -> None:
        self._places = places
        self._history = history
        self._findings = findings
        self._random = source
        self._period_s = period_s
        self._present = first_version()
        self._highest = self._present.number
        self.enough = asyncio.Event()
        """Set when no further change is to begin."""

    async def begin(self) -> bool:
        """Give the fleet its first configuration; ``False`` if it wasn't taken."""
        self._history.send(self._present, time.monotonic())
        document = ("PUT", whole_document(self._present))
        return await self._send(self._present, 0, document) == OK

    async def run(self) -> None:
        """Make changes until there are enough."""
        while not self.enough.is_set():
            await asyncio.sleep(self._period_s * self._random.uniform(0.4, 1.6))
            if self._random.random() < RACE_SHARE:
                await self._race()
            else:
                await self._change()

    async def _change(self) -> None:
        base, version = self._present, self._next()
        status = await self._send(version, base.number, self._document(base, version))
        if status == OK:
            self._present = version
            return
        self._history.sent[version.number].refused = status is not None
        self._findings.add(Rule.ACKNOWLEDGED, f"version {version.number} on {base.number} got {status}")

    async def _race(self) -> None:
        """Send two changes that build on one version: one wins."""
        base = self._present
        rivals = [self._next(), self._next()]
        statuses = await asyncio.gather(
            *(self._send(rival, base.number, self._document(base, rival)) for rival in rivals)
        )
        for rival, status in zip(rivals, statuses, strict=True):
            self._history.sent[rival.number].refused = status not in (OK, None)
        self._findings.count("races")
        winners = [rival for rival, status in zip(rivals, statuses, strict=True) if status == OK]
        if len(winners) == 1 and set(statuses) == {OK, CONFLICT}:
            self._present = winners[0]
            return
        numbers = [rival.number for rival in rivals]
        self._findings.add(Rule.ACKNOWLEDGED, f"versions {numbers} on {base.number} got {statuses}")
        if winners:
            self._present = max(winners, key=lambda version: version.number)

    def _next(self) -> Version:
        """Return a new version upon the present one, noted as sent. No number is used twice."""
        version = next_version(self._present, self._highest, self._random)
        self._highest = version.number
        self._history.send(version, time.monotonic())
        return version

    def _document(self, base: Version, version: Version) -> tuple[str, bytes]:
        if self._random.random() < WHOLE_SHARE:
            return "PUT", whole_document(version)
        return "PATCH", partial_document(base, version)

    async def _send(self, version: Version, base: int, document: tuple[str, bytes]) -> int | None:
        """Send a change until it has a clear answer; return its status, ``None`` if there is none."""
        method, body = document
        began_at = time.monotonic()
        while time.monotonic() - began_at < GIVE_UP_S:
            answer = await self._ask(method, base, body)
            if answer is not None and answer.status < 500 and answer.status not in (408, 429):
                if answer.status == OK:
                    self._history.sent[version.number].acknowledged_at = time.monotonic()
                    self._findings.count("changes acknowledged")
                return answer.status
            await asyncio.sleep(RESEND_S)
        return None

    async def _ask(self, method: str, base: int, body: bytes) -> Answer | None:
        place = self._random.choice(self._places)
        headers = {"if-match": str(base), "host": place.host}
        return await ask_once(place.host, place.port, method, TARGET, headers, body, ASK_TIMEOUT_S)


async def newest_shown(place: ControlPlace) -> Answer | None:
    """Ask one node for the whole configuration."""
    return await ask_once(place.host, place.port, "GET", TARGET, {"host": place.host}, b"", ASK_TIMEOUT_S)
