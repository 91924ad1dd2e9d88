"""Random walks over the claims protocol with faults: no key is ever granted to two attempts that may run."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from springmux.coordination.claims.claimant import Claim
from springmux.coordination.claims.events import HoldersChanged
from springmux.coordination.claims.journal import RecoveredClaims
from springmux.coordination.claims.messages import ClaimPage, ClaimPull
from springmux.coordination.claims.synchronization import Synchronizer
from unit.claims.network import NODES, ClaimDisk, ClaimNetwork

WALKS = 400
STEPS = 260
CLAIMS_PER_KEY = 3
WALKS_WITH_BROKEN_RULE = 1500


class Walk:
    """One seeded walk. At most one holder at a time loses its records, the limit that the design states.

    With disks, any number of nodes may restart at any time, but only one at a time is wiped.
    """

    def __init__(self, seed: int, durable: bool = False) -> None:
        self.network = ClaimNetwork(seed, durable=durable)
        self.random = self.network.random
        self.freed: set[str] = set()
        self.count = 0
        self.network.run(6.0)

    def run(self) -> list[str]:
        for _ in range(STEPS):
            self.step()
            running = [attempt for attempt in self.network.granted() if attempt not in self.freed]
            keys = [self.network.owner[attempt][2] for attempt in running]
            if len(set(keys)) < len(keys):
                return running
        return []

    def step(self) -> None:
        network, choice = self.network, self.random.random()
        self.sync_some_disks()
        if choice < 0.60 and network.in_flight:
            network.deliver(self.random.randrange(len(network.in_flight)), keep=self.random.random() < 0.1)
        elif choice < 0.64 and network.in_flight:
            network.in_flight.pop(self.random.randrange(len(network.in_flight)))
        elif choice < 0.74:
            self.count += 1
            network.claim(self.random.choice(NODES), f"t{self.count}", f"key{self.count // CLAIMS_PER_KEY}")
        elif choice < 0.77:
            self.end_one()
        elif choice < 0.80:
            self.restart_one()
        elif choice < 0.82:
            network.paused = set() if network.paused else {self.random.choice(NODES)}
        elif choice < 0.84:
            self.change_ring()
        elif choice < 0.92:
            self.announce_ring()
        elif choice < 0.95:
            self.synchronize()
        else:
            network.advance(self.random.choice((0.05, 0.1, 0.3, 0.6, 2.5)))

    def end_one(self) -> None:
        for attempt in self.network.granted():
            node = self.network.owner[attempt][0]
            if attempt not in self.freed and node not in self.network.paused:
                never_dispatched = self.random.random() < 0.5
                if never_dispatched:
                    self.freed.add(attempt)
                self.network.end(attempt, ran=not never_dispatched)

    def synchronize(self) -> None:
        """Deliver pulls and pages, so that restarts and ring changes are possible often within a walk."""
        for node in NODES:
            self.network.dispatch(node, HoldersChanged(self.network.ring))
        for _ in range(6):
            in_flight = self.network.in_flight
            for index in reversed(range(len(in_flight))):
                if isinstance(in_flight[index][2], ClaimPull | ClaimPage):
                    self.network.deliver(index)

    def is_synchronized(self) -> bool:
        """Return whether every member knows the newest ring and may grant all keys that it holds."""
        network = self.network
        coordinators = network.coordinators
        keys = [f"key{index}" for index in range(self.count // CLAIMS_PER_KEY + 1)]
        spans = [coordinators[node]._rings.span(key) for node in network.ring.nodes() for key in keys]
        return all(span is not None and span.until == network.ring.version for span in spans) and all(
            coordinators[node]._synchronizer.may_grant(span, network.now)
            for node in network.ring.nodes()
            for span in spans
            if span is not None and node in span.holders
        )

    def sync_some_disks(self) -> None:
        for node in self.network.disks:
            if node not in self.network.paused and self.random.random() < 0.3:
                self.network.sync(node)

    def cut_power_of_some(self) -> None:
        network, random = self.network, self.random
        wiped = (random.choice(NODES),) if random.random() < 0.2 and self.is_synchronized() else ()
        cut = NODES if random.random() < 0.3 else tuple(random.sample(NODES, 2))
        cut = tuple(sorted({*cut, *wiped}))
        network.paused -= set(cut)
        network.power_cut(cut, wiped)

    def restart_one(self) -> None:
        if self.network.disks:
            self.cut_power_of_some()
        elif self.is_synchronized():
            node = self.random.choice(NODES)
            self.network.paused.discard(node)
            self.network.restart(node)

    def change_ring(self) -> None:
        if self.is_synchronized():
            members = set(self.network.ring.nodes())
            member = self.random.choice(NODES)
            changed = members ^ {member}
            if len(changed) >= 3:
                self.network.change_ring(tuple(sorted(changed)))

    def announce_ring(self) -> None:
        for node in self.random.sample(NODES, 3):
            self.network.dispatch(node, HoldersChanged(self.network.ring))


def first_violation(walks: int, durable: bool = False) -> Iterator[int]:
    return (seed for seed in range(walks) if Walk(seed, durable).run())


@pytest.mark.parametrize("durable", [False, True], ids=["memory", "disks"])
def test_random_walks_grant_keys_and_never_grant_one_twice(durable: bool) -> None:
    grants = frees = 0
    for seed in range(WALKS):
        walk = Walk(seed, durable)
        assert not walk.run(), f"seed {seed}"
        grants += len(walk.network.granted())
        frees += len(walk.freed)
    assert grants > WALKS // 2
    assert frees > WALKS // 10


@pytest.mark.parametrize(
    "broken_rule", ["one grant is enough", "a holder without its records grants, and its grant counts"]
)
def test_random_walks_detect_a_broken_rule(broken_rule: str, monkeypatch: pytest.MonkeyPatch) -> None:
    if broken_rule == "one grant is enough":
        monkeypatch.setattr(Claim, "majority", lambda claim: 1)
    else:
        monkeypatch.setattr(Synchronizer, "may_grant", lambda *_: True)
        monkeypatch.setattr(Claim, "_consistent", lambda *_: True)
    assert next(first_violation(WALKS_WITH_BROKEN_RULE), None) is not None


def test_random_walks_detect_a_disk_that_loses_its_journal(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(ClaimDisk, "recover", _recover_nothing)
    assert next(first_violation(WALKS_WITH_BROKEN_RULE, durable=True), None) is not None


def _recover_nothing(disk: ClaimDisk) -> RecoveredClaims:
    disk.synced.clear()
    disk.writing = None
    return RecoveredClaims(disk.replica, founded=True)
