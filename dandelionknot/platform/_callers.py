"""HTTP servers for calls of callers and for health checks of the balancer."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import msgspec
from result import Err
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine
from tornado.iostream import StreamClosedError

from dandelionknot._http_server import LimitedServer, has_room
from dandelionknot._request_limits import Port, RequestTable
from dandelionknot.events import log_unexpected_error
from dandelionknot.jobs._generated import (
    CallerReply,
    CallerVerdict,
    JobPhase,
    JobSpec,
)
from dandelionknot.platform._decode import decode_job_spec

KEY_HEADER = 'X-Api-Key'
DEADLINE_HEADER = 'X-Deadline-Ms'
READINESS_PATH = '/readyz'
# Deadline of calls without a valid deadline header.
DEFAULT_DEADLINE_MS = 3000
# Length of a job id in hexadecimal digits.
JOB_ID_DIGITS = 16
STATUS_BY_VERDICT = {
    CallerVerdict.ACCEPTED: 202,
    CallerVerdict.KNOWN: 200,
    CallerVerdict.NOT_FOUND: 404,
    CallerVerdict.KEY_UNKNOWN: 401,
    CallerVerdict.MALFORMED: 400,
    CallerVerdict.NOT_ACCEPTED: 503,
    CallerVerdict.UNKNOWN: 504,
}
# Status of the answer to a call about an unknown job.
GONE = 410
# Memory of a decoded step, for the budget of requests that are not answered yet.
STEP_BYTES = 800
# Jobs that are smaller when decoded are not counted. They are most of all, and the
# number of connections limits them.
MAX_UNCOUNTED_BYTES = 16_384
# Names of the phases on the wire.
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
    """Functions that handle the calls of callers.

    `find_queue` takes the host and the path of a call and returns the queue name and
    the job id, or None for an unknown path. The job id is empty in calls about a whole
    queue. The queue name is empty if there is no current configuration. `is_stopping`
    returns whether connections are to be closed after the answer.
    """

    find_queue: Callable[[str, str], tuple[str, str] | None]
    submit: Callable[[str, str, str, JobSpec, int], Awaitable[CallerReply]]
    state: Callable[[str, str, str, int], Awaitable[CallerReply]]
    cancel: Callable[[str, str, str, int], Awaitable[CallerReply]]
    waiting: Callable[[str, str], CallerReply]
    is_stopping: Callable[[], bool]


class CallerServer:
    """The HTTP server for callers; each call is handled in its own asyncio task."""

    __slots__ = ('_calls', '_port', '_server')

    def __init__(self, port: CallerPort, table: RequestTable, limits: Port):
        self._port = port
        self._server = LimitedServer(self._accept, table, limits)
        self._calls: set[asyncio.Task] = set()

    def listen(self, address: str) -> None:
        """Listens on `IP:PORT`."""
        self._server.listen_on(address)

    @property
    def calls_in_progress(self) -> int:
        """Number of calls that have not been answered yet."""
        return len(self._calls)

    async def stop(self) -> None:
        """Stops accepting connections; open ones are not closed."""
        self._server.stop()

    async def close(self) -> None:
        """Closes all connections; must not be called while a call is in progress.

        All streams are closed before the first `await`, so that no request is read
        from one connection while another closes.
        """
        self._server.close_streams()
        await self._server.close_all_connections()

    def _accept(self, request: HTTPServerRequest) -> None:
        call = asyncio.create_task(self._answer(request))
        self._calls.add(call)
        call.add_done_callback(self._calls.discard)

    async def _answer(self, request: HTTPServerRequest) -> None:
        try:
            status, body, retry_after_s = await self._handle(request)
        except Exception as error:
            log_unexpected_error('call', error, path=request.path)
            # The call may have taken effect, so the caller must not read 'not run'.
            status, body, retry_after_s = 504, b'{}', 0
        headers = HTTPHeaders(
            {'Content-Type': 'application/json', 'Content-Length': str(len(body))}
        )
        if retry_after_s:
            headers['Retry-After'] = str(retry_after_s)
        if self._port.is_stopping():
            headers['Connection'] = 'close'
        connection = request.connection
        if connection is None:
            return
        start = ResponseStartLine('HTTP/1.1', status, REASON_BY_STATUS[status])
        try:
            await connection.write_headers(start, headers, body)
            connection.finish()
        except StreamClosedError:
            # The caller has closed its connection; an accepted job runs nevertheless.
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
        if rest and not _is_job_id(rest):
            return 404, b'{}', 0
        return await self._dispatch(request, queue, rest, key)

    async def _dispatch(
        self, request: HTTPServerRequest, queue: str, job_id: str, key: str
    ) -> tuple[int, bytes, int]:
        deadline_ms = _deadline_ms(request)
        if request.method == 'GET' and not job_id:
            return _response(self._port.waiting(queue, key), gone=False)
        if request.method == 'GET':
            reply = await self._port.state(queue, key, job_id, deadline_ms)
            return _response(reply, gone=True)
        if request.method == 'DELETE' and job_id:
            reply = await self._port.cancel(queue, key, job_id, deadline_ms)
            return _response(reply, gone=True)
        if request.method == 'POST' and job_id:
            spec = decode_job_spec(request.body)
            if isinstance(spec, Err):
                return 400, msgspec.json.encode({'reason': str(spec.err_value)}), 0
            size = len(spec.ok_value.steps) * STEP_BYTES
            if size > MAX_UNCOUNTED_BYTES and not has_room(request, size):
                return 503, b'{"reason":"memory"}', 1
            submit = self._port.submit
            reply = await submit(queue, key, job_id, spec.ok_value, deadline_ms)
            return _response(reply, gone=False)
        return 405, b'{}', 0


def _response(reply: CallerReply, gone: bool) -> tuple[int, bytes, int]:
    """Returns status, body and `Retry-After` in seconds.

    `gone` is set for calls about one job. The status for an unknown job is then 410
    instead of 404.
    """
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


def _is_job_id(text: str) -> bool:
    return len(text) == JOB_ID_DIGITS and all(
        c in '0123456789abcdefABCDEF' for c in text
    )


def _deadline_ms(request: HTTPServerRequest) -> int:
    """Returns the deadline in the header, or the default without a valid one."""
    text = request.headers.get(DEADLINE_HEADER, '')
    return int(text) if text.isdigit() and len(text) < 8 else DEFAULT_DEADLINE_MS


class ReadinessServer:
    """Answers the health checks of the balancer."""

    __slots__ = ('_ready', '_server')

    def __init__(self, ready: Callable[[], bool], table: RequestTable, limits: Port):
        self._ready = ready
        self._server = LimitedServer(self._answer, table, limits)

    def listen(self, address: str) -> None:
        """Listens on `IP:PORT`."""
        self._server.listen_on(address)

    def _answer(self, request: HTTPServerRequest) -> None:
        ready = request.path == READINESS_PATH and self._ready()
        status = 200 if ready else 503
        start = ResponseStartLine('HTTP/1.1', status, REASON_BY_STATUS[status])
        connection = request.connection
        if connection is not None:
            connection.write_headers(start, HTTPHeaders({'Content-Length': '0'}), b'')
            connection.finish()
