"""Write docs/REFERENCE.md from the code: settings, configuration, metrics, errors, commands, exit codes.

Run as ``python -m springmux.cli.reference docs/REFERENCE.md``. A test compares the page with the code.
"""

from __future__ import annotations

import ast
import enum
import inspect
import sys
import types
from collections.abc import Iterable, Iterator, Mapping, Sequence
from pathlib import Path
from typing import Any, Literal, Union, get_args, get_origin

import typer
from pydantic.fields import FieldInfo

import springmux
from springmux.cli.exit_codes import EPILOG, ExitCode
from springmux.cli.main import application
from springmux.control import documents
from springmux.node.lifecycle import EXIT_CANNOT_START, EXIT_CRASHED, EXIT_KILLED, EXIT_STOPPED
from springmux.node.metrics.table import METRICS, PREFIX
from springmux.node.settings import NAME_PATTERN, NodeSettings
from springmux.router.errors import STATUS_OF_CODE
from springmux.vocabulary.errors import ErrorCode, Fate

HEADING = """# Reference

Written from the code by `python -m springmux.cli.reference docs/REFERENCE.md`; don't edit it by hand.
What to do about an error is in [OPERATIONS.md](OPERATIONS.md), the HTTP interfaces are in [API.md](API.md).
"""
ERROR_PACKAGES = ("router", "control", "agent", "node")
"""Packages that send typed errors to clients."""
EXCHANGE_MODULES = frozenset({"exchange.py", "progress.py", "engine_response.py"})
"""Modules of the router in which an error's fate depends on what was sent to an engine."""
EXCHANGE_FUNCTIONS = frozenset({"_end_early", "_attempt_failed"})
"""Functions, in any module, for which the same holds."""
BY_WHAT_WAS_SENT = "by what was sent"
STATUS_BY_FUNCTION = {"validation_error": 422, "submit": 409, "_unavailable": 503, "_give_up": 503}
"""Functions that send their error code with this fixed HTTP status."""
SIMPLE_TYPES = {bool: "true or false", int: "whole number", float: "number", str: "text", Path: "path"}

Row = Sequence[str]


def reference_page() -> str:
    """Return the reference page as Markdown."""
    sections = (
        HEADING,
        _settings_section(),
        _configuration_section(),
        _metrics_section(),
        _errors_section(),
        _exit_codes_section(),
        _commands_section(),
    )
    return "\n".join(sections)


def main(arguments: Sequence[str]) -> int:
    """Write the page to the path in ``arguments``; return the exit code."""
    if len(arguments) != 1:
        typer.echo("usage: python -m springmux.cli.reference FILE", err=True)
        return ExitCode.INVALID
    Path(arguments[0]).write_text(reference_page(), encoding="utf-8")
    return ExitCode.OK


def _table(heading: Row, rows: Iterable[Row]) -> str:
    lines = [heading, ["---"] * len(heading), *rows]
    return "".join("| " + " | ".join(_cell(cell) for cell in line) + " |\n" for line in lines)


def _cell(text: str) -> str:
    return " ".join(text.replace("|", "\\|").split())


# Settings and configuration


def _settings_section() -> str:
    prefix = NodeSettings.model_config.get("env_prefix", "")
    rows = [
        (
            f"`{name}`",
            _type_text(field.annotation),
            _default_text(field),
            _bounds_text(field),
            field.description or "",
        )
        for name, field in NodeSettings.model_fields.items()
    ]
    return (
        "## Settings of a node\n\n"
        f"TOML file (`--settings`), environment (`{prefix}NAME`), flags; later ones override earlier ones.\n"
        f"Names match `{NAME_PATTERN}`, addresses are `IP:port`.\n\n"
        + _table(("setting", "type", "default", "bounds", "meaning"), rows)
    )


def _configuration_section() -> str:
    sections = (
        ("services.NAME", documents.ServiceDocument),
        ("routes.NAME", documents.RouteDocument),
        ("limits", documents.LimitsDocument),
        ("exceptions", documents.ExceptionsDocument),
    )
    rows = [
        (
            f"`{path}.{field.alias or name}`",
            _type_text(field.annotation),
            _default_text(field),
            _bounds_text(field),
        )
        for path, model in sections
        for name, field in model.model_fields.items()
    ]
    return "## Configuration document\n\n" + _table(("field", "type", "default", "bounds"), rows)


