"""The supervisor with a trivial process in place of the daemon."""

from __future__ import annotations

import sys
from collections.abc import Iterator
from pathlib import Path

import pytest

from springmux.fleet.layout import FleetError, FleetOptions, NodeLayout, NodeSpec, create_layout, load_layout
from springmux.fleet.supervisor import Supervisor

NODES = ("a", "b")
WAIT_FOR_SIGNAL = "import signal; signal.pause()"


def trivial_command(layout: NodeLayout) -> list[str]:
    """Return a command that waits for a signal; the settings file's name marks the process as this node's."""
    return [sys.executable, "-c", WAIT_FOR_SIGNAL, layout.settings_file]


@pytest.fixture
def supervisor(tmp_path: Path) -> Iterator[Supervisor]:
    specs = [NodeSpec(node=node, zone="z", controller=True) for node in NODES]
    created_supervisor = Supervisor(create_layout(tmp_path, specs, FleetOptions()), trivial_command)
    yield created_supervisor
    created_supervisor.stop_all()


def test_start_and_stop_all(supervisor: Supervisor) -> None:
    supervisor.start_all()
    assert [supervisor.running(node) for node in NODES] == [True, True]
    supervisor.stop_all()
    assert [supervisor.running(node) for node in NODES] == [False, False]
    assert [node.pid for node in supervisor.layout.nodes] == [0, 0]


def test_a_running_node_is_not_started_twice(supervisor: Supervisor) -> None:
    supervisor.start("a")
    with pytest.raises(FleetError, match="runs already"):
        supervisor.start("a")


def test_a_killed_node_can_be_started_again(supervisor: Supervisor) -> None:
    supervisor.start("a")
    first = supervisor.layout.find("a").pid
    supervisor.kill("a")
    assert not supervisor.running("a")
    supervisor.start("a")
    assert supervisor.layout.find("a").pid != first


def test_kill_all_ends_frozen_nodes_too(supervisor: Supervisor) -> None:
    supervisor.start_all()
    supervisor.freeze("b")
    supervisor.kill_all()
    assert [supervisor.running(node) for node in NODES] == [False, False]


def test_frozen_node_counts_as_running_and_can_be_stopped(supervisor: Supervisor) -> None:
    supervisor.start("a")
    supervisor.freeze("a")
    assert supervisor.running("a")
    supervisor.stop_all()
    assert not supervisor.running("a")


def test_stop_all_stops_the_other_nodes_when_one_has_just_ended(
    supervisor: Supervisor, monkeypatch: pytest.MonkeyPatch
) -> None:
    supervisor.start_all()
    unpatched_running = supervisor.running
    reported_states = iter([True, True])

    def running(node: str) -> bool:
        """Report both nodes as running at first, although ``a`` has just ended."""
        return next(reported_states, None) or unpatched_running(node)

    supervisor.kill("a")
    monkeypatch.setattr(supervisor, "running", running)
    supervisor.stop_all()
    assert not unpatched_running("b")


def test_another_supervisor_finds_the_processes_by_the_layout_file(supervisor: Supervisor) -> None:
    supervisor.start("a")
    other = Supervisor(load_layout(Path(supervisor.layout.folder)), trivial_command)
    assert (other.running("a"), other.running("b")) == (True, False)


def test_process_id_of_another_program_does_not_count_as_the_node(supervisor: Supervisor) -> None:
    supervisor.start("a")
    layout = load_layout(Path(supervisor.layout.folder))
    layout.find("b").pid = layout.find("a").pid
    assert not Supervisor(layout, trivial_command).running("b")


def test_signal_to_a_stopped_node_is_rejected(supervisor: Supervisor) -> None:
    with pytest.raises(FleetError, match="doesn't run"):
        supervisor.freeze("a")


def test_data_is_wiped_only_while_the_node_is_stopped(supervisor: Supervisor) -> None:
    data = Path(supervisor.layout.find("a").data_folder)
    data.mkdir(parents=True)
    supervisor.start("a")
    with pytest.raises(FleetError, match="before its data is wiped"):
        supervisor.wipe("a")
    supervisor.kill("a")
    supervisor.wipe("a")
    assert not data.exists()


def test_process_without_a_command_line_yet_is_waited_for(
    supervisor: Supervisor, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The command line of a new process is empty until the new program's first instruction."""
    supervisor.start("a")
    other = Supervisor(load_layout(Path(supervisor.layout.folder)), trivial_command)
    read_bytes = Path.read_bytes
    empty = iter([b"", b""])

    def read_empty_command_line_first(path: Path) -> bytes:
        first = next(empty, None) if path.name == "cmdline" else None
        return read_bytes(path) if first is None else first

    monkeypatch.setattr(Path, "read_bytes", read_empty_command_line_first)
    assert other.running("a")
