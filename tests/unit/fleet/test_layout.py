"""A fleet's layout: settings files that the daemon accepts, and errors that say what to do."""

from __future__ import annotations

from pathlib import Path

import pytest

from springmux.fleet.layout import FleetError, FleetOptions, NodeSpec, create_layout, load_layout
from springmux.node.settings import load_settings

NODE_SPECS = [
    NodeSpec(node="north-1", zone="north", controller=True),
    NodeSpec(node="north-2", zone="north", controller=False),
]


def test_daemon_accepts_the_generated_settings_files(tmp_path: Path) -> None:
    layout = create_layout(tmp_path, NODE_SPECS, FleetOptions(controllers_expected=1, fault_injection=True))
    controller, router = (load_settings(Path(node.settings_file), {}) for node in layout.nodes)
    assert (controller.node, controller.zone, controller.fault_injection) == ("north-1", "north", True)
    assert controller.data_folder == tmp_path / "data" / "north-1"
    assert (router.data_folder, router.seeds) == (None, (controller.peer_address,))


def test_addresses_are_distinct_and_a_saved_layout_loads_unchanged(tmp_path: Path) -> None:
    layout = create_layout(tmp_path, NODE_SPECS, FleetOptions())
    addresses = [
        address
        for node in layout.nodes
        for address in (node.client_address, node.peer_address, node.admin_address)
    ]
    assert len(set(addresses)) == 6
    assert load_layout(tmp_path) == layout


def test_fleet_without_a_controller_is_rejected(tmp_path: Path) -> None:
    with pytest.raises(FleetError, match="at least one controller"):
        create_layout(tmp_path, [NODE_SPECS[1]], FleetOptions())


def test_error_for_a_missing_fleet_names_the_command_that_starts_one(tmp_path: Path) -> None:
    with pytest.raises(FleetError, match="springmux fleet up"):
        load_layout(tmp_path)


def test_error_for_an_unknown_node_lists_the_known_nodes(tmp_path: Path) -> None:
    with pytest.raises(FleetError, match="north-1, north-2"):
        create_layout(tmp_path, NODE_SPECS, FleetOptions()).find("east-1")
