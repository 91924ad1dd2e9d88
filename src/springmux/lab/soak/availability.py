"""Whether undisturbed nodes serve: a node that refuses all proper requests for long is a finding."""

from __future__ import annotations

from springmux.lab.soak.findings import Findings, Rule
from springmux.lab.soak.nodes import CONTACT_S, SoakNode

REFUSING_S = CONTACT_S
"""As long as a disturbance may be felt: a node that had none for this long has no reason to refuse."""


class AvailabilityWatch:
    """Follows each node's refusals from its last served request, or its last disturbance, on."""

    def __init__(self, findings: Findings) -> None:
        self._findings = findings
        self._refusing_since: dict[int, float] = {}
        self._reported: set[tuple[int, int]] = set()

    def served(self, node: SoakNode) -> None:
        """A node served a request."""
        self._refusing_since.pop(node.number, None)

    def refused(self, node: SoakNode, undisturbed: bool, sent_at: float, why: str) -> None:
        """A node refused a proper request, or took no connection. One that stops, or was disturbed, may."""
        if not undisturbed or node.stopping:
            self._refusing_since.pop(node.number, None)
            return
        since = self._refusing_since.setdefault(node.number, sent_at)
        life = (node.number, node.life)
        if sent_at - since > REFUSING_S and life not in self._reported:
            self._reported.add(life)
            what = f"{node.name} served no proper request for {sent_at - since:.2f} s undisturbed: {why}"
            self._findings.add(Rule.AVAILABLE, what)
