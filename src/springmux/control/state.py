"""The control state machine: applies committed commands, returns their results and provides immutable views.

Deterministic: every node that applied the same commands holds the same state, byte for byte in
:meth:`ControlState.snapshot`. Nothing here reads a clock or draws a random number.
"""

from __future__ import annotations

from collections.abc import Set

import msgspec

from springmux.control.accounts_section import AccountsSection
from springmux.control.command_decision import ACCEPTED, CommandDecision, conflict
from springmux.control.commands import (
    AbortRollout,
    AnyCommand,
    ApplyConfiguration,
    ApplyGateway,
    CommandResult,
    FinishRollout,
    Outcome,
    PauseRollout,
    PromoteRollout,
    PutKey,
    PutTemplate,
    PutTenant,
    RemoveTenant,
    ResumeRollout,
    RevokeKey,
    SetClaimRing,
    SetRolloutStep,
    UnknownCommandError,
    decode_command,
)
from springmux.control.configuration import MAX_DOCUMENT_BYTES, InvalidConfigurationError
from springmux.control.configuration_section import ConfigurationSection, ConfigurationVersion
from springmux.control.decided_order_store import DecidedOrderStore
from springmux.control.gateway_section import GatewaySection
from springmux.control.order_window import DEFAULT_MAX_BYTES, DEFAULT_MAX_ORDERS
from springmux.control.rollout_section import EndedRollout, RolloutSection
from springmux.control.state_snapshot import (
    StateSnapshot,
    UnreadableSnapshotError,
    decode_snapshot,
    encode_snapshot,
)
from springmux.control.templates_section import TemplatesSection
from springmux.control.view import EMPTY_VIEW, ControlView
from springmux.coordination.claims.ring import ClaimRing
from springmux.coordination.identifiers import Revision
from springmux.vocabulary.errors import FieldError
from springmux.vocabulary.names import OrderId, ServiceName, VersionName


