"""Operators' commands for gateway nodes against a scripted control listener."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from springmux.cli import client, gateway
from springmux.cli.exit_codes import ExitCode
from tests.unit.cli.support import UNREACHABLE_ADMIN, run, scripted_admin

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
    path = tmp_path / "gateway.json"
    path.write_text(json.dumps(CONFIGURATION))
    return path


def test_status_prints_why_a_node_is_not_ready_and_its_state() -> None:
    """The status of a node that still fetches engines contains the reason and the node's state."""
    with scripted_admin({"GET /v1/gateway/status": (200, STATUS)}) as node:
        shown = run("gateway", "status", "--control", node.address)
        json_result = run("gateway", "status", "--control", node.address, "--json")
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
    assert json.loads(json_result.stdout) == STATUS


def test_status_of_a_node_without_configuration_leader_or_engines() -> None:
    """Without configuration, leader and engines and with a stopped replica, the status reports each fact."""
    empty_status = {
        **STATUS, "configuration_version": 0, "leader": None, "engines": [], "rollouts": [],
        "replica_stopped": "corrupt log",
    }  # fmt: skip
    with scripted_admin({"GET /v1/gateway/status": (200, empty_status)}) as node:
        shown = run("gateway", "status", "--control", node.address).stdout
    for text in (
        "configuration none known",
        "leader none known",
        "stopped: corrupt log",
        "no engine is known",
    ):
        assert text in shown


def test_configuration_in_force_is_printed_completely() -> None:
    with scripted_admin({"GET /v1/gateway/configuration": (200, CONFIGURATION)}) as node:
        result = run("gateway", "configuration", "--control", node.address)
    assert json.loads(result.stdout) == CONFIGURATION


def test_put_sends_the_file_unchanged_with_its_base_version(file: Path) -> None:
    """If the first node closes the connection, the next one gets the same bytes and base version."""
    with (
        scripted_admin({"PUT /v1/gateway/configuration": None}) as unresponsive,
        scripted_admin({"PUT /v1/gateway/configuration": (200, {})}) as good,
    ):
        control_options = ("--control", unresponsive.address, "--control", good.address)
        result = run("gateway", "put", str(file), "--builds-on", "3", *control_options)
        assert result.exit_code == ExitCode.OK, result.output
        assert "on top of version 3: accepted" in result.stdout
        (first,), (second,) = unresponsive.requests, good.requests
        assert first.if_match == second.if_match == "3"
        assert first.body == second.body == CONFIGURATION


@pytest.mark.parametrize(
    ("status", "document", "exit_code", "expected_texts"),
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
def test_rejections_print_the_error_and_advice(
    file: Path, status: int, document: Any, exit_code: ExitCode, expected_texts: list[str]
) -> None:
    with scripted_admin({"PUT /v1/gateway/configuration": (status, document)}) as node:
        result = run("gateway", "put", str(file), "--builds-on", "3", "--control", node.address)
    assert result.exit_code == exit_code
    assert "Traceback" not in result.output
    for text in expected_texts:
        assert text in result.stderr


def test_validate_reports_the_error_of_each_item_without_a_node(file: Path, tmp_path: Path) -> None:
    assert run("gateway", "validate", str(file)).exit_code == ExitCode.OK
    wrong = tmp_path / "wrong.json"
    route = CONFIGURATION["routes"][0]  # type: ignore[index]
    routes = [{**route, "kind": "pony"}, {**route, "name": "other", "timeout_ms": 0}]
    wrong.write_text(json.dumps({**CONFIGURATION, "routes": routes}))
    result = run("gateway", "validate", str(wrong))
    json_result = run("gateway", "validate", str(wrong), "--json")
    assert result.exit_code == json_result.exit_code == ExitCode.INVALID
    paths = [error["path"] for error in json.loads(json_result.stdout)["errors"]]
    assert paths == ["routes.pages.kind", "routes.other.timeout_ms"]
    assert all(path in result.stderr for path in paths)


@pytest.mark.parametrize("content", [None, "{", "\ufffe"])
def test_unreadable_files_are_reported_as_invalid_input_without_a_traceback(
    content: str | None, tmp_path: Path
) -> None:
    unreadable = tmp_path / "file.json"
    if content is not None:
        unreadable.write_bytes(content.encode("utf-16"))
    result = run("gateway", "validate", str(unreadable))
    assert result.exit_code == ExitCode.INVALID
    assert str(unreadable) in result.stderr
    assert "Traceback" not in result.output


def test_rollout_is_started_and_watched_until_it_ends() -> None:
    def state(name: str) -> tuple[int, Any]:
        return 200, {"state": name, "candidate": "p2"}

    responses = {
        "POST /v1/gateway/rollouts": (200, {}),
        "GET /v1/gateway/rollouts/pages": [state("running"), state("aborted")],
    }
    with scripted_admin(responses) as node:
        control_options = ("--control", node.address)
        promoted = run("gateway", "promote", "pages", "--candidate", "p2", "--by-s", "60", *control_options)
        assert promoted.exit_code == ExitCode.OK
        assert node.requests[0].body == {"service": "pages", "candidate": "p2", "by_s": 60.0}
        watched = run("gateway", "rollout", "pages", "--watch", *control_options)
    assert watched.exit_code == ExitCode.FAILED
    assert watched.stdout.splitlines() == ["pages: running, candidate p2", "pages: aborted, candidate p2"]


def test_watching_a_missing_rollout_fails() -> None:
    response = (404, {"code": "not_found", "message": "there is no rollout of 'pages'"})
    with scripted_admin({"GET /v1/gateway/rollouts/pages": response}) as node:
        result = run("gateway", "rollout", "pages", "--watch", "--control", node.address)
    assert result.exit_code == ExitCode.FAILED
    assert "there is no rollout of 'pages'" in result.stderr


@pytest.mark.parametrize("document", [None, [], {"hello": "world"}])
def test_server_that_is_not_a_control_listener_is_reported(file: Path, document: Any) -> None:
    """No command accepts a response of another kind of server, and none ends with a traceback."""
    commands = (
        (("status",), "GET /v1/gateway/status"),
        (("configuration",), "GET /v1/gateway/configuration"),
        (("rollout", "pages"), "GET /v1/gateway/rollouts/pages"),
        (("put", str(file), "--builds-on", "0"), "PUT /v1/gateway/configuration"),
        (("promote", "pages", "--candidate", "p2", "--by-s", "9"), "POST /v1/gateway/rollouts"),
    )
    with scripted_admin({request: (200, document) for _, request in commands}) as server:
        for arguments, request in commands:
            if isinstance(document, dict) and not request.startswith("GET"):
                continue  # the response to an accepted order has no required member
            result = run("gateway", *arguments, "--control", server.address)
            assert result.exit_code == ExitCode.FAILED, arguments
            assert f"the server at {server.address} is not a gateway's control listener" in result.stderr
            assert isinstance(result.exception, SystemExit)


@pytest.mark.parametrize("address", ["a b:1", "http://127.0.0.1:1", "127.0.0.1", "127.0.0.1:x"])
def test_malformed_address_is_reported_without_a_traceback(address: str) -> None:
    result = run("gateway", "status", "--control", address)
    assert result.exit_code == ExitCode.UNREACHABLE
    assert address in result.stderr


def test_unreachable_node_is_reported_with_the_option_to_set() -> None:
    result = run("gateway", "status", "--control", UNREACHABLE_ADMIN)
    assert result.exit_code == ExitCode.UNREACHABLE
    assert UNREACHABLE_ADMIN in result.stderr
    assert "--control" in result.stderr
    assert run("gateway", "status").exit_code == ExitCode.INVALID
