"""HTTP client for the operator API and for submitting a caller's request."""

import errno
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from http import HTTPStatus
from typing import TypeVar
from urllib.parse import quote

import msgspec
from result import Err, Ok, Result
from tornado.httpclient import (
    AsyncHTTPClient,
    HTTPClientError,
    HTTPRequest,
    HTTPResponse,
)
from tornado.simple_httpclient import HTTPStreamClosedError, HTTPTimeoutError

from dandelionknot import codec
from dandelionknot.configuration import Configuration
from dandelionknot.jobs._generated import PlacementAnswer, PlacementQuery
from dandelionknot.messages import AnswerBody, ErrorCode, Refusal, RequestBody, RunState
from dandelionknot.operators import (
    ChangeReport,
    ChangeRequest,
    FleetStatus,
    HistogramReport,
    WhyKind,
    WhyReport,
)
from dandelionknot.ports import PortErrorKind

CONNECT_TIMEOUT_MS = 2000
# Well above the largest answer: a configuration of 660 hosts is below 1 MB, and the
# status of as many hosts is smaller.
MAX_ANSWER_BYTES = 16 * 1024 * 1024
MIN_SERVER_ERROR_STATUS = 500
# Error statuses whose body is a report: a conflict and a refused edit.
REPORT_STATUSES = (HTTPStatus.CONFLICT, HTTPStatus.UNPROCESSABLE_ENTITY)
NOT_CONNECTED_ERRNOS = (errno.ECONNREFUSED, errno.EHOSTUNREACH, errno.ENETUNREACH)
# Texts of time-outs before the request was sent. Tornado raises the same class for a
# time-out after sending, so only the text distinguishes the two.
TIMEOUT_TEXTS_BEFORE_SENDING = ('while connecting', 'in request queue')

B = TypeVar('B')


@dataclass(frozen=True, slots=True, kw_only=True)
class OperatorError:
    """A call that failed or was refused.

    `code` and `run_state` are those of the entry host's refusal. They are None if the
    entry host sent no refusal.
    """

    kind: PortErrorKind
    message: str
    code: ErrorCode | None = None
    run_state: RunState | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class OperatorPort:
    """The calls of the operator API to one entry host."""

    configuration: Callable[[], Awaitable[Result[Configuration, OperatorError]]]
    status: Callable[[], Awaitable[Result[FleetStatus, OperatorError]]]
    change: Callable[[ChangeRequest], Awaitable[Result[ChangeReport, OperatorError]]]
    change_report: Callable[[str], Awaitable[Result[ChangeReport, OperatorError]]]
    why: Callable[[WhyKind, str], Awaitable[Result[WhyReport, OperatorError]]]
    histograms: Callable[[], Awaitable[Result[HistogramReport, OperatorError]]]


@dataclass(frozen=True, slots=True, kw_only=True)
class Endpoint:
    """An address `IP:PORT`, the bearer token sent to it, and the time-out of a call."""

    address: str
    token: str
    timeout_ms: int


def http_operator_port(endpoint: Endpoint) -> OperatorPort:
    """Returns the operator API over HTTP; each call opens its own connection."""

    async def configuration() -> Result[Configuration, OperatorError]:
        return await _call(endpoint, 'GET', '/v1/configuration', Configuration)

    async def status() -> Result[FleetStatus, OperatorError]:
        return await _call(endpoint, 'GET', '/v1/status', FleetStatus)

    async def change(request: ChangeRequest) -> Result[ChangeReport, OperatorError]:
        body = codec.encode_json(request)
        return await _call(endpoint, 'POST', '/v1/changes', ChangeReport, body)

    async def change_report(change_id: str) -> Result[ChangeReport, OperatorError]:
        path = f'/v1/changes/{quote(change_id, safe="")}'
        return await _call(endpoint, 'GET', path, ChangeReport)

    async def why(kind: WhyKind, name: str) -> Result[WhyReport, OperatorError]:
        path = f'/v1/why/{kind.value}/{quote(name, safe="")}'
        return await _call(endpoint, 'GET', path, WhyReport)

    async def histograms() -> Result[HistogramReport, OperatorError]:
        return await _call(endpoint, 'GET', '/v1/histograms', HistogramReport)

    return OperatorPort(
        configuration=configuration,
        status=status,
        change=change,
        change_report=change_report,
        why=why,
        histograms=histograms,
    )


