"""``springmux doctor``: check a node's settings, addresses, seeds, disk and clock; print remedies."""

from __future__ import annotations

import os
import shutil
import socket
import time
from collections.abc import Iterator
from pathlib import Path

import msgspec
import typer

from springmux.cli.client import AdminClient, AdminResponse, NoNodeReachableError
from springmux.cli.exit_codes import ExitCode
from springmux.cli.node_command import SettingsOption
from springmux.cli.options import JsonOption
from springmux.cli.output import print_json
from springmux.node.addresses import split_address
from springmux.node.settings import NodeSettings, load_settings
from springmux.vocabulary.errors import SettingsError

CONNECT_TIMEOUT_S = 2.0
MIN_FREE_BYTES = 256 << 20
"""Holds the log's segments, two snapshots and the reserve, with space for growth."""
SLOW_SYNC_S = 0.1
"""A leader whose disk needs longer for a synced write often transfers its leadership."""
MIN_CLOCK_S = 1_700_000_000
"""Unix time (seconds since 1970); an earlier wall-clock time means that the clock was never set."""


class CheckResult(msgspec.Struct, frozen=True):
    """The result of one check: what was checked, whether it passed (``well``), and a remedy if not."""

    check: str
    well: bool
    detail: str
    action: str = ""


def doctor(settings: SettingsOption = None, as_json: JsonOption = False) -> None:
    """Check settings, addresses, seeds, disk and clock.

    Exit codes: 0 every check passed, 1 a check failed, 2 invalid settings.

    Example: springmux doctor --settings /etc/springmux/node.toml
    """
    try:
        loaded = load_settings(settings, {})
    except SettingsError as error:
        results = [CheckResult(f"settings {e.path}", False, e.message, "correct it") for e in error.errors]
        _print_results(results, as_json)
        raise typer.Exit(ExitCode.INVALID) from None
    results = [CheckResult("settings", True, "all fields are valid"), *_check_node(loaded)]
    _print_results(results, as_json)
    if not all(result.well for result in results):
        raise typer.Exit(ExitCode.FAILED)


def _print_results(results: list[CheckResult], as_json: bool) -> None:
    if as_json:
        print_json(msgspec.to_builtins(results))
        return
    for result in results:
        typer.echo(f"{'ok  ' if result.well else 'FAIL'} {result.check}: {result.detail}")
        if not result.well:
            typer.echo(f"     do: {result.action}")


def _check_node(settings: NodeSettings) -> Iterator[CheckResult]:
    yield from _check_addresses(settings)
    yield from _check_seeds(settings)
    if settings.data_folder is not None:
        yield from _check_disk(settings.data_folder)
    yield _check_clock()


def _check_addresses(settings: NodeSettings) -> Iterator[CheckResult]:
    readiness = _request_readiness(settings)
    yield _check_readiness(readiness)
    check_address = _check_free if readiness is None else _check_listening
    for name in ("client_address", "peer_address", "admin_address"):
        yield check_address(name, getattr(settings, name))


def _request_readiness(settings: NodeSettings) -> AdminResponse | None:
    """Return the node's response to the readiness probe, ``None`` if the node isn't running."""
    client = AdminClient([settings.admin_address], timeout_s=CONNECT_TIMEOUT_S, rounds=1)
    try:
        return client.get("/readyz")
    except NoNodeReachableError:
        return None


def _check_readiness(response: AdminResponse | None) -> CheckResult:
    if response is None:
        return CheckResult("node", True, "is not running on this machine")
    document = response.document if isinstance(response.document, dict) else {}
    if document.get("ready"):
        return CheckResult("node", True, "is running and ready")
    reason = document.get("reason", "no reason given")
    return CheckResult(
        "node", False, f"is running but not ready: {reason}", "see 'springmux status' and the node's log"
    )


def _check_listening(name: str, address: str) -> CheckResult:
    if _accepts_connections(address):
        return CheckResult(name, True, f"{address} accepts connections")
    return CheckResult(
        name, False, f"{address} accepts no connections", "check the firewall, or restart the node"
    )


def _accepts_connections(address: str) -> bool:
    try:
        socket.create_connection(split_address(address), timeout=CONNECT_TIMEOUT_S).close()
    except OSError:
        return False
    return True


def _check_free(name: str, address: str) -> CheckResult:
    host, port = split_address(address)
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    with socket.socket(family, socket.SOCK_STREAM) as probe_socket:
        probe_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe_socket.bind((host, port))
        except OSError as error:
            action = "choose an address of this machine, or stop the process that uses it"
            return CheckResult(name, False, f"{address} can't be bound: {error.strerror}", action)
    return CheckResult(name, True, f"{address} is free")


def _check_seeds(settings: NodeSettings) -> Iterator[CheckResult]:
    other_seeds = [seed for seed in settings.seeds if seed != settings.peer_address]
    if not other_seeds:
        yield CheckResult(
            "seeds",
            False,
            "no address other than the node's own",
            "set three peer addresses (unnecessary if the fleet has one node)",
        )
        return
    reachable_seeds = [seed for seed in other_seeds if _accepts_connections(seed)]
    unreachable_seeds = ", ".join(seed for seed in other_seeds if seed not in reachable_seeds)
    if reachable_seeds:
        detail = f"{len(reachable_seeds)} of {len(other_seeds)} accept connections" + (
            f"; unreachable: {unreachable_seeds}" if unreachable_seeds else ""
        )
        yield CheckResult("seeds", True, detail)
    else:
        yield CheckResult(
            "seeds",
            False,
            f"none accepts connections: {unreachable_seeds}",
            "start a seed or correct the addresses",
        )


def _check_disk(folder: Path) -> Iterator[CheckResult]:
    existing_folder = folder if folder.exists() else folder.parent
    try:
        free_bytes = shutil.disk_usage(existing_folder).free
    except OSError as error:
        yield CheckResult(
            "data folder",
            False,
            f"{existing_folder}: {error.strerror}",
            "create the folder, or correct data_folder",
        )
        return
    well = free_bytes >= MIN_FREE_BYTES
    yield CheckResult(
        "disk space",
        well,
        f"{free_bytes >> 20} MiB free",
        f"make at least {MIN_FREE_BYTES >> 20} MiB available",
    )
    yield _check_sync_time(existing_folder)


def _check_sync_time(folder: Path) -> CheckResult:
    probe_file = folder / f".springmux-doctor-{os.getpid()}"
    try:
        started_at_s = time.monotonic()
        descriptor = os.open(probe_file, os.O_CREAT | os.O_WRONLY | os.O_EXCL, 0o600)
        try:
            os.write(descriptor, b"\0" * 4096)
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
            probe_file.unlink()
        took_s = time.monotonic() - started_at_s
    except OSError as error:
        return CheckResult("disk sync", False, f"{folder}: {error.strerror}", "make the folder writable")
    detail = f"one synced write took {took_s * 1000:.1f} ms"
    return CheckResult(
        "disk sync",
        took_s < SLOW_SYNC_S,
        detail,
        "use a faster disk; a leader with this disk often transfers its leadership",
    )


def _check_clock() -> CheckResult:
    now = time.time()
    detail = time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(now))
    # Only logs and labels use the wall clock, so a wrong clock doesn't stop the node.
    return CheckResult("clock", now > MIN_CLOCK_S, detail, "set the clock; log lines have wrong times")
