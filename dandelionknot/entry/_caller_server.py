"""HTTP server for callers."""

import contextlib
import ssl
from http import HTTPStatus

import tornado.iostream
import tornado.web
from result import Err

from dandelionknot import codec
from dandelionknot._http_server import LimitedServer
from dandelionknot._mailbox import Mailbox
from dandelionknot._request_limits import LimitReason
from dandelionknot.entry._client_limits import EntryPorts
from dandelionknot.messages import (
    AnswerBody,
    CallerGone,
    CancelRequest,
    ErrorCode,
    FetchAnswer,
    ReadinessCheck,
    Refusal,
    RequestBody,
    RequestPhase,
    RunState,
    SubmitRequest,
)
from dandelionknot.settings import EntrySettings

# A longer API key is truncated to one character more, so that it is still too long.
MAX_KEY_LENGTH = 256
# Longest time for which a call that fetches an answer may wait for it.
MAX_FETCH_WAIT_MS = 60_000
BEARER = 'Bearer '

STATUS_BY_CODE: dict[ErrorCode, HTTPStatus] = {
    ErrorCode.MALFORMED_REQUEST: HTTPStatus.BAD_REQUEST,
    ErrorCode.BODY_TOO_LARGE: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    ErrorCode.KEY_MISSING: HTTPStatus.UNAUTHORIZED,
    ErrorCode.KEY_NOT_VALID: HTTPStatus.UNAUTHORIZED,
    ErrorCode.NOT_AUTHORIZED: HTTPStatus.FORBIDDEN,
    ErrorCode.ROLE_NOT_SUFFICIENT: HTTPStatus.FORBIDDEN,
    ErrorCode.TEAM_NOT_ALLOWED: HTTPStatus.FORBIDDEN,
    ErrorCode.SERVICE_NOT_FOUND: HTTPStatus.NOT_FOUND,
    ErrorCode.REQUEST_NOT_FOUND: HTTPStatus.NOT_FOUND,
    ErrorCode.REQUEST_ID_REUSED: HTTPStatus.CONFLICT,
    ErrorCode.CONFLICT: HTTPStatus.CONFLICT,
    ErrorCode.REQUEST_ID_TOO_OLD: HTTPStatus.UNPROCESSABLE_ENTITY,
    ErrorCode.WORK_TOO_LARGE: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    ErrorCode.TASK_CANNOT_FIT: HTTPStatus.UNPROCESSABLE_ENTITY,
    ErrorCode.DEADLINE_PASSED: HTTPStatus.GATEWAY_TIMEOUT,
    ErrorCode.OUTCOME_UNKNOWN: HTTPStatus.GATEWAY_TIMEOUT,
    ErrorCode.TASK_FAILED: HTTPStatus.BAD_GATEWAY,
    ErrorCode.QUEUE_FULL: HTTPStatus.TOO_MANY_REQUESTS,
    ErrorCode.TEAM_LIMIT_REACHED: HTTPStatus.TOO_MANY_REQUESTS,
    ErrorCode.CANCELLED: HTTPStatus.GONE,
    ErrorCode.INTERNAL_ERROR: HTTPStatus.INTERNAL_SERVER_ERROR,
}
DONE_PHASES = frozenset(
    {
        RequestPhase.FINISHED,
        RequestPhase.FAILED,
        RequestPhase.REFUSED,
        RequestPhase.CANCELLED,
        RequestPhase.UNKNOWN,
    }
)


def status_of(code: ErrorCode) -> HTTPStatus:
    """Returns the HTTP status of an error code, 503 if the table has none."""
    return STATUS_BY_CODE.get(code, HTTPStatus.SERVICE_UNAVAILABLE)


def not_run(code: ErrorCode, message: str) -> Refusal:
    """Returns the refusal of a request that did not reach the dispatcher."""
    return Refusal(code=code, message=message, run_state=RunState.NOT_RUN)


