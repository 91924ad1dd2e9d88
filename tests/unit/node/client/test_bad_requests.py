"""Bad input at the client listener gets a typed error and reaches no engine."""

import asyncio
import json

import pytest

from tests.unit.node.support import (
    KEY,
    RawResponse,
    call_request,
    chat_request,
    connect_raw_client,
    make_view,
    running_node,
    send_request,
    until,
)


@pytest.mark.parametrize(
    ("reason", "status"), [("", 200), ("cut off", 503), ("stopping", 503)], ids=["ready", "cut off", "stop"]
)
async def test_client_listener_serves_readiness_and_health_checks(reason: str, status: int) -> None:
    async with running_node() as node:
        node.agent.ready, node.agent.not_ready_reason = not reason, reason
        node.health.stopping = reason == "stopping"
        async with connect_raw_client(node.settings.client_address) as client:
            for _ in range(2):
                ready = await client.send_request(b"GET /readyz HTTP/1.1\r\nHost: n\r\n\r\n")
                assert (ready.status, json.loads(ready.body)) == (
                    status,
                    {"ready": not reason, "reason": reason},
                )
            alive = await client.send_request(b"GET /healthz HTTP/1.1\r\nHost: n\r\n\r\n")
            assert (alive.status, alive.body) == (200, b"ok\n")
        check(
            await send_request(node, b"POST /readyz HTTP/1.1\r\nHost: n\r\nContent-Length: 0\r\n\r\n"),
            404,
            "not_found",
        )


class RecordingTransport(asyncio.Transport):
    """A transport that records what a connection writes."""

    def __init__(self) -> None:
        super().__init__()
        self.written, self.closed = b"", False

    def write(self, data: bytes) -> None:  # type: ignore[override]
        self.written += data

    def is_closing(self) -> bool:
        return self.closed

    def close(self) -> None:
        self.closed = True

    abort = close

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None: ...

    def pause_reading(self) -> None: ...

    def resume_reading(self) -> None: ...


@pytest.mark.parametrize("loop_iterations", range(6))
async def test_bytes_of_a_body_are_never_counted_as_headers(loop_iterations: int) -> None:
    """Guards against a body that arrives before its handler starts and is refused as too large headers."""
    async with running_node() as node:
        assert node.listener._protocols is not None
        protocol, transport = node.listener._protocols(), RecordingTransport()
        protocol.connection_made(transport)
        await asyncio.sleep(0)
        request = chat_request(json.dumps({"model": "x", "messages": [], "fill": "x" * 40_000}).encode())
        head_end = request.index(b"\r\n\r\n") + 4
        protocol.data_received(request[:head_end])
        for _ in range(loop_iterations):
            await asyncio.sleep(0)
        protocol.data_received(request[head_end : head_end + 20_000])
        assert transport.written == b""
        assert protocol._header_timer is None
        protocol.data_received(request[head_end + 20_000 :])
        await until(lambda: bool(transport.written))
        assert b"unknown_route" in transport.written
        protocol.connection_lost(None)


def check(response: RawResponse, status: int, code: str) -> None:
    assert (response.status, response.error["code"]) == (status, code)
    assert response.error["status"] == status
    assert response.error["fate"] == "refused"
    assert response.error["node"] == "n1"
    assert response.headers["content-type"] == "application/json"


@pytest.mark.parametrize(
    ("request_bytes", "status", "code"),
    [
        (b"\x16\x03\x01 not http at all\r\n\r\n", 400, "invalid_request"),
        (b"GET / HTTP/9.x\r\n\r\n", 400, "invalid_request"),
        (b"POST /v1/chat/completions HTTP/1.1\r\nbad header\r\n\r\n", 400, "invalid_request"),
        (chat_request(b"{nonsense"), 400, "malformed_json"),
        (chat_request(b'{"model": 7}'), 400, "invalid_request"),
        (chat_request(b'{"model": "x", "messages": []}'), 404, "unknown_route"),
        (chat_request(key="unknown"), 401, "unknown_key"),
        (b"POST /v1/calls/sale HTTP/1.1\r\nHost: n\r\nContent-Length: 2\r\n\r\n{}", 401, "missing_key"),
        (b"GET /nothing HTTP/1.1\r\nHost: n\r\n\r\n", 404, "not_found"),
        (b"GET /v1/chat/completions HTTP/1.1\r\nHost: n\r\n\r\n", 405, "method_not_allowed"),
        (call_request(extra="X-Large: " + "a" * 5000 + "\r\n"), 431, "headers_too_large"),
        (b"GET /" + b"a" * 5000 + b" HTTP/1.1\r\n\r\n", 431, "headers_too_large"),
        (call_request(extra="".join(f"X-{n}: {'a' * 80}\r\n" for n in range(80))), 431, "headers_too_large"),
        (chat_request(b" " * 4097), 413, "body_too_large"),
        (
            b"POST /v1/calls/sale HTTP/1.1\r\nHost: n\r\nTransfer-Encoding: chunked\r\n\r\n"
            + b"800\r\n" + b"a" * 2048 + b"\r\n" + b"900\r\n" + b"a" * 2304 + b"\r\n0\r\n\r\n",
            413,
            "body_too_large",
        ),
        (
            b"POST /v1/calls/sale HTTP/1.1\r\nHost: n\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
            400,
            "invalid_request",
        ),
    ],
)  # fmt: skip
async def test_bad_input_is_refused_with_a_typed_error(request_bytes: bytes, status: int, code: str) -> None:
    async with running_node(max_header_bytes=4096, max_body_bytes=4096) as node:
        check(await send_request(node, request_bytes), status, code)
        assert KEY not in node.log_lines.getvalue()


