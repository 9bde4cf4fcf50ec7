"""HTTP calls with time limits whose failures are `PortError` values."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Generic, TypeVar

import pycurl
from result import Err, Ok, Result
from tornado.curl_httpclient import CurlAsyncHTTPClient, CurlError
from tornado.httpclient import HTTPRequest

from dandelionknot import codec
from dandelionknot.clock import seconds
from dandelionknot.ports import PortError, PortErrorKind
from dandelionknot.settings import EntrySettings

HTTP_SERVER_ERROR = 500
# The connection was never made, so the server cannot have seen the request.
NOT_SENT_CURL_CODES = frozenset(
    {
        pycurl.E_COULDNT_CONNECT,
        pycurl.E_COULDNT_RESOLVE_HOST,
        pycurl.E_INTERFACE_FAILED,
    }
)

T = TypeVar('T')
Call = Callable[..., Awaitable[Result]]


@dataclass(slots=True)
class ConnectionHealth:
    """Whether the pooled connections to one server may have gone silent."""

    suspect: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class HttpTarget:
    """One server, the time limits of its calls and the client that reaches it."""

    client: CurlAsyncHTTPClient
    address: str
    connect_timeout_ms: int
    read_timeout_ms: int
    source_ip: str | None
    health: ConnectionHealth


def http_target(
    settings: EntrySettings, client: CurlAsyncHTTPClient, address: str
) -> HttpTarget:
    """Returns the target at an address with the time limits of the settings."""
    return HttpTarget(
        client=client,
        address=address,
        connect_timeout_ms=settings.connect_timeout_ms,
        read_timeout_ms=settings.read_timeout_ms,
        source_ip=settings.source_ip,
        health=ConnectionHealth(),
    )


class HttpClient(CurlAsyncHTTPClient):
    """Tornado's curl client that sets fewer timers and can be closed during calls."""

    _due_s = 0.0

    def _set_timeout(self, msecs: int) -> None:
        """Sets the timer that libcurl asks for, unless an earlier one is set.

        libcurl may be called before the time, and then asks for the rest of
        it. A negative time means that it needs no timer.
        """
        if msecs < 0:
            if self._timeout is not None:
                self.io_loop.remove_timeout(self._timeout)
                self._timeout = None
            return
        due_s = self.io_loop.time() + seconds(msecs)
        if self._timeout is None or due_s < self._due_s:
            self._due_s = due_s
            super()._set_timeout(msecs)

    def close(self) -> None:
        """Closes the connections; a second call does nothing.

        Closing the handles makes libcurl ask for one more timeout, which
        would run on a client that is gone.
        """
        if self._multi is None:
            return
        super().close()
        if self._timeout is not None:
            self.io_loop.remove_timeout(self._timeout)


def new_http_client(max_connections: int) -> HttpClient:
    """Returns a client that keeps connections open and reuses them."""
    return HttpClient(force_instance=True, max_clients=max_connections)


@dataclass(slots=True)
class Known(Generic[T]):
    """The last answer to a conditional call and its entity tag."""

    entity_tag: str = ''
    value: T | None = None


def _headers(known: Known | None) -> dict[str, str]:
    headers = {'Content-Type': 'application/json'}
    if known is not None and known.entity_tag:
        headers['If-None-Match'] = known.entity_tag
    return headers


def _prepare(target: HttpTarget, fresh: bool) -> Callable[[pycurl.Curl], None]:
    def prepare(curl: pycurl.Curl) -> None:
        curl.setopt(pycurl.FRESH_CONNECT, int(fresh))
        curl.setopt(pycurl.TCP_NODELAY, 1)
        if target.source_ip:
            curl.setopt(pycurl.INTERFACE, target.source_ip)
        # libcurl sends a request again over a new connection if a reused one
        # was closed without an answer, although the first may have taken effect.
        # It gives up instead when the body cannot be sent from its start.
        curl.setopt(pycurl.IOCTLFUNCTION, lambda command: pycurl.IOE_FAILRESTART)
        curl.setopt(pycurl.SEEKFUNCTION, lambda offset, origin: pycurl.SEEKFUNC_FAIL)

    return prepare


def _error_kind(error: BaseException) -> PortErrorKind:
    if isinstance(error, CurlError) and error.errno in NOT_SENT_CURL_CODES:
        return PortErrorKind.NOT_SENT
    return PortErrorKind.NO_ANSWER


async def call(
    target: HttpTarget,
    method: str,
    path: str,
    cls: type[T],
    body: object | None = None,
    extra_wait_ms: int = 0,
    known: Known[T] | None = None,
) -> Result[T, PortError]:
    """Makes one call and decodes the answer into a schema class.

    `extra_wait_ms` is added to the read timeout for calls in which the server
    waits on purpose. After a call without an answer the next one opens a new
    connection, since a pooled one may have gone silent. `known` makes the call
    conditional: an unchanged resource is not sent again.
    """
    timeout_ms = target.connect_timeout_ms + target.read_timeout_ms + extra_wait_ms
    request = HTTPRequest(
        f'http://{target.address}{path}',
        method=method,
        body=None if body is None else codec.encode_json(body),
        headers=_headers(known),
        allow_nonstandard_methods=True,
        connect_timeout=seconds(target.connect_timeout_ms),
        request_timeout=seconds(timeout_ms),
        prepare_curl_callback=_prepare(target, target.health.suspect),
    )
    try:
        response = await target.client.fetch(request, raise_error=False)
    except asyncio.CancelledError:
        raise
    except Exception as error:  # noqa: BLE001 - the client raises library errors
        return Err(PortError(kind=PortErrorKind.NO_ANSWER, message=str(error)))
    if response.code == 599:  # noqa: PLR2004 - Tornado's code for no HTTP answer
        target.health.suspect = True
        kind = _error_kind(response.error or OSError())
        return Err(PortError(kind=kind, message=f'{path}: {response.error}'))
    target.health.suspect = False
    if response.code == HTTPStatus.NOT_MODIFIED and known and known.value is not None:
        return Ok(known.value)
    if response.code >= HTTP_SERVER_ERROR:
        message = f'{path}: HTTP status {response.code}'
        return Err(PortError(kind=PortErrorKind.NO_ANSWER, message=message))
    decoded = codec.decode_json(response.body or b'', cls, path)
    if isinstance(decoded, Err):
        problem = str(decoded.err_value)
        return Err(PortError(kind=PortErrorKind.MALFORMED, message=problem))
    if known is not None:
        known.entity_tag = response.headers.get('Etag', '')
        known.value = decoded.ok_value
    return Ok(decoded.ok_value)
