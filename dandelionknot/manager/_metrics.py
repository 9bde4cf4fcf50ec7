"""Counters and latency histograms of a manager, served as text.

They are updated from the same events that are logged. Events are also counted where
their log lines are dropped.
"""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Any

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import CONTENT_TYPE_LATEST, generate_latest
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine
from tornado.iostream import StreamClosedError

from dandelionknot._http_server import LimitedServer
from dandelionknot._request_limits import Port, RequestTable
from dandelionknot.clock import MILLISECONDS_PER_SECOND
from dandelionknot.events import Event

METRICS_PATH = '/metrics'
QUERY_PATH = '/where'
# Upper bounds of the histogram buckets, equal on all hosts so that histograms can be
# added.
HISTOGRAM_BOUNDS_S = (0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2, 4, 8, 16, 32, 64)


class ManagerMetrics:
    """The metrics of one process."""

    __slots__ = (
        '_client_limits',
        '_decisions',
        '_interference',
        '_job_seconds',
        '_pool_hosts',
        '_record_by_event',
        '_refused_for_load',
        '_registry',
        '_standstill_seconds',
        '_start_seconds',
        '_task_ends',
        'client_connections',
        'leading',
        'request_bytes',
        'view_age',
    )

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self._decisions = Counter(
            'dandelionknot_decisions',
            'Decisions and changes of belief by event',
            ['event'],
            registry=self._registry,
        )
        self._task_ends = Counter(
            'dandelionknot_task_ends',
            'Ends of runs by reason',
            ['reason'],
            registry=self._registry,
        )
        self._refused_for_load = Counter(
            'dandelionknot_refused_for_load',
            'Jobs refused because they could not have ended in useful time',
            ['queue', 'cause'],
            registry=self._registry,
        )
        self._start_seconds = Histogram(
            'dandelionknot_start_seconds',
            'Time from the acceptance of a job to the start of a first run',
            ['queue', 'client_account'],
            buckets=HISTOGRAM_BOUNDS_S,
            registry=self._registry,
        )
        self._job_seconds = Histogram(
            'dandelionknot_job_seconds',
            'Time from the acceptance of a job to its end',
            ['queue', 'client_account', 'phase'],
            buckets=HISTOGRAM_BOUNDS_S,
            registry=self._registry,
        )
        self._standstill_seconds = Histogram(
            'dandelionknot_standstill_seconds',
            'Time for which nothing of a job ran although a task was ready',
            ['queue', 'cause'],
            buckets=HISTOGRAM_BOUNDS_S,
            registry=self._registry,
        )
        self._pool_hosts = Gauge(
            'dandelionknot_pool_hosts',
            'Hosts of each pool by kind: wanted, present, arriving, running, pinned',
            ['pool', 'kind'],
            registry=self._registry,
        )
        self._client_limits = Counter(
            'dandelionknot_client_limits',
            'Connections closed and requests refused because of a limit on clients',
            ['port', 'reason'],
            registry=self._registry,
        )
        self.client_connections = Gauge(
            'dandelionknot_client_connections',
            'Open connections of clients',
            ['port'],
            registry=self._registry,
        )
        self.request_bytes = Gauge(
            'dandelionknot_request_bytes',
            'Memory kept for requests that are not answered yet',
            registry=self._registry,
        )
        self._interference = Gauge(
            'dandelionknot_interference_slow_down',
            'Factor by which tasks of an image are slowed beside a neighbour',
            ['victim', 'neighbour'],
            registry=self._registry,
        )
        self.leading = Gauge(
            'dandelionknot_leading',
            'Whether this process decides where tasks run',
            registry=self._registry,
        )
        self.view_age = Gauge(
            'dandelionknot_view_age_seconds',
            'How old what is known of the store may be',
            registry=self._registry,
        )
        self._record_by_event: dict[Event, Callable[[dict[str, Any]], None]] = {
            Event.TASK_STARTED: self._record_task_start,
            Event.TASK_ENDED: self._record_task_end,
            Event.JOB_ENDED: self._record_job_end,
            Event.JOB_REFUSED: self._record_refusal,
            Event.JOB_RUNS_AGAIN: self._record_standstill,
            Event.POOL_HOSTS: self._record_pool,
            Event.CLIENTS_LIMITED: self._record_limited_clients,
            Event.INTERFERENCE_FOUND: self._record_interference,
            Event.INTERFERENCE_ENDED: self._record_interference_end,
        }

    def observe(self, event: Event, fields: dict[str, Any]) -> None:
        """Counts an event and records what its fields measure."""
        self._decisions.labels(event.name.lower()).inc()
        record = self._record_by_event.get(event)
        if record is not None:
            record(fields)

    def _record_task_start(self, fields: dict[str, Any]) -> None:
        if fields['run'] == 1:
            self._start_seconds.labels(
                fields['queue'], fields['client_account']
            ).observe(fields['job_age_ms'] / MILLISECONDS_PER_SECOND)

    def _record_task_end(self, fields: dict[str, Any]) -> None:
        self._task_ends.labels(fields['reason']).inc()

    def _record_job_end(self, fields: dict[str, Any]) -> None:
        self._job_seconds.labels(
            fields['queue'], fields['client_account'], fields['phase']
        ).observe(fields['job_age_ms'] / MILLISECONDS_PER_SECOND)

    def _record_refusal(self, fields: dict[str, Any]) -> None:
        if 'cause' in fields:
            self._refused_for_load.labels(fields['queue'], fields['cause']).inc()

    def _record_standstill(self, fields: dict[str, Any]) -> None:
        self._standstill_seconds.labels(fields['queue'], fields['cause']).observe(
            fields['stood_ms'] / MILLISECONDS_PER_SECOND
        )

    def _record_pool(self, fields: dict[str, Any]) -> None:
        for kind in ('wanted', 'present', 'arriving', 'running', 'pinned'):
            self._pool_hosts.labels(fields['pool'], kind).set(fields[kind])

    def _record_limited_clients(self, fields: dict[str, Any]) -> None:
        counter = self._client_limits.labels(fields['port'], fields['reason'])
        counter.inc(fields['count'])

    def _record_interference(self, fields: dict[str, Any]) -> None:
        gauge = self._interference.labels(fields['victim'], fields['neighbour'])
        gauge.set(fields['slow_down'])

    def _record_interference_end(self, fields: dict[str, Any]) -> None:
        self._interference.remove(fields['victim'], fields['neighbour'])

    def forget_decisions_of_leader(self) -> None:
        """Removes what only a leader knows."""
        self._interference.clear()

    def text(self) -> bytes:
        """Returns all metrics in the text format of Prometheus."""
        return generate_latest(self._registry)