async def test_headers_without_end_are_refused_at_the_size_limit() -> None:
    async with running_node(max_header_bytes=1024, header_timeout_s=300) as node:
        # Each line is within the limit; only their sum is over it.
        endless = b"GET / HTTP/1.1\r\n" + b"X-A: " + b"b" * 900 + b"\r\nX-B: " + b"b" * 900
        check(await send_request(node, endless), 431, "headers_too_large")


async def test_incomplete_headers_time_out() -> None:
    async with running_node(header_timeout_s=0.05) as node:
        check(await send_request(node, b"POST /v1/calls/sale HTTP/1.1\r\nHost:"), 408, "request_timeout")


async def test_incomplete_headers_on_a_reused_connection_time_out() -> None:
    async with (
        running_node(header_timeout_s=0.05) as node,
        connect_raw_client(node.settings.client_address) as client,
    ):
        check(await client.send_request(b"GET /nothing HTTP/1.1\r\nHost: n\r\n\r\n"), 404, "not_found")
        check(await client.send_request(b"GET /"), 408, "request_timeout")


async def test_incomplete_body_times_out_and_closes_the_connection() -> None:
    async with (
        running_node(body_timeout_s=0.05) as node,
        connect_raw_client(node.settings.client_address) as client,
    ):
        check(await client.send_request(call_request()[:-1]), 408, "request_timeout")
        assert await client.reader.read() == b""


async def test_connection_without_a_request_is_closed_without_a_response() -> None:
    async with (
        running_node(header_timeout_s=0.05) as node,
        connect_raw_client(node.settings.client_address) as client,
    ):
        assert await client.reader.read() == b""


async def test_connection_over_the_limit_is_refused_until_another_one_ends() -> None:
    async with running_node(max_connections=1) as node:
        async with connect_raw_client(node.settings.client_address) as first:
            check(await first.send_request(b"GET /x HTTP/1.1\r\nHost: n\r\n\r\n"), 404, "not_found")
            refused = await send_request(node, b"")
            check(refused, 503, "overloaded")
            assert int(refused.headers["retry-after"]) >= 1
        await until(lambda: node.metrics.value("client_connections") == 0)
        check(await send_request(node, b"GET /x HTTP/1.1\r\nHost: n\r\n\r\n"), 404, "not_found")


async def test_client_disconnect_within_a_request_leaves_nothing_in_flight() -> None:
    async with running_node() as node:
        async with connect_raw_client(node.settings.client_address) as client:
            client.writer.write(call_request()[:-1])
            await until(lambda: node.metrics.value("client_connections") == 1)
        await until(lambda: node.metrics.value("client_connections") == 0)
        assert node.metrics.value("requests_in_flight") == 0


async def test_100_continue_is_sent_before_the_body_arrives() -> None:
    async with running_node() as node, connect_raw_client(node.settings.client_address) as client:
        request = call_request(extra="Expect: 100-continue\r\n")
        client.writer.write(request[:-2])
        status, _ = await client.read_head()
        assert status == 100
        client.writer.write(request[-2:])
        assert (await client.read_response()).error["code"] == "no_engine"


async def test_list_of_models_has_prompt_routes_only() -> None:
    async with running_node(make_view()) as node:
        request = f"GET /v1/models HTTP/1.1\r\nHost: n\r\nAuthorization: Bearer {KEY}\r\n\r\n"
        response = await send_request(node, request.encode())
        assert response.status == 200
        assert b'"chat"' in response.body
        assert b'"sale"' not in response.body


async def test_pipelined_requests_are_answered_in_order() -> None:
    async with running_node() as node, connect_raw_client(node.settings.client_address) as client:
        client.writer.write(b"GET /a HTTP/1.1\r\nHost: n\r\n\r\n" + call_request(b"{"))
        first, second = await client.read_response(), await client.read_response()
        assert [first.error["code"], second.error["code"]] == ["not_found", "malformed_json"]


async def test_stopping_node_refuses_requests_on_open_connections_and_closes_them() -> None:
    async with running_node() as node, connect_raw_client(node.settings.client_address) as client:
        await client.send_request(b"GET /a HTTP/1.1\r\nHost: n\r\n\r\n")
        node.listener.stop_accepting()
        response = await client.send_request(call_request())
        check(response, 503, "stopping")
        assert response.headers["connection"] == "close"
        async with asyncio.timeout(30):
            assert await client.reader.read() == b""
