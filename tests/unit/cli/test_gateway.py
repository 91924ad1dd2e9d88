"""Operators' commands for gateway nodes against a scripted control listener."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from springmux.cli import client, gateway
from springmux.cli.exit_codes import ExitCode
from tests.unit.cli.support import DEAD_ADMIN, run, scripted_admin

CONFIGURATION = {
    "version": 4,
    "routes": [{"name": "pages", "host": "www.example", "path_prefix": "/", "service": "pages"}],
    "services": [{"name": "pages"}],
}
STATUS = {
    "node": "n1", "zone": "z1", "ready": False, "reason": "fetching the directory of engines",
    "configuration_version": 4, "revision": 9, "role": "voter", "leader": "n2", "term": 3,
    "replica_stopped": "",
    "contact": {"connected": True, "known_nodes": 3, "heard_nodes": 2},
    "engines": [
        {"service": "pages", "version": "p1", "state": "ready", "engines": 4},
        {"service": "pages", "version": "p1", "state": "lost", "engines": 1},
    ],
    "rollouts": [{"service": "pages", "candidate": "p2", "state": "running"}],
}  # fmt: skip


@pytest.fixture(autouse=True)
def no_pauses(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(client.AdminClient.__init__, "__defaults__", ("operator", 12.0, 3, lambda _: None))
    monkeypatch.setattr(gateway, "WATCH_PERIOD_S", 0.0)


@pytest.fixture
def file(tmp_path: Path) -> Path:
    written = tmp_path / "gateway.json"
    written.write_text(json.dumps(CONFIGURATION))
    return written


def test_status_says_why_a_node_is_not_ready_and_what_it_knows() -> None:
    """Given a node that still fetches engines, the page names the reason and the node's figures."""
    with scripted_admin({"GET /v1/gateway/status": (200, STATUS)}) as node:
        shown = run("gateway", "status", "--control", node.address)
        as_json = run("gateway", "status", "--control", node.address, "--json")
    assert shown.exit_code == ExitCode.OK
    for line in (
        "n1 in zone z1: not ready: fetching the directory of engines",
        "configuration version 4",
        "control       revision 9, role voter, term 3, leader n2",
        "contact       hears 2 of 3 known nodes",
    ):
        assert line in shown.stdout
    rows = [line.split() for line in shown.stdout.splitlines()]
    assert ["pages", "p1", "ready", "4"] in rows
    assert ["pages", "p1", "lost", "1"] in rows
    assert ["pages", "p2", "running"] in rows
    assert json.loads(as_json.stdout) == STATUS


def test_status_of_a_node_that_knows_nothing_yet() -> None:
    """Given no configuration, leader or engine and a stopped replica, the page says each."""
    nothing = {
        **STATUS, "configuration_version": 0, "leader": None, "engines": [], "rollouts": [],
        "replica_stopped": "corrupt log",
    }  # fmt: skip
    with scripted_admin({"GET /v1/gateway/status": (200, nothing)}) as node:
        shown = run("gateway", "status", "--control", node.address).stdout
    for text in (
        "configuration none known",
        "leader none known",
        "stopped: corrupt log",
        "no engine is known",
    ):
        assert text in shown


def test_the_configuration_in_force_is_printed_whole() -> None:
    with scripted_admin({"GET /v1/gateway/configuration": (200, CONFIGURATION)}) as node:
        result = run("gateway", "configuration", "--control", node.address)
    assert json.loads(result.stdout) == CONFIGURATION


def test_a_put_sends_the_files_bytes_with_the_version_it_builds_on(file: Path) -> None:
    """Given a first node that hangs up, the next one gets the same bytes under the same version."""
    with (
        scripted_admin({"PUT /v1/gateway/configuration": None}) as unresponsive,
        scripted_admin({"PUT /v1/gateway/configuration": (200, {})}) as good,
    ):
        at = ("--control", unresponsive.address, "--control", good.address)
        result = run("gateway", "put", str(file), "--builds-on", "3", *at)
        assert result.exit_code == ExitCode.OK, result.output
        assert "on top of version 3: accepted" in result.stdout
        (first,), (second,) = unresponsive.requests, good.requests
        assert first.if_match == second.if_match == "3"
        assert first.body == second.body == CONFIGURATION


@pytest.mark.parametrize(
    ("status", "document", "exit_code", "said"),
    [
        (
            412,
            {"code": "version_conflict", "message": "builds on 3, the present one is 4"},
            ExitCode.CONFLICT,
            ["version_conflict: builds on 3, the present one is 4", "read the version in force"],
        ),
        (
            400,
            {
                "code": "invalid_configuration",
                "message": "m",
                "errors": [{"path": "routes[0].kind", "message": "bad"}],
            },
            ExitCode.INVALID,
            ["routes[0].kind: bad"],
        ),
        (413, {"code": "body_too_large", "message": "too large"}, ExitCode.INVALID, ["too large"]),
        (503, {"code": "no_quorum", "message": "send it again"}, ExitCode.FAILED, ["send it again"]),
        (500, None, ExitCode.FAILED, ["status 500"]),
    ],
)
def test_refusals_say_what_was_wrong_and_what_to_do(
    file: Path, status: int, document: Any, exit_code: ExitCode, said: list[str]
) -> None:
    with scripted_admin({"PUT /v1/gateway/configuration": (status, document)}) as node:
        result = run("gateway", "put", str(file), "--builds-on", "3", "--control", node.address)
    assert result.exit_code == exit_code
    assert "Traceback" not in result.output
    for text in said:
        assert text in result.stderr


