"""Human-readable output of ``springmux gateway status``: a gateway node's view of itself and of the fleet."""

from __future__ import annotations

from typing import Any

import typer

from springmux.cli.output import print_table

NAME_WIDTH = 13


def print_gateway_status(document: dict[str, Any]) -> None:
    """Print the response of ``GET /v1/gateway/status``."""
    state = "ready" if document["ready"] else f"not ready: {document['reason']}"
    typer.echo(f"{document['node']} in zone {document['zone']}: {state}")
    version, contact = document["configuration_version"], document["contact"]
    lines = {
        "configuration": f"version {version}" if version else "none known",
        "control": (
            f"revision {document['revision']}, role {document['role']}, term {document['term']},"
            f" leader {document['leader'] or 'none known'}"
        ),
        "contact": f"hears {contact['heard_nodes']} of {contact['known_nodes']} known nodes, itself included",
    }
    if document["replica_stopped"]:
        lines["replica"] = f"stopped: {document['replica_stopped']}"
    for name, text in lines.items():
        typer.echo(f"  {name:<{NAME_WIDTH}} {text}")
    typer.echo("")
    _print_engines(document["engines"])
    if document["rollouts"]:
        typer.echo("")
        _print_rollouts(document["rollouts"])


def _print_engines(engines: list[dict[str, Any]]) -> None:
    if not engines:
        typer.echo("no engine is known; check that the engines' heartbeats are acknowledged")
        return
    rows = [(group["service"], group["version"], group["state"], group["engines"]) for group in engines]
    print_table(("SERVICE", "VERSION", "STATE", "ENGINES"), rows)


def _print_rollouts(rollouts: list[dict[str, Any]]) -> None:
    rows = [(rollout["service"], rollout["candidate"], rollout["state"]) for rollout in rollouts]
    print_table(("SERVICE", "CANDIDATE", "ROLLOUT"), rows)
