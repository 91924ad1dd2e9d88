"""Digests merge in any order, subtraction undoes a merge, and their size is bounded."""

from __future__ import annotations

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from springmux.rollout.judgement.digest import EMPTY_DIGEST, EvidenceDigest, merge, merge_all, subtract
from springmux.rollout.outcome import Ending
from tests.unit.rollout.judgement.support import CANDIDATE, STABLE, new_table, outcome

step = st.tuples(
    st.sampled_from([STABLE, CANDIDATE]),
    st.sampled_from(list(Ending)),
    st.sampled_from(["a", "b", "c"]),
    st.sampled_from(["caption-hint", "dossier-draft"]),
    st.floats(0.01, 1.0),
)


@st.composite
def digests(draw: st.DrawFn) -> EvidenceDigest:
    table = new_table()
    now = 0.0
    for version, ending, engine, route, latency in draw(st.lists(step, max_size=40)):
        now += 1.5
        table.record(outcome(version, ending=ending, engine=engine, route=route, first_token_s=latency), now)
    return table.digest()


@settings(derandomize=True, max_examples=60)
@given(digests(), digests(), digests())
def test_merge_is_associative_and_commutative(
    a: EvidenceDigest, b: EvidenceDigest, c: EvidenceDigest
) -> None:
    assert merge(a, merge(b, c)) == merge(merge(a, b), c) == merge_all((c, a, b))
    assert merge(a, b) == merge(b, a)
    assert merge(a, EMPTY_DIGEST) == a


@settings(derandomize=True, max_examples=60)
@given(digests(), digests())
def test_subtract_undoes_merge(a: EvidenceDigest, b: EvidenceDigest) -> None:
    assert subtract(merge(a, b), b) == a
    assert merge(subtract(a, b), b) == a


@settings(derandomize=True, max_examples=30)
@given(digests())
def test_a_digest_is_unchanged_by_encoding_and_decoding(digest: EvidenceDigest) -> None:
    assert msgspec.msgpack.decode(msgspec.msgpack.encode(digest), type=EvidenceDigest) == digest


def test_the_digest_of_two_routes_is_small_and_that_of_many_routes_is_bounded() -> None:
    # Two routes over a whole rollout on nine candidate engines.
    table = new_table()
    for index in range(6000):
        version = CANDIDATE if index % 3 == 0 else STABLE
        ending = Ending.ERROR_STATUS if index % 7 == 0 else Ending.WHOLE
        route = ("fault-digest", "stock-query")[index % 2]
        latency = 0.01 + index % 11 / 10
        engine = f"engine-{index % 9}"
        table.record(
            outcome(version, ending=ending, engine=engine, route=route, first_token_s=latency), index / 100
        )
    assert len(msgspec.msgpack.encode(table.digest())) < 1500
    # With hundreds of routes the digest still keeps eight.
    for index in range(300):
        table.record(outcome(CANDIDATE, route=f"route-{index}"), 60.0)
    assert len(table.digest().routes) == 8
