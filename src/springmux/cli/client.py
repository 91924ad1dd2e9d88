"""HTTP client for a fleet's admin listeners: tries the nodes in turn with one order id."""

from __future__ import annotations

import http.client
import json
import time
import urllib.error
import urllib.request
import uuid
from collections.abc import Callable, Sequence
from email.message import Message
from typing import Any

import msgspec

from springmux.vocabulary.errors import SpringmuxError

REQUEST_TIMEOUT_S = 12.0
"""Slightly longer than a node's own limit for an order, which is 10 s."""
MAX_ROUNDS = 3
"""Number of passes over all addresses; an election takes about a second."""
ROUND_PAUSE_S = 0.5
MAX_RETRY_AFTER_S = 3.0
"""Longest pause between two passes, whatever a ``Retry-After`` header asks for."""
RETRY_STATUSES = frozenset({502, 503, 504})
"""HTTP statuses of a request that another node, or the same node later, may answer successfully.

A retry carries the same order id.
"""


class NoNodeReachableError(SpringmuxError):
    """None of the addresses responded; ``reasons`` has one line per address."""

    def __init__(self, reasons: Sequence[str]) -> None:
        super().__init__("no node could be reached")
        self.reasons = tuple(reasons)


class AdminResponse(msgspec.Struct, frozen=True):
    """A node's response. ``document`` is the parsed JSON body, ``None`` if the body is empty or not JSON."""

    status: int
    document: Any
    address: str
    retry_after_s: float = 0.0


class AdminClient:
    """Sends each request to the first of ``addresses`` (``IP:port``) that responds."""

    def __init__(
        self,
        addresses: Sequence[str],
        operator: str = "operator",
        timeout_s: float = REQUEST_TIMEOUT_S,
        rounds: int = MAX_ROUNDS,
        pause: Callable[[float], None] = time.sleep,
    ) -> None:
        self._addresses = tuple(addresses)
        self._operator = operator
        self._timeout_s = timeout_s
        self._rounds = rounds
        self._pause = pause
        # Nodes are addressed by IP; a proxy that the environment sets must not be used for them.
        self._opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))

    def get(self, path: str) -> AdminResponse:
        """Return the response to a GET of ``path``.

        :raises NoNodeReachableError: if no node responded at all.
        """
        return self._request("GET", path, None, {})

    def order(
        self,
        method: str,
        path: str,
        document: Any = None,
        order_id: str = "",
        base_version: int | None = None,
    ) -> AdminResponse:
        """Send an order; every attempt carries the same order id.

        :param document: bytes are sent unchanged, anything else as JSON.
        :param base_version: version that a change of the gateway's configuration builds on (``If-Match``).
        :raises NoNodeReachableError: if no node responded at all; the order may have been executed.
        """
        headers = {"X-Order-Id": order_id or str(uuid.uuid4()), "X-Operator": self._operator}
        if base_version is not None:
            headers["If-Match"] = str(base_version)
        return self._request(method, path, document, headers)

    def _request(self, method: str, path: str, document: Any, headers: dict[str, str]) -> AdminResponse:
        body = document if isinstance(document, bytes) or document is None else json.dumps(document).encode()
        last_response: AdminResponse | None = None
        reasons: dict[str, str] = {}
        for attempt in range(self._rounds):
            if attempt:
                wait_s = last_response.retry_after_s if last_response is not None else 0.0
                self._pause(min(max(ROUND_PAUSE_S, wait_s), MAX_RETRY_AFTER_S))
            for address in self._addresses:
                try:
                    response = self._send_once(address, method, path, body, headers)
                except (OSError, http.client.HTTPException) as error:
                    reasons[address] = f"{address}: {_failure_reason(error)}"
                    continue
                if response.status not in RETRY_STATUSES:
                    return response
                last_response = response
        if last_response is not None:
            return last_response
        raise NoNodeReachableError(list(reasons.values()))

    def _send_once(
        self, address: str, method: str, path: str, body: bytes | None, headers: dict[str, str]
    ) -> AdminResponse:
        request = urllib.request.Request(f"http://{address}{path}", data=body, method=method)
        request.add_header("Content-Type", "application/json")
        for name, value in headers.items():
            request.add_header(name, value)
        try:
            with self._opener.open(request, timeout=self._timeout_s) as response:
                return _parse_response(response.status, response.read(), address, response.headers)
        except urllib.error.HTTPError as error:
            with error:
                return _parse_response(error.code, error.read(), address, error.headers)


def _parse_response(status: int, data: bytes, address: str, headers: Message) -> AdminResponse:
    try:
        document = json.loads(data) if data else None
    except ValueError:
        document = None
    try:
        retry_after_s = float(headers.get("Retry-After", "0"))
    except ValueError:
        retry_after_s = 0.0
    return AdminResponse(status=status, document=document, address=address, retry_after_s=retry_after_s)


def _failure_reason(error: Exception) -> str:
    reason = getattr(error, "reason", error)
    if isinstance(reason, TimeoutError):
        return "no response in time"
    if isinstance(reason, OSError) and reason.strerror:
        return reason.strerror.lower()
    return f"{type(reason).__name__}: {reason}"
