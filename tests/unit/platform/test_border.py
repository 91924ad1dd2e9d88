"""Names of one platform are used only in ``platform/`` and ``deploy/``, and the folder stays small.

Guards against a product that works on that platform only.
"""

from __future__ import annotations

import re
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parents[3]
SOURCE = ROOT / "src" / "springmux"
FOLDER = ROOT / "platform"
MAX_FOLDER_LINES = 800

PLATFORM_NAMES = re.compile(
    r"[xX]-[sS]pringmux-|/springmux/(readiness|config|instances|rollouts|order|report)"
    r"|SPRINGMUX_BOOT|boot\.conf|pathPrefix|timeoutMs|targetMs|itlTargetMs|maxAttempts|apiKeys|ratePerS"
    r"|uncachedTokens|healthPath|maxConns|maxHeaderBytes|headerTimeoutMs|idleTimeoutMs|kvCacheTokens"
    r"|coldLeftMs|heartbeatUrl|targetVersion|durationS|token_count|rolled_back|internalPorts|nodeName"
)


def _found(files: list[Path]) -> list[str]:
    return [
        f"{file.relative_to(ROOT)}:{number}: {line.strip()}"
        for file in files
        for number, line in enumerate(file.read_text("utf-8").splitlines(), 1)
        if PLATFORM_NAMES.search(line)
    ]


def test_the_product_contains_no_name_of_the_platform() -> None:
    """Given all sources of the product, none contains a name that only the platform defines."""
    assert _found(sorted(SOURCE.rglob("*.py"))) == []


def test_the_search_finds_the_names_in_the_platform_folder(tmp_path: Path) -> None:
    """Given the folder itself, which must contain such names, the same search finds them."""
    assert any("x-springmux-request-id" in line for line in _found(sorted(FOLDER.glob("*.py"))))


def test_the_folder_is_small_and_has_no_logic() -> None:
    """Given the folder, it has few lines, no class, no coroutine and no loop."""
    texts = [file.read_text("utf-8") for file in FOLDER.glob("*.py")]
    assert sum(len(text.splitlines()) for text in texts) < MAX_FOLDER_LINES
    assert not any(re.search(r"^\s*(class|async def|while|for) ", text, re.MULTILINE) for text in texts)


def test_the_product_does_not_import_the_folder() -> None:
    """Given all sources of the product, none imports a module of the folder."""
    names = "|".join(file.stem for file in FOLDER.glob("*.py"))
    importing = re.compile(rf"^\s*(from|import) ({names})\b", re.MULTILINE)
    assert [file for file in SOURCE.rglob("*.py") if importing.search(file.read_text("utf-8"))] == []


def test_the_folder_does_not_shadow_the_standard_platform_module() -> None:
    """Given the folder on the path as in the daemon, ``import platform`` loads the standard module."""
    code = "import platform, sys; print(platform.python_implementation())"
    for working_folder, path in ((ROOT, ""), (FOLDER, str(FOLDER))):
        result = subprocess.run(
            [sys.executable, "-c", code],
            cwd=working_folder,
            env={"PYTHONPATH": path},
            capture_output=True,
            text=True,
            check=True,
        )
        assert result.stdout.strip() == "CPython"
    assert not (FOLDER / "__init__.py").exists()