class ControlState:
    """The state machine that every node replicates by applying the commands of the control log.

    :param max_document_bytes: largest accepted configuration document.
    :param max_orders: operators' orders whose results are kept for resent orders.
    :param max_order_bytes: total size of the kept results, of operators and of the leader separately.
    """

    def __init__(
        self,
        max_document_bytes: int = MAX_DOCUMENT_BYTES,
        max_orders: int = DEFAULT_MAX_ORDERS,
        max_order_bytes: int = DEFAULT_MAX_BYTES,
    ) -> None:
        self._configuration = ConfigurationSection(max_document_bytes)
        self._gateway = GatewaySection(max_document_bytes)
        self._accounts = AccountsSection()
        self._templates = TemplatesSection()
        self._rollouts = RolloutSection()
        self._orders = DecidedOrderStore(max_orders, max_order_bytes)
        self._claim_ring: ClaimRing | None = None
        self._view = EMPTY_VIEW

    def apply(self, index: Revision, data: bytes) -> CommandResult | None:
        """Apply the committed command at log index ``index``.

        :returns: the command's result, or the stored first result if the order was decided before; ``None``
            if the index was applied already.
        :raises UnknownCommandError: if the command can't be decoded. The state doesn't change.
        """
        if index <= self._view.revision:
            return None
        try:
            command = decode_command(data)
        except msgspec.DecodeError as error:
            raise UnknownCommandError(f"command at index {index} can't be decoded: {error}") from error
        result = self._orders.recall(command)
        if result is None:
            result = self._result(command, index, self._decide(command, index))
            self._orders.remember(command, result)
        self._view = self._build_view(index)
        return result

    def view(self) -> ControlView:
        """Return the current state. The view is immutable, and shared by all callers."""
        return self._view

    def result_of_order(self, order: OrderId) -> CommandResult | None:
        """Return the result of a decided order, or ``None`` if it is undecided or no longer kept."""
        found = self._orders.find(order)
        return found.result if found else None

    def recall(self, data: bytes) -> CommandResult | None:
        """Return the first result of the encoded command if it is a resent one, else ``None``.

        :raises UnknownCommandError: if the command can't be decoded.
        """
        try:
            return self._orders.recall(decode_command(data))
        except msgspec.DecodeError as error:
            raise UnknownCommandError(f"command can't be decoded: {error}") from error

    def prepare(self, data: bytes) -> None:
        """Parse a command's configuration document before ``apply``, possibly concurrently in another thread.

        Parsing an 8 MiB document takes about a second; ``apply`` then only installs the result.
        """
        try:
            command = decode_command(data)
        except msgspec.DecodeError:
            return
        if isinstance(command, ApplyConfiguration):
            self._configuration.prepare(command)
        elif isinstance(command, ApplyGateway):
            self._gateway.prepare(command)

    def check_configuration(self, document: bytes, partial: bool = False) -> tuple[FieldError, ...]:
        """Return every error for which the document would be rejected now. The state doesn't change."""
        parsed = self._configuration.parse(document, partial)
        constraints = self._rollouts.constraints()
        return parsed.errors or self._configuration.rollout_conflicts(parsed.configuration, constraints)

    def configuration_document(self, version: int | None = None) -> bytes | None:
        """Return the canonical JSON document of a version, by default the current one.

        :returns: ``None`` if the version's document is no longer kept.
        """
        if version is None or version == self._view.configuration.version:
            return self._configuration.current.document
        return self._configuration.document_of(version)

    def gateway_document(self) -> bytes | None:
        """Return the gateway's configuration as JSON, each item as sent; ``None`` if there is none yet."""
        return self._gateway.document() or None

    def configuration_history(self) -> tuple[ConfigurationVersion, ...]:
        """Return who made the newest versions of the configuration, oldest first."""
        return self._configuration.history

    def ended_rollouts(self, service: ServiceName | None = None) -> tuple[EndedRollout, ...]:
        """Return the most recently ended rollouts, oldest first, of one service or of all."""
        ended = self._rollouts.ended
        return tuple(rollout for rollout in ended if service is None or rollout.record.service == service)

    def snapshot(self) -> bytes:
        """Return the whole state, encoded. Equal states give equal bytes."""
        accounts = self._accounts
        snapshot = StateSnapshot(
            revision=self._view.revision,
            configuration=self._configuration.current.configuration,
            document=self._configuration.current.document,
            history=self._configuration.history,
            documents=self._configuration.documents,
            tenants=tuple(sorted(accounts.tenants.values(), key=lambda tenant: tenant.name)),
            keys=tuple(sorted(accounts.keys.values(), key=lambda record: record.digest)),
            templates=tuple(sorted(self._templates.documents.items())),
            rollouts=tuple(sorted(self._rollouts.records.values(), key=lambda record: record.service)),
            ended=self._rollouts.ended,
            orders=self._orders.operators.decided_orders(),
            claim_ring=self._claim_ring,
            system_orders=self._orders.system.decided_orders(),
            gateway_document=self._gateway.document(),
        )
        return encode_snapshot(snapshot)

    def restore(self, data: bytes) -> None:
        """Replace the whole state by that of a snapshot.

        :raises UnreadableSnapshotError: if the snapshot can't be decoded. The state doesn't change.
        """
        snapshot = decode_snapshot(data)
        try:
            self._gateway = self._gateway.restored(snapshot.gateway_document)
        except InvalidConfigurationError as error:
            raise UnreadableSnapshotError(f"the gateway's configuration can't be decoded: {error}") from error
        self._configuration.restore(
            snapshot.configuration, snapshot.document, snapshot.history, snapshot.documents
        )
        self._accounts.restore(snapshot.tenants, snapshot.keys)
        self._templates.documents = dict(snapshot.templates)
        self._rollouts.restore(snapshot.rollouts, snapshot.ended)
        self._orders.operators.replace(snapshot.orders)
        self._orders.system.replace(snapshot.system_orders)
        self._claim_ring = snapshot.claim_ring
        self._view = self._build_view(snapshot.revision)

    def _result(self, command: AnyCommand, index: Revision, decision: CommandDecision) -> CommandResult:
        return CommandResult(
            order=command.order,
            outcome=decision.outcome,
            revision=index,
            message=decision.message,
            version=decision.version,
            errors=decision.errors,
            winner=decision.winner,
        )

    def _decide(self, command: AnyCommand, index: Revision) -> CommandDecision:
        match command:
            case ApplyConfiguration():
                return self._apply_configuration(command, index)
            case ApplyGateway():
                return self._apply_gateway(command)
            case PutTenant():
                return self._accounts.put_tenant(command)
            case RemoveTenant():
                return self._accounts.remove_tenant(command)
            case PutKey():
                return self._accounts.put_key(command)
            case RevokeKey():
                return self._accounts.revoke_key(command)
            case PutTemplate():
                return self._templates.put(command)
            case SetClaimRing():
                return self._set_claim_ring(command)
            case _:
                return self._decide_rollout(command, index)

    def _decide_rollout(self, command: AnyCommand, index: Revision) -> CommandDecision:
        match command:
            case PromoteRollout():
                return self._rollouts.promote(command, self._stable_for(command))
            case PauseRollout():
                return self._rollouts.pause(command)
            case ResumeRollout():
                return self._rollouts.resume(command)
            case AbortRollout():
                return self._rollouts.abort(command, index)
            case SetRolloutStep():
                return self._rollouts.set_step(command)
            case FinishRollout():
                return self._rollouts.finish(command, index)
            case _:
                raise UnknownCommandError(f"no handler for commands of type {type(command).__name__}")

    def _apply_configuration(self, command: ApplyConfiguration, index: Revision) -> CommandDecision:
        decision = self._configuration.apply(command, index, self._rollouts.constraints())
        if decision.outcome is Outcome.ACCEPTED:
            self._rollouts.forget_services(self._known_services())
        return decision

    def _apply_gateway(self, command: ApplyGateway) -> CommandDecision:
        decision = self._gateway.apply(command)
        if decision.outcome is Outcome.ACCEPTED:
            self._rollouts.forget_services(self._known_services())
        return decision

    def _known_services(self) -> Set[ServiceName]:
        chat = self._configuration.current.configuration.services
        return chat.keys() | self._gateway.configuration.services.keys()

    def _stable_for(self, command: PromoteRollout) -> VersionName | None:
        """Return the stable version that the rollout replaces, or ``None`` for an unknown service.

        No version is recorded for a gateway's service before its first rollout; the command's is used then.
        """
        service = command.plan.service
        if service not in self._known_services():
            return None
        return self._view.stable_version(service) or command.stable

    def _set_claim_ring(self, command: SetClaimRing) -> CommandDecision:
        version = self._claim_ring.version if self._claim_ring is not None else 0
        if command.ring.version != version + 1:
            return conflict(
                f"claim ring {command.ring.version} does not follow {version}", {"version": version}
            )
        self._claim_ring = command.ring
        return ACCEPTED

    def _build_view(self, revision: Revision) -> ControlView:
        return ControlView(
            revision=revision,
            configuration=self._configuration.current.configuration,
            tenants=self._accounts.tenants,
            keys=self._accounts.keys,
            rollouts=self._rollouts.records,
            templates=self._templates.documents,
            claim_ring=self._claim_ring,
            gateway=self._gateway.configuration,
        )
