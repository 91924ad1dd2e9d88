"""Settings of a gateway node: one TOML file, checked field by field, without the large settings library.

The daemon with the chat-completions interface has :mod:`springmux.node.settings`; a gateway node is started
far more often, on small machines, and reads its file with the standard library alone.
"""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any, Literal

import msgspec

from springmux.agent.events import AgentSettings
from springmux.coordination.identifiers import Address, NodeId
from springmux.vocabulary.errors import FieldError, SettingsError

MAX_PORT = 65535


class GatewaySettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Everything that a gateway node learns from outside. Addresses are ``IP:port``.

    ``front_address``: callers. ``ready_address``: readiness checks. ``control_address``: operators and
    engines. ``seeds``: addresses of three or fewer other nodes; only the host counts, since peers listen
    on ``peer_port`` everywhere. ``first_start``: the whole fleet starts for the first time, on empty disks.
    ``losses_tolerated``: controllers that may be lost at once. ``heartbeat_ms``: how often engines report.
    ``fleet_retries``: repeats that the whole fleet may send in ten seconds beside its share of requests.
    """

    node: str
    zone: str
    region: str = ""
    fleet: str = "springmux"
    host: str
    front_address: str
    ready_address: str
    control_address: str
    peer_port: int
    seeds: tuple[str, ...] = ()
    first_start: bool = False
    losses_tolerated: int = 1
    data_folder: str = ""
    heartbeat_ms: float = 1200.0
    fleet_retries: int = 64
    expose_share: float = 0.1
    expose_allowance: int = 50
    rollback_ms: int = 5000
    stop_grace_s: float = 8.0
    order_timeout_s: float = 4.0
    log_level: Literal["debug", "info", "warning", "error"] = "info"

    @property
    def peer_address(self) -> Address:
        """Where this node hears its peers."""
        return Address(f"{self.host}:{self.peer_port}")

    @property
    def peer_seeds(self) -> tuple[Address, ...]:
        """Peer addresses of the seeds, without the own one."""
        hosts = [seed.rpartition(":")[0] for seed in self.seeds]
        return tuple(Address(f"{host}:{self.peer_port}") for host in hosts if host != self.host)

    def agent_settings(self) -> AgentSettings:
        """Return what the pure agent needs."""
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
        )


def load_gateway_settings(file: Path) -> GatewaySettings:
    """Read and check a settings file.

    :raises SettingsError: naming every wrong field at once.
    """
    try:
        table = tomllib.loads(file.read_text(encoding="utf-8"))
    except OSError as error:
        raise SettingsError((FieldError("--settings", f"can't read {file}: {error.strerror}"),)) from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError((FieldError("--settings", f"{file} is not TOML: {error}"),)) from None
    wrong = _wrong_fields(table)
    if wrong:
        raise SettingsError(tuple(wrong))
    return msgspec.convert(table, GatewaySettings, strict=True)


def _wrong_fields(table: dict[str, Any]) -> list[FieldError]:
    fields = {field.name: field for field in msgspec.structs.fields(GatewaySettings)}
    wrong = [FieldError(name, "is not a setting") for name in table if name not in fields]
    for name, field in fields.items():
        if name not in table:
            if field.required:
                wrong.append(FieldError(name, "is missing"))
            continue
        reason = _why_wrong(name, table[name], field.type)
        if reason:
            wrong.append(FieldError(name, reason))
    return wrong


def _why_wrong(name: str, value: Any, kind: Any) -> str:
    try:
        converted = msgspec.convert(value, kind, strict=True)
    except msgspec.ValidationError as error:
        return str(error)
    if name.endswith("_address") or name == "seeds":
        addresses = converted if isinstance(converted, tuple) else (converted,)
        return next((text for text in map(_why_no_address, addresses) if text), "")
    if name in ("node", "zone", "host") and not converted:
        return "must not be empty"
    return ""


def _why_no_address(value: str) -> str:
    host, separator, port = value.rpartition(":")
    if not separator or not host:
        return f"{value!r} must be IP:port, for example 10.0.0.5:7000"
    if not port.isascii() or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        return f"the port {port!r} is not a number from 1 to {MAX_PORT}"
    return ""