async def submit_request(
    endpoint: Endpoint, request: RequestBody
) -> Result[AnswerBody, OperatorError]:
    """Sends a caller's request; the token may be empty for queues open to all."""
    body = codec.encode_json(request)
    return await _call(endpoint, 'POST', '/v1/requests', AnswerBody, body)


async def ask_placement(
    endpoint: Endpoint, query: PlacementQuery
) -> Result[PlacementAnswer, OperatorError]:
    """Asks a manager where a job would be placed.

    An answer that names no placement has an error status, and is returned too.
    """
    fetched = await _fetch(endpoint, 'POST', '/where', msgspec.json.encode(query))
    if isinstance(fetched, Err):
        return fetched
    response, source = fetched.ok_value, f'manager {endpoint.address}'
    try:
        return Ok(msgspec.json.decode(response.body, type=PlacementAnswer))
    except (msgspec.DecodeError, UnicodeDecodeError):
        message = f'{source} answered with HTTP status {response.code}'
        return Err(OperatorError(kind=PortErrorKind.MALFORMED, message=message))


async def _call(
    endpoint: Endpoint,
    method: str,
    path: str,
    cls: type[B],
    body: bytes | None = None,
) -> Result[B, OperatorError]:
    fetched = await _fetch(endpoint, method, path, body)
    if isinstance(fetched, Err):
        return fetched
    response, source = fetched.ok_value, f'entry host {endpoint.address}'
    return _decode_answer(source, response.code, response.body, cls)


async def _fetch(
    endpoint: Endpoint, method: str, path: str, body: bytes | None
) -> Result[HTTPResponse, OperatorError]:
    source = f'entry host {endpoint.address}'
    headers = {'Content-Type': 'application/json'} if body is not None else {}
    if endpoint.token:
        headers['Authorization'] = f'Bearer {endpoint.token}'
    request = HTTPRequest(
        f'http://{endpoint.address}{path}',
        method=method,
        headers=headers,
        body=body,
        connect_timeout=min(CONNECT_TIMEOUT_MS, endpoint.timeout_ms) / 1000,
        request_timeout=endpoint.timeout_ms / 1000,
        # The token must not follow a redirect to another host.
        follow_redirects=False,
    )
    client = AsyncHTTPClient(force_instance=True, max_body_size=MAX_ANSWER_BYTES)
    try:
        return Ok(await client.fetch(request, raise_error=False))
    except (OSError, HTTPClientError, ValueError) as error:
        return Err(_transport_error(source, error))
    finally:
        client.close()


def _transport_error(source: str, error: BaseException) -> OperatorError:
    text = str(error)
    if isinstance(error, HTTPTimeoutError):
        was_sent = not any(words in text for words in TIMEOUT_TEXTS_BEFORE_SENDING)
        problem = (
            'did not answer in time' if was_sent else 'could not be reached in time'
        )
    elif isinstance(error, HTTPStreamClosedError):
        was_sent, problem = True, 'closed the connection without an answer'
    elif isinstance(error, OSError):
        # Resetting the connection after the request was sent is an OSError too.
        was_sent = error.errno not in NOT_CONNECTED_ERRNOS
        problem = 'dropped the connection' if was_sent else 'cannot be reached'
    else:
        was_sent, problem = True, f'gave no usable answer: {text}'
    kind = PortErrorKind.NO_ANSWER if was_sent else PortErrorKind.NOT_SENT
    return OperatorError(kind=kind, message=f'{source} {problem}')


def _decode_answer(
    source: str, status: int, body: bytes, cls: type[B]
) -> Result[B, OperatorError]:
    if 200 <= status < 300:
        answer = codec.decode_json(body, cls, source)
        if isinstance(answer, Ok):
            return answer
        message = f'answer of {answer.err_value}'
        return Err(OperatorError(kind=PortErrorKind.MALFORMED, message=message))
    refusal = codec.decode_json(body, Refusal, source)
    if isinstance(refusal, Ok):
        return Err(
            OperatorError(
                kind=PortErrorKind.REJECTED,
                message=refusal.ok_value.message,
                code=refusal.ok_value.code,
                run_state=refusal.ok_value.run_state,
            )
        )
    if status in REPORT_STATUSES:
        report = codec.decode_json(body, cls, source)
        if isinstance(report, Ok):
            return report
    # A server error without a typed refusal does not show whether anything was done.
    is_server_error = status >= MIN_SERVER_ERROR_STATUS
    kind = PortErrorKind.NO_ANSWER if is_server_error else PortErrorKind.REJECTED
    message = f'{source} answered with HTTP status {status}'
    return Err(OperatorError(kind=kind, message=message))
