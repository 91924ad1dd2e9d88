"""Operators who race, resend after lost acknowledgements and send invalid configurations of the gateway."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass

import msgspec
import pytest

from springmux.control import gateway_section
from springmux.control.commands import ApplyGateway, Outcome
from springmux.control.gateway_section import GatewaySection
from springmux.control.order_window import OrderWindow
from springmux.control.state import CommandDecision
from tests.unit.control.gateway_support import change, read_back, whole
from tests.unit.control.support import Log

ORDERS = 150


@dataclass
class Sent:
    """An order as an operator sent it, and its answer."""

    command: ApplyGateway
    outcome: Outcome
    valid: bool
    resent: bool


class Operators:
    """Two operators before one state; the answers are what the operators would be told."""

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)
        self.log = Log()
        self.sent: list[Sent] = []
        self.version = 0

    def run(self) -> Operators:
        for number in range(ORDERS):
            base = self.version
            for operator in ("ann", "bob")[: self._random.randint(1, 2)]:
                self._send(base, f"{operator} {number}")
            if self.version and self._random.random() < 0.3:
                self._resend_newest()
        return self

    def _send(self, base: int, note: str) -> None:
        valid = self._random.random() < 0.8
        tenants = [
            {"name": "acme", "api_keys": ["k1"]},
            {"name": note, "api_keys": ["k2" if valid else "k1"]},
        ]
        command = change(base, whole(base + 1, tenants=tenants), issued_by=note)
        self._note(command, valid, resent=False)

    def _resend_newest(self) -> None:
        """The acknowledgement was lost: the same order comes once more, with no other change since."""
        accepted = [one for one in self.sent if one.outcome is Outcome.ACCEPTED]
        self._note(accepted[-1].command, accepted[-1].valid, resent=True)

    def _note(self, command: ApplyGateway, valid: bool, resent: bool) -> None:
        outcome = self.log.outcome(command)
        self.sent.append(Sent(command, outcome, valid, resent))
        if outcome is Outcome.ACCEPTED and not resent:
            self.version = command.base_version + 1

    # Checkers

    def two_winners(self) -> list[int]:
        """Return versions on top of which two different changes were acknowledged."""
        won = {one.command.order: one.command.base_version for one in self.sent if self._won(one)}
        return [base for base, count in Counter(won.values()).items() if count > 1]

    def acknowledged_though_invalid(self) -> list[Sent]:
        return [one for one in self.sent if self._won(one) and not one.valid]

    def refused_again(self) -> list[Sent]:
        """Return acknowledged changes that were refused when they came again."""
        return [one for one in self.sent if one.resent and not self._won(one)]

    def _won(self, one: Sent) -> bool:
        return one.outcome is Outcome.ACCEPTED


def test_one_of_two_wins_invalid_ones_never_and_a_lost_answer_is_given_again() -> None:
    operators = Operators(1).run()
    assert operators.two_winners() == []
    assert operators.acknowledged_though_invalid() == []
    assert operators.refused_again() == []
    assert read_back(operators.log)["version"] == operators.version
    outcomes = Counter(one.outcome for one in operators.sent)
    assert min(outcomes[Outcome.ACCEPTED], outcomes[Outcome.CONFLICT], outcomes[Outcome.INVALID]) > 10


def test_the_checker_sees_two_winners(monkeypatch: pytest.MonkeyPatch) -> None:
    apply = GatewaySection.apply

    def on_any_base(section: GatewaySection, command: ApplyGateway) -> CommandDecision:
        present = section.configuration.version
        document = msgspec.json.decode(command.document)
        document["version"] = present + 1
        moved = msgspec.structs.replace(command, base_version=present, document=msgspec.json.encode(document))
        return apply(section, moved)

    monkeypatch.setattr(GatewaySection, "apply", on_any_base)
    assert Operators(1).run().two_winners() != []


def test_the_checker_sees_an_invalid_change_acknowledged(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(gateway_section, "duplicate_keys", lambda *_: [])
    assert Operators(1).run().acknowledged_though_invalid() != []


def test_the_checker_sees_an_acknowledged_change_refused_later(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(OrderWindow, "find", lambda window, order: None)
    assert Operators(1).run().refused_again() != []
