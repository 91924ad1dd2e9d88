"""Admission of a client's request: its route, its key and its tenant's quota."""

from __future__ import annotations

import asyncio

from springmux.gateway import refusal_responses
from springmux.gateway.core import GatewayCore
from springmux.gateway.dialect import HeaderNames
from springmux.gateway.prompt_headers import quota_tokens
from springmux.gateway.refusal_responses import Refusal
from springmux.gateway.routing import Admitted, KeyRejectedError, RouteNotFoundError
from springmux.node.http.types import RequestHead


class Admission:
    """Checks requests against the active configuration."""

    def __init__(self, core: GatewayCore, names: HeaderNames) -> None:
        self._core = core
        self._names = names

    def ready(self) -> bool:
        """Return whether this node has a configuration and current keys."""
        return self._core.configured and self._keys_current()

    def admit(self, head: RequestHead) -> Admitted | Refusal:
        """Return the request's route and tenant, or why it is refused.

        The lease on the keys is checked after the key: revocations from before the lease began are already
        applied here. Once the lease has expired, an unknown key may be a new one.
        """
        if not self._core.configured:
            return refusal_responses.NO_CONFIGURATION
        host = head.header(b"host") or b""
        path = head.target.partition(b"?")[0]
        key = head.header(self._names.api_key)
        key_text = key.decode("latin-1") if key is not None else None
        try:
            admitted = self._core.table.admit(host.decode("latin-1"), path.decode("latin-1"), key_text)
        except RouteNotFoundError:
            return refusal_responses.NO_ROUTE
        except KeyRejectedError:
            return refusal_responses.NO_KEY if self._keys_current() else refusal_responses.KEYS_NOT_CURRENT
        if admitted.by_key and not self._keys_current():
            return refusal_responses.KEYS_NOT_CURRENT
        return admitted

    def charge_quota(self, admitted: Admitted, head: RequestHead) -> float | None:
        """Charge the request to its tenant's quota. If the quota is exceeded, return the seconds to wait."""
        tenant = admitted.tenant
        if tenant is None or tenant.rate_per_s <= 0:
            return None
        tokens = quota_tokens(tenant, head.header(self._names.token_usage))
        return self._core.usage.admit(tenant.name, tokens, asyncio.get_running_loop().time())

    def refund_quota(self, admitted: Admitted, head: RequestHead) -> None:
        """Refund the quota charge of a request that was not executed."""
        tenant = admitted.tenant
        if tenant is None or tenant.rate_per_s <= 0:
            return
        tokens = quota_tokens(tenant, head.header(self._names.token_usage))
        self._core.usage.refund(tenant.name, tokens, asyncio.get_running_loop().time())

    def _keys_current(self) -> bool:
        return self._core.knows_keys(asyncio.get_running_loop().time())
