"""Small HTTP/1.1 server and client on loopback addresses."""

import asyncio
import contextlib
import json
import socket
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from urllib.parse import parse_qsl, urlsplit

# Returned by a handler instead of an answer: the connection is reset.
RESET = 'reset'
# Returned by a handler instead of an answer: the call is never answered.
MUTE = 'mute'
# Length of the queue of new connections, and connections that fill it in a cut.
QUEUE_LENGTH = 128
FILLERS = 4


@dataclass(slots=True)
class Request:
    """One HTTP request."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def json(self) -> dict:
        """Returns the decoded body."""
        return json.loads(self.body or b'{}')


# HTTP status and JSON body, or one of the two constants above.
Answer = tuple[int, dict] | str
Handler = Callable[[Request], Awaitable[Answer]]


def reset(writer: asyncio.StreamWriter) -> None:
    """Closes a connection with a reset, as the end of a process does."""
    connection = writer.get_extra_info('socket')
    if connection is not None:
        with contextlib.suppress(OSError):
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
            )
    writer.transport.abort()


async def read_message(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str], bytes]:
    """Returns the first line, the headers in lower case and the body."""
    lines = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(':')
        if name:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get('content-length', '0')))
    return lines[0], headers, body


@dataclass(slots=True)
class Server:
    """HTTP server whose connections can be reset or cut off."""

    handler: Handler
    address: str = ''
    # No bytes pass while set: open channels and new ones hang.
    is_cut: bool = False
    listener: socket.socket | None = None
    writers: set[asyncio.StreamWriter] = field(default_factory=set)
    tasks: set[asyncio.Task] = field(default_factory=set)
    # Connections that fill the queue of new ones during a cut.
    fillers: list[socket.socket] = field(default_factory=list)

    def listen(self, port: int = 0) -> None:
        """Listens on a port of the loopback address; 0 selects a free one."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(('127.0.0.1', port))
        listener.listen(QUEUE_LENGTH)
        listener.setblocking(False)
        self.listener = listener
        self.address = f'127.0.0.1:{listener.getsockname()[1]}'
        asyncio.get_running_loop().add_reader(listener, self._accept)

    def cut(self) -> None:
        """Begins a cut: nothing is read or answered, and no channel is opened."""
        assert self.listener is not None
        self.is_cut = True
        asyncio.get_running_loop().remove_reader(self.listener)
        # The kernel drops the opening packets once the queue is full.
        self.listener.listen(0)
        for _ in range(FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.listener.getsockname())
            self.fillers.append(filler)

    def heal(self) -> None:
        """Ends a cut. Channels that were open at its begin carry nothing any more."""
        assert self.listener is not None
        self.is_cut = False
        for filler in self.fillers:
            filler.close()
        self.fillers.clear()
        self.listener.listen(QUEUE_LENGTH)
        asyncio.get_running_loop().add_reader(self.listener, self._accept)

    def stop(self) -> None:
        """Stops listening and resets all connections."""
        if self.listener is not None:
            asyncio.get_running_loop().remove_reader(self.listener)
            self.listener.close()
            self.listener = None
        for filler in self.fillers:
            filler.close()
        for writer in list(self.writers):
            reset(writer)
        self.writers.clear()

    def _accept(self) -> None:
        assert self.listener is not None
        try:
            connection, _ = self.listener.accept()
        except OSError:
            return
        connection.setblocking(False)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        task = asyncio.get_running_loop().create_task(self._serve(connection))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _serve(self, connection: socket.socket) -> None:
        reader, writer = await asyncio.open_connection(sock=connection)
        self.writers.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while await self._answer_next(reader, writer):
                pass
        self.writers.discard(writer)
        writer.close()

    async def _answer_next(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        first, headers, body = await read_message(reader)
        if self.is_cut:
            # The bytes are lost, so nothing more comes on this connection.
            await reader.read()
            return False
        method, target, _ = first.split(' ', 2)
        parts = urlsplit(target)
        query = dict(parse_qsl(parts.query, keep_blank_values=True))
        answer = await self.handler(Request(method, parts.path, query, headers, body))
        if answer == RESET:
            reset(writer)
            return False
        if answer == MUTE or self.is_cut:
            await reader.read()
            return False
        status, content = answer
        data = json.dumps(content).encode()
        head = (
            f'HTTP/1.1 {status} Answer\r\nContent-Type: application/json\r\n'
            f'Content-Length: {len(data)}\r\n\r\n'
        )
        writer.write(head.encode() + data)
        await writer.drain()
        return True


async def call(
    address: str,
    method: str,
    path: str,
    body: dict | None = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 4.0,
) -> tuple[int, dict]:
    """Makes one call on a new connection; status 0 means that there was no answer."""
    host, _, port = address.rpartition(':')
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                data = b'' if body is None else json.dumps(body).encode()
                lines = [f'{method} {path} HTTP/1.1', f'Content-Length: {len(data)}']
                if body is not None:
                    lines.append('Content-Type: application/json')
                fields = {'Host': address} | (headers or {})
                lines += [f'{name}: {value}' for name, value in fields.items()]
                writer.write('\r\n'.join([*lines, '', '']).encode() + data)
                first, _, content = await read_message(reader)
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0, {}
    return int(first.split(' ')[1]), json.loads(content or b'{}')
