"""Repeated signals to a gateway process while it starts, runs, stops and exits.

Guards against a moment without a handler, in which a signal's default action ends the process.
"""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import pytest

from springmux.fleet.layout import free_ports
from springmux.gateway.dialect import OWN_HEADERS
from springmux.node.gateway import process as process_module
from springmux.node.gateway.settings import load_gateway_settings

ROOT = Path(__file__).resolve().parents[4]
COMMANDS = {
    "the gateway's own": [sys.executable, "-m", "springmux.node.gateway", "{settings}"],
    "the platform's": [sys.executable, str(ROOT / "platform" / "main.py")],
}
TEST_TIMEOUT_S = 60.0
SIGNAL_PERIOD_S = 0.01


def write_settings(folder: Path) -> Path:
    file = folder / "node.toml"
    names = ("front", "ready", "control", "peer")
    ports = dict(zip(names, free_ports(len(names)), strict=True))
    lines = [
        "node = 'alone'",
        "zone = 'z1'",
        "host = '127.0.0.1'",
        *(f"{name}_address = '127.0.0.1:{ports[name]}'" for name in ("front", "ready", "control")),
        f"peer_port = '{ports['peer']}'",
        "stop_grace_s = '8'",
    ]
    file.write_text("\n".join(lines), "utf-8")
    return file


def ignores_or_handles(process: subprocess.Popen[bytes], number: signal.Signals) -> bool:
    """Return whether the process ignores or handles the signal, so that it no longer ends the process."""
    status = Path(f"/proc/{process.pid}/status").read_text("utf-8")
    masks = dict(line.split(":\t") for line in status.splitlines() if line.startswith("Sig"))
    return any(int(masks[name], 16) >> (number - 1) & 1 for name in ("SigIgn", "SigCgt"))


@pytest.mark.parametrize("command_name", COMMANDS)
def test_repeated_sighup_never_ends_a_process_and_sigterm_ends_it_gracefully(
    command_name: str, tmp_path: Path
) -> None:
    settings = write_settings(tmp_path)
    command = [part.format(settings=settings) for part in COMMANDS[command_name]]
    log_file = tmp_path / "log"
    environment = {**os.environ, "SPRINGMUX_BOOT": str(settings)}
    with log_file.open("wb") as log:
        process = subprocess.Popen(command, stdout=log, stderr=log, env=environment)
    try:
        deadline = time.monotonic() + TEST_TIMEOUT_S
        while not ignores_or_handles(process, signal.SIGHUP):
            assert process.poll() is None and time.monotonic() < deadline
        while b"node_started" not in log_file.read_bytes():
            process.send_signal(signal.SIGHUP)
            time.sleep(SIGNAL_PERIOD_S)
            assert process.poll() is None and time.monotonic() < deadline
        process.send_signal(signal.SIGTERM)
        while process.poll() is None:
            process.send_signal(signal.SIGHUP)
            process.send_signal(signal.SIGTERM)
            time.sleep(SIGNAL_PERIOD_S)
            assert time.monotonic() < deadline
        assert process.returncode == 0
        assert b"settings_reloaded" in log_file.read_bytes()
    finally:
        process.kill()
        process.wait()


async def test_no_signal_has_its_default_action_while_handlers_are_replaced(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A SIGHUP between the removal of a handler and the installation of the next once ended the process."""
    file = write_settings(tmp_path)
    runner = process_module.GatewayRunner(file, load_gateway_settings(file), OWN_HEADERS)
    before = {number: signal.getsignal(number) for number in process_module.HANDLED_SIGNALS}
    actions: list[object] = []

    def record(number: int, action: Any) -> Any:
        actions.append(action)
        return real_signal(number, action)

    real_signal = signal.signal
    monkeypatch.setattr(signal, "signal", record)
    try:
        runner._handle_signals()
        runner._ignore_signals()
        assert [signal.getsignal(number) for number in before] == [signal.SIG_IGN] * len(before)
    finally:
        monkeypatch.undo()
        for number, action in before.items():
            signal.signal(number, action)
    assert len(actions) == 2 * len(before)
    assert signal.SIG_DFL not in actions
