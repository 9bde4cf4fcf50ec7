"""HTTP calls to one server over pooled connections; failures are returned as values."""

import asyncio
import socket
import struct
from dataclasses import dataclass, field

from result import Err, Ok, Result
from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream, StreamClosedError

from dandelionknot.addresses import address_problem, split_address
from dandelionknot.clock import now_ms, seconds
from dandelionknot.errors import PortError, PortErrorKind

# Within a region a connection opens in milliseconds unless packets are lost.
CONNECT_TIMEOUT_MS = 400
# Limit of a response body; larger than the largest page of items of the platform.
MAX_BODY_BYTES = 8 * 1024 * 1024
CONNECTION_PARAMETERS = HTTP1ConnectionParameters(max_body_size=MAX_BODY_BYTES)


@dataclass(slots=True)
class HttpResponse(HTTPMessageDelegate):
    """An HTTP response, filled while it is read; `complete` is set at its end."""

    status: int = 0
    headers: HTTPHeaders = field(default_factory=HTTPHeaders)
    body: bytes = b''
    complete: bool = False

    def headers_received(self, start_line: object, headers: HTTPHeaders) -> None:
        """Stores the status and the headers."""
        assert isinstance(start_line, ResponseStartLine)
        self.status = start_line.code
        self.headers = headers

    def data_received(self, chunk: bytes) -> None:
        """Appends a part of the body."""
        self.body += chunk

    def finish(self) -> None:
        """Marks the response as complete."""
        self.complete = True


@dataclass(slots=True)
class HttpConnections:
    """Connection pool of one server; a connection carries one call at a time."""

    address: str
    source_ip: str | None = None
    connect_timeout_ms: int = CONNECT_TIMEOUT_MS
    idle: list[IOStream] = field(default_factory=list)
    closed: bool = False

    async def call(
        self,
        method: str,
        path: str,
        body: bytes | None,
        timeout_ms: int,
        headers: dict[str, str] | None = None,
        use_new_connection: bool = False,
        valid_until_ms: int | None = None,
    ) -> Result[HttpResponse, PortError]:
        """Makes one call and reads the complete response.

        With `use_new_connection`, the call opens a connection even if one is idle. An
        error of kind `NOT_SENT` means that no connection could be opened, or that the
        local time `valid_until_ms` has passed before the call could be sent.
        """
        stream = None if use_new_connection else self._idle_stream()
        if stream is None:
            opened = await self._open(min(self.connect_timeout_ms, timeout_ms))
            if isinstance(opened, Err):
                return opened
            stream = opened.ok_value
        # The process may have been paused while the connection was opened.
        if valid_until_ms is not None and now_ms() >= valid_until_ms:
            self._return_idle(stream)
            message = f'{path}: not sent, since the permission has expired'
            return Err(PortError(kind=PortErrorKind.NOT_SENT, message=message))
        try:
            async with asyncio.timeout(seconds(timeout_ms)):
                response = await self._exchange(stream, method, path, body, headers)
        except TimeoutError as error:
            _reset(stream)
            # The idle connections may be dead for the same reason.
            self._drop_idle()
            return Err(_no_answer(path, error))
        except (StreamClosedError, OSError) as error:
            stream.close()
            return Err(_no_answer(path, error))
        except BaseException:
            _reset(stream)
            raise
        if not response.complete:
            stream.close()
            return Err(
                _no_answer(
                    path, 'the connection was closed before the response was complete'
                )
            )
        self._return_idle(stream)
        return Ok(response)

    def _idle_stream(self) -> IOStream | None:
        while self.idle:
            stream = self.idle.pop()
            if not stream.closed():
                return stream
        return None

    def _return_idle(self, stream: IOStream) -> None:
        if self.closed or stream.closed():
            stream.close()
        else:
            self.idle.append(stream)

    async def _open(self, timeout_ms: int) -> Result[IOStream, PortError]:
        problem = address_problem(self.address)
        if problem:
            return Err(PortError(kind=PortErrorKind.NOT_SENT, message=problem))
        host, port = split_address(self.address)
        stream = IOStream(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
        try:
            if self.source_ip is not None:
                stream.socket.bind((self.source_ip, 0))
            async with asyncio.timeout(seconds(timeout_ms)):
                await stream.connect((host, port))
            stream.set_nodelay(True)
        except (TimeoutError, StreamClosedError, OSError) as error:
            stream.close()
            message = f'{self.address}: {str(error) or type(error).__name__}'
            return Err(PortError(kind=PortErrorKind.NOT_SENT, message=message))
        except BaseException:
            stream.close()
            raise
        return Ok(stream)

    async def _exchange(
        self,
        stream: IOStream,
        method: str,
        path: str,
        body: bytes | None,
        headers: dict[str, str] | None,
    ) -> HttpResponse:
        connection = HTTP1Connection(stream, True, CONNECTION_PARAMETERS)
        fields = HTTPHeaders({'Host': self.address, **(headers or {})})
        if body is not None:
            fields['Content-Type'] = 'application/json'
            fields['Content-Length'] = str(len(body))
        connection.write_headers(
            RequestStartLine(method, path, 'HTTP/1.1'), fields, body
        )
        connection.finish()
        response = HttpResponse()
        await connection.read_response(response)
        return response

    def close(self) -> None:
        """Closes idle connections; a call in progress closes its own when it ends."""
        self.closed = True
        self._drop_idle()

    def _drop_idle(self) -> None:
        for stream in self.idle:
            stream.close()
        self.idle.clear()


def _reset(stream: IOStream) -> None:
    """Closes a connection with a reset, which discards bytes not yet delivered.

    After a normal close, the kernel would still deliver these bytes once a network
    partition ends, even if they are an order that its sender gave up long before.
    """
    if not stream.closed():
        # On, with a linger time of 0 s: the close sends a reset.
        linger = struct.pack('ii', 1, 0)
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        stream.close()


def _no_answer(path: str, problem: object) -> PortError:
    text = str(problem) or type(problem).__name__
    return PortError(kind=PortErrorKind.NO_ANSWER, message=f'{path}: {text}')
