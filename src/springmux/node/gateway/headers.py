"""Rules for the headers that are forwarded to an engine and for those that are returned to the client."""

from __future__ import annotations

from collections.abc import Iterable

from springmux.gateway.dialect import HeaderNames
from springmux.gateway.refusal_responses import Refusal
from springmux.node.http.header_block import Header, HeaderBlock, values_of
from springmux.node.http.types import RequestHead, ResponseHead
from springmux.vocabulary.engines import EngineRecord

HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        b"content-length",
    }
)
"""Headers of one connection (RFC 9110, section 7.6.1), and those derived from the forwarded body."""
CONNECTION = b"connection"


class HeaderRules:
    """Filters and adds headers, with the header names of one deployment."""

    def __init__(self, names: HeaderNames) -> None:
        self.names = names
        gateway_headers = {
            names.api_key,
            names.tenant,
            names.target_engine,
            names.priority,
            names.deadline_ms,
        }
        self._dropped_from_request = HOP_BY_HOP_HEADERS | gateway_headers

    def request_for(
        self,
        head: RequestHead,
        record: EngineRecord,
        tenant: str | None,
        priority: int,
        time_left_s: float,
        last_event_id: bytes | None,
    ) -> RequestHead:
        """Return the head for an engine: the client's without its key, plus the gateway's headers."""
        dropped = self._dropped_from_request | _named_by_connection(head.headers)
        if last_event_id is not None:
            dropped = dropped | {self.names.last_event_id}
        added = [
            (self.names.deadline_ms, b"%d" % max(1, int(time_left_s * 1000))),
            (self.names.target_engine, record.engine.encode()),
            (self.names.priority, b"%d" % priority),
        ]
        if tenant is not None:
            added.append((self.names.tenant, tenant.encode()))
        if last_event_id is not None:
            added.append((self.names.last_event_id, last_event_id))
        received = head.headers if isinstance(head.headers, HeaderBlock) else HeaderBlock(head.headers)
        return RequestHead(head.method, head.target, received.without(dropped).plus(added))

    def response_headers(self, head: ResponseHead) -> list[Header]:
        """Return the headers of an engine's response that the client receives."""
        dropped = HOP_BY_HOP_HEADERS | _named_by_connection(head.headers)
        return [header for header in head.headers if header[0] not in dropped]

    def refusal_headers(self, refusal: Refusal, request_id: bytes | None) -> list[Header]:
        """Return the headers of an error response that the gateway itself sends."""
        headers: list[Header] = [(b"content-type", b"application/json")]
        if request_id is not None:
            headers.append((self.names.request_id, request_id))
        if refusal.retry_after_s is not None:
            headers.append((b"retry-after", b"%.2f" % refusal.retry_after_s))
        return headers

    def declined(self, head: ResponseHead) -> bool:
        """Return whether the engine states that it has not executed the request."""
        return head.status == 421 or head.header(self.names.not_executed) is not None


def _named_by_connection(headers: Iterable[Header]) -> frozenset[bytes]:
    """Return the names that ``Connection`` headers declare as hop-by-hop."""
    values = values_of(headers, CONNECTION)
    return frozenset(name.strip().lower() for value in values for name in value.split(b","))
