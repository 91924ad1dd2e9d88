"""``packages`` of the deploy file provides every program that the build and the running system call.

Guards against a build or a start that fails on a machine without a program, and against unneeded packages.
"""

from __future__ import annotations

import re
import tomllib
from collections.abc import Collection
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[3]
DEPLOY_FILE = ROOT / "deploy" / "system.toml"
BUILD_SCRIPT = ROOT / "deploy" / "build.sh"

PROGRAMS_BY_PACKAGE = {
    "dash": {"sh"},
    "coreutils": {"cp", "dirname", "mkdir", "mv", "rm"},
    "diffutils": {"cmp"},
    "python3": {"python3"},
    "python3-pip": {"python3 -m pip"},
}
"""Programs by Debian package, as far as the build may call them."""
STANDARD_MODULES = {"python3 -m compileall"}
SHELL_WORDS = {"if", "then", "else", "elif", "fi", "for", "while", "do", "done", "!", "[", "{", "}"}
SHELL_BUILTINS = {"cd", "set", "test", "exit", "export", ":", ""}
COMMAND_ENDS = re.compile(r"&&|\|\||[;|\n]|\$\(|`")
ASSIGNMENT = re.compile(r"^\w+=\S*\s*")


def programs_of(script: str) -> set[str]:
    """Return the programs that a shell script calls; ``python3 -m`` with the name of the module."""
    lines = "\n".join(line.partition("#")[0] for line in script.splitlines())
    return {_program(command) for command in COMMAND_ENDS.split(lines)} - SHELL_BUILTINS


def _program(command: str) -> str:
    words = ASSIGNMENT.sub("", command.strip()).split()
    while words and words[0] in SHELL_WORDS:
        words.pop(0)
    if words[:2] == ["python3", "-m"]:
        return " ".join(words[:3])
    return words[0].strip("\"')") if words else ""


def missing(programs: Collection[str], packages: Collection[str]) -> set[str]:
    """Return the programs that none of ``packages`` provides."""
    provided = set().union(*(PROGRAMS_BY_PACKAGE[package] for package in packages))
    if "python3" in packages:
        provided |= STANDARD_MODULES
    return set(programs) - provided


def called_programs() -> set[str]:
    deploy = tomllib.loads(DEPLOY_FILE.read_text("utf-8"))
    runs = {role["run"].split()[0] for role in deploy["roles"].values()}
    return programs_of(deploy["build"]) | programs_of(BUILD_SCRIPT.read_text("utf-8")) | runs


def listed_packages() -> list[str]:
    packages: list[str] = tomllib.loads(DEPLOY_FILE.read_text("utf-8"))["packages"]
    return packages


def test_the_listed_packages_provide_every_program_of_build_and_run() -> None:
    assert missing(called_programs(), listed_packages()) == set()


@pytest.mark.parametrize("package", listed_packages())
def test_every_listed_package_is_needed(package: str) -> None:
    others = [other for other in listed_packages() if other != package]
    assert missing(called_programs(), others)


@pytest.mark.parametrize(
    "line", ["git rev-parse HEAD", "cd x && make", 'version="$(jq .v file)"', "if ! gcc x; then"]
)
def test_a_program_that_no_listed_package_provides_is_reported(line: str) -> None:
    script = BUILD_SCRIPT.read_text("utf-8") + line + "\n"
    assert missing(programs_of(script), listed_packages())