def _type_text(annotation: Any) -> str:
    origin = get_origin(annotation)
    if origin is Literal:
        return " or ".join(f"`{value}`" for value in get_args(annotation))
    if origin in (Union, types.UnionType):
        return " or ".join(
            _type_text(alternative) for alternative in get_args(annotation) if alternative is not type(None)
        )
    if origin is tuple:
        return "list"
    if origin is not None and hasattr(annotation, "__metadata__"):
        return _type_text(get_args(annotation)[0])
    if isinstance(annotation, type) and issubclass(annotation, enum.Enum):
        return " or ".join(f"`{member.value}`" for member in annotation)
    return SIMPLE_TYPES.get(annotation, "text")


def _default_text(field: FieldInfo) -> str:
    if field.is_required():
        return "required"
    if field.default in (None, (), ""):
        return "none"
    value = field.default
    return f"`{str(value).lower() if isinstance(value, bool) else value}`"


def _bounds_text(field: FieldInfo) -> str:
    constraint_texts = {"gt": "over", "ge": "from", "lt": "under", "le": "to"}
    bounds = [
        f"{text} {getattr(item, name)}"
        for item in _constraints(field)
        for name, text in constraint_texts.items()
        if getattr(item, name, None) is not None
    ]
    return ", ".join(bounds)


def _constraints(field: FieldInfo) -> Iterator[Any]:
    """Yield the constraints of a field and of the alternatives of its type."""
    yield from field.metadata
    for alternative in get_args(field.annotation):
        for item in getattr(alternative, "__metadata__", ()):
            yield from getattr(item, "metadata", (item,))


def _metrics_section() -> str:
    rows = [
        (f"`{PREFIX}{metric.name}`", metric.kind.value, ", ".join(metric.labels), metric.help)
        for metric in METRICS
    ]
    text = "## Metrics\n\n`GET /metrics` on the admin listener, Prometheus text format.\n\n"
    return text + _table(("metric", "type", "labels", "meaning"), rows)


def _errors_section() -> str:
    statuses, fates = _scan_errors()
    rows = [
        (f"`{code}`", ", ".join(map(str, sorted(statuses[code]))), " or ".join(sorted(fates[code])))
        for code in ErrorCode
    ]
    return (
        "## Error codes\n\n"
        f"*{BY_WHAT_WAS_SENT}*: `refused` if no byte reached an engine; else `failed` on a repeatable\n"
        "route, `unknown` on another one.\n\n" + _table(("code", "status", "fate"), rows)
    )


def _scan_errors() -> tuple[Mapping[ErrorCode, set[int]], Mapping[ErrorCode, set[str]]]:
    """Return the HTTP statuses and the fates that the source code sends with each error code."""
    statuses: dict[ErrorCode, set[int]] = {code: set() for code in ErrorCode}
    fates: dict[ErrorCode, set[str]] = {code: set() for code in ErrorCode}
    for code, status in STATUS_OF_CODE.items():
        statuses[code].add(status)
    for file in _error_sources():
        tree = ast.parse(file.read_text(encoding="utf-8"))
        if file.name in EXCHANGE_MODULES:
            for code in _codes_outside_calls(tree):
                fates[code].add(BY_WHAT_WAS_SENT)
        for call in (node for node in ast.walk(tree) if isinstance(node, ast.Call)):
            for code in _codes_in_arguments(call):
                statuses[code] |= _statuses(call)
                fates[code] |= _fates(call, file.name)
    for code in ErrorCode:
        fates[code] = fates[code] or {Fate.REFUSED.value}
    return statuses, fates


def _error_sources() -> list[Path]:
    root = Path(inspect.getfile(springmux)).parent
    return [file for package in ERROR_PACKAGES for file in sorted((root / package).rglob("*.py"))]


def _code(node: ast.AST) -> ErrorCode | None:
    if isinstance(node, ast.Attribute) and isinstance(node.value, ast.Name) and node.value.id == "ErrorCode":
        return ErrorCode[node.attr]
    return None


def _codes_in_arguments(call: ast.Call) -> set[ErrorCode]:
    arguments = (*call.args, *(keyword.value for keyword in call.keywords))
    return {code for argument in arguments if (code := _code(argument)) is not None}


