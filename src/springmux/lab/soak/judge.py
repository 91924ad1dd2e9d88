"""Judges answers by the configurations that may have been in force."""

from __future__ import annotations

import msgspec

from springmux.lab.soak.availability import AvailabilityWatch
from springmux.lab.soak.configurations import UNKNOWN_KEY, UNKNOWN_ROUTE
from springmux.lab.soak.findings import Findings, Rule
from springmux.lab.soak.history import ConfigurationHistory
from springmux.lab.soak.nodes import SoakNode, SoakNodes
from springmux.lab.soak.wire import Answer

IN_FORCE_S = 2.0
"""From a configuration's acknowledgement until every undisturbed node handles requests by it."""
STEP_BACK_S = 0.25
"""From seeing a version's effect until no request that is sent may be handled by an older one."""
LOSS_SLACK_S = 0.2
"""A request that crosses the close of its connection may end unanswered this long after it was sent."""
SERVED = 200
LEAST_FAILURE = 500
REFUSED_STATUSES = frozenset({408, 421, 429, 503})
"""Promise that the request has not run and never will."""


class AskedRequest(msgspec.Struct, frozen=True):
    """A request as it was sent. ``undisturbed``: its node must handle it by the newest version due."""

    request: str
    node: SoakNode
    life: int
    path: str
    key: str
    sent_at: float
    undisturbed: bool


class Judge:
    """Takes every answer, and every connection that ended without one."""

    def __init__(self, history: ConfigurationHistory, nodes: SoakNodes, findings: Findings) -> None:
        self._history = history
        self._nodes = nodes
        self._findings = findings
        self._available = AvailabilityWatch(findings)
        self._seen: dict[tuple[int, int], list[tuple[float, int]]] = {}
        self.refused: list[str] = []
        """Ids of requests that were refused: no engine may run them, then or later."""

    def asked(self, request: str, node: SoakNode, path: str, key: str, now: float) -> AskedRequest:
        """Note that a request is sent now."""
        undisturbed = self._nodes.is_undisturbed(node, now)
        return AskedRequest(request, node, node.life, path, key, now, undisturbed)

    def answered(self, asked: AskedRequest, answer: Answer, now: float) -> None:
        """Judge an answer."""
        self._findings.count(f"status {answer.status}")
        if answer.status in REFUSED_STATUSES:
            self.refused.append(asked.request)
        self._judge_service(asked, answer.status, now)
        outcome = _outcome(answer)
        if outcome is None:
            return
        due = self._history.newest_acknowledged(asked.sent_at - IN_FORCE_S) if asked.undisturbed else 0
        seen = self._seen_before(asked)
        allowed = self._history.possible(max(due, seen), now)
        self._findings.count("judged" if due else "judged without a newest version")
        if asked.node.stopping:
            self._findings.count("judged at a stopping node")
        fitting = [v.number for v in allowed if v.outcome(asked.path, asked.key) == outcome]
        if not fitting:
            rule = Rule.NEWEST if due >= seen else Rule.NO_STEP_BACK
            self._findings.add(rule, self._evidence(asked, outcome, due, seen))
            return
        least = min(fitting)
        if least > seen:
            self._seen.setdefault((asked.node.number, asked.life), []).append((now, least))

    def _judge_service(self, asked: AskedRequest, status: int, now: float) -> None:
        if status == SERVED:
            self._available.served(asked.node)
        elif (status in REFUSED_STATUSES or status >= LEAST_FAILURE) and self._is_proper(asked, now):
            self._findings.count("proper request refused")
            self._available.refused(asked.node, asked.undisturbed, asked.sent_at, f"status {status}")

    def _is_proper(self, asked: AskedRequest, now: float) -> bool:
        """Whether every version that may be in force has the request's route and key."""
        due = self._history.newest_acknowledged(asked.sent_at - IN_FORCE_S)
        outcomes = {version.outcome(asked.path, asked.key) for version in self._history.possible(due, now)}
        return bool(outcomes) and not outcomes & {UNKNOWN_KEY, UNKNOWN_ROUTE}

    def unreachable(self, node: SoakNode, now: float) -> None:
        """Judge a connection that a node didn't take."""
        self._available.refused(node, self._nodes.is_undisturbed(node, now), now, "no connection")

    def unanswered(self, asked: AskedRequest, ran: int, now: float) -> None:
        """Judge a connection that ended, or was given up, after a request was sent and before its answer."""
        self._findings.count("connection ended")
        node = asked.node
        if node.life != asked.life or node.was_killed or node.frozen_s or node.frozen:
            return
        waited_s = now - asked.sent_at
        if ran or waited_s > LOSS_SLACK_S:
            what = f"{asked.request} at {node.name} had no answer after {waited_s:.2f} s, run {ran} times"
            self._findings.add(Rule.ANSWERED, what)

    def _seen_before(self, asked: AskedRequest) -> int:
        """Return the newest version that this life of the node had certainly taken before a request."""
        seen = self._seen.get((asked.node.number, asked.life), [])
        return max((number for at, number in seen if at + STEP_BACK_S < asked.sent_at), default=0)

    def _evidence(self, asked: AskedRequest, outcome: str, due: int, seen: int) -> str:
        sent = self._history.acknowledged(due)
        age_s = asked.sent_at - sent.acknowledged_at if sent and sent.acknowledged_at is not None else 0.0
        state = " (stopping)" if asked.node.stopping else ""
        return (
            f"{asked.path} with {asked.key} at {asked.node.name}{state} life {asked.life}: {outcome}; "
            f"version {due} was acknowledged {age_s:.2f} s before, version {seen} seen there"
        )


def _outcome(answer: Answer) -> str | None:
    """Return what an answer says of the configuration; ``None`` if it says nothing."""
    if answer.status == SERVED:
        return answer.body.decode("latin-1")
    return {404: UNKNOWN_ROUTE, 401: UNKNOWN_KEY}.get(answer.status)
