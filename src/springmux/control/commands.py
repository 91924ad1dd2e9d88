"""Commands of the replicated log and their results, encoded with msgpack and applied deterministically.

An operator's command carries an ``order`` id chosen by the client, so that a resent one gets its first
result. The order ids of the leader's own commands derive from rollout and step, so that a command which a
new leader proposes again has no second effect.
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
"""At hundreds of changes a day, two of them share an order id within years with a probability below 1e-20."""


CONTENT_ORDER_PREFIX = "rollout/"
"""Prefix of the ids of rollout orders that are derived from the order's content. The node that accepts such
an order derives the plan's canary from its own measurements, so the same order resent to another node may
carry a different plan."""


class Command(msgspec.Struct, frozen=True, omit_defaults=True, kw_only=True):
    """Base of every command. ``issued_by`` is an operator's name, or ``"system"`` for the leader's own."""

    order: OrderId
    issued_by: str = "operator"


class ApplyConfiguration(Command, frozen=True, kw_only=True, tag="ApplyConfiguration"):
    """Install ``document`` (JSON) as configuration ``version``, which must be the current one plus 1.

    ``partial``: the document is a JSON Merge Patch (RFC 7396) on the current one.
    """

    version: int
    document: bytes
    partial: bool = False


class ApplyGateway(Command, frozen=True, kw_only=True, tag="ApplyGateway"):
    """Change the gateway's configuration if it is still at ``base_version`` (0: there is none yet).

    ``document``: JSON, see :mod:`springmux.control.gateway_change`. ``partial``: the document lists single
    items to put and to remove. ``order`` comes from :func:`gateway_order_id`; results are kept for accepted
    changes only.
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
    """Revoke a key: new requests with it are rejected, and its running streams end."""

    key: KeyId


class PutTemplate(Command, frozen=True, kw_only=True, tag="PutTemplate"):
    """Create or replace a rollout template (JSON, see :mod:`springmux.rollout.planning.template`)."""

    name: str
    document: bytes


class PromoteRollout(Command, frozen=True, kw_only=True, tag="PromoteRollout"):
    """Start a rollout by a plan. It is a conflict if the service has a running rollout already.

    ``stable``: the current version, which the node that accepted the order learned from the engines. It is
    used only for a service of the gateway that never had a rollout.
    """

    rollout: RolloutId
    plan: RolloutPlan
    stable: VersionName = VersionName("")


class PauseRollout(Command, frozen=True, kw_only=True, tag="PauseRollout"):
    """Stop sending requests to the candidate, and stop counting the rollout's elapsed time."""

    service: ServiceName


class ResumeRollout(Command, frozen=True, kw_only=True, tag="ResumeRollout"):
    """Resume a paused rollout."""

    service: ServiceName


class AbortRollout(Command, frozen=True, kw_only=True, tag="AbortRollout"):
    """End a rollout and return all requests to the stable version.

    An empty ``rollout`` means the service's newest one, whatever its id.
    """

    service: ServiceName
    rollout: RolloutId = RolloutId("")
    decision: RolloutDecision | None = None


class SetRolloutStep(Command, frozen=True, kw_only=True, tag="SetRolloutStep"):
    """Raise the candidate's weight, or record the elapsed time at an unchanged weight (a checkpoint).

    The leader proposes it; it is rejected unless the rollout is running. ``step`` counts the increases of the
    weight; a checkpoint carries the current number.
    """

    service: ServiceName
    rollout: RolloutId
    phase: RolloutPhase
    step: int
    weight: float
    elapsed_s: float


class FinishRollout(Command, frozen=True, kw_only=True, tag="FinishRollout"):
    """Make the candidate the stable version. The leader proposes it."""

    service: ServiceName
    rollout: RolloutId
    elapsed_s: float


class SetClaimRing(Command, frozen=True, kw_only=True, tag="SetClaimRing"):
    """Change the nodes that hold at-most-once claims. ``ring.version`` is the current one plus 1."""

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
    """A command of a newer program version can't be decoded.

    A node that meets such a command in the committed log must stop applying commands.
    """


class Outcome(enum.StrEnum):
    """Outcome of a decided command. Only an accepted command can have changed the state."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    INVALID = "invalid"
    NOT_FOUND = "not_found"


class CommandResult(msgspec.Struct, frozen=True, omit_defaults=True):
    """Result of a command, kept for resent ones. ``revision``: log index at which it was decided.

    ``winner``: in a conflict, the version and order or the rollout that prevailed, as JSON values.
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
    """Return ``command`` as stored in the log; large ones are compressed."""
    return compress(encode_uncompressed(command))


def encode_uncompressed(command: AnyCommand) -> bytes:
    """Return ``command`` encoded without compression: the same bytes in every build, as digests need."""
    return _encoder.encode(command)


def decode_command(data: bytes) -> AnyCommand:
    """Return the command in ``data``.

    :raises msgspec.DecodeError: if the bytes aren't a command known to this program.
    """
    return _decoder.decode(decompress(data))
