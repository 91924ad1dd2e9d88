"""The process of a gateway node: settings, signals, and the restart with a new replica."""

from __future__ import annotations

import asyncio
import os
import signal
from pathlib import Path

from springmux.coordination.state_machine import LogLevel
from springmux.gateway.dialect import OWN_HEADERS, HeaderNames
from springmux.node.gateway.gateway_node import GatewayNode
from springmux.node.gateway.settings import GatewaySettings, load_gateway_settings
from springmux.node.lifecycle import EXIT_CRASHED, EXIT_INVALID_SETTINGS, run_nodes
from springmux.node.logs import EventLog
from springmux.node.storage.opening import OpenedStorage
from springmux.vocabulary.errors import SettingsError

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
HANDLED_SIGNALS = (*STOP_SIGNALS, signal.SIGHUP)


class GatewayRunner:
    """Runs one node after another in this process. Each node after the first starts with a new replica."""

    def __init__(self, file: Path, settings: GatewaySettings, names: HeaderNames) -> None:
        self._file = file
        self._settings = settings
        self._names = names
        self._log = EventLog(settings.node, settings.log_level)
        self._stop_requested = asyncio.Event()
        self._node: GatewayNode | None = None

    async def run(self) -> int:
        """Run until a stop is requested, and return the exit code."""
        self._handle_signals()
        folder = Path(self._settings.data_folder) if self._settings.data_folder else None
        try:
            first_start = self._settings.first_start
            return await run_nodes(folder, self._make_node, self._log, first_start=first_start)
        finally:
            self._ignore_signals()

    def _make_node(self, opened: OpenedStorage) -> GatewayNode:
        self._node = GatewayNode(self._settings, self._names, opened, self._log, self._stop_requested)
        return self._node

    def _handle_signals(self) -> None:
        """Install signal handlers, but not the event loop's, whose removal restores the default action."""
        loop = asyncio.get_running_loop()
        for number in STOP_SIGNALS:
            signal.signal(number, lambda *_: loop.call_soon_threadsafe(self._stop_requested.set))
        signal.signal(signal.SIGHUP, lambda *_: loop.call_soon_threadsafe(self._reload))

    def _ignore_signals(self) -> None:
        """Ignore signals from now until the process has ended."""
        for number in HANDLED_SIGNALS:
            signal.signal(number, signal.SIG_IGN)

    def _reload(self) -> None:
        try:
            settings = load_gateway_settings(self._file)
        except SettingsError as error:
            self._log.write("settings_not_reloaded", LogLevel.ERROR, reason=str(error))
            return
        self._settings = settings
        if self._node is not None:
            self._node.reload(settings)
        self._log.write("settings_reloaded")


def run_gateway(file: Path, names: HeaderNames = OWN_HEADERS) -> int:
    """Run a gateway node until it is stopped, and return the exit code."""
    try:
        settings = load_gateway_settings(file)
    except SettingsError as error:
        EventLog("unnamed").write("settings_wrong", LogLevel.ERROR, reason=str(error))
        return EXIT_INVALID_SETTINGS

    async def main() -> int:
        return await GatewayRunner(file, settings, names).run()

    exit_code = asyncio.run(main())
    if exit_code == EXIT_CRASHED:
        os._exit(exit_code)  # threads may hang on a stalled disk, and the process must not wait for them
    return exit_code
