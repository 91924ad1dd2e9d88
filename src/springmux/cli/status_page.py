"""Human-readable output of ``springmux status``: one node's view of itself and of the fleet."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import typer

from springmux.cli.output import print_table

NAME_WIDTH = 9


def print_status(document: dict[str, Any]) -> None:
    """Print the response of ``GET /v1/status``."""
    node = document["node"]
    state = "ready" if document["ready"] else f"not ready: {document['reason']}"
    typer.echo(f"{node['node']} in zone {node['zone']}: {state}")
    for name, text in _summary(node):
        typer.echo(f"  {name:<{NAME_WIDTH}} {text}")
    if document.get("replica_stopped"):
        typer.echo(f"  replica stopped: {document['replica_stopped']}")
        typer.echo(f"  do: {document['replica_action']}")
    typer.echo("")
    _print_peers(node["peers"])
    if node["replica"] is not None:
        typer.echo("")
        _print_controllers(node["replica"])


def _summary(node: dict[str, Any]) -> Iterator[tuple[str, str]]:
    leader = "this node" if node["leading"] else node["leader"] or "none known"
    yield (
        "control",
        f"revision {node['revision']}, configuration {node['configuration_version']},"
        f" term {node['term']}, leader {leader}",
    )
    contact = node["contact"]
    yield (
        "contact",
        f"hears {contact['fresh_nodes']} of {contact['known_nodes']} known nodes, itself included",
    )
    claims = node["claims"]
    synchronized = "synchronized" if claims["synchronized"] else "not yet synchronized"
    yield "claims", f"{claims['held_keys']} held, ring of {claims['ring_size']}, {synchronized}"
    counts = node["engines"]["counts"]
    yield "engines", ", ".join(f"{count} {status}" for status, count in sorted(counts.items())) or "none"
    yield "requests", _request_counts(node["router"])


def _request_counts(router: dict[str, Any]) -> str:
    running, queued, shed = (sum(router[name].values()) for name in ("in_flight", "queued", "sheds"))
    return (
        f"{running} running, {queued} queued; so far {router['requests']} taken,"
        f" {router['retries']} retried, {shed} shed"
    )


def _print_peers(peers: list[dict[str, Any]]) -> None:
    rows = [
        (
            peer["node"],
            peer["zone"],
            peer["status"],
            "yes" if peer["ready"] else "no",
            "yes" if peer["controller"] else "no",
            peer["revision"],
            peer["client_address"],
            peer["admin_address"],
        )
        for peer in peers
    ]
    print_table(("PEER", "ZONE", "STATUS", "READY", "CONTROLLER", "REVISION", "CLIENT", "ADMIN"), rows)


def _print_controllers(replica: dict[str, Any]) -> None:
    """Print the group's members; ``springmux controller`` commands need their replica ids."""
    # Structs are encoded as arrays, as between peers: (members,), each member (replica, node, voter).
    members = replica["members"][0] if replica["members"] else []
    rows = [
        (
            identity,
            node,
            "voter" if voter else "learner",
            "leads" if identity == replica["leader"] else "",
            "this node" if identity == replica["replica"] else "",
        )
        for identity, node, voter in members
    ]
    print_table(("REPLICA", "NODE", "ROLE", "", ""), rows)
