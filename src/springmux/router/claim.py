"""The at-most-once claim of one request."""

from __future__ import annotations

import xxhash

from springmux.control.view import KeyRecord
from springmux.router.effects import RequestClaim, ResponseHead, SettleClaim
from springmux.router.parse import ParsedRequest
from springmux.router.stored_response import StoredResponse, encode_response
from springmux.vocabulary.names import RequestId


def claim_key(parsed: ParsedRequest, key: KeyRecord, request_id: RequestId) -> str:
    """Return the key of the request's claim: a hash of tenant, route, and idempotency key (or request id)."""
    name = f"{key.tenant}\0{parsed.route.name}\0{parsed.action_id(request_id)}"
    return xxhash.xxh3_128_hexdigest(name.encode(errors="surrogateescape"))


class Claim:
    """A claim from its request to its end. ``running``: this node's open claims, shared by all requests.

    A second request for the same action at this node is rejected because of ``running``, so that no request
    releases another one's claim.
    """

    __slots__ = ("_running", "_stored_response", "body_digest", "granted", "key")

    def __init__(self, key: str, body: bytes, running: set[str]) -> None:
        self.key = key
        self.body_digest = xxhash.xxh3_128_digest(body)
        self.granted = False
        self._running = running
        self._stored_response = b""

    def request(self) -> RequestClaim:
        """Return the effect that requests the claim."""
        self._running.add(self.key)
        return RequestClaim(self.key)

    def store_response(self, head: ResponseHead, body: bytes) -> None:
        """Keep the complete response, which answers a resent request."""
        self._stored_response = encode_response(
            StoredResponse(head.status, head.headers, body, self.body_digest)
        )

    def finish(self, ran: bool) -> list[SettleClaim]:
        """Return the effects that end the claim.

        :param ran: whether any byte may have reached an engine.
        """
        self._running.discard(self.key)
        if not self.granted:
            return []
        self.granted = False
        return [SettleClaim(self.key, ran, self._stored_response)]
