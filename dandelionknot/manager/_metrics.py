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
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine
from tornado.iostream import StreamClosedError

from dandelionknot.addresses import split_address
from dandelionknot.clock import MILLISECONDS_PER_SECOND
from dandelionknot.events import Event

METRICS_PATH = '/metrics'
QUERY_PATH = '/where'
# Largest body of a placement query: far above that of a job with a payload of 4,000
# bytes and as many steps as a query tells about.
MAX_QUERY_BYTES = 64 * 1024
# Upper bounds of the histogram buckets, equal on all hosts so that histograms can be
# added.
HISTOGRAM_BOUNDS_S = (0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2, 4, 8, 16, 32, 64)


class ManagerMetrics:
    """The metrics of one process."""

    __slots__ = (
        '_decisions',
        '_interference',
        '_job_seconds',
        '_registry',
        '_standstill_seconds',
        '_start_seconds',
        '_task_ends',
        'leading',
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

    def observe(self, event: Event, fields: dict[str, Any]) -> None:
        """Counts an event and records the latencies in its fields."""
        self._decisions.labels(event.name.lower()).inc()
        if event is Event.TASK_ENDED:
            self._task_ends.labels(fields['reason']).inc()
        elif event is Event.TASK_STARTED and fields['run'] == 1:
            self._start_seconds.labels(
                fields['queue'], fields['client_account']
            ).observe(fields['job_age_ms'] / MILLISECONDS_PER_SECOND)
        elif event is Event.JOB_ENDED:
            self._job_seconds.labels(
                fields['queue'], fields['client_account'], fields['phase']
            ).observe(fields['job_age_ms'] / MILLISECONDS_PER_SECOND)
        elif event is Event.INTERFERENCE_FOUND:
            self._interference.labels(fields['victim'], fields['neighbour']).set(
                fields['slow_down']
            )
        elif event is Event.INTERFERENCE_ENDED:
            self._interference.remove(fields['victim'], fields['neighbour'])
        elif event is Event.JOB_RUNS_AGAIN:
            self._standstill_seconds.labels(fields['queue'], fields['cause']).observe(
                fields['stood_ms'] / MILLISECONDS_PER_SECOND
            )

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
        query: Callable[[bytes], Awaitable[tuple[int, bytes]]],
    ):
        self._metrics = metrics
        self._update = update
        self._query = query
        self._queries: set[asyncio.Task] = set()
        self._server = HTTPServer(self._answer, max_body_size=MAX_QUERY_BYTES)

    def listen(self, address: str) -> None:
        """Listens on `IP:PORT`."""
        host, port = split_address(address)
        self._server.listen(port, host)

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
