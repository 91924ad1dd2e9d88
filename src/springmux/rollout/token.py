"""Content of the circulating token for one rollout, and the merging of two copies of it.

Every counter has one writer and only grows, so copies are merged by taking the maximum (a state-based
grow-only counter; Shapiro et al., "Conflict-free replicated data types", 2011). A lost, duplicated or delayed
token can therefore neither hide a spent credit nor add a prompt that did not occur. The evidence is one
merged digest; each account names the visit of its writer up to which the digest contains the writer's
evidence, and the writer adds what is missing.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from springmux.coordination.identifiers import ZoneName
from springmux.rollout.judgement.digest import EMPTY_DIGEST, EvidenceDigest
from springmux.rollout.plan import RolloutDecision, RolloutPhase
from springmux.vocabulary.names import RolloutId, ServiceName, VersionName

BASIS_POINTS = 10_000
"""Zone weights are sent as whole basis points, which take three bytes each instead of nine."""


class Account(msgspec.Struct, frozen=True, array_like=True, omit_defaults=True):
    """Cumulative counters of one writer: a node since its start, or a zone ring under one ring leader.

    ``writer`` is a random number chosen at each start, so a restarted node opens a new account and its old
    one is still counted. Only the issuer writes ``granted``; only the writer writes the other fields.
    ``zone``: index into the token's zones. ``spent``: credits used for a prompt. ``expired``: credits whose
    lease ended before they were spent. ``given_back``: spent credits whose prompt was never dispatched.
    ``visits``: number of token visits that the writer counted; the entry's evidence contains the writer's
    digest up to that visit.
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
        """Credits that count against the exposure bound: sent prompts and outstanding credits."""
        return self.granted - self.expired - self.given_back

    @property
    def sent(self) -> int:
        """Prompts sent to the candidate."""
        return self.spent - self.given_back


class RolloutEntry(msgspec.Struct, frozen=True, array_like=True, omit_defaults=True):
    """The token's entry for one rollout under way.

    ``weight`` and ``phase`` are the committed values that the issuer knows. ``elapsed_s``: unpaused time.
    ``zone_weights_bp``: the candidate's weight in each zone in basis points. ``allowance``: credits on top of
    the share of prompts. ``fleet_prompts`` and ``fleet_sent``: sums over the whole fleet at the last round.
    ``evidence`` is merged over the token's ring. ``aborted`` never returns to false. ``zone_rates``: each
    zone's measured prompts in ten seconds. ``known_before_term``: some node has a copy of the entry from
    before this consensus term, so not all nodes were restarted.
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
        """The service's measured prompt rate, per second."""
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
    """Return the larger of each counter. ``visits`` is that of ``first``, whose evidence it describes."""
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
    """Return ``entry`` with ``account`` replacing the earlier account of its writer."""
    others = tuple(known for known in entry.accounts if known.writer != account.writer)
    return msgspec.structs.replace(entry, accounts=(*others, account))


def recover_accounts(
    entry: RolloutEntry,
    last_entry: RolloutEntry,
    zones: tuple[ZoneName, ...],
    last_zones: tuple[ZoneName, ...],
) -> tuple[RolloutEntry, tuple[ZoneName, ...]]:
    """Merge the counters of an older copy into ``entry``, for an issuer that may lack them.

    Accounts that only the old copy has are added with ``visits`` 0, because ``entry`` lacks their evidence:
    their writers then add their whole digest. Returns the entry, and the token's zones with the missing ones
    appended.
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
    """Return the index of ``zone`` in ``zones``; append it first if it is missing."""
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
        """Sent prompts and outstanding credits, which count against the exposure bound."""
        return self.granted - self.expired - self.given_back

    @property
    def sent(self) -> int:
        """Prompts sent to the candidate."""
        return self.spent - self.given_back

    def minus(self, older: AccountTotals) -> AccountTotals:
        """Return the difference of each counter since ``older``."""
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
