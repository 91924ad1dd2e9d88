"""Settings of one node from a TOML file, ``SPRINGMUX_*`` variables and flags, in ascending precedence."""

from __future__ import annotations

import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Annotated, Any, Literal

from pydantic import AfterValidator, BeforeValidator, Field, SecretStr, ValidationError
from pydantic_settings import (
    BaseSettings,
    NoDecode,
    PydanticBaseSettingsSource,
    SettingsConfigDict,
    TomlConfigSettingsSource,
)

from springmux.agent.events import AgentSettings
from springmux.coordination.identifiers import Address, NodeId
from springmux.node.addresses import check_address
from springmux.node.resources.process_resources import DEFAULT_MAX_DESCRIPTORS, DEFAULT_MEMORY_MB
from springmux.vocabulary.errors import FieldError, SettingsError

NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$"
"""Allowed names. They appear in headers, metrics and log lines, where these characters need no escaping."""


def _split_list(value: object) -> object:
    """Split a string ``a,b,c`` from the environment or a flag into a tuple; return other values unchanged."""
    if isinstance(value, str):
        return tuple(part.strip() for part in value.split(",") if part.strip())
    return value


AddressField = Annotated[str, AfterValidator(check_address)]
NameField = Annotated[str, Field(pattern=NAME_PATTERN)]


class NodeSettings(BaseSettings):
    """Settings of a node process. Sizes in bytes, times in seconds."""

    model_config = SettingsConfigDict(env_prefix="SPRINGMUX_", extra="forbid", frozen=True)

    node: NameField = Field(description="name of this node, unique in the fleet")
    zone: NameField = Field(description="zone in which the node runs")
    region: str = Field(default="", description="region of the zone")
    fleet: NameField = Field(default="springmux", description="name that all nodes of a fleet share")
    client_address: AddressField = Field(description="IP:port of the listener for clients")
    peer_address: AddressField = Field(description="IP:port of the listener for other nodes")
    admin_address: AddressField = Field(description="IP:port of the listener for operators and engines")
    seeds: Annotated[tuple[AddressField, ...], NoDecode, BeforeValidator(_split_list)] = Field(
        default=(), description="peer addresses of other nodes; may include the node's own address"
    )
    data_folder: Path | None = Field(
        default=None, description="folder on a disk; makes the node a controller"
    )
    controllers_expected: int = Field(
        default=3, ge=1, le=9, description="number of voters that found the control group"
    )
    peer_secret: SecretStr | None = Field(
        default=None, description="shared secret of the handshake between peers"
    )
    log_level: Literal["debug", "info", "warning", "error"] = "info"
    log_format: Literal["json", "console"] = "json"
    max_connections: int = Field(default=4096, ge=1, description="simultaneous client connections")
    max_header_bytes: int = Field(default=16_384, ge=1024, le=1 << 20)
    max_body_bytes: int = Field(
        default=8 << 20, ge=1024, description="largest request body of a client on any route"
    )
    max_configuration_bytes: int = Field(default=8 << 20, ge=1024)
    header_timeout_s: float = Field(default=5.0, gt=0, le=300)
    body_timeout_s: float = Field(default=10.0, gt=0, le=300)
    keep_alive_s: float = Field(default=75.0, gt=0, le=3600)
    order_timeout_s: float = Field(default=10.0, gt=0, le=300)
    memory_mb: float = Field(
        default=DEFAULT_MEMORY_MB,
        ge=100,
        description="memory that the process may use, in megabytes; clients may fill a quarter of it",
    )
    max_descriptors: int = Field(
        default=DEFAULT_MAX_DESCRIPTORS,
        ge=300,
        description="descriptors that the process may open; a lower RLIMIT_NOFILE applies instead",
    )
    fault_injection: bool = Field(
        default=False, description="let experiments inject faults; never enable in production"
    )
    stop_delay_s: float = Field(
        default=1.5,
        ge=0,
        le=60,
        description="time in which the node reports not ready but still accepts requests",
    )
    stop_grace_s: float = Field(default=20.0, ge=0, le=3600, description="time for running streams to finish")

    def agent_settings(self) -> AgentSettings:
        """Return the settings of the agent. The node's own address is removed from the seeds."""
        seeds = tuple(Address(seed) for seed in self.seeds if seed != self.peer_address)
        return AgentSettings(
            node=NodeId(self.node),
            zone=self.zone,
            region=self.region,
            peer_address=Address(self.peer_address),
            client_address=Address(self.client_address),
            admin_address=Address(self.admin_address),
            seeds=seeds,
            controllers_expected=self.controllers_expected,
        )


def _check_file(file: Path) -> None:
    try:
        tomllib.loads(file.read_text(encoding="utf-8"))
    except OSError as error:
        raise SettingsError((FieldError("--settings", f"can't read {file}: {error.strerror}"),)) from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError((FieldError("--settings", f"{file} is not TOML: {error}"),)) from None


def _loader(file: Path | None) -> type[NodeSettings]:
    class FromSources(NodeSettings):
        @classmethod
        def settings_customise_sources(
            cls,
            settings_cls: type[BaseSettings],
            init_settings: PydanticBaseSettingsSource,
            env_settings: PydanticBaseSettingsSource,
            dotenv_settings: PydanticBaseSettingsSource,
            file_secret_settings: PydanticBaseSettingsSource,
        ) -> tuple[PydanticBaseSettingsSource, ...]:
            if file is None:
                return init_settings, env_settings
            return init_settings, env_settings, TomlConfigSettingsSource(settings_cls, file)

    return FromSources


def load_settings(file: Path | None, flags: Mapping[str, Any]) -> NodeSettings:
    """Merge the sources and validate every field. Flags that are ``None`` are ignored.

    :raises SettingsError: lists every invalid field, without the values of secrets.
    """
    if file is not None:
        _check_file(file)
    flags_set = {name: value for name, value in flags.items() if value is not None}
    try:
        return _loader(file)(**flags_set)
    except ValidationError as error:
        invalid_fields = tuple(
            FieldError(".".join(str(part) for part in item["loc"]), _message(item["msg"]))
            for item in error.errors(include_input=False, include_url=False)
        )
        raise SettingsError(invalid_fields) from None


def _message(text: str) -> str:
    return text.removeprefix("Value error, ")
