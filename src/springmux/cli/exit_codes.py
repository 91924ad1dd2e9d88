"""Exit codes of the command line. Scripts depend on them, so they stay stable."""

import enum


class ExitCode(enum.IntEnum):
    """What a command's exit code means."""

    OK = 0
    FAILED = 1
    """The command was refused or failed."""
    INVALID = 2
    """Wrong usage or invalid input."""
    UNREACHABLE = 3
    """None of the named nodes could be reached."""
    CONFLICT = 4
    """A conflicting order was accepted first."""


EPILOG = (
    "Exit codes: 0 ok, 1 refused or failed, 2 wrong usage or invalid input, 3 no node reachable, 4 conflict."
)
