"""Settings of a gateway node: one TOML file, validated field by field, without the large settings library.

The daemon with the chat-completions interface uses :mod:`springmux.node.settings`. A gateway node is started
far more often, on small machines, and parses its file with the standard library alone.
"""

from __future__ import annotations

import math
import tomllib
from pathlib import Path
from typing import Annotated, Any, Literal, get_args, get_origin

import msgspec

from springmux.agent.events import AgentSettings
from springmux.coordination.identifiers import Address, NodeId
from springmux.node.addresses import MAX_PORT, check_address
from springmux.node.gateway.string_settings import base_type, parse_strings
from springmux.node.resources.process_resources import DEFAULT_MAX_DESCRIPTORS, DEFAULT_MEMORY_MB
from springmux.vocabulary.errors import FieldError, SettingsError

MAX_SHOWN_LENGTH = 80
"""Number of characters of an invalid value that its error message quotes."""
_TYPE_DESCRIPTIONS = {
    str: "text",
    bool: "true or false",
    int: "a whole number",
    float: "a number",
    tuple[str, ...]: "a list of texts",
}

Name = Annotated[str, msgspec.Meta(min_length=1)]
Port = Annotated[int, msgspec.Meta(ge=1, le=MAX_PORT)]
Losses = Annotated[int, msgspec.Meta(ge=0, le=10)]
"""Number of lost controllers. With 10 the control group has 21 voters; more would only be slower."""
Amount = Annotated[float, msgspec.Meta(ge=0, le=1_000_000)]
"""Limit on a count. It may be a fraction, for instance after scaling with the size of the fleet."""
Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
Milliseconds = Annotated[float, msgspec.Meta(ge=0, le=3_600_000)]
Seconds = Annotated[float, msgspec.Meta(ge=0, le=3600)]
Megabytes = Annotated[float, msgspec.Meta(ge=100, le=1_000_000)]
Descriptors = Annotated[int, msgspec.Meta(ge=300, le=1_000_000)]
TimeoutSeconds = Annotated[float, msgspec.Meta(gt=0, le=3600)]


class GatewaySettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Settings of a gateway node. Addresses are ``IP:port``.

    ``front_address``: listener for clients. ``ready_address``: listener for readiness checks.
    ``control_address``: listener for operators and engines. ``seeds``: addresses of three or fewer other
    nodes; only the host is used, since all nodes listen to peers on ``peer_port``. ``first_start``: whether
    the fleet starts for the first time, with empty disks. ``losses_tolerated``: number of controllers that
    may be lost at the same time.
    ``fleet_retries``: retries that the fleet may send in ``retry_window_s`` in addition to ``retry_share`` of
    its requests. ``strict_revocation``: a node that can't tell whether its keys are current refuses keyed
    requests, so that a key is rejected everywhere ``revocation_ms`` after its removal was acknowledged.
    ``contact_ms``: time without a disturbance after which a node counts as in contact with the fleet.
    ``change_in_force_ms``: time within which an acknowledged change is active at every node in contact.
    ``order_resend_ms``: time within which operators send an order without an id of its own again; an equal
    one that comes later is a new order.
    ``memory_mb``: memory that the process may use, in megabytes; clients may fill a quarter of it.
    ``max_descriptors``: descriptors that the process may open; a lower ``RLIMIT_NOFILE`` applies instead.

    Any value may also be written as a string, as in an environment variable. An empty string means the
    default.
    """

    node: Name
    zone: Name
    region: str = ""
    fleet: str = "springmux"
    host: Name
    front_address: str
    ready_address: str
    control_address: str
    peer_port: Port
    seeds: tuple[str, ...] = ()
    first_start: bool = False
    losses_tolerated: Losses = 1
    data_folder: str = ""
    fleet_retries: Amount = 64
    retry_share: Share = 0.2
    retry_window_s: Seconds = 10.0
    strict_revocation: bool = False
    revocation_ms: Milliseconds = 5000
    contact_ms: Milliseconds = 3000
    change_in_force_ms: Milliseconds = 2000
    expose_share: Share = 0.1
    expose_allowance: Amount = 50
    rollback_ms: Milliseconds = 5000
    stop_grace_s: Seconds = 8.0
    order_timeout_s: TimeoutSeconds = 4.0
    order_resend_ms: Milliseconds = 4000
    memory_mb: Megabytes = DEFAULT_MEMORY_MB
    max_descriptors: Descriptors = DEFAULT_MAX_DESCRIPTORS
    log_level: Literal["debug", "info", "warning", "error"] = "info"

    @property
    def peer_address(self) -> Address:
        """Address on which this node listens to its peers."""
        return Address(f"{self.host}:{self.peer_port}")

    @property
    def peer_seeds(self) -> tuple[Address, ...]:
        """Peer addresses of the seeds, without this node's."""
        hosts = [seed.rpartition(":")[0] for seed in self.seeds]
        return tuple(Address(f"{host}:{self.peer_port}") for host in hosts if host != self.host)

    @property
    def read_proof_s(self) -> float:
        """Maximum age in seconds of a proof with which a node returns its state as the newest one.

        It is half of the time within which a change must be active everywhere, so that a change acknowledged
        since the proof is shown in time, however long the response takes to reach the reader.
        """
        return self.change_in_force_ms / 1000.0 / 2.0

    def agent_settings(self) -> AgentSettings:
        """Return the settings of the agent."""
        return AgentSettings(
            node=NodeId(self.node),
            zone=self.zone,
            region=self.region,
            peer_address=self.peer_address,
            client_address=Address(self.front_address),
            admin_address=Address(self.control_address),
            seeds=self.peer_seeds,
            losses_tolerated=self.losses_tolerated,
            first_start=self.first_start,
            revocation_s=self.revocation_ms / 1000.0 if self.strict_revocation else None,
            contact_s=self.contact_ms / 1000.0,
        )


