"""``python -m springmux.node.gateway SETTINGS``: run a gateway node until it is stopped."""

from __future__ import annotations

import signal
import sys
from pathlib import Path


def main() -> int:
    """Run the node of the settings file that the command line names."""
    if len(sys.argv) != 2:
        sys.stderr.write("usage: python -m springmux.node.gateway SETTINGS\n")
        return 2
    # A hang-up before the node listens for it would end the process; it reads the settings only later anyway.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from springmux.node.gateway.process import run_gateway

    return run_gateway(Path(sys.argv[1]))


if __name__ == "__main__":
    sys.exit(main())
