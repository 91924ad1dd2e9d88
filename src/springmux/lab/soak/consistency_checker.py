"""Check of responses against the configurations that may have been in force."""

from __future__ import annotations

import msgspec

from springmux.lab.soak.availability import AvailabilityChecker
from springmux.lab.soak.configurations import UNKNOWN_KEY, UNKNOWN_ROUTE
from springmux.lab.soak.engines import DRAIN_S, StandInEngine
from springmux.lab.soak.findings import Findings, Rule
from springmux.lab.soak.fleet import SoakFleet, SoakNode
from springmux.lab.soak.history import ConfigurationHistory
from springmux.lab.soak.http_connection import Response

IN_FORCE_S = 2.0
"""Time from the acknowledgement of a version until every undisturbed node must apply it to requests."""
REGRESSION_GRACE_S = 0.25
"""Time from the first response that shows a version until its node may no longer apply an older one."""
CLOSE_RACE_S = 0.2
"""Time after a request in which its connection may close without a response, as the two may cross."""
SERVED = 200
FIRST_SERVER_ERROR = 500
REFUSED_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that guarantee that the request has not run and never will."""


class SentRequest(msgspec.Struct, frozen=True):
    """A request as sent. ``undisturbed``: its node must apply the newest version that is due.

    ``incarnation``: the node's incarnation when the request was sent.
    """

    request_id: str
    node: SoakNode
    incarnation: int
    path: str
    key: str
    sent_at: float
    undisturbed: bool


class ConsistencyChecker:
    """Checks every response, and every connection that closed without a response."""

    def __init__(self, history: ConfigurationHistory, fleet: SoakFleet, findings: Findings) -> None:
        self._history = history
        self._fleet = fleet
        self._findings = findings
        self._availability = AvailabilityChecker(findings)
        self._seen: dict[tuple[int, int], list[tuple[float, int]]] = {}
        self._sent: dict[str, SentRequest] = {}
        self.refused: list[str] = []
        """Ids of the requests that were refused; no engine may ever run them."""

    def record_sent(self, request_id: str, node: SoakNode, path: str, key: str, now: float) -> SentRequest:
        """Record that a request is sent now."""
        undisturbed = self._fleet.is_undisturbed(node, now)
        request = SentRequest(request_id, node, node.incarnation, path, key, now, undisturbed)
        self._sent[request_id] = request
        return request

    def check_run(self, engine: StandInEngine, request_id: str, now: float) -> None:
        """Check that an engine which begins to run a request isn't stopping, as far as its node must know."""
        request = self._sent.get(request_id)
        stopped_at = engine.stop_acknowledged_at
        if request is None or stopped_at is None or now <= stopped_at + DRAIN_S:
            return
        node = request.node
        in_touch = request.undisturbed and self._fleet.is_undisturbed(node, now) and not node.stopping
        if not in_touch or node.incarnation != request.incarnation:
            self._findings.count("stopped engine used by a disturbed node")
            return
        what = (
            f"{request_id} from {node.name} reached {engine.name} {now - stopped_at:.2f} s after "
            f"its stop was acknowledged (draining: {engine.draining})"
        )
        self._findings.add(Rule.DRAINED, what)

    def check_response(self, request: SentRequest, response: Response, now: float) -> None:
        """Check a response against the versions that may have been in force at its node."""
        self._findings.count(f"status {response.status}")
        if response.status in REFUSED_STATUSES:
            self.refused.append(request.request_id)
        self._check_availability(request, response.status, now)
        outcome = _outcome(response)
        if outcome is None:
            return
        due = (
            self._history.newest_acknowledged_number(request.sent_at - IN_FORCE_S)
            if request.undisturbed
            else 0
        )
        seen = self._seen_before(request)
        allowed = self._history.possibly_in_force(max(due, seen), now)
        self._findings.count("judged" if due else "judged without a newest version")
        if request.node.stopping:
            self._findings.count("judged at a stopping node")
        matching = [v.number for v in allowed if v.outcome(request.path, request.key) == outcome]
        if not matching:
            rule = Rule.NEWEST if due >= seen else Rule.NO_REGRESSION
            self._findings.add(rule, self._evidence(request, outcome, due, seen))
            return
        oldest_matching = min(matching)
        if oldest_matching > seen:
            self._seen.setdefault((request.node.number, request.incarnation), []).append(
                (now, oldest_matching)
            )

    def _check_availability(self, request: SentRequest, status: int, now: float) -> None:
        if status == SERVED:
            self._availability.record_served(request.node)
        elif (status in REFUSED_STATUSES or status >= FIRST_SERVER_ERROR) and self._is_valid(request, now):
            self._findings.count("proper request refused")
            self._availability.record_refused(
                request.node, request.undisturbed, request.sent_at, f"status {status}"
            )

    def _is_valid(self, request: SentRequest, now: float) -> bool:
        """Return whether every version that may be in force has the request's route and key."""
        due = self._history.newest_acknowledged_number(request.sent_at - IN_FORCE_S)
        outcomes = {
            version.outcome(request.path, request.key)
            for version in self._history.possibly_in_force(due, now)
        }
        return bool(outcomes) and not outcomes & {UNKNOWN_KEY, UNKNOWN_ROUTE}

    def check_unreachable(self, node: SoakNode, now: float) -> None:
        """Check a connection attempt that a node did not accept."""
        self._availability.record_refused(node, self._fleet.is_undisturbed(node, now), now, "no connection")

    def check_missing_response(self, request: SentRequest, ran: int, now: float) -> None:
        """Check a connection that closed, or timed out, after a request and before its response."""
        self._findings.count("connection ended")
        node = request.node
        if node.incarnation != request.incarnation or node.was_killed or node.frozen_s or node.frozen:
            return
        waited_s = now - request.sent_at
        if ran or waited_s > CLOSE_RACE_S:
            what = (
                f"{request.request_id} at {node.name} had no answer after {waited_s:.2f} s, run {ran} times"
            )
            self._findings.add(Rule.ANSWERED, what)

    def _seen_before(self, request: SentRequest) -> int:
        """Return the newest version that this incarnation certainly had in force before a request."""
        seen = self._seen.get((request.node.number, request.incarnation), [])
        return max((number for at, number in seen if at + REGRESSION_GRACE_S < request.sent_at), default=0)

    def _evidence(self, request: SentRequest, outcome: str, due: int, seen: int) -> str:
        due_version = self._history.acknowledged(due)
        age_s = 0.0
        if due_version is not None and due_version.acknowledged_at is not None:
            age_s = request.sent_at - due_version.acknowledged_at
        state = " (stopping)" if request.node.stopping else ""
        return (
            f"{request.path} with {request.key} at {request.node.name}{state} "
            f"life {request.incarnation}: {outcome}; "
            f"version {due} was acknowledged {age_s:.2f} s before, version {seen} seen there"
        )


def _outcome(response: Response) -> str | None:
    """Return the configuration's outcome that a response shows; ``None`` if it shows none."""
    if response.status == SERVED:
        return response.body.decode("latin-1")
    return {404: UNKNOWN_ROUTE, 401: UNKNOWN_KEY}.get(response.status)
