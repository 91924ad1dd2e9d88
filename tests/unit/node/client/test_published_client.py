"""The published client library of the chat completions API works against the client listener."""

import asyncio
import json

import openai

from tests.unit.node.support import (
    KEY,
    STREAM,
    ClientListenerNode,
    EngineRequest,
    chunk,
    engine_head,
    running_node,
    scripted_engine,
    stream_events,
)

MESSAGES = [{"role": "user", "content": "a caption, please"}]


def openai_client(node: ClientListenerNode, key: str = KEY) -> openai.AsyncOpenAI:
    address = node.settings.client_address
    return openai.AsyncOpenAI(base_url=f"http://{address}/v1", api_key=key, max_retries=0)


async def stream(request: EngineRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(engine_head(request.request_id, STREAM))
    for event in stream_events(request.request_id, chunk_count=4, text="ab "):
        writer.write(chunk(event))
    writer.write(b"0\r\n\r\n")


async def broken_stream(request: EngineRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(engine_head(request.request_id, STREAM))
    for event in stream_events(request.request_id, chunk_count=4)[:2]:
        writer.write(chunk(event))
    await writer.drain()
    writer.close()


async def complete_response(request: EngineRequest, writer: asyncio.StreamWriter) -> None:
    message = {"role": "assistant", "content": "done"}
    usage = {"prompt_tokens": 3, "completion_tokens": 1, "total_tokens": 4}
    choice = {"index": 0, "message": message, "finish_reason": "stop"}
    response = {
        "id": request.request_id,
        "object": "chat.completion",
        "created": 1,
        "model": "chat",
        "choices": [choice],
        "usage": usage,
    }
    body = json.dumps(response).encode()
    head = f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
    writer.write(engine_head(request.request_id, head) + body)


async def test_stream_is_received_completely() -> None:
    async with running_node() as node, scripted_engine(stream) as engine, openai_client(node) as client:
        node.agent.add_engine(engine.address)
        response = await client.chat.completions.create(model="chat", messages=MESSAGES, stream=True)
        parts = [part async for part in response]
    assert [part.choices[0].delta.content for part in parts] == ["ab "] * 4
    assert [part.choices[0].finish_reason for part in parts] == [None, None, None, "stop"]


async def test_response_without_streaming_is_received() -> None:
    async with (
        running_node() as node,
        scripted_engine(complete_response) as engine,
        openai_client(node) as client,
    ):
        node.agent.add_engine(engine.address)
        response = await client.chat.completions.create(model="chat", messages=MESSAGES)
    assert response.choices[0].message.content == "done"
    assert response.usage is not None
    assert response.usage.total_tokens == 4


async def test_broken_stream_raises_an_error_in_the_client_library() -> None:
    received_parts = 0
    failed = False
    async with (
        running_node() as node,
        scripted_engine(broken_stream) as engine,
        openai_client(node) as client,
    ):
        node.agent.add_engine(engine.address)
        response = await client.chat.completions.create(model="chat", messages=MESSAGES, stream=True)
        try:
            async for part in response:
                received_parts += 1
                assert part.choices[0].finish_reason is None
        except openai.APIError as error:
            failed = True
            assert error.code == "engine_broke_off"
    assert (received_parts, failed) == (2, True)


async def test_refusals_raise_the_exceptions_of_the_client_library() -> None:
    async with running_node() as node:
        async with openai_client(node, key="wrong") as client_with_unknown_key:
            try:
                await client_with_unknown_key.chat.completions.create(model="chat", messages=MESSAGES)
            except openai.AuthenticationError as error:
                assert error.code == "unknown_key"
            else:
                raise AssertionError("a wrong key was accepted")
        async with openai_client(node) as client:
            try:
                await client.chat.completions.create(model="nothing", messages=MESSAGES)
            except openai.NotFoundError as error:
                assert error.code == "unknown_route"
            else:
                raise AssertionError("an unknown route was accepted")
            assert [model.id for model in (await client.models.list()).data]
