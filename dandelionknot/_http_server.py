"""HTTP server that applies the limits of `_request_limits` to its connections."""

import asyncio
import contextlib
import socket
import ssl
from collections.abc import Awaitable, Callable, Iterable
from http import HTTPStatus
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerRequest,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream, SSLIOStream
from tornado.netutil import add_accept_handler, bind_sockets, ssl_wrap_socket

from dandelionknot._request_limits import (
    Connection,
    LimitReason,
    Phase,
    Port,
    RequestTable,
)
from dandelionknot.addresses import split_address
from dandelionknot.clock import now_ms, seconds
from dandelionknot.events import Event, log_event

# Bytes that are read from a socket at once. The buffer of a connection holds at most
# this and the longest headers.
READ_BYTES = 16 * 1024
BACKLOG = 512
# Bytes that are read at once before the headers of a request are known.
HEADER_READ_BYTES = 4096
# Bytes of a body in small chunks that are read in one turn of the event loop.
CHUNKED_READ_BYTES = 1024
# Framing of a chunked body counts as small up to this part of the body.
SMALL_FRAMING_PART = 8
# Interval at which time limits are checked and closed connections are logged.
SWEEP_MS = 500
# Interval at which the reasons are logged, each in one line by port.
LOG_INTERVAL_MS = 1000
# Value of `Retry-After` in a refusal for lack of memory.
RETRY_AFTER_S = 1
# Types of bodies that the HTTP library would decode before any handler sees them. No
# interface has them.
FORM_TYPES = ('application/x-www-form-urlencoded', 'multipart/form-data')
STATUS_BY_REASON = {
    LimitReason.BODY_TOO_LARGE: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    LimitReason.CHUNKS_TOO_SMALL: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    LimitReason.CHUNKS: HTTPStatus.SERVICE_UNAVAILABLE,
    LimitReason.MEMORY: HTTPStatus.SERVICE_UNAVAILABLE,
}

# Status and body of an answer.
Refusal = tuple[HTTPStatus, bytes]


def plain_refusal(reason: LimitReason) -> Refusal:
    """Returns the refusal of a request for a limit."""
    return STATUS_BY_REASON[reason], b'{"reason":"%s"}' % reason.value.encode()


class _Counting:
    """Reports the bytes that a stream reads, and answers that cannot be sent."""

    table: RequestTable
    # Set once the connection is in the table.
    connection: Connection | None = None
    # Set when the stream closes while its body waits.
    _closing: asyncio.Event | None = None
    # The tornado version is pinned; it has no public access to what is not parsed yet.
    _read_buffer: bytearray
    _read_buffer_size: int

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Reads from the socket and counts the bytes."""
        size = super().read_from_fd(buf)  # type: ignore[misc]
        connection = self.connection
        if size and connection is not None:
            unparsed = self._read_buffer_size + size
            close_all(self.table.received(connection, size, unparsed, now_ms()))
            if not connection.is_open:
                return None
        return size

    def write(self, data: bytes | memoryview) -> asyncio.Future:
        """Writes to the socket and counts what waits for the client."""
        future = super().write(data)  # type: ignore[misc]
        if self.connection is not None and not future.done():
            self.table.answer_waits(self.connection, len(data), now_ms())
        return future

    def close(self, exc_info: Any = False) -> None:
        """Closes the stream and ends a wait."""
        super().close(exc_info)  # type: ignore[misc]
        if self._closing is not None:
            self._closing.set()

    async def wait_while_open(self, wait_ms: int) -> None:
        """Waits until the time has passed or the stream is closed.

        A server that stops waits until the receivers of all connections have ended.
        """
        self._closing = asyncio.Event()
        if self.closed():  # type: ignore[attr-defined]
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds(wait_ms)):
                await self._closing.wait()

    def discard(self) -> None:
        """Closes the stream, so that what it has read already is not parsed."""
        self.close()
        self._read_buffer.clear()
        self._read_buffer_size = 0

    @property
    def unparsed_bytes(self) -> int:
        """Bytes that have been read from the socket and not been parsed."""
        return self._read_buffer_size

    @property
    def unparsed_lines(self) -> int:
        """Line ends in these bytes."""
        return self._read_buffer.count(b'\n')


class _Stream(_Counting, IOStream):
    """A stream that reads little at once where parsing it may take long."""

    # Whether other tasks run before the next read.
    _pauses = False

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Reads from the socket; reports no data once after each piece of chunks.

        The event loop then runs other tasks first, and the pieces are counted.
        """
        if self._pauses:
            self._pauses = False
            return None
        connection = self.connection
        if connection is None or connection.phase is Phase.BODY:
            if connection is None or not connection.is_chunked:
                return super().read_from_fd(buf)
            self._pauses = True
            return super().read_from_fd(memoryview(buf)[: _piece_size(connection)])
        return super().read_from_fd(memoryview(buf)[:HEADER_READ_BYTES])


