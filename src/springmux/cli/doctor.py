"""``springmux doctor``: check a node's settings, addresses, seeds, disk and clock; print what to do."""

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
"""Room for the log's segments, two snapshots and the reserve, with space to grow."""
SLOW_SYNC_S = 0.1
"""A leader whose disk takes longer for a write often transfers its leadership."""
MIN_CLOCK_S = 1_700_000_000
"""Seconds since 1970; an earlier wall time means that the clock was never set."""


class Finding(msgspec.Struct, frozen=True):
    """The result of one check: what was checked, whether it passed (``well``), and what to do if not."""

    check: str
    well: bool
    detail: str
    action: str = ""


def doctor(settings: SettingsOption = None, json_output: JsonOption = False) -> None:
    """Check settings, addresses, seeds, disk and clock. Exit 0 if all is well, 1 if not, 2 for settings.

    Example: springmux doctor --settings /etc/springmux/node.toml
    """
    try:
        loaded = load_settings(settings, {})
    except SettingsError as error:
        findings = [Finding(f"settings {e.path}", False, e.message, "correct it") for e in error.errors]
        _show(findings, json_output)
        raise typer.Exit(ExitCode.INVALID) from None
    findings = [Finding("settings", True, "all fields are valid"), *_check_node(loaded)]
    _show(findings, json_output)
    if not all(finding.well for finding in findings):
        raise typer.Exit(ExitCode.FAILED)


def _show(findings: list[Finding], as_json: bool) -> None:
    if as_json:
        print_json(msgspec.to_builtins(findings))
        return
    for finding in findings:
        typer.echo(f"{'ok  ' if finding.well else 'FAIL'} {finding.check}: {finding.detail}")
        if not finding.well:
            typer.echo(f"     do: {finding.action}")


def _check_node(settings: NodeSettings) -> Iterator[Finding]:
    yield from _check_addresses(settings)
    yield from _check_seeds(settings)
    if settings.data_folder is not None:
        yield from _check_disk(settings.data_folder)
    yield _check_clock()


def _check_addresses(settings: NodeSettings) -> Iterator[Finding]:
    readiness = _request_readiness(settings)
    yield _check_readiness(readiness)
    check_address = _check_free if readiness is None else _check_listening
    for name in ("client_address", "peer_address", "admin_address"):
        yield check_address(name, getattr(settings, name))


def _request_readiness(settings: NodeSettings) -> AdminResponse | None:
    """Return the node's response to the readiness probe, ``None`` if it doesn't run."""
    client = AdminClient([settings.admin_address], timeout_s=CONNECT_TIMEOUT_S, rounds=1)
    try:
        return client.get("/readyz")
    except NoNodeReachableError:
        return None


def _check_readiness(response: AdminResponse | None) -> Finding:
    if response is None:
        return Finding("node", True, "does not run here now")
    document = response.document if isinstance(response.document, dict) else {}
    if document.get("ready"):
        return Finding("node", True, "runs and is ready")
    reason = document.get("reason", "no reason given")
    return Finding("node", False, f"runs but is not ready: {reason}", "see springmux status and the log")


def _check_listening(name: str, address: str) -> Finding:
    if _accepts_connections(address):
        return Finding(name, True, f"{address} accepts connections")
    return Finding(name, False, f"{address} accepts none", "look for a firewall, or restart the node")


def _accepts_connections(address: str) -> bool:
    try:
        socket.create_connection(split_address(address), timeout=CONNECT_TIMEOUT_S).close()
    except OSError:
        return False
    return True


def _check_free(name: str, address: str) -> Finding:
    host, port = split_address(address)
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    with socket.socket(family, socket.SOCK_STREAM) as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((host, port))
        except OSError as error:
            action = "choose an address of this machine, or stop what uses it"
            return Finding(name, False, f"{address} can't be bound: {error.strerror}", action)
    return Finding(name, True, f"{address} is free")


def _check_seeds(settings: NodeSettings) -> Iterator[Finding]:
    others = [seed for seed in settings.seeds if seed != settings.peer_address]
    if not others:
        yield Finding(
            "seeds", False, "none but the own address", "give three peer addresses (or one node alone)"
        )
        return
    reached = [seed for seed in others if _accepts_connections(seed)]
    missing = ", ".join(seed for seed in others if seed not in reached)
    if reached:
        detail = f"{len(reached)} of {len(others)} answer" + (f"; not {missing}" if missing else "")
        yield Finding("seeds", True, detail)
    else:
        yield Finding("seeds", False, f"none answers: {missing}", "start a seed or correct the addresses")


def _check_disk(folder: Path) -> Iterator[Finding]:
    existing = folder if folder.exists() else folder.parent
    try:
        free_bytes = shutil.disk_usage(existing).free
    except OSError as error:
        yield Finding(
            "data folder", False, f"{existing}: {error.strerror}", "make it, or correct data_folder"
        )
        return
    well = free_bytes >= MIN_FREE_BYTES
    yield Finding(
        "disk space", well, f"{free_bytes >> 20} MiB free", f"free {MIN_FREE_BYTES >> 20} MiB or more"
    )
    yield _check_sync_time(existing)


def _check_sync_time(folder: Path) -> Finding:
    probe = folder / f".springmux-doctor-{os.getpid()}"
    try:
        begun = time.monotonic()
        descriptor = os.open(probe, os.O_CREAT | os.O_WRONLY | os.O_EXCL, 0o600)
        try:
            os.write(descriptor, b"\0" * 4096)
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
            probe.unlink()
        took_s = time.monotonic() - begun
    except OSError as error:
        return Finding("disk sync", False, f"{folder}: {error.strerror}", "make the folder writable")
    detail = f"one synced write took {took_s * 1000:.1f} ms"
    return Finding("disk sync", took_s < SLOW_SYNC_S, detail, "use a faster disk; a leader here hands over")


def _check_clock() -> Finding:
    now = time.time()
    detail = time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(now))
    # Only logs and labels use the wall clock; a wrong one stops nothing.
    return Finding("clock", now > MIN_CLOCK_S, detail, "set the clock; logs carry wrong times")
