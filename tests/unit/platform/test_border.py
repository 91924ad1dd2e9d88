"""The platform's names stay in ``platform/`` and ``deploy/``, and the folder stays small."""

from __future__ import annotations

import re
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parents[3]
SOURCE = ROOT / "src" / "springmux"
FOLDER = ROOT / "platform"
LARGEST_FOLDER_LINES = 800

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


def test_the_product_knows_none_of_the_platforms_names() -> None:
    """Given all sources of the product, none of them holds a name of the platform's."""
    assert _found(sorted(SOURCE.rglob("*.py"))) == []


def test_the_search_finds_a_name_that_is_put_elsewhere(tmp_path: Path) -> None:
    """Given the folder itself, which must hold such names, the same search finds them."""
    assert any("x-springmux-request-id" in line for line in _found(sorted(FOLDER.glob("*.py"))))


def test_the_folder_is_small_and_decides_nothing() -> None:
    """Given the folder, it has few lines, no class and at most a start."""
    texts = [file.read_text("utf-8") for file in FOLDER.glob("*.py")]
    assert sum(len(text.splitlines()) for text in texts) < LARGEST_FOLDER_LINES
    assert not any(re.search(r"^\s*(class|async def|while|for) ", text, re.MULTILINE) for text in texts)


def test_the_product_does_not_import_the_folder() -> None:
    """Given all sources, none imports what is in the folder."""
    names = "|".join(file.stem for file in FOLDER.glob("*.py"))
    importing = re.compile(rf"^\s*(from|import) ({names})\b", re.MULTILINE)
    assert [file for file in SOURCE.rglob("*.py") if importing.search(file.read_text("utf-8"))] == []


def test_the_folder_does_not_shadow_the_standard_module() -> None:
    """Given the folder on the path as the daemon has it, ``import platform`` gives the standard module."""
    program = "import platform, sys; print(platform.python_implementation())"
    for working_folder, path in ((ROOT, ""), (FOLDER, str(FOLDER))):
        result = subprocess.run(
            [sys.executable, "-c", program],
            cwd=working_folder,
            env={"PYTHONPATH": path},
            capture_output=True,
            text=True,
            check=True,
        )
        assert result.stdout.strip() == "CPython"
    assert not (FOLDER / "__init__.py").exists()
