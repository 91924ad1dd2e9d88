"""The at-most-once claim of one request, as its flow holds it."""

from __future__ import annotations

import xxhash

from springmux.control.view import KeyRecord
from springmux.router.effects import RequestClaim, ResponseHead, SettleClaim
from springmux.router.parse import ParsedRequest
from springmux.router.stored_response import StoredResponse, encode_answer
from springmux.vocabulary.names import RequestId


def claim_key(parsed: ParsedRequest, key: KeyRecord, request_id: RequestId) -> str:
    """Return the name of the action: tenant, route, and the caller's key for it (or the request)."""
    name = f"{key.tenant}\0{parsed.route.name}\0{parsed.action(request_id)}"
    return xxhash.xxh3_128_hexdigest(name.encode(errors="surrogateescape"))


class Claim:
    """From the question to the settlement. ``running``: claims under way at this node, shared.

    A second request for the same action at this node is answered from ``running``, so that one request
    can never give back what another holds.
    """

    __slots__ = ("_kept", "_running", "body_digest", "held", "key")

    def __init__(self, key: str, body: bytes, running: set[str]) -> None:
        self.key = key
        self.body_digest = xxhash.xxh3_128_digest(body)
        self.held = False
        self._running = running
        self._kept = b""

    def ask(self) -> RequestClaim:
        """Begin."""
        self._running.add(self.key)
        return RequestClaim(self.key)

    def keep(self, head: ResponseHead, body: bytes) -> None:
        """Keep the whole answer for resends."""
        self._kept = encode_answer(StoredResponse(head.status, head.headers, body, self.body_digest))

    def settle(self, ran: bool) -> list[SettleClaim]:
        """End; ``ran``: a byte may have reached an engine."""
        self._running.discard(self.key)
        if not self.held:
            return []
        self.held = False
        return [SettleClaim(self.key, ran, self._kept)]
