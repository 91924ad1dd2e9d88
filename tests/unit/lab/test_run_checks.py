"""All checks together, and the checks of the run as a whole."""

from __future__ import annotations

from springmux.lab.checks import run_checks
from springmux.lab.records import ScriptFailure
from tests.unit.lab.support import evidence, records


def test_promises_without_records_are_untested() -> None:
    verdicts = run_checks.check_all(records())
    assert {v.kept for v in verdicts if v.promise != "the fleet recovers from each fault"} == {None}


def test_script_check_reports_a_failed_step() -> None:
    failure = ScriptFailure(130.0, "node-killed", "not ready within 30 s")
    assert "node-killed at 30.0 s" in evidence(
        run_checks.script_completed(records(script_failures=[failure]))
    )
