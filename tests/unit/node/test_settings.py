"""Settings of a node: precedence of their sources, and validation of all fields in one error."""

from pathlib import Path

import pytest

from springmux.node.settings import load_settings
from springmux.vocabulary.errors import SettingsError

VALID = {
    "node": "n1",
    "zone": "z1",
    "client_address": "127.0.0.1:7000",
    "peer_address": "127.0.0.1:7001",
    "admin_address": "[::1]:7002",
}


def write(folder: Path, text: str) -> Path:
    file = folder / "node.toml"
    file.write_text(text)
    return file


def invalid_fields(file: Path | None, flags: dict[str, object]) -> dict[str, str]:
    with pytest.raises(SettingsError) as caught:
        load_settings(file, flags)
    return {error.path: error.message for error in caught.value.errors}


def test_flags_take_precedence_over_environment_and_environment_over_file(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    file = write(tmp_path, 'zone = "from-file"\nregion = "from-file"\nfleet = "from-file"\n')
    monkeypatch.setenv("SPRINGMUX_ZONE", "from-environment")
    monkeypatch.setenv("SPRINGMUX_REGION", "from-environment")
    settings = load_settings(file, {**VALID, "zone": "from-flag"})
    assert (settings.zone, settings.region, settings.fleet) == ("from-flag", "from-environment", "from-file")


def test_every_invalid_field_is_listed_in_one_error(tmp_path: Path) -> None:
    file = write(tmp_path, 'client_address = "localhost:1"\npeer_address = "127.0.0.1"\ntypo = 1\n')
    invalid = invalid_fields(file, {"admin_address": "127.0.0.1:99999", "node": "a b", "log_level": "loud"})
    assert set(invalid) == {
        "client_address", "peer_address", "admin_address", "node", "zone", "typo", "log_level"
    }  # fmt: skip
    assert "not an IP number" in invalid["client_address"]
    assert "IP:port" in invalid["peer_address"]
    assert "port" in invalid["admin_address"]


def test_an_invalid_seed_is_listed_with_its_index() -> None:
    invalid = invalid_fields(None, {**VALID, "seeds": "10.0.0.1:1,seed:2"})
    assert set(invalid) == {"seeds.1"}


def test_the_own_address_is_removed_from_the_seeds() -> None:
    settings = load_settings(None, {**VALID, "seeds": "127.0.0.1:7001,10.0.0.2:7001"})
    assert settings.agent_settings().seeds == ("10.0.0.2:7001",)


def test_unreadable_and_malformed_files_are_settings_errors(tmp_path: Path) -> None:
    assert "can't read" in invalid_fields(tmp_path / "missing.toml", VALID)["--settings"]
    assert "not TOML" in invalid_fields(write(tmp_path, "node = "), VALID)["--settings"]


def test_an_error_never_contains_the_secret() -> None:
    with pytest.raises(SettingsError) as caught:
        load_settings(None, {**VALID, "zone": "a b", "peer_secret": "hidden-value"})
    assert "hidden-value" not in str(caught.value)
