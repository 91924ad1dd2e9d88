"""What the circulating token says of one rollout, and how two copies of it are merged.

Every counter has one writer and only grows, so that copies merge by the maximum (a state-based grow-only
counter; Shapiro et al., "Conflict-free replicated data types", 2011). A token that is lost, doubled or late
can therefore neither hide a spent credit nor invent a prompt. The evidence is one merged digest; each account
says which visit of its writer the digest contains, and the writer adds what is missing.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from springmux.coordination.identifiers import ZoneName
from springmux.rollout.judgement.digest import EMPTY_DIGEST, EvidenceDigest
from springmux.rollout.plan import RolloutDecision, RolloutPhase
from springmux.vocabulary.names import RolloutId, ServiceName, VersionName

BASIS_POINTS = 10_000
"""Zone weights travel as whole basis points: three bytes each in place of nine."""


class Account(msgspec.Struct, frozen=True, array_like=True, omit_defaults=True):
    """Cumulative counters of one writer: a node since its start, or a zone ring under one lead.

    ``writer`` is drawn at random at each start, so that a restarted node opens a new account and its old one
    stays counted. ``granted`` is written by the issuer only, the others by the writer only. ``zone``: index
    into the token's zones. ``taken``: credits spent. ``lapsed``: credits whose lease ended before that.
    ``given_back``: taken credits whose prompt was never dispatched. ``visits``: the writer's own count of
    visits; the entry's evidence contains the writer's digest as of that visit.
    """

    writer: int
    zone: int
    prompts: int = 0
    visits: int = 0
    granted: int = 0
    spent: int = 0
    expired: int = 0
    given_back: int = 0

    @property
    def outstanding(self) -> int:
        """Credits that may still be spent."""
        return self.granted - self.spent - self.expired

    @property
    def committed(self) -> int:
        """Credits that count against the bound: sent and outstanding."""
        return self.granted - self.expired - self.given_back

    @property
    def sent(self) -> int:
        """Prompts sent to the candidate."""
        return self.spent - self.given_back


class RolloutEntry(msgspec.Struct, frozen=True, array_like=True, omit_defaults=True):
    """One rollout under way, as the token carries it.

    ``weight`` and ``phase`` are what the issuer saw committed; ``elapsed_s`` unpaused time. ``allowance``:
    credits on top of the share. ``fleet_prompts`` and ``fleet_sent`` are sums over the whole fleet as of the
    last round. ``evidence`` is merged over the token's ring. ``aborted`` never goes back to false.
    ``zone_rates``: each zone's measured prompts in ten seconds. ``remembered``: some node has a copy from
    before this term, so not the whole fleet was restarted.
    """

    service: ServiceName
    rollout: RolloutId
    stable: VersionName
    candidate: VersionName
    phase: RolloutPhase
    weight: float
    elapsed_s: float
    zone_weights_bp: tuple[int, ...] = ()
    accounts: tuple[Account, ...] = ()
    evidence: EvidenceDigest = EMPTY_DIGEST
    allowance: int = 0
    fleet_prompts: int = 0
    fleet_sent: int = 0
    aborted: bool = False
    decision: RolloutDecision | None = None
    zone_rates: tuple[int, ...] = ()
    known_before_term: bool = False

    @property
    def prompts_per_s(self) -> float:
        """The service's measured prompts a second."""
        return sum(self.zone_rates) / 10.0

    def account(self, writer: int) -> Account | None:
        """Return the account of ``writer``, if the entry has one."""
        return next((account for account in self.accounts if account.writer == writer), None)

    def zone_weight(self, zone: int) -> float:
        """Return the candidate's weight in the zone with index ``zone``, 0..1."""
        if zone >= len(self.zone_weights_bp):
            return 0.0
        return self.zone_weights_bp[zone] / BASIS_POINTS


def merge_accounts(first: Account, second: Account) -> Account:
    """Return the newer of each counter. ``visits`` is the first's: it belongs to the first's evidence."""
    return Account(
        writer=first.writer,
        zone=first.zone,
        prompts=max(first.prompts, second.prompts),
        visits=first.visits,
        granted=max(first.granted, second.granted),
        spent=max(first.spent, second.spent),
        expired=max(first.expired, second.expired),
        given_back=max(first.given_back, second.given_back),
    )


def with_account(entry: RolloutEntry, account: Account) -> RolloutEntry:
    """Return ``entry`` with ``account`` in place of its writer's former one."""
    others = tuple(known for known in entry.accounts if known.writer != account.writer)
    return msgspec.structs.replace(entry, accounts=(*others, account))


def recover_accounts(
    entry: RolloutEntry,
    last_entry: RolloutEntry,
    zones: tuple[ZoneName, ...],
    last_zones: tuple[ZoneName, ...],
) -> tuple[RolloutEntry, tuple[ZoneName, ...]]:
    """Merge the counters of an older copy into ``entry``, for an issuer that may not know them.

    Accounts that only the old copy has come without evidence (``visits`` 0), so that their writers add
    their whole digest. Returns the entry and the token's zones with any that were missing.
    """
    accounts = {account.writer: account for account in entry.accounts}
    all_zones = list(zones)
    for old in last_entry.accounts:
        known = accounts.get(old.writer)
        if known is not None:
            accounts[old.writer] = merge_accounts(known, old)
            continue
        zone = index_of_zone(all_zones, last_zones[old.zone] if old.zone < len(last_zones) else ZoneName(""))
        accounts[old.writer] = msgspec.structs.replace(old, zone=zone, visits=0)
    recovered = msgspec.structs.replace(
        entry,
        accounts=tuple(accounts.values()),
        aborted=entry.aborted or last_entry.aborted,
        decision=entry.decision or last_entry.decision,
    )
    return recovered, tuple(all_zones)


def index_of_zone(zones: list[ZoneName], zone: ZoneName) -> int:
    """Return the index of ``zone`` in ``zones``, appending it if it is missing."""
    if zone not in zones:
        zones.append(zone)
    return zones.index(zone)


class AccountTotals(msgspec.Struct, frozen=True):
    """Sums over accounts."""

    prompts: int = 0
    granted: int = 0
    spent: int = 0
    expired: int = 0
    given_back: int = 0

    @property
    def committed(self) -> int:
        """Credits sent or outstanding."""
        return self.granted - self.expired - self.given_back

    @property
    def sent(self) -> int:
        """Prompts sent to the candidate."""
        return self.spent - self.given_back

    def minus(self, older: AccountTotals) -> AccountTotals:
        """Return what was added since ``older``."""
        return AccountTotals(
            prompts=self.prompts - older.prompts,
            granted=self.granted - older.granted,
            spent=self.spent - older.spent,
            expired=self.expired - older.expired,
            given_back=self.given_back - older.given_back,
        )


def total_accounts(accounts: Iterable[Account]) -> AccountTotals:
    """Return the sums over ``accounts``."""
    prompts = granted = spent = expired = given_back = 0
    for account in accounts:
        prompts += account.prompts
        granted += account.granted
        spent += account.spent
        expired += account.expired
        given_back += account.given_back
    return AccountTotals(prompts, granted, spent, expired, given_back)


def by_writer(accounts: Iterable[Account]) -> dict[int, Account]:
    """Return accounts by their writer."""
    return {account.writer: account for account in accounts}
