"""Validation of a gateway node's settings, field by field."""

from __future__ import annotations

from pathlib import Path

import pytest

from springmux.node.gateway.settings import load_gateway_settings
from springmux.vocabulary.errors import SettingsError

VALID = """
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


def test_seeds_become_peer_addresses_without_the_nodes_own(tmp_path: Path) -> None:
    """Given control addresses as seeds, peer addresses have the peer port and omit the node's own host."""
    settings = load_gateway_settings(_written(tmp_path, VALID))
    assert settings.peer_seeds == ("10.0.0.2:7000",)
    assert settings.agent_settings().first_start


def _written(tmp_path: Path, text: str) -> Path:
    file = tmp_path / "node.toml"
    file.write_text(text, "utf-8")
    return file


def test_every_invalid_field_is_listed(tmp_path: Path) -> None:
    """Given several invalid fields, one error lists them all."""
    text = (
        VALID.replace('"10.0.0.1:8000"', '"nowhere"').replace("7000", '"x"')
        + 'unknown = 1\nlog_level = "loud"\n'
    )
    with pytest.raises(SettingsError) as raised:
        _load(tmp_path, text.replace('node = "a"\n', ""))
    paths = {error.path for error in raised.value.errors}
    assert paths == {"node", "front_address", "peer_port", "unknown", "log_level"}


@pytest.mark.parametrize(
    ("line", "message"),
    [
        ("peer_port = 70000", "peer_port: 70000 is not allowed; it must be a whole number from 1 to 65535"),
        (
            "losses_tolerated = -1",
            "losses_tolerated: -1 is not allowed; it must be a whole number from 0 to",
        ),
        ("expose_share = 1.5", "expose_share: 1.5 is not allowed; it must be a number from 0 to 1"),
        ("order_timeout_s = 0", "order_timeout_s: 0 is not allowed; it must be a number above 0 to 3600"),
        ("order_timeout_s = nan", "order_timeout_s: nan is not allowed; it must be a number above 0 to 3600"),
        ("first_start = 1", "first_start: 1 is not allowed; it must be true or false"),
        (
            'log_level = "loud"',
            "log_level: 'loud' is not allowed; it must be debug or info or warning or",
        ),
        ('zone = ""', "zone: '' is not allowed; it must be text that is not empty"),
        ('seeds = "10.0.0.1:8002"', "seeds: '10.0.0.1:8002' is not allowed; it must be a list of texts"),
        (
            'seeds = ["10.0.0.1:0"]',
            "seeds: ['10.0.0.1:0'] is not allowed: the port '0' is not a number",
        ),
        ('host = "www.example"', "host: 'www.example' is not allowed: the host 'www.example' is not an IP"),
        ('front_address = "::1:80"', "front_address: '::1:80' is not allowed: the host '::1' must be an IP"),
        ('ready_address = "10.0.0.1"', "ready_address: '10.0.0.1' is not allowed: must be IP:port"),
    ],
)
def test_the_error_of_an_invalid_setting_states_its_name_its_value_and_what_is_allowed(
    tmp_path: Path, line: str, message: str
) -> None:
    """Given one invalid line in place of a valid one, there is one error with the expected text."""
    name = line.partition(" ")[0]
    other_lines = [valid_line for valid_line in VALID.splitlines() if not valid_line.startswith(f"{name} ")]
    with pytest.raises(SettingsError) as raised:
        _load(tmp_path, "\n".join([*other_lines, line]))
    assert message in str(raised.value)
    assert len(raised.value.errors) == 1


def test_a_long_invalid_value_is_quoted_in_part(tmp_path: Path) -> None:
    with pytest.raises(SettingsError) as raised:
        _load(tmp_path, VALID.replace("7000", f'"{"x" * 1000}"'))
    assert len(str(raised.value)) < 200


def test_ipv6_addresses_are_accepted(tmp_path: Path) -> None:
    settings = load_gateway_settings(_written(tmp_path, VALID.replace("10.0.0.1", "[fd00::1]")))
    assert settings.peer_address == "[fd00::1]:7000"


def test_a_missing_file_and_a_file_that_is_not_toml_are_settings_errors(tmp_path: Path) -> None:
    """Given a missing or malformed file, the error states which of the two it is."""
    with pytest.raises(SettingsError, match="can't read"):
        load_gateway_settings(tmp_path / "absent.toml")
    with pytest.raises(SettingsError, match="not TOML"):
        _load(tmp_path, "= 1")
