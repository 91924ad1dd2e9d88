"""The published client library for the chat-completions shape, tried against the client listener."""

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


def client_of(bench: ClientListenerNode, key: str = KEY) -> openai.AsyncOpenAI:
    address = bench.settings.client_address
    return openai.AsyncOpenAI(base_url=f"http://{address}/v1", api_key=key, max_retries=0)


async def stream(request: EngineRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(engine_head(request.request_id, STREAM))
    for event in stream_events(request.request_id, pieces=4, text="ab "):
        writer.write(chunk(event))
    writer.write(b"0\r\n\r\n")


async def broken_stream(request: EngineRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(engine_head(request.request_id, STREAM))
    for event in stream_events(request.request_id, pieces=4)[:2]:
        writer.write(chunk(event))
    await writer.drain()
    writer.close()


async def whole(request: EngineRequest, writer: asyncio.StreamWriter) -> None:
    message = {"role": "assistant", "content": "done"}
    usage = {"prompt_tokens": 3, "completion_tokens": 1, "total_tokens": 4}
    choice = {"index": 0, "message": message, "finish_reason": "stop"}
    answer = {
        "id": request.request_id,
        "object": "chat.completion",
        "created": 1,
        "model": "chat",
        "choices": [choice],
        "usage": usage,
    }
    body = json.dumps(answer).encode()
    head = f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
    writer.write(engine_head(request.request_id, head) + body)


async def test_a_stream_comes_whole() -> None:
    async with running_node() as bench, scripted_engine(stream) as engine, client_of(bench) as client:
        bench.agent.add_engine(engine.address)
        answer = await client.chat.completions.create(model="chat", messages=MESSAGES, stream=True)
        pieces = [piece async for piece in answer]
    assert [piece.choices[0].delta.content for piece in pieces] == ["ab "] * 4
    assert [piece.choices[0].finish_reason for piece in pieces] == [None, None, None, "stop"]


async def test_an_answer_in_one_piece() -> None:
    async with running_node() as bench, scripted_engine(whole) as engine, client_of(bench) as client:
        bench.agent.add_engine(engine.address)
        answer = await client.chat.completions.create(model="chat", messages=MESSAGES)
    assert answer.choices[0].message.content == "done"
    assert answer.usage is not None
    assert answer.usage.total_tokens == 4


async def test_a_broken_stream_is_an_error_of_the_client_and_not_an_end() -> None:
    seen = 0
    failed = False
    async with running_node() as bench, scripted_engine(broken_stream) as engine, client_of(bench) as client:
        bench.agent.add_engine(engine.address)
        answer = await client.chat.completions.create(model="chat", messages=MESSAGES, stream=True)
        try:
            async for piece in answer:
                seen += 1
                assert piece.choices[0].finish_reason is None
        except openai.APIError as error:
            failed = True
            assert error.code == "engine_broke_off"
    assert (seen, failed) == (2, True)


async def test_refusals_are_the_clients_own_exceptions() -> None:
    async with running_node() as bench:
        async with client_of(bench, key="wrong") as stranger:
            try:
                await stranger.chat.completions.create(model="chat", messages=MESSAGES)
            except openai.AuthenticationError as error:
                assert error.code == "unknown_key"
            else:
                raise AssertionError("a wrong key was taken")
        async with client_of(bench) as client:
            try:
                await client.chat.completions.create(model="nothing", messages=MESSAGES)
            except openai.NotFoundError as error:
                assert error.code == "unknown_route"
            else:
                raise AssertionError("an unknown route was taken")
            assert [model.id for model in (await client.models.list()).data]
