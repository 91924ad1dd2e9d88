"""The quota checks pass a good run and report a planted violation."""

from __future__ import annotations

from springmux.lab.checks import quota_checks
from springmux.lab.checks.verdict import Verdict
from springmux.lab.records import QuotaWindow, TenantQuota
from tests.unit.lab.support import call, evidence, records


def test_quota_check_reports_usage_above_and_below_its_bounds() -> None:
    window = QuotaWindow("isla", 110.0, 120.0, tokens_per_s=100.0, burst_tokens=50.0)

    def verdict(tokens: int, code: str = "quota_exceeded") -> Verdict:
        calls = [
            call("a", tenant="isla", at_s=12.0, tokens=tokens, whole=True),
            call("b", tenant="isla", at_s=13.0, code=code),
            call("c", tenant="isla", at_s=25.0, tokens=5000, whole=True),
        ]
        return quota_checks.quotas_hold(records(calls=calls, quotas=[window]))

    assert verdict(1000).kept
    assert verdict(1150).kept
    assert "at most 1150" in evidence(verdict(1151))
    assert "at least 900" in evidence(verdict(899))
    assert verdict(899, code="").kept


def test_quota_check_reports_refusals_below_the_quota() -> None:
    quota = TenantQuota("isla", tokens_per_s=100.0, burst_tokens=200.0)

    def verdict(admitted: int, refused: int) -> Verdict:
        calls = [
            call("a", tenant="isla", at_s=1.0, asked_tokens=admitted, whole=True),
            *(
                call(f"b{number}", tenant="isla", at_s=1.0, asked_tokens=20, code="quota_exceeded")
                for number in range(refused)
            ),
        ]
        return quota_checks.refused_below_quota(records(calls=calls, tenants=[quota]))

    assert verdict(admitted=190, refused=6).kept
    assert verdict(admitted=100, refused=5).kept
    assert "6 refused with room, 12% of the quota" in evidence(verdict(admitted=100, refused=6))
