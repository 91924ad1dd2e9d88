"""State that the attempts of one forwarded request share."""

from __future__ import annotations

from springmux.control.gateway_configuration import GatewayRoute
from springmux.gateway import refusal_responses
from springmux.gateway.attempts import AttemptRules
from springmux.gateway.event_stream import EventStream
from springmux.gateway.prompt_headers import engine_priority
from springmux.gateway.prompt_metadata import PromptMetadata
from springmux.gateway.refusal_responses import Refusal
from springmux.gateway.request_trace import RequestTrace
from springmux.gateway.routing import Admitted
from springmux.node.gateway.services import ForwarderServices
from springmux.node.http.types import ServerExchange


class ForwardedRequest:
    """One client request that is forwarded to engines.

    ``deadline``: in seconds of the event loop's clock. ``events``: the stream received so far, if it may be
    resumed at another engine, else ``None``.
    """

    def __init__(
        self,
        services: ForwarderServices,
        exchange: ServerExchange,
        admitted: Admitted,
        prompt: PromptMetadata,
        body: bytes,
        deadline: float,
        trace: RequestTrace,
    ) -> None:
        self.services = services
        self.exchange = exchange
        self.route: GatewayRoute = admitted.route
        self.tenant = admitted.tenant
        self.prompt = prompt
        self.body = body
        self.deadline = deadline
        self.trace = trace
        self.priority = engine_priority(admitted.route, admitted.tenant)
        self.rules = AttemptRules(admitted.route, services.core.retry_budget, deadline)
        self.events = self._event_stream()
        self.in_doubt = False
        """Whether the current attempt has been sent, so that the engine may have executed the request."""

    def timeout_refusal(self) -> Refusal:
        """Return the response to a request whose deadline has passed."""
        in_doubt = self.rules.may_have_run or self.in_doubt
        return refusal_responses.TOO_LATE if in_doubt else refusal_responses.TOO_LATE_UNSENT

    def _event_stream(self) -> EventStream | None:
        if not self.route.resumable:
            return None
        return EventStream(self.exchange.head.header(self.services.headers.names.last_event_id))
