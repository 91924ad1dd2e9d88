"""Records keep their encoded field names, so that files of earlier runs stay readable."""

from __future__ import annotations

import msgspec
import pytest

from springmux.lab.records import CallRecord, DrainRecord, Recovery, RunRecords, ScriptFailure, StatusSample

CALL = {
    "route": "r",
    "kind": "prompt",
    "tenant": "t",
    "zone": "z",
    "node": "n",
    "at_s": 1.0,
    "sending": 2,
    "whole": True,
    "first_piece_s": 0.5,
    "pieces": 3,
    "asked_tokens": 40,
    "told": True,
}
SAMPLE = {
    "asked_at_s": 1.0,
    "at_s": 1.5,
    "node": "n",
    "answered": True,
    "ready": True,
    "revision": 3,
    "configuration_version": 2,
    "reason": "",
}
RECOVERY = {
    "began_at_s": 1.0,
    "back_at_s": 2.0,
    "changes_before": 3,
    "wanted_version": 4,
    "found_version": 4,
    "rollouts_kept": True,
}


@pytest.mark.parametrize(
    ("fields", "kind"),
    [
        (CALL, CallRecord),
        (SAMPLE, StatusSample),
        (RECOVERY, Recovery),
        ({"engine": "e", "told_at_s": 1.0, "gone_at_s": 2.0}, DrainRecord),
    ],
    ids=["call", "sample", "recovery", "drain"],
)
def test_a_record_is_read_and_written_with_its_encoded_names(
    fields: dict[str, object], kind: type[msgspec.Struct]
) -> None:
    assert msgspec.to_builtins(msgspec.convert(fields, kind)) == fields


def test_failures_of_the_script_are_encoded_as_troubles() -> None:
    failure = ScriptFailure(1.0, "restart", "not ready")
    run = RunRecords(experiment="e", began_at_s=0.0, ended_at_s=1.0, script_failures=[failure])
    assert msgspec.to_builtins(run)["troubles"] == [{"at_s": 1.0, "what": "restart", "reason": "not ready"}]
