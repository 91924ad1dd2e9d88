"""The command line against a scripted admin server: requests, printed output and exit codes."""

import hashlib
import json
from pathlib import Path
from typing import Any

import pytest
import typer

from springmux.cli import client, rollouts
from springmux.cli.exit_codes import ExitCode
from springmux.cli.main import application
from tests.unit.cli.support import UNREACHABLE_ADMIN, run, scripted_admin

ACCEPTED = (200, {"order": "o", "outcome": "accepted", "revision": 5, "version": 3})
CONFIGURATION = {
    "services": {"text": {"stable": "v1"}},
    "routes": {"chat": {"kind": "prompt", "service": "text", "class": "bulk"}},
}


@pytest.fixture(autouse=True)
def no_pauses(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(client.AdminClient.__init__, "__defaults__", ("operator", 12.0, 3, lambda _: None))
    monkeypatch.setattr(rollouts, "WATCH_PERIOD_S", 0.0)


@pytest.fixture
def configuration(tmp_path: Path) -> str:
    file = tmp_path / "fleet.json"
    file.write_text(json.dumps(CONFIGURATION))
    return str(file)


def test_order_without_a_response_is_retried_at_the_next_node_with_the_same_order_id(
    configuration: str,
) -> None:
    path = "PUT /v1/configuration?version=3"
    with scripted_admin({path: None}) as unresponsive, scripted_admin({path: ACCEPTED}) as good:
        result = run(
            "config", "apply", configuration, "--version", "3", "--operator", "ada",
            "--admin", UNREACHABLE_ADMIN, "--admin", unresponsive.address, "--admin", good.address,
        )  # fmt: skip
        assert result.exit_code == ExitCode.OK, result.output
        assert "accepted (revision 5, version 3)" in result.stdout
        (first,), (second,) = unresponsive.requests, good.requests
        assert first.order_id == second.order_id != ""
        assert (second.operator, second.body) == ("ada", CONFIGURATION)


def test_order_is_retried_while_a_node_has_no_quorum(configuration: str) -> None:
    refused = (503, {"error": {"code": "no_quorum", "message": "m", "fate": "refused"}})
    responses: dict[str, Any] = {
        "GET /v1/configuration": (200, {"version": 2, "revision": 4, "document": {}}),
        "PUT /v1/configuration?version=3": [refused, refused, ACCEPTED],
    }
    with scripted_admin(responses) as admin:
        result = run("config", "apply", configuration, "--admin", admin.address)
        assert result.exit_code == ExitCode.OK
        assert len({request.order_id for request in admin.requests if request.method == "PUT"}) == 1


def test_unreachable_nodes_are_reported_with_their_addresses(configuration: str) -> None:
    result = run("config", "apply", configuration, "--version", "3", "--admin", UNREACHABLE_ADMIN)
    assert result.exit_code == ExitCode.UNREACHABLE
    assert UNREACHABLE_ADMIN in result.stderr
    assert "--admin" in result.stderr


@pytest.mark.parametrize(
    ("status", "error", "exit_code", "expected_text"),
    [
        (409, {"code": "version_conflict", "message": "lost"}, ExitCode.CONFLICT, "in force instead"),
        (
            422,
            {"code": "invalid_configuration", "message": "m", "errors": [{"path": "a.b", "message": "bad"}]},
            ExitCode.INVALID,
            "a.b: bad",
        ),
        (413, {"code": "body_too_large", "message": "too large"}, ExitCode.INVALID, "too large"),
        (404, {"code": "not_found", "message": "no such"}, ExitCode.FAILED, "no such"),
        (
            504,
            {"code": "deadline_exceeded", "message": "m", "fate": "unknown"},
            ExitCode.FAILED,
            "--order-id",
        ),
    ],
)
def test_rejections_exit_with_their_codes_and_print_advice(
    configuration: str, status: int, error: dict[str, Any], exit_code: ExitCode, expected_text: str
) -> None:
    response = (status, {"error": error, "winner": {"version": 3}})
    with scripted_admin({"PATCH /v1/configuration?version=3": response}) as admin:
        arguments = ("config", "patch", configuration, "--version", "3", "--admin", admin.address)
        result = run(*arguments)
        assert result.exit_code == exit_code
        assert expected_text in result.stderr
        json_result = run(*arguments, "--json")
        assert json_result.exit_code == exit_code
        assert json.loads(json_result.stdout)["error"]["code"] == error["code"]


def test_validate_reports_every_error_without_a_node(configuration: str, tmp_path: Path) -> None:
    assert run("config", "validate", configuration).exit_code == ExitCode.OK
    wrong = tmp_path / "wrong.json"
    wrong.write_text('{"services": {"text": {}}, "routes": {"chat": {"kind": "pony"}}}')
    result = run("config", "validate", str(wrong))
    assert result.exit_code == ExitCode.INVALID
    assert "services.text.stable" in result.stderr
    assert "routes.chat.kind" in result.stderr


@pytest.mark.parametrize("content", [None, "{", "\ufffe"])
def test_unreadable_files_are_reported_as_invalid_input_without_a_traceback(
    content: str | None, tmp_path: Path
) -> None:
    file = tmp_path / "file.json"
    if content is not None:
        file.write_bytes(content.encode("utf-16"))
    result = run("config", "validate", str(file))
    assert result.exit_code == ExitCode.INVALID
    assert str(file) in result.stderr
    assert "Traceback" not in result.output


def test_config_show_diff_and_history_print_what_the_node_returns(configuration: str) -> None:
    entry = {"version": 1, "order": "o-1", "issued_by": "ada", "revision": 4}
    responses = {
        "GET /v1/configuration": (200, {"version": 1, "revision": 4, "document": CONFIGURATION}),
        "GET /v1/configuration/history": (200, [entry]),
    }
    with scripted_admin(responses) as admin:
        admin_option = ("--admin", admin.address)
        assert json.loads(run("config", "show", *admin_option).stdout) == CONFIGURATION
        assert "no difference" in run("config", "diff", configuration, *admin_option).stdout
        assert "ada" in run("config", "history", *admin_option).stdout


def test_generated_key_is_printed_and_only_its_digest_is_sent() -> None:
    with scripted_admin({"PUT /v1/keys/k1": ACCEPTED}) as admin:
        result = run("key", "put", "k1", "--tenant", "t1", "--admin", admin.address, "--json")
        key = json.loads(result.stdout)["key"]
        digest = hashlib.sha256(key.encode()).hexdigest()
        assert admin.requests[0].body == {"tenant": "t1", "digest": digest}
        assert len(key) >= 43


def test_tenant_and_key_orders_are_sent_to_their_paths() -> None:
    responses = {
        "PUT /v1/tenants/a%2Fb": ACCEPTED,
        "DELETE /v1/tenants/t1": ACCEPTED,
        "POST /v1/keys/k1/revoke": ACCEPTED,
    }
    with scripted_admin(responses) as admin:
        admin_option = ("--admin", admin.address)
        put = run("tenant", "put", "a/b", "--tokens-per-s", "10", "--burst-tokens", "20", *admin_option)
        assert put.exit_code == ExitCode.OK
        assert admin.requests[0].body == {"tokens_per_s": 10.0, "burst_tokens": 20.0, "weight": 1.0}
        assert run("tenant", "remove", "t1", *admin_option).exit_code == ExitCode.OK
        assert run("key", "revoke", "k1", *admin_option).exit_code == ExitCode.OK


@pytest.mark.parametrize(("command", "action"), [("pause", "pause"), ("hold", "pause"), ("back", "abort")])
def test_rollout_aliases_send_the_orders_of_their_commands(command: str, action: str) -> None:
    with scripted_admin({f"POST /v1/rollouts/text/{action}": ACCEPTED}) as admin:
        assert run("rollout", command, "text", "--admin", admin.address).exit_code == ExitCode.OK


def test_promote_sends_template_and_typed_parameters() -> None:
    with scripted_admin({"POST /v1/rollouts/text/promote": ACCEPTED}) as admin:
        result = run(
            "rollout", "go", "text", "--template", "careful", "--set", "candidate=v2", "--set", "by_s=90",
            "--admin", admin.address,
        )  # fmt: skip
        assert result.exit_code == ExitCode.OK
        parameters = {"service": "text", "candidate": "v2", "by_s": 90}
        assert admin.requests[0].body == {"template": "careful", "parameters": parameters}
        assert run("rollout", "go", "text", "--set", "nothing").exit_code == ExitCode.INVALID


def rollout_status(phase: str) -> tuple[int, Any]:
    record = {
        "service": "text", "stable": "v1", "candidate": "v2", "phase": phase, "weight": 0.25, "step": 1,
        "decision": {"decided_by": "n1", "reason": "errors rose"},
    }  # fmt: skip
    return 200, {"record": record, "status": {"sent": 4, "prompts": 100}}


@pytest.mark.parametrize(("final_phase", "exit_code"), [("done", ExitCode.OK), ("aborted", ExitCode.FAILED)])
def test_watch_exits_when_the_rollout_ends(final_phase: str, exit_code: ExitCode) -> None:
    responses = {"GET /v1/rollouts/text": [rollout_status("canary"), rollout_status(final_phase)]}
    with scripted_admin(responses) as admin:
        result = run("rollout", "status", "text", "--watch", "--admin", admin.address)
        assert result.exit_code == exit_code
        assert "canary" in result.stdout
        assert f"{final_phase} weight 0.25" in result.stdout
        assert "sent 4 of 100 prompts" in result.stdout


def test_report_writes_a_plot_and_a_table(tmp_path: Path) -> None:
    def sample(at_s: float, phase: str, weight: float) -> dict[str, Any]:
        evidence = {
            "candidate_total": 10, "candidate_bad": 1, "stable_total": 90, "stable_bad": 0, "passed": False
        }  # fmt: skip
        status = {
            "phase": phase, "weight": weight, "prompts": 100, "sent": 10, "evidence": evidence,
            "decision": {"reason": "errors rose"} if phase == "aborted" else None,
        }  # fmt: skip
        return {"at_s": at_s, "wall_time": 0.0, "status": status}

    samples = [sample(50.0, "canary", 0.04), sample(52.5, "aborted", 0.0)]
    responses = {
        "GET /v1/rollouts/text/history": (200, {"service": "text", "samples": samples}),
        "GET /v1/rollouts/none/history": (200, {"service": "none", "samples": []}),
    }
    with scripted_admin(responses) as admin:
        out = tmp_path / "report"
        result = run("rollout", "report", "text", "--out", str(out), "--admin", admin.address)
        assert result.exit_code == ExitCode.OK, result.output
        assert (out / "rollout.png").read_bytes().startswith(b"\x89PNG")
        table = (out / "rollout.csv").read_text().splitlines()
        assert table[2].startswith("2.5,aborted,0.0,100,10,0.1,")
        empty = run("rollout", "report", "none", "--out", str(out), "--admin", admin.address)
        assert empty.exit_code == ExitCode.FAILED


def test_engine_and_controller_commands_succeed_and_warn_of_an_unknown_engine() -> None:
    record = {"engine": "e1", "service": "text", "version": "v1", "status": "ready", "address": "127.0.0.1:9"}
    responses = {
        "GET /v1/engines": (200, {"engines": [{"record": record, "load": None}]}),
        "POST /v1/engines/drain": (204, None),
        "POST /v1/controllers/transfer": ACCEPTED,
        "POST /v1/controllers/remove": ACCEPTED,
    }
    with scripted_admin(responses) as admin:
        admin_option = ("--admin", admin.address)
        assert "e1" in run("engine", "list", *admin_option).stdout
        assert run("engine", "drain", "e1", *admin_option).exit_code == ExitCode.OK
        assert run("controller", "transfer", *admin_option).exit_code == ExitCode.OK
        assert run("controller", "remove", "r1", *admin_option).exit_code == ExitCode.OK
        unknown = run("engine", "drain", "e2", *admin_option)
        assert (unknown.exit_code, "doesn't know the engine e2" in unknown.stderr) == (ExitCode.OK, True)


def test_status_shows_the_node_its_peers_and_the_controllers() -> None:
    by_class = {"interactive": 1, "bulk": 2}
    router = {"in_flight": by_class, "queued": by_class, "sheds": by_class, "requests": 9, "retries": 0}
    peer = {
        "node": "n2", "zone": "z2", "status": "alive", "ready": False, "controller": True, "revision": 4,
        "client_address": "127.0.0.1:7", "admin_address": "127.0.0.1:8",
    }  # fmt: skip
    node = {
        "node": "n1", "zone": "z1", "revision": 5, "configuration_version": 2, "term": 3, "leader": "n2",
        "leading": False, "contact": {"fresh_nodes": 2, "known_nodes": 3},
        "engines": {"counts": {"ready": 4}},
        "claims": {"held_keys": 0, "ring_size": 3, "synchronized": True}, "router": router, "peers": [peer],
        "replica": {"replica": "r1", "leader": "r2", "members": [[["r1", "n1", False], ["r2", "n2", True]]]},
    }  # fmt: skip
    document = {
        "node": node, "ready": False, "reason": "cut off",
        "replica_stopped": "corrupt log", "replica_action": "move it away",
    }  # fmt: skip
    with scripted_admin({"GET /v1/status": (200, document)}) as admin:
        output = run("status", "--admin", admin.address).stdout
        assert json.loads(run("status", "--admin", admin.address, "--json").stdout) == document
    for line in (
        "n1 in zone z1: not ready: cut off", "revision 5, configuration 2, term 3, leader n2", "hears 2 of 3",
        "4 ready", "3 running, 3 queued; so far 9 taken", "corrupt log", "do: move it away",
    ):  # fmt: skip
        assert line in output
    rows = [line.split() for line in output.splitlines()]
    assert ["n2", "z2", "alive", "no", "yes", "4", "127.0.0.1:7", "127.0.0.1:8"] in rows
    assert ["r1", "n1", "learner", "this", "node"] in rows
    assert ["r2", "n2", "voter", "leads"] in rows


def test_templates_and_plans_are_printed_as_text() -> None:
    parameter = {"name": "by_s", "type": "duration", "default": 60.0, "minimum": 20.0, "maximum": None}
    step = {"start_s": 0.0, "end_s": 41.0, "weight": 0.04}
    preview = {
        "plan": {"service": "text", "candidate": "v2", "template": "standard", "by_s": 60.0},
        "schedule": {"done_s": 57.0, "steps": [step]}, "prompts_per_s": 10.0, "worst_bad_prompts": 20,
        "expected_prompts": 570, "exposure_bound": 57, "warnings": ["too quiet"],
    }  # fmt: skip
    responses = {
        "GET /v1/templates": (200, [{"name": "standard", "parameters": [parameter]}]),
        "POST /v1/rollouts/preview": (200, preview),
    }
    with scripted_admin(responses) as admin:
        admin_option = ("--admin", admin.address)
        listed = run("rollout", "template", *admin_option).stdout.splitlines()
        assert listed[2].split() == ["by_s", "duration", "60", "20", "-"]
        plan = run("rollout", "plan", "text", *admin_option).stdout
        assert "text to v2 by template standard: done after 57 s of 60 s at 10.0 prompts/s" in plan
        assert ["0", "s", "41", "s", "4%"] in [line.split() for line in plan.splitlines()]
        assert "at most 20 prompts" in plan
        assert "warning: too quiet" in plan
        assert json.loads(run("rollout", "plan", "text", *admin_option, "--json").stdout) == preview


def test_invalid_node_settings_are_all_reported_with_exit_code_2() -> None:
    result = run("node", "--client-address", "here:1", "--node", "n 1")
    assert result.exit_code == ExitCode.INVALID
    for field in ("client_address", "node", "zone", "peer_address", "admin_address"):
        assert f"{field}:" in result.stderr
    assert "Traceback" not in result.output


def test_doctor_reports_failed_checks_with_remedies(tmp_path: Path) -> None:
    file = tmp_path / "node.toml"
    lines = [
        'node = "n1"', 'zone = "z1"', 'client_address = "127.0.0.1:1"', 'peer_address = "192.0.2.1:7001"',
        f'admin_address = "{UNREACHABLE_ADMIN}"', f'seeds = ["{UNREACHABLE_ADMIN}"]',
        f'data_folder = "{tmp_path}"',
    ]  # fmt: skip
    file.write_text("\n".join(lines))
    result = run("doctor", "--settings", str(file), "--json")
    assert result.exit_code == ExitCode.FAILED
    results_by_check = {entry["check"]: entry for entry in json.loads(result.stdout)}
    assert not results_by_check["peer_address"]["well"]
    assert not results_by_check["seeds"]["well"]
    assert results_by_check["seeds"]["action"]
    assert results_by_check["disk sync"]["detail"].startswith("one synced write took")
    assert list(tmp_path.iterdir()) == [file]
    file.write_text("zone = 1")
    assert run("doctor", "--settings", str(file)).exit_code == ExitCode.INVALID


def test_every_command_has_help_with_an_example() -> None:
    def count_commands(command: Any, name: str) -> int:
        subcommands = getattr(command, "commands", None)
        if subcommands is not None:
            return sum(count_commands(subcommand, f"{name} {key}") for key, subcommand in subcommands.items())
        is_alias = (command.help or "").startswith("Alias of")
        assert is_alias or "Example:" in (command.help or ""), name
        return 1

    group: Any = typer.main.get_command(application)
    names = (
        "node",
        "doctor",
        "status",
        "config",
        "tenant",
        "key",
        "rollout",
        "engine",
        "controller",
        "gateway",
    )
    assert sum(count_commands(group.commands[name], name) for name in names) >= 36
    assert "4 conflict" in run("config", "--help").stdout
