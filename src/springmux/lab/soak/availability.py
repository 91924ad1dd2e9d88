"""Check of availability: an undisturbed node must not refuse all valid requests for long."""

from __future__ import annotations

from springmux.lab.soak.findings import Findings, Rule
from springmux.lab.soak.fleet import DISTURBANCE_EFFECT_S, SoakNode

MAX_REFUSAL_S = DISTURBANCE_EFFECT_S
"""How long an undisturbed node may refuse all valid requests: as long as a disturbance may have an effect."""


class AvailabilityChecker:
    """Tracks how long each node has refused requests since it last served one, or was last disturbed."""

    def __init__(self, findings: Findings) -> None:
        self._findings = findings
        self._refusing_since: dict[int, float] = {}
        self._reported: set[tuple[int, int]] = set()

    def record_served(self, node: SoakNode) -> None:
        """Record that a node served a request."""
        self._refusing_since.pop(node.number, None)

    def record_refused(self, node: SoakNode, undisturbed: bool, sent_at: float, why: str) -> None:
        """Record that a node refused a valid request or a connection.

        A node that stops or is disturbed may refuse; the time of its refusals then starts anew.
        """
        if not undisturbed or node.stopping:
            self._refusing_since.pop(node.number, None)
            return
        since = self._refusing_since.setdefault(node.number, sent_at)
        incarnation = (node.number, node.incarnation)
        if sent_at - since > MAX_REFUSAL_S and incarnation not in self._reported:
            self._reported.add(incarnation)
            what = f"{node.name} served no proper request for {sent_at - since:.2f} s undisturbed: {why}"
            self._findings.add(Rule.AVAILABLE, what)
