"""Commands of the replicated log and their results. Encoded with msgpack; applied deterministically.

Operators' commands carry an ``order`` id chosen by the client: a resent one gets its first result.
The order ids of the leader's own commands derive from rollout and step, so a new leader can't repeat them.
"""

from __future__ import annotations

import enum
import hashlib
from typing import Any

import msgspec

from springmux.control.compression import compress, decompress
from springmux.control.view import Tenant
from springmux.coordination.claims.ring import ClaimRing
from springmux.coordination.identifiers import Revision
from springmux.rollout.plan import RolloutDecision, RolloutPhase, RolloutPlan
from springmux.vocabulary.errors import FieldError, SpringmuxError
from springmux.vocabulary.names import (
    KeyDigest,
    KeyId,
    OrderId,
    RolloutId,
    ServiceName,
    TenantName,
    VersionName,
)

GATEWAY_ORDER_BYTES = 16
"""Two changes share an order id with a probability below 1e-20 in years of hundreds of changes a day."""


CONTENT_ORDER_PREFIX = "rollout/"
"""Prefix of a rollout order's id that is derived from its content. The node that accepts such an order
chooses the plan's canary by its own measurements, so one resent to another node may have another plan."""


class Command(msgspec.Struct, frozen=True, omit_defaults=True, kw_only=True):
    """Base of every command. ``issued_by`` is an operator's name or ``"system"``."""

    order: OrderId
    issued_by: str = "operator"


class ApplyConfiguration(Command, frozen=True, kw_only=True, tag="ApplyConfiguration"):
    """Install ``document`` (JSON) as configuration ``version``, which must be the present one plus 1.

    ``partial``: the document is a JSON Merge Patch (RFC 7396) on the present one.
    """

    version: int
    document: bytes
    partial: bool = False


class ApplyGateway(Command, frozen=True, kw_only=True, tag="ApplyGateway"):
    """Change the gateway's configuration if it is still at ``base_version`` (0: there is none yet).

    ``document``: JSON, see :mod:`springmux.control.gateway_change`. ``partial``: it names single items to
    put and to remove. ``order`` is :func:`gateway_order_id`; only accepted changes are remembered by it.
    """

    base_version: int
    document: bytes
    partial: bool = False


class PutTenant(Command, frozen=True, kw_only=True, tag="PutTenant"):
    """Create or replace a tenant."""

    tenant: Tenant


class RemoveTenant(Command, frozen=True, kw_only=True, tag="RemoveTenant"):
    """Remove a tenant and revoke its keys."""

    tenant: TenantName


class PutKey(Command, frozen=True, kw_only=True, tag="PutKey"):
    """Register the digest of a key for a tenant."""

    key: KeyId
    digest: KeyDigest
    tenant: TenantName


class RevokeKey(Command, frozen=True, kw_only=True, tag="RevokeKey"):
    """Revoke a key: its next requests are rejected, running streams end."""

    key: KeyId


class PutTemplate(Command, frozen=True, kw_only=True, tag="PutTemplate"):
    """Create or replace a rollout template (JSON, see :mod:`springmux.rollout.planning.template`)."""

    name: str
    document: bytes


class PromoteRollout(Command, frozen=True, kw_only=True, tag="PromoteRollout"):
    """Start a rollout under a plan; conflicts with one under way for the service.

    ``stable``: the present version, as the node that accepted the order knows it from the engines. It is used
    only for a service of the gateway that never had a rollout.
    """

    rollout: RolloutId
    plan: RolloutPlan
    stable: VersionName = VersionName("")


class PauseRollout(Command, frozen=True, kw_only=True, tag="PauseRollout"):
    """Send nothing more to the candidate and stop the rollout's clock."""

    service: ServiceName


class ResumeRollout(Command, frozen=True, kw_only=True, tag="ResumeRollout"):
    """Resume a paused rollout."""

    service: ServiceName


class AbortRollout(Command, frozen=True, kw_only=True, tag="AbortRollout"):
    """End a rollout and return everything to the stable version. ``rollout`` empty: whichever runs."""

    service: ServiceName
    rollout: RolloutId = RolloutId("")
    decision: RolloutDecision | None = None


class SetRolloutStep(Command, frozen=True, kw_only=True, tag="SetRolloutStep"):
    """Raise the weight, or record the time used at the same weight; proposed by the leader.

    Ignored unless the rollout runs. ``step`` counts the raises; a checkpoint carries the present number.
    """

    service: ServiceName
    rollout: RolloutId
    phase: RolloutPhase
    step: int
    weight: float
    elapsed_s: float


class FinishRollout(Command, frozen=True, kw_only=True, tag="FinishRollout"):
    """Make the candidate the stable version; proposed by the leader."""

    service: ServiceName
    rollout: RolloutId
    elapsed_s: float


class SetClaimRing(Command, frozen=True, kw_only=True, tag="SetClaimRing"):
    """Change the holders of at-most-once claims; ``ring.version`` is the present one plus 1."""

    ring: ClaimRing


AnyCommand = (
    ApplyConfiguration
    | ApplyGateway
    | PutTenant
    | RemoveTenant
    | PutKey
    | RevokeKey
    | PutTemplate
    | PromoteRollout
    | PauseRollout
    | ResumeRollout
    | AbortRollout
    | SetRolloutStep
    | FinishRollout
    | SetClaimRing
)


class UnknownCommandError(SpringmuxError):
    """A command of a newer program can't be decoded. If it is committed, the node must not continue."""


class Outcome(enum.StrEnum):
    """How a command ended."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    INVALID = "invalid"
    NOT_FOUND = "not_found"


class CommandResult(msgspec.Struct, frozen=True, omit_defaults=True):
    """Result of a command, kept for resent ones. ``revision``: log index at which it was decided.

    ``winner``: in a conflict, what prevailed (version and order, or rollout), as JSON values.
    """

    order: OrderId
    outcome: Outcome
    revision: Revision
    message: str = ""
    version: int = 0
    errors: tuple[FieldError, ...] = ()
    winner: dict[str, Any] | None = None


def gateway_order_id(base_version: int, document: bytes, partial: bool) -> OrderId:
    """Return the order id of a gateway change, derived from its content.

    The same change resent to any node has the same order id and gets its first result.
    """
    digest = hashlib.blake2b(f"{base_version}:{int(partial)}:".encode(), digest_size=GATEWAY_ORDER_BYTES)
    digest.update(document)
    return OrderId(f"gateway/{digest.hexdigest()}")


_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[AnyCommand] = msgspec.msgpack.Decoder(AnyCommand)


def encode_command(command: AnyCommand) -> bytes:
    """Return the log's bytes for ``command``; large ones are compressed."""
    return compress(encode_plain(command))


def encode_plain(command: AnyCommand) -> bytes:
    """Return the bytes of ``command`` before compression: the same ones in every build, for digests."""
    return _encoder.encode(command)


def decode_command(data: bytes) -> AnyCommand:
    """Return the command in ``data``.

    :raises msgspec.DecodeError: if the bytes are not a known command.
    """
    return _decoder.decode(decompress(data))
