"""Settings of a gateway node are checked field by field."""

from __future__ import annotations

from pathlib import Path

import pytest

from springmux.node.gateway.settings import load_gateway_settings
from springmux.vocabulary.errors import SettingsError

GOOD = """
node = "a"
zone = "north"
host = "10.0.0.1"
front_address = "10.0.0.1:8000"
ready_address = "10.0.0.1:8001"
control_address = "10.0.0.1:8002"
peer_port = 7000
seeds = ["10.0.0.1:8002", "10.0.0.2:8002"]
first_start = true
"""


def _load(tmp_path: Path, text: str) -> object:
    file = tmp_path / "node.toml"
    file.write_text(text, "utf-8")
    return load_gateway_settings(file)


def test_seeds_are_hosts_of_peers(tmp_path: Path) -> None:
    """Given control addresses as seeds, peers are asked at the peer port, the own host left out."""
    settings = load_gateway_settings(_written(tmp_path, GOOD))
    assert settings.peer_seeds == ("10.0.0.2:7000",)
    assert settings.agent_settings().first_start


def _written(tmp_path: Path, text: str) -> Path:
    file = tmp_path / "node.toml"
    file.write_text(text, "utf-8")
    return file


def test_every_wrong_field_is_named(tmp_path: Path) -> None:
    """Given several wrong fields, one error names them all."""
    text = (
        GOOD.replace('"10.0.0.1:8000"', '"nowhere"').replace("7000", '"x"')
        + 'unknown = 1\nlog_level = "loud"\n'
    )
    with pytest.raises(SettingsError) as raised:
        _load(tmp_path, text.replace('node = "a"\n', ""))
    paths = {error.path for error in raised.value.errors}
    assert paths == {"node", "front_address", "peer_port", "unknown", "log_level"}


def test_a_file_that_is_missing_or_no_toml(tmp_path: Path) -> None:
    """Given no file or nonsense, the error says which."""
    with pytest.raises(SettingsError, match="can't read"):
        load_gateway_settings(tmp_path / "absent.toml")
    with pytest.raises(SettingsError, match="not TOML"):
        _load(tmp_path, "= 1")