def test_validate_works_without_a_node_and_names_the_error_of_each_item(file: Path, tmp_path: Path) -> None:
    assert run("gateway", "validate", str(file)).exit_code == ExitCode.OK
    wrong = tmp_path / "wrong.json"
    route = CONFIGURATION["routes"][0]  # type: ignore[index]
    routes = [{**route, "kind": "pony"}, {**route, "name": "other", "timeout_ms": 0}]
    wrong.write_text(json.dumps({**CONFIGURATION, "routes": routes}))
    result = run("gateway", "validate", str(wrong))
    as_json = run("gateway", "validate", str(wrong), "--json")
    assert result.exit_code == as_json.exit_code == ExitCode.INVALID
    paths = [error["path"] for error in json.loads(as_json.stdout)["errors"]]
    assert paths == ["routes.pages.kind", "routes.other.timeout_ms"]
    assert all(path in result.stderr for path in paths)


@pytest.mark.parametrize("content", [None, "{", "\ufffe"])
def test_unreadable_files_are_the_users_mistake_without_traceback(
    content: str | None, tmp_path: Path
) -> None:
    unreadable = tmp_path / "file.json"
    if content is not None:
        unreadable.write_bytes(content.encode("utf-16"))
    result = run("gateway", "validate", str(unreadable))
    assert result.exit_code == ExitCode.INVALID
    assert str(unreadable) in result.stderr
    assert "Traceback" not in result.output


def test_a_rollout_is_ordered_and_watched_to_its_end() -> None:
    def state(name: str) -> tuple[int, Any]:
        return 200, {"state": name, "candidate": "p2"}

    answers = {
        "POST /v1/gateway/rollouts": (200, {}),
        "GET /v1/gateway/rollouts/pages": [state("running"), state("aborted")],
    }
    with scripted_admin(answers) as node:
        at = ("--control", node.address)
        begun = run("gateway", "promote", "pages", "--candidate", "p2", "--by-s", "60", *at)
        assert begun.exit_code == ExitCode.OK
        assert node.requests[0].body == {"service": "pages", "candidate": "p2", "by_s": 60.0}
        watched = run("gateway", "rollout", "pages", "--watch", *at)
    assert watched.exit_code == ExitCode.FAILED
    assert watched.stdout.splitlines() == ["pages: running, candidate p2", "pages: aborted, candidate p2"]


def test_a_rollout_that_is_not_there() -> None:
    answer = (404, {"code": "not_found", "message": "there is no rollout of 'pages'"})
    with scripted_admin({"GET /v1/gateway/rollouts/pages": answer}) as node:
        result = run("gateway", "rollout", "pages", "--watch", "--control", node.address)
    assert result.exit_code == ExitCode.FAILED
    assert "there is no rollout of 'pages'" in result.stderr


@pytest.mark.parametrize("document", [None, [], {"hello": "world"}])
def test_a_server_that_is_no_control_listener_is_said_to_be_none(file: Path, document: Any) -> None:
    """Given answers of another server, no command takes them for a node's, and none ends with a traceback."""
    commands = (
        (("status",), "GET /v1/gateway/status"),
        (("configuration",), "GET /v1/gateway/configuration"),
        (("rollout", "pages"), "GET /v1/gateway/rollouts/pages"),
        (("put", str(file), "--builds-on", "0"), "PUT /v1/gateway/configuration"),
        (("promote", "pages", "--candidate", "p2", "--by-s", "9"), "POST /v1/gateway/rollouts"),
    )
    with scripted_admin({request: (200, document) for _, request in commands}) as server:
        for words, request in commands:
            if isinstance(document, dict) and not request.startswith("GET"):
                continue  # the answer of a taken order has no member that it must have
            result = run("gateway", *words, "--control", server.address)
            assert result.exit_code == ExitCode.FAILED, words
            assert f"what answers at {server.address} is no gateway's control listener" in result.stderr
            assert isinstance(result.exception, SystemExit)


@pytest.mark.parametrize("address", ["a b:1", "http://127.0.0.1:1", "127.0.0.1", "127.0.0.1:x"])
def test_a_wrong_address_is_the_users_mistake_without_traceback(address: str) -> None:
    result = run("gateway", "status", "--control", address)
    assert result.exit_code == ExitCode.UNREACHABLE
    assert address in result.stderr


def test_no_node_reachable_names_the_option() -> None:
    result = run("gateway", "status", "--control", DEAD_ADMIN)
    assert result.exit_code == ExitCode.UNREACHABLE
    assert DEAD_ADMIN in result.stderr
    assert "--control" in result.stderr
    assert run("gateway", "status").exit_code == ExitCode.INVALID
