"""A node's coordination starts without the packages that cost most to load."""

from __future__ import annotations

import subprocess
import sys

import pytest

LEAN_MODULES = (
    "springmux.agent.agent",
    "springmux.node.peer.agent_codec",
    "springmux.node.driver",
    "springmux.node.gateway.process",
    "springmux.node.logs",
    "springmux.node.metrics.registry",
    "springmux.node.peer.transport",
    "springmux.node.storage.opening",
    "springmux.node.storage.worker",
)
HEAVY_PACKAGES = ("aiohttp", "numpy", "prometheus_client", "pydantic", "rich", "structlog", "typer")


def loaded_by(modules: tuple[str, ...]) -> set[str]:
    """Return the top-level packages that a fresh interpreter holds after importing ``modules``."""
    program = f"import sys, {', '.join(modules)}; print(*{{name.partition('.')[0] for name in sys.modules}})"
    run = subprocess.run([sys.executable, "-c", program], capture_output=True, text=True, check=True)
    return set(run.stdout.split())


@pytest.mark.parametrize("module", LEAN_MODULES)
def test_a_module_of_the_lean_node_loads_no_heavy_package(module: str) -> None:
    loaded = loaded_by((module,))
    assert "springmux" in loaded
    assert not loaded & set(HEAVY_PACKAGES)


def test_all_of_the_lean_node_together_loads_no_heavy_package() -> None:
    assert not loaded_by(LEAN_MODULES) & set(HEAVY_PACKAGES)


def test_the_probe_sees_a_heavy_package_that_is_loaded() -> None:
    assert "pydantic" in loaded_by(("springmux.control.documents",))
