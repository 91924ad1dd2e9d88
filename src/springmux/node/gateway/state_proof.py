"""Proof that this node's control state includes everything that was acknowledged."""

from __future__ import annotations

import asyncio

from springmux.agent.agent import NodeAgent
from springmux.control.freshness.events import ProofRequested
from springmux.node.driver import AgentDriver
from springmux.node.gateway.polling import wait_until

PROOF_TIMEOUT_S = 0.7
"""Time to wait for a proof; operators' clients wait 1 s for the response."""


class StateProof:
    """Requests proofs from the leader and waits for them.

    :param max_age_s: maximum age in seconds of a proof that counts for a read.
    """

    def __init__(self, agent: NodeAgent, driver: AgentDriver, max_age_s: float) -> None:
        self._agent = agent
        self._driver = driver
        self._max_age_s = max_age_s

    async def obtain(self) -> bool:
        """Return whether there is a recent proof, or one arrives in time."""
        if not self._agent.ready:
            return False
        if not self._is_recent():
            self._driver.submit(ProofRequested())
        deadline = asyncio.get_running_loop().time() + PROOF_TIMEOUT_S
        return await wait_until(self._is_recent, deadline)

    async def obtain_after_pause(self) -> bool:
        """Do the same as :meth:`obtain`, but first let the agent notice whether the process was suspended.

        A request may have waited all the while, so that nothing follows from the time at which it is read.
        The agent is then not ready until its contact is proven again.
        """
        self._driver.submit(ProofRequested())
        return await self.obtain()

    def _is_recent(self) -> bool:
        now = asyncio.get_running_loop().time()
        return self._agent.state_proof_age_s(now) <= self._max_age_s
