"""Commands of the lab that start no process: lists and invalid arguments, with their exit codes."""

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
def test_invalid_arguments_exit_with_2_and_an_explanation(arguments: list[str], message: str) -> None:
    result = CliRunner().invoke(application, arguments)
    assert (result.exit_code, message in result.output) == (2, True)


def test_keep_rejects_a_folder_that_is_not_empty(tmp_path: Path) -> None:
    (tmp_path / "something").touch()
    result = CliRunner().invoke(application, ["demo", "--keep", str(tmp_path)])
    assert (result.exit_code, "is not empty" in result.output) == (2, True)
