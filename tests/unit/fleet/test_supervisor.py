"""The supervisor over a trivial process in place of the daemon."""

from __future__ import annotations

import sys
from collections.abc import Iterator
from pathlib import Path

import pytest

from springmux.fleet.layout import FleetError, FleetOptions, NodeLayout, NodePlace, lay_out, load_layout
from springmux.fleet.supervisor import Supervisor

NODES = ("a", "b")
WAITS = "import signal; signal.pause()"


def trivial(layout: NodeLayout) -> list[str]:
    """Wait for a signal; the settings file's name marks the process as this node's."""
    return [sys.executable, "-c", WAITS, layout.settings_file]


@pytest.fixture
def supervisor(tmp_path: Path) -> Iterator[Supervisor]:
    places = [NodePlace(node=node, zone="z", controller=True) for node in NODES]
    made = Supervisor(lay_out(tmp_path, places, FleetOptions()), trivial)
    yield made
    made.stop_all()


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


def test_a_frozen_node_runs_still_and_stops_in_order(supervisor: Supervisor) -> None:
    supervisor.start("a")
    supervisor.freeze("a")
    assert supervisor.running("a")
    supervisor.stop_all()
    assert not supervisor.running("a")


def test_a_node_that_ends_by_itself_does_not_keep_the_others_from_ending(
    supervisor: Supervisor, monkeypatch: pytest.MonkeyPatch
) -> None:
    supervisor.start_all()
    really_running = supervisor.running
    answers = iter([True, True])

    def running(node: str) -> bool:
        """Say at first that both run, though ``a`` has just ended."""
        return next(answers, None) or really_running(node)

    supervisor.kill("a")
    monkeypatch.setattr(supervisor, "running", running)
    supervisor.stop_all()
    assert not really_running("b")


def test_another_supervisor_finds_the_processes_by_the_layout_file(supervisor: Supervisor) -> None:
    supervisor.start("a")
    other = Supervisor(load_layout(Path(supervisor.layout.folder)), trivial)
    assert (other.running("a"), other.running("b")) == (True, False)


def test_a_process_id_that_went_to_another_program_is_not_ours(supervisor: Supervisor) -> None:
    supervisor.start("a")
    layout = load_layout(Path(supervisor.layout.folder))
    layout.find("b").pid = layout.find("a").pid
    assert not Supervisor(layout, trivial).running("b")


def test_a_node_that_does_not_run_takes_no_signal(supervisor: Supervisor) -> None:
    with pytest.raises(FleetError, match="doesn't run"):
        supervisor.freeze("a")


def test_only_a_stopped_node_is_wiped(supervisor: Supervisor) -> None:
    data = Path(supervisor.layout.find("a").data_folder)
    data.mkdir(parents=True)
    supervisor.start("a")
    with pytest.raises(FleetError, match="before its data is wiped"):
        supervisor.wipe("a")
    supervisor.kill("a")
    supervisor.wipe("a")
    assert not data.exists()


def test_a_process_that_is_just_becoming_its_program_is_waited_for(
    supervisor: Supervisor, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Between its start and the new program's first instruction its command line is empty."""
    supervisor.start("a")
    other = Supervisor(load_layout(Path(supervisor.layout.folder)), trivial)
    read_bytes = Path.read_bytes
    empty = iter([b"", b""])

    def early(path: Path) -> bytes:
        first = next(empty, None) if path.name == "cmdline" else None
        return read_bytes(path) if first is None else first

    monkeypatch.setattr(Path, "read_bytes", early)
    assert other.running("a")
