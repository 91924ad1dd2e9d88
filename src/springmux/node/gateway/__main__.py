"""``python -m springmux.node.gateway SETTINGS``: run a gateway node until it is stopped."""

from __future__ import annotations

import signal
import sys
from pathlib import Path


def main() -> int:
    """Run the node with the settings file given on the command line, and return the exit code."""
    if len(sys.argv) != 2:
        sys.stderr.write("usage: python -m springmux.node.gateway SETTINGS\n")
        return 2
    # Without a handler SIGHUP would end the process. The settings are read later, so it can be ignored.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from springmux.node.gateway.process import run_gateway

    return run_gateway(Path(sys.argv[1]))


if __name__ == "__main__":
    sys.exit(main())