def _codes_outside_calls(tree: ast.AST) -> set[ErrorCode]:
    """Return the codes that a module uses in tables, conditions and return values."""
    argument_ids = {id(arg) for call in ast.walk(tree) if isinstance(call, ast.Call) for arg in call.args}
    nodes_outside_calls = (node for node in ast.walk(tree) if id(node) not in argument_ids)
    return {code for node in nodes_outside_calls if (code := _code(node)) is not None}


def _callee(call: ast.Call) -> str:
    return call.func.attr if isinstance(call.func, ast.Attribute) else getattr(call.func, "id", "")


def _statuses(call: ast.Call) -> set[int]:
    values = (*call.args, *(keyword.value for keyword in call.keywords if keyword.arg == "status"))
    integers = {
        value.value for value in values if isinstance(value, ast.Constant) and isinstance(value.value, int)
    }
    status_of_callee = STATUS_BY_FUNCTION.get(_callee(call))
    return {status for status in integers if 400 <= status <= 599} | (
        {status_of_callee} if status_of_callee else set()
    )


def _fates(call: ast.Call, module: str) -> set[str]:
    named_fates = [
        Fate[node.attr].value
        for node in ast.walk(call)
        if isinstance(node, ast.Attribute) and isinstance(node.value, ast.Name) and node.value.id == "Fate"
    ]
    if named_fates:
        return set(named_fates)
    if module in EXCHANGE_MODULES or _callee(call) in EXCHANGE_FUNCTIONS:
        return {BY_WHAT_WAS_SENT}
    passes_fate_on = any(isinstance(argument, ast.Name) and argument.id == "fate" for argument in call.args)
    if passes_fate_on or _callee(call) == "_give_up":
        return {Fate.REFUSED.value, Fate.UNKNOWN.value}
    return {Fate.REFUSED.value}


# Command line


def _exit_codes_section() -> str:
    daemon_rows = (
        (str(EXIT_STOPPED), "stopped in an orderly way"),
        (str(EXIT_CANNOT_START), "can't start: an address or the data folder is in use"),
        (str(ExitCode.INVALID.value), "invalid settings; each one is listed"),
        (str(EXIT_CRASHED), "internal error; restart the node"),
        (str(EXIT_KILLED), "a second signal during the orderly stop"),
    )
    return (
        f"## Exit codes\n\nCommands: {EPILOG.removeprefix('Exit codes: ')}\n\n`springmux node`:\n\n"
        + _table(("code", "meaning"), daemon_rows)
    )


def _commands_section() -> str:
    lines = ["## Command line\n"]
    for path, command in _leaf_commands("springmux", typer.main.get_command(application)):
        lines.append(f"### `{path}`\n\n{_help_text(command)}\n")
        rows = [
            (
                _parameter_names(parameter),
                getattr(parameter, "help", None) or "",
                _parameter_default_text(parameter),
            )
            for parameter in command.params
        ]
        if rows:
            lines.append(_table(("parameter", "meaning", "default"), rows))
    return "\n".join(lines)


def _leaf_commands(path: str, command: Any) -> Iterator[tuple[str, Any]]:
    members = getattr(command, "commands", None)
    if members is None:
        yield path, command
        return
    for name in sorted(members):
        if not members[name].hidden:
            yield from _leaf_commands(f"{path} {name}", members[name])


def _help_text(command: Any) -> str:
    paragraphs = inspect.cleandoc(command.help or "").split("\n\n")
    return "\n\n".join(" ".join(paragraph.split()) for paragraph in paragraphs)


def _parameter_names(parameter: Any) -> str:
    if parameter.param_type_name == "argument":
        return f"`{parameter.name.upper()}`"
    return ", ".join(f"`{name}`" for name in (*parameter.opts, *parameter.secondary_opts))


def _parameter_default_text(parameter: Any) -> str:
    if parameter.required:
        return "required"
    value = parameter.default
    if not value or callable(value):
        return ""
    if isinstance(value, list):
        return ", ".join(f"`{item}`" for item in value)
    return f"`{getattr(value, 'value', value)}`"


if __name__ == "__main__":
    raise SystemExit(main(sys.argv[1:]))
