"""HTTP server that takes the calls of callers and of the balancer."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any
from weakref import WeakSet

import msgspec
from result import Err
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine
from tornado.iostream import IOStream, StreamClosedError
from tornado.netutil import bind_sockets

from dandelionknot.addresses import split_address
from dandelionknot.jobs._generated import (
    CallerReply,
    CallerVerdict,
    JobPhase,
    JobSpec,
)
from dandelionknot.platform._decode import job_spec

KEY_HEADER = 'X-Api-Key'
DEADLINE_HEADER = 'X-Deadline-Ms'
READINESS_PATH = '/readyz'
# How long a caller that names no deadline is taken to wait.
DEFAULT_DEADLINE_MS = 3000
ID_DIGITS = 16
STATUS_BY_VERDICT = {
    CallerVerdict.ACCEPTED: 202,
    CallerVerdict.KNOWN: 200,
    CallerVerdict.NOT_FOUND: 404,
    CallerVerdict.KEY_UNKNOWN: 401,
    CallerVerdict.MALFORMED: 400,
    CallerVerdict.NOT_ACCEPTED: 503,
    CallerVerdict.UNKNOWN: 504,
}
GONE = 410
NAMES_BY_PHASE = {
    JobPhase.QUEUED: 'queued',
    JobPhase.RUNNING: 'running',
    JobPhase.DONE: 'done',
    JobPhase.FAILED: 'failed',
    JobPhase.CANCELLED: 'canceled',
}
REASON_BY_STATUS = {
    200: 'OK',
    202: 'Accepted',
    400: 'Bad Request',
    401: 'Unauthorized',
    404: 'Not Found',
    405: 'Method Not Allowed',
    410: 'Gone',
    503: 'Service Unavailable',
    504: 'Gateway Timeout',
}


@dataclass(slots=True, frozen=True)
class CallerPort:
    """What the product does with a call; the job id is empty for a whole queue."""

    find_queue: Callable[[str, str], tuple[str, str] | None]
    submit: Callable[[str, str, str, JobSpec, int], Awaitable[CallerReply]]
    state: Callable[[str, str, str, int], Awaitable[CallerReply]]
    cancel: Callable[[str, str, str, int], Awaitable[CallerReply]]
    waiting: Callable[[str, str], CallerReply]
    closing: Callable[[], bool]


class _Connections(HTTPServer):
    """A server that knows the streams of its open connections."""

    def initialize(self, *args: Any, **kwargs: Any) -> None:
        """Starts without a connection."""
        super().initialize(*args, **kwargs)
        self._streams: WeakSet[IOStream] = WeakSet()

    def handle_stream(self, stream: IOStream, address: tuple) -> None:
        """Notes a new connection."""
        self._streams.add(stream)
        super().handle_stream(stream, address)

    def close_streams(self) -> None:
        """Closes every connection at once."""
        for stream in list(self._streams):
            stream.close()


class CallerServer:
    """The server of one process; each call is a task of its own."""

    __slots__ = ('_calls', '_port', '_server')

    def __init__(self, port: CallerPort):
        self._port = port
        self._server = _Connections(self._accept)
        self._calls: set[asyncio.Task] = set()

    def listen(self, address: str) -> None:
        """Listens on `IP:PORT`."""
        host, number = split_address(address)
        self._server.add_sockets(bind_sockets(number, host, backlog=512))

    @property
    def calls_in_progress(self) -> int:
        """Number of calls that wait for their answer."""
        return len(self._calls)

    async def stop(self) -> None:
        """Takes no further connections."""
        self._server.stop()

    async def close(self) -> None:
        """Closes all connections; no call may be in progress.

        They are closed in one step, so that no request is read from one of them
        while another closes.
        """
        self._server.close_streams()
        await self._server.close_all_connections()

    def _accept(self, request: HTTPServerRequest) -> None:
        call = asyncio.create_task(self._answer(request))
        self._calls.add(call)
        call.add_done_callback(self._calls.discard)

    async def _answer(self, request: HTTPServerRequest) -> None:
        status, body, retry_after_s = await self._handle(request)
        headers = HTTPHeaders(
            {'Content-Type': 'application/json', 'Content-Length': str(len(body))}
        )
        if retry_after_s:
            headers['Retry-After'] = str(retry_after_s)
        if self._port.closing():
            headers['Connection'] = 'close'
        connection = request.connection
        if connection is None:
            return
        start = ResponseStartLine('HTTP/1.1', status, REASON_BY_STATUS[status])
        try:
            await connection.write_headers(start, headers, body)
            connection.finish()
        except StreamClosedError:
            # The caller has left; a job that was accepted runs all the same.
            return

    async def _handle(self, request: HTTPServerRequest) -> tuple[int, bytes, int]:
        host = request.host.rsplit(':', 1)[0]
        found = self._port.find_queue(host, request.path)
        if found is None:
            return 404, b'{}', 0
        queue, rest = found
        if not queue:
            return 503, b'{"reason":"no configuration yet"}', 1
        key = request.headers.get(KEY_HEADER, '')
        if rest and not _is_id(rest):
            return 404, b'{}', 0
        return await self._dispatch(request, queue, rest, key)

    async def _dispatch(
        self, request: HTTPServerRequest, queue: str, job_id: str, key: str
    ) -> tuple[int, bytes, int]:
        deadline_ms = _deadline(request)
        if request.method == 'GET' and not job_id:
            return _encode(self._port.waiting(queue, key), gone=False)
        if request.method == 'GET':
            reply = await self._port.state(queue, key, job_id, deadline_ms)
            return _encode(reply, gone=True)
        if request.method == 'DELETE' and job_id:
            reply = await self._port.cancel(queue, key, job_id, deadline_ms)
            return _encode(reply, gone=True)
        if request.method == 'POST' and job_id:
            spec = job_spec(request.body)
            if isinstance(spec, Err):
                return 400, msgspec.json.encode({'reason': str(spec.err_value)}), 0
            submit = self._port.submit
            reply = await submit(queue, key, job_id, spec.ok_value, deadline_ms)
            return _encode(reply, gone=False)
        return 405, b'{}', 0


def _encode(reply: CallerReply, gone: bool) -> tuple[int, bytes, int]:
    """Returns status, body and Retry-After; `gone` is for calls about one job."""
    status = STATUS_BY_VERDICT[reply.verdict]
    if gone and reply.verdict is CallerVerdict.NOT_FOUND:
        status = GONE
    body: dict = {}
    if reply.phase is not None:
        body['state'] = NAMES_BY_PHASE[reply.phase]
    if reply.waiting_jobs >= 0:
        body['pending'] = reply.waiting_jobs
    if reply.reason:
        body['reason'] = reply.reason
    return status, msgspec.json.encode(body), reply.retry_after_s


def _is_id(text: str) -> bool:
    return len(text) == ID_DIGITS and all(c in '0123456789abcdefABCDEF' for c in text)


def _deadline(request: HTTPServerRequest) -> int:
    text = request.headers.get(DEADLINE_HEADER, '')
    return int(text) if text.isdigit() and len(text) < 8 else DEFAULT_DEADLINE_MS


class ReadinessServer:
    """Answers the balancer's health checks."""

    __slots__ = ('_ready', '_server')

    def __init__(self, ready: Callable[[], bool]):
        self._ready = ready
        self._server = HTTPServer(self._answer)

    def listen(self, address: str) -> None:
        """Listens on `IP:PORT`."""
        host, number = split_address(address)
        self._server.add_sockets(bind_sockets(number, host))

    def _answer(self, request: HTTPServerRequest) -> None:
        ready = request.path == READINESS_PATH and self._ready()
        status = 200 if ready else 503
        start = ResponseStartLine('HTTP/1.1', status, REASON_BY_STATUS[status])
        connection = request.connection
        if connection is not None:
            connection.write_headers(start, HTTPHeaders({'Content-Length': '0'}), b'')
            connection.finish()
