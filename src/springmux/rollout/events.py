"""Events that the rollout coordinator handles besides ticks and messages."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from springmux.coordination.identifiers import Revision, Term
from springmux.coordination.membership.view import MembershipView
from springmux.coordination.state_machine import Event
from springmux.rollout.plan import RolloutRecord
from springmux.vocabulary.engines import EnginesView
from springmux.vocabulary.names import ServiceName, VersionName


class RolloutSettings(msgspec.Struct, frozen=True):
    """A deployment's exceptions from the default settings.

    ``token_period_s``: fixed time between rounds; ``None`` adapts it to the token's size.
    ``minimum_ready_engines``: number of ready candidate engines below which no step and no finish is
    proposed.
    """

    token_period_s: float | None = None
    minimum_ready_engines: int = 1


class ControlViewChanged(Event, frozen=True):
    """A newer control state was applied. ``stable``: the configured version of each known service."""

    rollouts: Mapping[ServiceName, RolloutRecord]
    stable: Mapping[ServiceName, VersionName]
    revision: Revision
    settings: RolloutSettings = RolloutSettings()


class FleetChanged(Event, frozen=True):
    """The set of present nodes, or the zone of a node, changed."""

    view: MembershipView


class EnginesChanged(Event, frozen=True):
    """The directory of back ends changed."""

    view: EnginesView


class IssuerChanged(Event, frozen=True):
    """This node became, or ceased to be, the control leader, which issues the token under ``term``."""

    leading: bool
    term: Term
