"""The lab's commands that start nothing: lists and wrong usage, with their exit codes."""

from __future__ import annotations

from pathlib import Path

import pytest
from typer.testing import CliRunner

from springmux.cli.lab import application
from springmux.lab.faults.catalogue import FAULTS


def test_list_names_every_experiment_and_fault() -> None:
    result = CliRunner().invoke(application, ["list"])
    assert result.exit_code == 0
    assert all(name in result.output for name in ("anuario", "derwent", *FAULTS))


@pytest.mark.parametrize(
    ("arguments", "message"),
    [
        (["run", "nowhere"], "built-in experiments: anuario, derwent"),
        (["run", "anuario", "--faults", "nothing"], "no fault named nothing"),
        (["backends", "--settings", "/nowhere.json"], "No such file"),
        (["callers", "--settings", "/nowhere.json"], "No such file"),
    ],
)
def test_wrong_usage_exits_2_and_says_what_was_wrong(arguments: list[str], message: str) -> None:
    result = CliRunner().invoke(application, arguments)
    assert (result.exit_code, message in result.output) == (2, True)


def test_a_folder_to_keep_must_be_new(tmp_path: Path) -> None:
    (tmp_path / "something").touch()
    result = CliRunner().invoke(application, ["demo", "--keep", str(tmp_path)])
    assert (result.exit_code, "is not empty" in result.output) == (2, True)
