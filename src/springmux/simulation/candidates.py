"""Candidate versions of simulated rollouts: a good one, and one for each fault of the engine model."""

from __future__ import annotations

import msgspec

from springmux.simulation.engine_model import GOOD, VersionBehaviour


class Candidate(msgspec.Struct, frozen=True):
    """A named behaviour. ``bad``: whether the version must not be released."""

    name: str
    behaviour: VersionBehaviour
    bad: bool = True


LONG_ROUTE = "{long}"
"""Placeholder for the deployment's route of long prompts."""

CANDIDATES = {
    candidate.name: candidate
    for candidate in (
        Candidate("good", GOOD, bad=False),
        Candidate("errors", VersionBehaviour(error_share=0.3)),
        Candidate("errors-late", VersionBehaviour(error_share=0.4, after_s=20.0)),
        Candidate("errors-under-load", VersionBehaviour(error_share=0.5, above_running=3)),
        Candidate("errors-on-one-route", VersionBehaviour(error_share=0.6, route=LONG_ROUTE)),
        Candidate("slow-first-token", VersionBehaviour(first_token_factor=4.0)),
        Candidate("slow-tokens", VersionBehaviour(gap_factor=2.5)),
        Candidate("cuts", VersionBehaviour(cut_share=0.3)),
        Candidate("wrong-ids", VersionBehaviour(wrong_id_share=0.3)),
        Candidate("silent", VersionBehaviour(silent_share=0.3)),
        Candidate("garbage", VersionBehaviour(garbage_share=0.3)),
    )
}
"""All candidates by name."""


def behaviour_for(candidate: Candidate, long_route: str) -> VersionBehaviour:
    """Return the behaviour, with ``long_route`` in place of the placeholder."""
    if candidate.behaviour.route != LONG_ROUTE:
        return candidate.behaviour
    return msgspec.structs.replace(candidate.behaviour, route=long_route)
