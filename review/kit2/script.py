"""Runs one case: exit code 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""

from __future__ import annotations

import asyncio
import os
import sys
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from kit2.fleet import Fleet, Record

LIMIT_S = 115.0
TROUBLE = os.environ.get("TROUBLE") != "0"


class CouldNotRunError(Exception):
    """The case did not come to its check."""


def run_case(
    folder: Path, make_fleet: Callable[[], Fleet], play: Callable[[Fleet, Record], Awaitable[bool]]
) -> None:
    """Play a case and exit. ``play`` returns whether the rule held."""
    record = Record(folder / "record.txt")
    record.write("with the disruption" if TROUBLE else "without the disruption")
    code = 2
    fleet = make_fleet()

    async def limited() -> bool:
        async with asyncio.timeout(LIMIT_S):
            return await play(fleet, record)

    try:
        held = asyncio.run(limited())
        code = 0 if held else 1
        record.write("the rule held" if held else "the rule was BROKEN")
    except (CouldNotRunError, OSError, TimeoutError) as error:
        record.write(f"could not run: {type(error).__name__}: {error}")
    except Exception:  # noqa: BLE001 - a fault of the script is no finding
        record.write("could not run: " + traceback.format_exc())
    finally:
        fleet.close()
        record.close()
    sys.exit(code)
