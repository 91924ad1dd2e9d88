"""Concurrent operators, resent commands and invalid gateway configurations.

Guards against two accepted changes of one version, an accepted invalid change, and a rejected retry.
"""

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

COMMANDS = 150


@dataclass
class SentCommand:
    """A command as an operator sent it, and its outcome."""

    command: ApplyGateway
    outcome: Outcome
    valid: bool
    resent: bool


class Operators:
    """Two operators that change one control state; outcomes are those that the operators would receive."""

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)
        self.log = Log()
        self.sent: list[SentCommand] = []
        self.version = 0

    def run(self) -> Operators:
        for number in range(COMMANDS):
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
        self._submit(command, valid, resent=False)

    def _resend_newest(self) -> None:
        """Resend the newest accepted command, as after a lost acknowledgement, with no change in between."""
        accepted = [sent for sent in self.sent if sent.outcome is Outcome.ACCEPTED]
        self._submit(accepted[-1].command, accepted[-1].valid, resent=True)

    def _submit(self, command: ApplyGateway, valid: bool, resent: bool) -> None:
        outcome = self.log.outcome(command)
        self.sent.append(SentCommand(command, outcome, valid, resent))
        if outcome is Outcome.ACCEPTED and not resent:
            self.version = command.base_version + 1

    # Checkers

    def doubly_accepted_bases(self) -> list[int]:
        """Return base versions on which two different changes were accepted."""
        bases = {sent.command.order: sent.command.base_version for sent in self.sent if self._accepted(sent)}
        return [base for base, count in Counter(bases.values()).items() if count > 1]

    def accepted_invalid_commands(self) -> list[SentCommand]:
        return [sent for sent in self.sent if self._accepted(sent) and not sent.valid]

    def rejected_retries(self) -> list[SentCommand]:
        """Return resent commands that were rejected although they were accepted before."""
        return [sent for sent in self.sent if sent.resent and not self._accepted(sent)]

    def _accepted(self, sent: SentCommand) -> bool:
        return sent.outcome is Outcome.ACCEPTED


def test_one_of_two_changes_is_accepted_and_invalid_ones_never_and_retries_get_the_same_outcome() -> None:
    operators = Operators(1).run()
    assert operators.doubly_accepted_bases() == []
    assert operators.accepted_invalid_commands() == []
    assert operators.rejected_retries() == []
    assert read_back(operators.log)["version"] == operators.version
    outcomes = Counter(sent.outcome for sent in operators.sent)
    assert min(outcomes[Outcome.ACCEPTED], outcomes[Outcome.CONFLICT], outcomes[Outcome.INVALID]) > 10


def test_checker_detects_doubly_accepted_bases(monkeypatch: pytest.MonkeyPatch) -> None:
    apply = GatewaySection.apply

    def apply_on_any_base(section: GatewaySection, command: ApplyGateway) -> CommandDecision:
        current_version = section.configuration.version
        document = msgspec.json.decode(command.document)
        document["version"] = current_version + 1
        rebased = msgspec.structs.replace(
            command, base_version=current_version, document=msgspec.json.encode(document)
        )
        return apply(section, rebased)

    monkeypatch.setattr(GatewaySection, "apply", apply_on_any_base)
    assert Operators(1).run().doubly_accepted_bases() != []


def test_checker_detects_an_accepted_invalid_change(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(gateway_section, "duplicate_keys", lambda *_: [])
    assert Operators(1).run().accepted_invalid_commands() != []


def test_checker_detects_a_rejected_retry_of_an_accepted_change(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(OrderWindow, "find", lambda window, order: None)
    assert Operators(1).run().rejected_retries() != []