def load_gateway_settings(file: Path) -> GatewaySettings:
    """Read and validate a settings file.

    :raises SettingsError: lists every invalid field.
    """
    try:
        table = tomllib.loads(file.read_text(encoding="utf-8"))
    except OSError as error:
        raise SettingsError((FieldError("--settings", f"can't read {file}: {error.strerror}"),)) from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError((FieldError("--settings", f"{file} is not TOML: {error}"),)) from None
    fields = msgspec.structs.fields(GatewaySettings)
    types = {field.name: field.type for field in fields}
    table = parse_strings(table, types, {field.name for field in fields if field.required})
    errors = _invalid_fields(table)
    if errors:
        raise SettingsError(tuple(errors))
    return msgspec.convert(table, GatewaySettings, strict=True)


def _invalid_fields(table: dict[str, Any]) -> list[FieldError]:
    fields = {field.name: field for field in msgspec.structs.fields(GatewaySettings)}
    errors = [FieldError(name, "is not a setting") for name in table if name not in fields]
    for name, field in fields.items():
        if name not in table:
            if field.required:
                errors.append(FieldError(name, "is missing"))
            continue
        reason = _validation_error(name, table[name], field.type)
        if reason:
            errors.append(FieldError(name, reason))
    return errors


def _validation_error(name: str, value: Any, field_type: Any) -> str:
    """Return why a setting's value is invalid and what is allowed; empty if it is valid."""
    try:
        converted = msgspec.convert(value, field_type, strict=True)
    except msgspec.ValidationError:
        return f"{_abbreviated(value)} is not allowed; it must be {_describe_allowed(field_type)}"
    if isinstance(converted, float) and not math.isfinite(converted):
        return f"{_abbreviated(value)} is not allowed; it must be {_describe_allowed(field_type)}"
    for address in _addresses(name, converted):
        try:
            check_address(address)
        except ValueError as error:
            return f"{_abbreviated(value)} is not allowed: {error}"
    return ""


def _addresses(name: str, value: Any) -> tuple[str, ...]:
    """Return the addresses in a setting; ``host`` with a placeholder port, as its port is another setting."""
    if name == "host":
        return (f"{value}:{MAX_PORT}",)
    if name == "seeds":
        return tuple(value)
    return (value,) if name.endswith("_address") else ()


def _abbreviated(value: Any) -> str:
    text = repr(value)
    return text if len(text) <= MAX_SHOWN_LENGTH else f"{text[:MAX_SHOWN_LENGTH]}..."


def _describe_allowed(field_type: Any) -> str:
    """Return a description of a setting's type and range."""
    if get_origin(field_type) is Literal:
        return " or ".join(get_args(field_type))
    base, metadata = base_type(field_type)
    description = _TYPE_DESCRIPTIONS[base]
    for meta in metadata:
        if meta.min_length is not None:
            description += " that is not empty"
        if meta.ge is not None:
            description += f" from {meta.ge:g}"
        if meta.gt is not None:
            description += f" above {meta.gt:g}"
        if meta.le is not None:
            description += f" to {meta.le:g}"
    return description
