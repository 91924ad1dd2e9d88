"""Streams whose event ids rise by more than one must reach their end on a route that may be resumed."""

from __future__ import annotations

import asyncio
import contextlib
from pathlib import Path

from kit2.fleet import Fleet, Record, free_ports
from kit2.parties import Engine, Operator, configuration, read_body, read_head, ready, until
from kit2.script import TROUBLE, CouldNotRunError, run_case

ENGINES = 3
EVENTS = 6
STEP = 6 if TROUBLE else 1
"""By how much the ids rise: an event holds six tokens (the sheet of dvs-mux), and its id counts them."""
REQUESTS = 12
MOST_CUT = 3
"""The rule: more than three times."""
HOST = "127.0.68.200"


class StreamingEngine(Engine):
    """Answers with a stream of events, and continues after ``Last-Event-Id``."""

    async def answer(self, request: str, headers: dict[str, str], writer: asyncio.StreamWriter) -> None:
        """Send the events after the last one that the caller has."""
        last = int(headers.get("last-event-id", "0"))
        self.record.write(f"engine {self.identity}: runs {request}, continues after event {last}")
        head = f"HTTP/1.1 200 OK\r\nX-Springmux-Request-Id: {request}\r\nContent-Type: text/event-stream\r\n"
        head += f"X-Springmux-Response-Seal: seal.{request}\r\nTransfer-Encoding: chunked\r\n\r\n"
        writer.write(head.encode())
        for number in range(1, EVENTS + 1):
            if number * STEP <= last:
                continue
            event = f"id: {number * STEP}\ndata: piece {number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(0.03)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        self.record.write(f"engine {self.identity}: {request} is whole")


async def client(address: tuple[str, int], number: int, record: Record) -> bool:
    """Keep a connection for two requests; return whether the second, a stream, came whole."""
    reader, writer = await asyncio.open_connection(*address)
    try:
        for kind, path in (("pay", "/pay/x"), ("ask", "/ask/x")):
            lines = f"POST {path} HTTP/1.1\r\nHost: svc.example\r\nContent-Length: 1\r\n"
            lines += f"X-Springmux-Request-Id: {kind}-{number:04d}\r\nX-Springmux-Deadline-Ms: 4000\r\n\r\nx"
            writer.write(lines.encode())
            first, headers = await asyncio.wait_for(read_head(reader), 5)
            body = await asyncio.wait_for(read_body(reader, headers), 5)
            record.write(
                f"client {number}: {kind}-{number:04d} gets {first.split()[1]}, {len(body)} bytes, whole"
            )
            if first.split()[1] != "200":
                return kind == "ask"  # an answer, though not a success
        return True
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        record.write(f"client {number}: the connection ends without a whole answer ({type(error).__name__})")
        return False
    finally:
        writer.close()
        with contextlib.suppress(OSError):
            await writer.wait_closed()


async def play(fleet: Fleet, record: Record) -> bool:
    """Return whether at most ``MOST_CUT`` connections were closed on a stream of a sound engine."""
    fleet.start()
    operator = Operator(fleet, record)
    config = configuration(5)
    stream = {"name": "r-ask", "path_prefix": "/ask/", "kind": "stream", "resumable": True, "service": "ask"}
    stream |= {"max_attempts": 2, "timeout_ms": 4000, "gap_target_ms": 400, "sticky": True}
    config["routes"].append(config["routes"][0] | stream)
    config["services"].append(config["services"][0] | {"name": "ask"})
    if await operator.put(config, 20) != 200:
        raise CouldNotRunError("the first configuration was not taken")
    ports = free_ports([HOST], ENGINES + 1)
    engines: list[Engine] = [
        StreamingEngine(fleet, record, f"i-ask{number}", (HOST, ports[number]), service="ask")
        for number in range(ENGINES)
    ]
    engines.append(Engine(fleet, record, "i-pay", (HOST, ports[-1])))
    for engine in engines:
        await engine.start()
    for node in fleet.nodes:
        if not await until(lambda node=node: ready(node), 10):
            raise CouldNotRunError(f"{node.name} is not ready")
    await asyncio.sleep(4.0)
    whole = [await client(fleet.nodes[n % 3].front, n, record) for n in range(REQUESTS)]
    for engine in engines:
        await engine.stop()
    record.write(f"streams that did not come whole: {whole.count(False)} of {REQUESTS}")
    return whole.count(False) <= MOST_CUT


if __name__ == "__main__":
    run_case(Path(__file__).parent, lambda: Fleet(disks=3, plain=0, subnet=68), play)
