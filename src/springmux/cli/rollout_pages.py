"""Human-readable output of ``springmux rollout template``, ``plan`` and ``status``."""

from __future__ import annotations

from typing import Any

import typer

from springmux.cli.output import print_table


def print_templates(templates: list[dict[str, Any]]) -> None:
    """Print the response of ``GET /v1/templates``: each template with its parameters."""
    for number, template in enumerate(templates):
        if number:
            typer.echo("")
        typer.echo(f"{template['name']}: {template.get('description', '')}")
        rows = [
            (
                parameter["name"],
                parameter["type"],
                _cell(parameter.get("default")),
                _cell(parameter.get("minimum")),
                _cell(parameter.get("maximum")),
                parameter.get("description", ""),
            )
            for parameter in template["parameters"]
        ]
        print_table(("PARAMETER", "TYPE", "DEFAULT", "MIN", "MAX", "MEANING"), rows)


def _cell(value: Any) -> str:
    if value is None or value == []:
        return "-"
    return f"{value:g}" if isinstance(value, float) else str(value)


def print_plan(preview: dict[str, Any]) -> None:
    """Print the response of ``POST /v1/rollouts/preview``: the steps and a bad version's exposure."""
    plan, schedule = preview["plan"], preview["schedule"]
    typer.echo(
        f"{plan['service']} to {plan['candidate']} by template {plan['template']}:"
        f" done after {schedule['done_s']:g} s of {plan['by_s']:g} s"
        f" at {preview['prompts_per_s']:.1f} prompts/s"
    )
    rows = [
        (f"{step['start_s']:g} s", f"{step['end_s']:g} s", f"{step['weight']:.0%}")
        for step in schedule["steps"]
    ]
    print_table(("FROM", "TO", "WEIGHT"), rows)
    typer.echo(
        f"a bad version gets at most {preview['worst_bad_prompts']} prompts"
        f" ({preview['expected_prompts']} expected in all, bound {preview['exposure_bound']})"
    )
    for warning in preview["warnings"]:
        typer.echo(f"warning: {warning}")


def record_of(status_document: dict[str, Any]) -> dict[str, Any]:
    """Return a rollout's record; the status document contains it or is itself the record."""
    record = status_document.get("record")
    return record if isinstance(record, dict) else status_document


def print_rollouts(status_documents: list[dict[str, Any]]) -> None:
    """Print the response of ``GET /v1/rollouts``: one line per service."""
    rows = [
        (record["service"], record["stable"], record["candidate"], record["phase"], record["weight"])
        for record in map(record_of, status_documents)
    ]
    print_table(("SERVICE", "STABLE", "CANDIDATE", "PHASE", "WEIGHT"), rows)


def print_rollout(status_document: dict[str, Any]) -> None:
    """Print the response of ``GET /v1/rollouts/SERVICE``: progress and the decision, if one was made."""
    record = record_of(status_document)
    # After a successful rollout the candidate is the stable version.
    stable = "" if record["stable"] == record["candidate"] else f"{record['stable']} "
    status = status_document.get("status") or {}
    sent = f" sent {status['sent']} of {status['prompts']} prompts" if status else ""
    typer.echo(
        f"{record['service']}: {stable}-> {record['candidate']} {record['phase']}"
        f" weight {record['weight']:.2f} step {record.get('step', 0)}"
        f" elapsed {record.get('elapsed_s', 0.0):.1f} s{sent}"
    )
    decision = record.get("decision")
    if decision:
        typer.echo(f"  {decision['decided_by']}: {decision['reason']} {decision.get('figures', '')}".rstrip())
