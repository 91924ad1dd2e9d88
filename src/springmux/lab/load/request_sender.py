"""One attempt of one request at one node: send it, check the response, record the outcome."""

from __future__ import annotations

import time
from http import HTTPStatus

import aiohttp
import msgspec

from springmux.lab.load.stream_checker import StreamChecker
from springmux.lab.load.target_node import TargetNode
from springmux.lab.load.traffic import PlannedRequest
from springmux.lab.plan import TrafficPlan
from springmux.lab.records import CallRecord

CONNECT_TIMEOUT_S = 1.0
RETRY_PAUSE_S = 0.2
"""Delay before another attempt if the response has no Retry-After header."""


class Attempt(msgspec.Struct, frozen=True):
    """The record of one attempt and the delay before another one."""

    record: CallRecord
    retry_after_s: float


class RequestSender:
    """Sends requests over one session of connections.

    :param keys: the API key of each tenant.
    :param began_at_s: monotonic time from which the times of records count.
    """

    def __init__(self, session: aiohttp.ClientSession, keys: dict[str, str], began_at_s: float) -> None:
        self._session = session
        self._keys = keys
        self._began_at_s = began_at_s

    async def send(self, request: PlannedRequest, target: TargetNode, attempt: int) -> Attempt:
        """Send a request once and read its response; transport errors go into the record."""
        traffic = request.traffic
        record = self._new_record(request, target, attempt)
        retry_after_s = RETRY_PAUSE_S
        timeout = aiohttp.ClientTimeout(total=traffic.give_up_s, connect=CONNECT_TIMEOUT_S)
        url = f"http://{target.client_address}{_path(traffic)}"
        try:
            async with self._session.post(
                url, data=request.body, headers=self._headers(request), timeout=timeout
            ) as response:
                _read_headers(record, response)
                retry_after_s = float(response.headers.get("Retry-After", retry_after_s))
                await self._read_body(record, response, request)
        except aiohttp.ClientConnectorError:
            record.code, record.fate = "caller_no_connection", "refused"
        except (aiohttp.ClientError, TimeoutError, ConnectionError) as error:
            record.code, record.fate = f"caller_{type(error).__name__}", "unknown"
            record.complete = False
        record.ended_s = time.monotonic() - self._began_at_s
        return Attempt(record, retry_after_s)

    def _new_record(self, request: PlannedRequest, target: TargetNode, attempt: int) -> CallRecord:
        return CallRecord(
            route=request.traffic.route,
            kind=request.traffic.kind,
            tenant=request.tenant,
            zone=request.zone,
            node=target.node,
            at_s=time.monotonic() - self._began_at_s,
            attempt=attempt,
            action=request.action,
            requested_tokens=request.tokens,
        )

    def _headers(self, request: PlannedRequest) -> dict[str, str]:
        headers = {
            "Authorization": f"Bearer {self._keys[request.tenant]}",
            "Content-Type": "application/json",
        }
        if not _is_prompt(request.traffic):
            headers["Idempotency-Key"] = request.action
        return headers

    async def _read_body(
        self, record: CallRecord, response: aiohttp.ClientResponse, request: PlannedRequest
    ) -> None:
        if response.status != HTTPStatus.OK:
            await _read_error(record, response)
        elif _is_prompt(request.traffic):
            await self._read_stream(record, response, request)
        else:
            await _read_call(record, response, request)

    async def _read_stream(
        self, record: CallRecord, response: aiohttp.ClientResponse, request: PlannedRequest
    ) -> None:
        checker = StreamChecker(request.answer_tokens, record.request)
        last_chunk_at = 0.0
        try:
            async for data in response.content.iter_any():
                now = time.monotonic() - self._began_at_s
                if checker.feed(data) and record.first_chunk_s is None:
                    record.first_chunk_s = now - record.at_s
                last_chunk_at = now
        except aiohttp.ClientPayloadError:
            # The connection closes right after an error event, so the body is incomplete.
            if not checker.error:
                raise
        finally:
            checker.close()
            record.chunks = checker.chunks
            record.tokens = checker.tokens
            record.fault = checker.fault
        record.complete = checker.complete() and not checker.fault
        if record.complete and record.chunks > 1 and record.first_chunk_s is not None:
            record.mean_gap_s = (last_chunk_at - record.at_s - record.first_chunk_s) / (record.chunks - 1)
        if not checker.complete():
            record.code = str(checker.error.get("code", "caller_stream_ended"))
            record.fate = str(checker.error.get("fate", "failed"))
            record.reported_by_node = bool(checker.error)


def _is_prompt(traffic: TrafficPlan) -> bool:
    return traffic.kind == "prompt"


def _path(traffic: TrafficPlan) -> str:
    return "/v1/chat/completions" if _is_prompt(traffic) else f"/v1/calls/{traffic.route}"


def _read_headers(record: CallRecord, response: aiohttp.ClientResponse) -> None:
    record.status = response.status
    record.engine = response.headers.get("X-Engine", "")
    record.version = response.headers.get("X-Engine-Version", "")
    record.request = response.headers.get("X-Request-Id", "")


async def _read_error(record: CallRecord, response: aiohttp.ClientResponse) -> None:
    try:
        error = msgspec.json.decode(await response.read())["error"]
        record.code, record.fate, record.reported_by_node = error["code"], error["fate"], True
        record.engine = record.engine or error.get("engine", "")
        record.version = record.version or error.get("version", "")
    except (msgspec.DecodeError, KeyError, TypeError):
        record.fault = "error answer without the typed shape"


async def _read_call(record: CallRecord, response: aiohttp.ClientResponse, request: PlannedRequest) -> None:
    response_body = await response.json(loads=msgspec.json.decode, content_type=None)
    record.complete = True
    if response_body.get("done") is not True or response_body.get("action") != request.action:
        record.fault = "call answer is not its action's"