class MetricsServer:
    """Serves the metrics of a process over HTTP; calls `update` before each answer.

    It also passes the bodies of placement queries to `query`, which returns a status
    and the body of the answer.
    """

    __slots__ = ('_metrics', '_queries', '_query', '_server', '_update')

    def __init__(
        self,
        metrics: ManagerMetrics,
        update: Callable[[], None],
        table: RequestTable,
        limits: Port,
        query: Callable[[bytes], Awaitable[tuple[int, bytes]]],
    ):
        self._metrics = metrics
        self._update = update
        self._query = query
        self._queries: set[asyncio.Task] = set()
        self._server = LimitedServer(self._answer, table, limits)

    def listen(self, address: str) -> None:
        """Listens on `IP:PORT`."""
        self._server.listen_on(address)

    def _answer(self, request: HTTPServerRequest) -> None:
        if request.path == QUERY_PATH and request.method == 'POST':
            query = asyncio.create_task(self._answer_query(request))
            self._queries.add(query)
            query.add_done_callback(self._queries.discard)
            return
        status, body = HTTPStatus.NOT_FOUND, b''
        if request.path == METRICS_PATH:
            self._update()
            status, body = HTTPStatus.OK, self._metrics.text()
        _respond(request, status, body, CONTENT_TYPE_LATEST)

    async def _answer_query(self, request: HTTPServerRequest) -> None:
        status, body = await self._query(request.body)
        _respond(request, status, body, 'application/json')


def _respond(
    request: HTTPServerRequest, status: int, body: bytes, content_type: str
) -> None:
    headers = HTTPHeaders(
        {'Content-Type': content_type, 'Content-Length': str(len(body))}
    )
    connection = request.connection
    if connection is not None:
        start = ResponseStartLine('HTTP/1.1', status, HTTPStatus(status).phrase)
        with contextlib.suppress(StreamClosedError):
            connection.write_headers(start, headers, body)
            connection.finish()
