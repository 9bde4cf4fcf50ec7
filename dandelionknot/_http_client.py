"""HTTP client for many servers; failed calls are returned as `PortError` values."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Generic, TypeVar
from urllib.parse import urlsplit

from result import Err, Ok, Result
from tornado.httpclient import HTTPRequest
from tornado.httputil import HTTPHeaders

from dandelionknot import codec
from dandelionknot._http_connections import HttpConnections
from dandelionknot.clock import MILLISECONDS_PER_SECOND
from dandelionknot.errors import PortError, PortErrorKind
from dandelionknot.settings import EntrySettings

MIN_SERVER_ERROR_STATUS = 500
# Time limits of a `fetch` whose request sets none.
DEFAULT_CONNECT_TIMEOUT_MS = 20_000
DEFAULT_TIMEOUT_MS = 20_000

T = TypeVar('T')
HttpCall = Callable[..., Awaitable[Result]]


@dataclass(slots=True)
class ConnectionHealth:
    """Whether the pooled connections to one server may be dead without being closed."""

    is_suspect: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class HttpTarget:
    """Address of a server, the time limits of calls to it and the client to use."""

    client: 'HttpClient'
    address: str
    connect_timeout_ms: int
    read_timeout_ms: int
    source_ip: str | None
    health: ConnectionHealth


def http_target(
    settings: EntrySettings, client: 'HttpClient', address: str
) -> HttpTarget:
    """Returns the target for an address, with the time limits of the settings."""
    return HttpTarget(
        client=client,
        address=address,
        connect_timeout_ms=settings.connect_timeout_ms,
        read_timeout_ms=settings.read_timeout_ms,
        source_ip=settings.source_ip,
        health=ConnectionHealth(),
    )


@dataclass(slots=True)
class FetchResult:
    """Response to a call; `error` is set if there was no response."""

    code: int = 0
    body: bytes = b''
    headers: HTTPHeaders = field(default_factory=HTTPHeaders)
    error: PortError | None = None


class HttpClient:
    """Client that reuses connections and limits the number of concurrent calls."""

    __slots__ = ('_connections', '_call_slots')

    def __init__(self, max_connections: int):
        self._connections: dict[tuple[str, str | None], HttpConnections] = {}
        self._call_slots = asyncio.Semaphore(max_connections)

    def connections(
        self, address: str, source_ip: str | None, connect_timeout_ms: int
    ) -> HttpConnections:
        """Returns the connection pool of a server, and creates it at first use."""
        key = address, source_ip
        found = self._connections.get(key)
        if found is None:
            found = HttpConnections(address, source_ip, connect_timeout_ms)
            self._connections[key] = found
        return found

    async def call(
        self,
        connections: HttpConnections,
        method: str,
        path: str,
        body: bytes | None,
        timeout_ms: int,
        headers: dict[str, str],
        use_new_connection: bool = False,
    ) -> FetchResult:
        """Makes one call; its time limit excludes the wait for a free call slot."""
        async with self._call_slots:
            result = await connections.call(
                method, path, body, timeout_ms, headers, use_new_connection
            )
        if isinstance(result, Err):
            return FetchResult(error=result.err_value)
        response = result.ok_value
        return FetchResult(response.status, response.body, response.headers)

    async def fetch(
        self, request: HTTPRequest | str, raise_error: bool = False
    ) -> FetchResult:
        """Makes the call described by a URL or a Tornado request.

        With `raise_error`, a call without a response raises `ConnectionError`.
        """
        if isinstance(request, str):
            request = HTTPRequest(request)
        parts = urlsplit(request.url)
        path = parts.path or '/'
        if parts.query:
            path += f'?{parts.query}'
        connect_ms = _milliseconds(request.connect_timeout, DEFAULT_CONNECT_TIMEOUT_MS)
        timeout_ms = _milliseconds(request.request_timeout, DEFAULT_TIMEOUT_MS)
        fetched = await self.call(
            self.connections(parts.netloc, None, connect_ms),
            request.method,
            path,
            request.body,
            timeout_ms,
            dict(request.headers),
        )
        if raise_error and fetched.error is not None:
            raise ConnectionError(fetched.error.message)
        return fetched

    def close(self) -> None:
        """Closes all idle connections; a second call does nothing."""
        for connections in self._connections.values():
            connections.close()


def _milliseconds(duration_s: float | None, default_ms: int) -> int:
    return int(duration_s * MILLISECONDS_PER_SECOND) if duration_s else default_ms


def new_http_client(max_connections: int) -> HttpClient:
    """Returns a client that makes at most `max_connections` calls at a time."""
    return HttpClient(max_connections)


@dataclass(slots=True)
class CachedValue(Generic[T]):
    """Decoded response to the last conditional call, and its entity tag."""

    entity_tag: str = ''
    value: T | None = None


def _request_headers(known: CachedValue | None) -> dict[str, str]:
    headers = {'Content-Type': 'application/json'}
    if known is not None and known.entity_tag:
        headers['If-None-Match'] = known.entity_tag
    return headers


async def call(
    target: HttpTarget,
    method: str,
    path: str,
    cls: type[T],
    body: object | None = None,
    extra_wait_ms: int = 0,
    known: CachedValue[T] | None = None,
) -> Result[T, PortError]:
    """Makes one call and decodes the response into a schema class.

    `extra_wait_ms` is added to the read timeout for long polls, in which the server
    delays its response on purpose. After a call without a response the next call
    opens a new connection, since the pooled ones may be dead. `known` caches the
    response. If it has one already, the call is conditional: the server sends the
    resource only if the resource has changed.
    """
    timeout_ms = target.connect_timeout_ms + target.read_timeout_ms + extra_wait_ms
    connections = target.client.connections(
        target.address, target.source_ip, target.connect_timeout_ms
    )
    response = await target.client.call(
        connections,
        method,
        path,
        None if body is None else codec.encode_json(body),
        timeout_ms,
        _request_headers(known),
        target.health.is_suspect,
    )
    if response.error is not None:
        target.health.is_suspect = True
        message = f'{path}: {response.error.message}'
        return Err(PortError(kind=response.error.kind, message=message))
    target.health.is_suspect = False
    if response.code == HTTPStatus.NOT_MODIFIED and known and known.value is not None:
        return Ok(known.value)
    if response.code >= MIN_SERVER_ERROR_STATUS:
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
