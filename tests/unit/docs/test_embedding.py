"""The example of docs/EMBEDDING.md runs, in virtual time, and keeps what it claims."""

import importlib
import sys
from collections.abc import Iterator
from types import ModuleType

import pytest

from springmux.coordination.identifiers import NodeId
from tests.unit.docs import pages

EXAMPLE = pages.ROOT / "examples" / "embedding"
MODULES = ("member", "local_cluster", "run")


@pytest.fixture
def example(monkeypatch: pytest.MonkeyPatch) -> Iterator[dict[str, ModuleType]]:
    monkeypatch.syspath_prepend(str(EXAMPLE))
    for name in MODULES:
        monkeypatch.delitem(sys.modules, name, raising=False)
    yield {name: importlib.import_module(name) for name in MODULES}
    for name in MODULES:
        del sys.modules[name]


def test_the_story_is_the_one_of_the_page(example: dict[str, ModuleType]) -> None:
    page = (pages.ROOT / "docs" / "EMBEDDING.md").read_text("utf-8")
    assert "\n".join(example["run"].run_scenario()) in page


@pytest.mark.parametrize("seed", range(5))
def test_it_elects_replicates_loses_its_leader_and_goes_on(example: dict[str, ModuleType], seed: int) -> None:
    cluster = example["local_cluster"].LocalCluster(seed, ("a", "b", "c"))
    first = cluster.await_leader()
    cluster.put("one", "1")

    cluster.power_cut(first.node)
    second = cluster.await_leader()
    cluster.put("two", "2")

    assert second.node != first.node
    assert second.texts == {"one": "1", "two": "2"}
    cluster.start(first.node)
    cluster.run_until(lambda: cluster.members[first.node].texts == second.texts, 20.0)


def test_one_alone_acknowledges_nothing(example: dict[str, ModuleType]) -> None:
    cluster = example["local_cluster"].LocalCluster(1, ("a", "b", "c"))
    cluster.put("one", "1")
    leader = cluster.await_leader()
    for node in set(cluster.members) - {leader.node}:
        cluster.power_cut(NodeId(node))

    with pytest.raises(example["local_cluster"].ClusterError):
        cluster.put("two", "2")
    assert "two" not in leader.texts
