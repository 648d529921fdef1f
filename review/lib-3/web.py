"""A small HTTP/1.1 server and client on asyncio, for the stand-ins."""

import asyncio
import dataclasses
import random
import socket
import urllib.parse

REASONS = {200: "OK", 409: "Conflict", 503: "Service Unavailable"}


@dataclasses.dataclass
class Request:
    """A request that a server has read."""

    method: str
    path: str
    query: dict
    headers: dict
    body: bytes


def free_port():
    """Returns a free port of loopback, below those of outgoing connections.

    It is drawn, so that scripts that run beside one another seldom meet.
    """
    while True:
        port = random.randrange(12_000, 32_000)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        return port


async def read_head(reader):
    """Returns the first line and the headers; None at the end."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = text.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return first, headers


class Server:
    """Serves requests with a coroutine that returns a status and a body.

    A handler that returns None gives no answer; the connection stays open and
    silent. `crash` ends all connections and listens no more.
    """

    def __init__(self, handler, port=None):
        self._handler = handler
        self._port = port
        self._server = None
        self._writers = set()
        self._tasks = set()

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self._port or free_port(), limit=1 << 20
        )
        self._port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{self._port}"

    def crash(self):
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._writers.add(writer)
        self._tasks.add(task)
        try:
            while (head := await read_head(reader)) is not None:
                first, headers = head
                method, target, _ = first.split(" ", 2)
                size = int(headers.get("content-length", 0))
                body = await reader.readexactly(size) if size else b""
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query))
                answer = await self._handler(
                    Request(method, url.path, query, headers, body)
                )
                if answer is None:
                    await asyncio.sleep(3600)
                    return
                status, content = answer
                writer.write(
                    f"HTTP/1.1 {status} {REASONS.get(status, 'Answer')}\r\n"
                    "Content-Type: application/json\r\n"
                    f"Content-Length: {len(content)}\r\n\r\n".encode()
                    + content
                )
                await writer.drain()
        except (
            ConnectionError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        ):
            pass
        finally:
            self._writers.discard(writer)
            self._tasks.discard(task)
            writer.transport.abort()


async def call(address, method, path, body=b"", headers=(), timeout_s=5.0):
    """Makes one request on a connection of its own.

    Returns its status and body. The status is 0 without a complete answer,
    and -1 if no connection could be made.
    """
    host, _, port = address.rpartition(":")
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(host, int(port), limit=1 << 22), timeout_s
        )
    except (OSError, asyncio.TimeoutError):
        return -1, b""
    try:
        lines = [f"{method} {path} HTTP/1.1", "Connection: close"]
        lines += [f"{name}: {value}" for name, value in headers]
        lines += [f"Content-Length: {len(body)}"] if body else []
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        return await asyncio.wait_for(_read_answer(reader), timeout_s)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return 0, b""
    finally:
        writer.transport.abort()


async def _read_answer(reader):
    head = await read_head(reader)
    if head is None:
        return 0, b""
    first, headers = head
    size = int(headers.get("content-length", 0))
    body = await reader.readexactly(size) if size else b""
    return int(first.split(" ")[1]), body
