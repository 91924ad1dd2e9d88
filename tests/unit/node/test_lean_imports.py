"""A gateway node starts without the packages that take longest to import.

Guards against an import, often indirect, that slows down every start of a gateway node.
"""

from __future__ import annotations

import subprocess
import sys

import pytest

GATEWAY_NODE_MODULES = (
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
    """Return the top-level packages that are loaded in a new interpreter after importing ``modules``."""
    code = f"import sys, {', '.join(modules)}; print(*{{name.partition('.')[0] for name in sys.modules}})"
    result = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    return set(result.stdout.split())


@pytest.mark.parametrize("module", GATEWAY_NODE_MODULES)
def test_no_module_of_the_gateway_node_loads_a_heavy_package(module: str) -> None:
    loaded = loaded_by((module,))
    assert "springmux" in loaded
    assert not loaded & set(HEAVY_PACKAGES)


def test_all_modules_of_the_gateway_node_together_load_no_heavy_package() -> None:
    assert not loaded_by(GATEWAY_NODE_MODULES) & set(HEAVY_PACKAGES)


def test_loaded_by_detects_a_heavy_package() -> None:
    assert "pydantic" in loaded_by(("springmux.control.documents",))