class _Handler(tornado.web.RequestHandler):
    """Base of the handlers: asks the dispatcher and writes its answers."""

    dispatcher: Mailbox
    entry_settings: EntrySettings

    def initialize(self, dispatcher: Mailbox, settings: EntrySettings) -> None:
        self.dispatcher = dispatcher
        self.entry_settings = settings

    def presented_key(self) -> str | None:
        """Returns the API key that came with the call, or None."""
        header = self.request.headers.get('Authorization', '')
        if not header.startswith(BEARER):
            return None
        return header.removeprefix(BEARER).strip()[: MAX_KEY_LENGTH + 1]

    def refuse(self, refusal: Refusal) -> None:
        """Sends a refusal with the status of its error code."""
        self.set_status(status_of(refusal.code))
        if refusal.retry_after_ms is not None:
            self.set_header('Retry-After', str(-(-refusal.retry_after_ms // 1000)))
        self.set_header('Content-Type', 'application/json')
        self.finish(codec.encode_json(refusal))

    def answer(self, outcome: AnswerBody | Refusal) -> None:
        """Sends the state of a request or a refusal."""
        if isinstance(outcome, Refusal):
            self.refuse(outcome)
            return
        done = outcome.phase in DONE_PHASES
        self.set_status(HTTPStatus.OK if done else HTTPStatus.ACCEPTED)
        self.set_header('Content-Type', 'application/json')
        self.finish(codec.encode_json(outcome))

    async def ask(self, message: object) -> None:
        """Sends a message to the dispatcher and its reply to the caller."""
        reply = await self.dispatcher.ask(message)
        if isinstance(reply, Err):
            self.refuse(
                not_run(
                    ErrorCode.QUEUE_FULL,
                    'the entry host is overloaded: its message queue is full',
                )
            )
            return
        with contextlib.suppress(tornado.iostream.StreamClosedError):
            self.answer(reply.ok_value)


@tornado.web.stream_request_body
class _RequestsHandler(_Handler):
    """Receives requests; reads the body in chunks to limit its size."""

    def prepare(self) -> None:
        self.chunks: list[bytes] = []
        self.size_bytes = 0
        self.request_id: str | None = None
        length = self.request.headers.get('Content-Length', '0')
        if length.isdigit() and int(length) > self.entry_settings.max_body_bytes:
            self.refuse_too_large()

    def refuse_too_large(self) -> None:
        """Refuses a body that is too large and closes the connection."""
        limit = self.entry_settings.max_body_bytes
        self.set_header('Connection', 'close')
        message = f'the body is larger than {limit} bytes'
        self.refuse(not_run(ErrorCode.BODY_TOO_LARGE, message))

    def data_received(self, chunk: bytes) -> None:
        self.size_bytes += len(chunk)
        if self._finished:
            return
        if self.size_bytes > self.entry_settings.max_body_bytes:
            self.refuse_too_large()
            return
        self.chunks.append(chunk)

    async def post(self) -> None:
        if self._finished:
            return
        decoded = codec.decode_json(b''.join(self.chunks), RequestBody, 'request')
        if isinstance(decoded, Err):
            problem = str(decoded.err_value)
            self.refuse(not_run(ErrorCode.MALFORMED_REQUEST, problem))
            return
        body = decoded.ok_value
        self.request_id = body.request_id
        await self.ask(SubmitRequest(request=body, presented_key=self.presented_key()))

    def on_connection_close(self) -> None:
        """Informs the dispatcher that the caller has closed its connection."""
        if self.request_id is not None:
            self.dispatcher.send(CallerGone(request_id=self.request_id))


class _RequestHandler(_Handler):
    """Returns the state or the answer of a known request, or cancels it."""

    async def get(self, request_id: str) -> None:
        wait = self.get_query_argument('wait_ms', '0')
        if not wait.isdigit():
            message = f'wait_ms must be a whole number, not {wait!r}'
            self.refuse(not_run(ErrorCode.MALFORMED_REQUEST, message))
            return
        await self.ask(
            FetchAnswer(
                request_id=request_id,
                presented_key=self.presented_key(),
                wait_ms=min(int(wait), MAX_FETCH_WAIT_MS),
            )
        )

    async def delete(self, request_id: str) -> None:
        await self.ask(
            CancelRequest(request_id=request_id, presented_key=self.presented_key())
        )


class _HealthHandler(_Handler):
    """Liveness check: answers as long as the event loop runs."""

    def get(self) -> None:
        self.write({'healthy': True})


class _ReadyHandler(_Handler):
    """Readiness check: whether the load balancer may send callers here."""

    async def get(self) -> None:
        reply = await self.dispatcher.ask(ReadinessCheck())
        ready = not isinstance(reply, Err) and reply.ok_value
        if not ready:
            self.set_status(HTTPStatus.SERVICE_UNAVAILABLE)
        self.write({'ready': ready})


class _NotFoundHandler(_Handler):
    def prepare(self) -> None:
        refusal = not_run(
            ErrorCode.REQUEST_NOT_FOUND, f'no such path: {self.request.path}'
        )
        self.refuse(refusal)


def server_context(settings: EntrySettings) -> ssl.SSLContext | None:
    """Returns the TLS context for callers, or None without TLS settings."""
    if settings.caller_tls is None:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(
        settings.caller_tls.certificate_file, settings.caller_tls.key_file
    )
    return context


def refusal_of(reason: LimitReason, max_bytes: int) -> tuple[HTTPStatus, bytes]:
    """Returns the refusal of a request that a limit on clients forbids to read."""
    code, message = ErrorCode.QUEUE_FULL, f'the entry host is overloaded: {reason}'
    if reason is LimitReason.BODY_TOO_LARGE:
        code = ErrorCode.BODY_TOO_LARGE
        message = f'the body is larger than {max_bytes} bytes'
    elif reason is LimitReason.CHUNKS_TOO_SMALL:
        code, message = ErrorCode.BODY_TOO_LARGE, 'the chunks of the body are too small'
    return status_of(code), codec.encode_json(not_run(code, message))


def start_caller_server(
    settings: EntrySettings, dispatcher: Mailbox, ports: EntryPorts
) -> LimitedServer:
    """Starts the HTTP server for callers on the caller address."""
    arguments = {'dispatcher': dispatcher, 'settings': settings}
    application = tornado.web.Application(
        [
            (r'/v1/requests', _RequestsHandler, arguments),
            (r'/v1/requests/([0-9a-f-]{1,64})', _RequestHandler, arguments),
            (r'/healthz', _HealthHandler, arguments),
            (r'/readyz', _ReadyHandler, arguments),
        ],
        default_handler_class=_NotFoundHandler,
        default_handler_args=arguments,
        log_function=lambda handler: None,
    )
    server = LimitedServer(
        application,
        ports.table,
        ports.callers,
        ssl_options=server_context(settings),
        refusal=lambda reason: refusal_of(reason, settings.max_body_bytes),
    )
    server.listen_on(settings.caller_address)
    return server