def _piece_size(connection: Connection) -> int:
    body = connection.body_bytes
    framing = connection.received_bytes - connection.header_bytes - body
    is_small = framing * SMALL_FRAMING_PART <= body
    return READ_BYTES if is_small else CHUNKED_READ_BYTES


class _TlsStream(_Counting, SSLIOStream):
    pass


def close_all(connections: Iterable[Connection]) -> None:
    """Closes the sockets of connections that were removed from the table."""
    for connection in connections:
        connection.stream.discard()  # type: ignore[attr-defined]


class _LimitedRequest(HTTPMessageDelegate):
    """Passes one request on to its handler, unless a limit forbids it."""

    __slots__ = ('_http', '_inner', '_is_refused', '_refusal', '_stream')

    def __init__(
        self,
        inner: HTTPMessageDelegate,
        http: HTTPConnection,
        stream: _Stream,
        refusal: Callable[[LimitReason], Refusal],
    ):
        self._inner = inner
        self._refusal = refusal
        self._http = http
        self._stream = stream
        self._is_refused = False

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> Awaitable[None] | None:
        """Refuses an announced body over the limit, before any of it is read."""
        stream = self._stream
        announced = headers.get('Content-Length', '0')
        is_chunked = 'Transfer-Encoding' in headers
        # The HTTP library answers 400 to what is not a number.
        size = int(announced[:18]) if announced.isdecimal() else 0
        reason, closed = stream.table.headers_received(
            _connection(stream),
            None if is_chunked else size,
            stream.unparsed_bytes,
            now_ms(),
        )
        close_all(closed)
        if reason is not None:
            self._refuse(reason)
            return None
        if headers.get('Content-Type', '').lower().startswith(FORM_TYPES):
            del headers['Content-Type']
        waiting = self._inner.headers_received(start_line, headers)
        if not is_chunked or waiting is not None:
            return waiting
        return self._wait_for_chunks(stream.unparsed_lines)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Counts a piece of the body; refuses the request once it exceeds a limit."""
        stream = self._stream
        reason, closed = stream.table.body_received(
            _connection(stream), len(chunk), stream.unparsed_bytes, now_ms()
        )
        close_all(closed)
        if reason is not None:
            self._inner.on_connection_close()
            self._refuse(reason)
            return None
        waiting = self._inner.data_received(chunk)
        if waiting is not None or not _connection(stream).is_chunked:
            return waiting
        return self._wait_for_chunks(stream.unparsed_lines)

    def _wait_for_chunks(self, lines: int) -> Awaitable[None] | None:
        stream = self._stream
        reason, wait_ms = stream.table.wait_for_chunks(
            _connection(stream), lines, now_ms()
        )
        if reason is not None:
            self._inner.on_connection_close()
            self._refuse(reason)
            return None
        return stream.wait_while_open(wait_ms) if wait_ms else None

    def finish(self) -> None:
        """Hands the complete request to its handler."""
        stream = self._stream
        stream.table.completed(_connection(stream), now_ms())
        self._inner.finish()

    def on_connection_close(self) -> None:
        """Tells the handler that the client has gone."""
        if not self._is_refused:
            self._inner.on_connection_close()

    def _refuse(self, reason: LimitReason) -> None:
        """Answers and closes the connection; the request has certainly not run."""
        self._is_refused = True
        status, body = self._refusal(reason)
        headers = HTTPHeaders(
            {
                'Content-Type': 'application/json',
                'Content-Length': str(len(body)),
                'Connection': 'close',
            }
        )
        if status is not HTTPStatus.REQUEST_ENTITY_TOO_LARGE:
            headers['Retry-After'] = str(RETRY_AFTER_S)
        start = ResponseStartLine('HTTP/1.1', status, status.phrase)
        self._http.write_headers(start, headers, body)
        self._http.finish()
        self._stream.discard()


def has_room(request: HTTPServerRequest, size: int) -> bool:
    """Whether there is memory for `size` bytes that were decoded from a request."""
    stream = getattr(request.connection, 'stream', None)
    if not isinstance(stream, _Counting) or stream.connection is None:
        return True
    return stream.table.decoded(stream.connection, size)


def _connection(stream: _Stream) -> Connection:
    assert stream.connection is not None
    return stream.connection


class LimitedServer(HTTPServer):
    """An HTTP server on one port of a process, with the limits of its table."""

    def initialize(  # type: ignore[override]
        self,
        handler: Any,
        table: RequestTable,
        port: Port,
        ssl_options: ssl.SSLContext | None = None,
        refusal: Callable[[LimitReason], Refusal] = plain_refusal,
    ) -> None:
        """Creates the server without connections; `refusal` returns its refusals."""
        super().initialize(
            handler,
            ssl_options=ssl_options,
            chunk_size=READ_BYTES,
            max_header_size=table.limits.max_header_bytes,
            # The table refuses a body above its limit before this limit is reached.
            max_body_size=2**62,
            max_buffer_size=table.limits.max_header_bytes + 4 * READ_BYTES,
        )
        # The table has the time limits. A timer for each request of the HTTP library
        # would only cost processor time.
        self.conn_params.header_timeout = None
        self._table = table
        self._port = port
        self._refusal = refusal
        self._listening: list[tuple[Callable[[], None], socket.socket]] = []

    def listen_on(self, address: str) -> None:
        """Listens on `IP:PORT`."""
        host, number = split_address(address)
        for each in bind_sockets(number, host, backlog=BACKLOG):
            self._listening.append((add_accept_handler(each, self._accept), each))

    def stop(self) -> None:
        """Stops accepting connections; open ones are not closed."""
        for remove_handler, each in self._listening:
            remove_handler()
            each.close()
        self._listening.clear()

    def close_streams(self) -> None:
        """Closes all open connections in one step."""
        close_all(list(self._port.connections))

    def _accept(self, accepted: socket.socket, address: Any) -> None:
        stream = self._new_stream(accepted)
        if stream is None:
            return
        connection, closed = self._table.open(self._port, stream, now_ms())
        close_all(closed)
        if connection is None:
            stream.close()
            return
        stream.table, stream.connection = self._table, connection
        self.handle_stream(stream, address)

    def _new_stream(self, accepted: socket.socket) -> Any:
        sizes = {
            'max_buffer_size': self.max_buffer_size,
            'read_chunk_size': READ_BYTES,
        }
        if not isinstance(self.ssl_options, ssl.SSLContext):
            return _Stream(accepted, **sizes)
        try:
            wrapped = ssl_wrap_socket(
                accepted,
                self.ssl_options,
                server_side=True,
                do_handshake_on_connect=False,
            )
        except OSError:
            # The client closed its connection at once.
            accepted.close()
            return None
        return _TlsStream(wrapped, **sizes)

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Returns the receiver of the next request of a connection."""
        stream = server_conn.stream  # type: ignore[attr-defined]
        inner = super().start_request(server_conn, request_conn)
        self._table.answered(stream.connection, stream.unparsed_bytes, now_ms())
        return _LimitedRequest(inner, request_conn, stream, self._refusal)

    def on_close(self, server_conn: object) -> None:
        """Removes a closed connection."""
        super().on_close(server_conn)
        stream = server_conn.stream  # type: ignore[attr-defined]
        stream.close()
        self._table.closed(stream.connection)


async def sweep(
    table: RequestTable, observe: Callable[[Event, dict[str, Any]], None]
) -> None:
    """Closes connections whose time limits have passed, and logs the reasons."""
    logged_ms = now_ms()
    while True:
        await asyncio.sleep(seconds(SWEEP_MS))
        close_all(table.expired(now_ms()))
        if now_ms() - logged_ms >= LOG_INTERVAL_MS:
            logged_ms = now_ms()
            log_reasons(table, observe)


def log_reasons(
    table: RequestTable, observe: Callable[[Event, dict[str, Any]], None]
) -> None:
    """Logs for each port and reason how many connections and requests it concerned."""
    for (port, reason), count in table.take_reasons().items():
        fields = {
            'port': port,
            'reason': reason.value,
            'count': count,
            'charged_bytes': table.charged_bytes,
            'connections': sum(len(each.connections) for each in table.ports),
        }
        observe(Event.CLIENTS_LIMITED, fields)
        log_event(Event.CLIENTS_LIMITED, **fields)
