"""Stand-in for the users' platform over HTTP: store, backend servers and host list.

It offers the emulator's store and backend servers in the platform's protocol. Tests
use it for the platform adapter and for real manager processes, so that they do not
need the users' own test bench.
"""

import asyncio
import base64
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec
import tornado.httpserver
import tornado.netutil
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine

from dandelionknot.clock import now_ms
from dandelionknot.jobs._generated import OrderOutcome, Resources, StartOrder
from dandelionknot.store import Item, Precondition, Put, WriteOutcome
from emulator.backends import Backend
from emulator.store import MemoryStore
from standins.waiting import wait_until

# HTTP status and JSON body.
Answer = tuple[int, dict]
Handler = Callable[[HTTPServerRequest], Awaitable[Answer]]
# Interval at which a waiting watch ends expired leases.
EXPIRY_INTERVAL_MS = 50
# Interval at which a waiting hold call looks for ended tasks.
HOLD_POLL_S = 0.02
DEFAULT_ROOM = Resources(cpu_millicores=16_000, memory_mb=32_000)
OK = 200
# Used in place of an HTTP status: the connection is closed without an answer.
NO_ANSWER = 0
# Used in place of an HTTP status: the connection stays open without an answer.
SILENCE = -1
# Longest time for which a late call waits for the next lifetime.
MAX_KEPT_S = 60
# Reasons of the platform's protocol for orders that were not accepted.
WIRE_REASONS = {
    OrderOutcome.FENCED: 'fence',
    OrderOutcome.SUPERSEDED: 'old',
    OrderOutcome.TOO_LATE: 'late',
}


@dataclass(slots=True)
class StandinServer:
    """One HTTP server of the platform, with its faults and a list of its calls."""

    handler: Handler
    server: tornado.httpserver.HTTPServer = field(init=False)
    address: str = ''
    # Statuses with which the next calls are answered, in order. These calls are not
    # carried out.
    faults: list[int] = field(default_factory=list)
    # While set, every call is answered with this status and not carried out.
    forced_status: int | None = None
    # Share of the calls that are carried out but not answered.
    lost_share: float = 0.0
    rng: random.Random = field(default_factory=lambda: random.Random(3))
    calls: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Creates the HTTP server."""
        self.server = tornado.httpserver.HTTPServer(self._accept)

    def listen(self) -> None:
        """Listens on a free port of the loopback address."""
        [bound_socket] = tornado.netutil.bind_sockets(0, '127.0.0.1')
        self.address = f'127.0.0.1:{bound_socket.getsockname()[1]}'
        self.server.add_socket(bound_socket)

    def _accept(self, request: HTTPServerRequest) -> None:
        asyncio.get_running_loop().create_task(self._answer(request))

    async def _answer(self, request: HTTPServerRequest) -> None:
        self.calls.append(f'{request.method} {request.path}')
        status = 0
        body: dict = {}
        if self.faults:
            status = self.faults.pop(0)
        elif self.forced_status is not None:
            status = self.forced_status
        else:
            status, body = await self.handler(request)
            if self.rng.random() < self.lost_share:
                status = NO_ANSWER
        connection = request.connection
        if status == SILENCE:
            return
        if connection is None or not status:
            if connection is not None:
                connection.detach().close()  # type: ignore[attr-defined]
            return
        data = msgspec.json.encode(body)
        headers = HTTPHeaders({'Content-Length': str(len(data))})
        start = ResponseStartLine('HTTP/1.1', status, 'Answer')
        try:
            await connection.write_headers(start, headers, data)
            connection.finish()
        except tornado.iostream.StreamClosedError:
            return


@dataclass(slots=True, frozen=True)
class LateCall:
    """A call that a backend server has carried out without an answer."""

    received_ms: int
    at_ms: int
    born_ms: int
    path: str
    body: dict
    # Status with which it would have been answered.
    status: int


def _hold_back_none(path: str) -> None:
    return None


@dataclass(slots=True)
class LateCalls:
    """Calls that a backend server leaves without an answer and carries out late.

    A late call is carried out in whatever lifetime of its id is up then, or at the
    begin of the next one if none is. For example, each start is carried out after 2 s
    with `hold_back = lambda path: asyncio.sleep(2) if path == '/run-start' else None`.
    """

    backend: Backend
    # Returns what a call to a path waits for, or None if it is answered.
    hold_back: Callable[[str], Awaitable[object] | None] = _hold_back_none
    # Whether calls that arrive while the backend server is down are kept for its next
    # lifetime. Their connections, and those of calls in progress, stay open meanwhile.
    keeps_when_down: bool = False
    # A call that is not carried out within this time is dropped; 0 is no limit.
    longest_ms: int = 0
    carried_out: list[LateCall] = field(default_factory=list)
    # Last lifetime that has answered a call, and the time of its first answer.
    reached_born_ms: int = 0
    reached_at_ms: int = 0
    tasks: set[asyncio.Task] = field(default_factory=set)

    async def answer(self, request: HTTPServerRequest) -> Answer:
        """Answers a call, or leaves it to be carried out late."""
        wait = self.hold_back(request.path)
        if wait is None and not self.backend.up and self.keeps_when_down:
            wait = asyncio.sleep(0)
        if wait is None:
            status, body = await _answer_backend_call(self.backend, request)
            if status == OK and self.reached_born_ms != self.backend.born_ms:
                self.reached_born_ms = self.backend.born_ms
                self.reached_at_ms = now_ms()
            is_silent = status == NO_ANSWER and self.keeps_when_down
            return (SILENCE if is_silent else status), body
        task = asyncio.create_task(self._carry_out(request, wait))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return SILENCE, {}

    async def _carry_out(
        self, request: HTTPServerRequest, wait: Awaitable[object]
    ) -> None:
        received_ms = now_ms()
        await wait
        await wait_until(lambda: self.backend.up, MAX_KEPT_S)
        at_ms, born_ms = now_ms(), self.backend.born_ms
        if 0 < self.longest_ms < at_ms - received_ms:
            return
        status, _ = await _answer_backend_call(self.backend, request)
        body = msgspec.json.decode(request.body)
        self.carried_out.append(
            LateCall(received_ms, at_ms, born_ms, request.path, body, status)
        )


@dataclass(slots=True)
class JobPlatform:
    """Store, host list and backend servers, with the HTTP server of each."""

    store: MemoryStore = field(default_factory=lambda: MemoryStore(random.Random(1)))
    backends_by_id: dict[str, Backend] = field(default_factory=dict)
    backend_servers_by_id: dict[str, StandinServer] = field(default_factory=dict)
    late_calls_by_backend_id: dict[str, LateCalls] = field(default_factory=dict)
    racks_by_backend_id: dict[str, str] = field(default_factory=dict)
    # Addresses of relays, registered in place of a backend server's own address.
    advertised_addresses_by_id: dict[str, str] = field(default_factory=dict)
    # Rows of the host list besides those of the backend servers' hosts.
    hosts: list[dict] = field(default_factory=list)
    host_orders: list[tuple[str, dict, str]] = field(default_factory=list)
    store_server: StandinServer = field(init=False)
    host_server: StandinServer = field(init=False)

    def __post_init__(self) -> None:
        """Starts the HTTP servers of the store and the host list."""
        self.store_server = StandinServer(self._handle_store_call)
        self.host_server = StandinServer(self._handle_host_call)
        self.store_server.listen()
        self.host_server.listen()

    def stop(self) -> None:
        """Stops all HTTP servers and drops the calls that are not carried out yet."""
        for late_calls in self.late_calls_by_backend_id.values():
            for task in late_calls.tasks:
                task.cancel()
        for standin in (
            self.store_server,
            self.host_server,
            *self.backend_servers_by_id.values(),
        ):
            standin.server.stop()

    def add_backend(
        self,
        backend_id: str,
        service: str,
        room: Resources = DEFAULT_ROOM,
        rack: str = 'r1-1',
        **fields: Any,
    ) -> Backend:
        """Starts and registers a backend server.

        It is in the host list if `fields` contains the `host_id` of its host.
        """
        fields = {'born_ms': now_ms(), 'mean_ms': 100} | fields
        backend = Backend(
            backend_id, service, 'zone-a', random.Random(2), room, **fields
        )
        late_calls = LateCalls(backend)
        standin = StandinServer(late_calls.answer)
        standin.listen()
        self.backends_by_id[backend_id] = backend
        self.racks_by_backend_id[backend_id] = rack
        self.late_calls_by_backend_id[backend_id] = late_calls
        self.backend_servers_by_id[backend_id] = standin
        self.register(backend_id)
        return backend

    def register(self, backend_id: str, **fields: object) -> None:
        """Writes the next registry entry of a backend server."""
        self.backends_by_id[backend_id].entry_number += 1
        self.put(f'servers/{backend_id}', self.entry(backend_id) | fields)

    def entry(self, backend_id: str) -> dict:
        """Returns the latest registry entry of a backend server."""
        backend = self.backends_by_id[backend_id]
        address = self.advertised_addresses_by_id.get(backend_id)
        if address is None:
            address = self.backend_servers_by_id[backend_id].address
        return {
            'service': backend.service,
            'addr': address,
            'zone': backend.zone,
            'version': 'v1',
            'slots': 8,
            'state': 'ready',
            'cold_left_ms': 0,
            'room': _wire_room(backend),
            'labels': ['std', self.racks_by_backend_id[backend_id]],
            'born': backend.born_ms,
            'machine': backend.host_id,
            'seq': backend.entry_number,
        }

    def put(self, key: str, value: object) -> int:
        """Writes an item without conditions, as operators and backend servers do."""
        return self.store.put(key, msgspec.json.encode(value))

    def configure(self, version: int, **fields: object) -> int:
        """Writes a configuration with one queue and one client account."""
        configuration = {
            'version': version,
            'routes': [
                {
                    'name': 'r-desk',
                    'host': 'desk.example',
                    'prefix': '/quotes/',
                    'service': 'desk',
                    'attempts': 3,
                    'stretch': 1.6,
                    'objective_ms': 600,
                    'public': False,
                }
            ],
            'services': [{'name': 'desk', 'admission_control': True}],
            'tenants': [{'name': 'sofia', 'keys': ['key-1'], 'weight': 5}],
        }
        return self.put('op/config', configuration | fields)

    async def _handle_store_call(self, request: HTTPServerRequest) -> Answer:
        self.store.expire()
        arguments = {
            name: values[0].decode() for name, values in request.arguments.items()
        }
        match request.path.split('/')[1]:
            case 'kv-range':
                return 200, self._range(arguments)
            case 'kv-key':
                found = self.store.items_by_key.get(arguments['key'])
                return (200, _wire_item(found)) if found else (404, {})
            case 'kv-watch':
                return await self._watch(arguments)
            case 'kv-txn':
                return self._write(msgspec.json.decode(request.body))
        return self._lease(request)

    def _range(self, arguments: dict) -> dict:
        items = [
            _wire_item(item)
            for key, item in sorted(self.store.items_by_key.items())
            if key.startswith(arguments['prefix']) and key > arguments.get('after', '')
        ]
        return {
            'items': items,
            'truncated': False,
            'store_revision': self.store.revision,
        }

    async def _watch(self, arguments: dict) -> Answer:
        after, prefix = int(arguments['after']), arguments['prefix']
        end = now_ms() + int(arguments['wait_ms'])
        while True:
            self.store.expire()
            if after < self.store.forgotten_revision:
                return 410, {}
            found = [
                _wire_item(item) for item in self.store.changes_after(after, prefix)
            ]
            left_ms = end - now_ms()
            if found or left_ms <= 0:
                return 200, {'events': found, 'store_revision': self.store.revision}
            await self.store.wait_for_change(prefix, min(left_ms, EXPIRY_INTERVAL_MS))

    def _write(self, body: dict) -> Answer:
        written = self.store.write(
            [Precondition(row['key'], row['rev']) for row in body['precondition']],
            [
                Put(row['key'], base64.b64decode(row['value']), row['lease'])
                for row in body['set_keys']
            ],
            body['delete_keys'],
        )
        if written.outcome is WriteOutcome.WRITTEN:
            return 200, {'rev': written.revision}
        if written.outcome is WriteOutcome.LEASE_ENDED:
            return 404, {}
        return 412, {'items': [_wire_item(item) for item in written.items]}

    def _lease(self, request: HTTPServerRequest) -> Answer:
        parts = request.path.split('/')
        if parts[1] == 'kv-lease':
            duration = msgspec.json.decode(request.body)['ttl_ms']
            self.store.revision += 1
            lease_id = self.store.revision
            self.store.lease_ends_by_id[lease_id] = now_ms() + duration
            self.store.lease_ms_by_id[lease_id] = duration
            return 200, {'lease': lease_id, 'ttl_ms': duration}
        lease_id = int(parts[2])
        if lease_id not in self.store.lease_ends_by_id:
            return 404, {}
        if parts[1] == 'kv-lease-end':
            self.store.end_lease(lease_id)
            return 200, {}
        duration = self.store.lease_ms_by_id[lease_id]
        self.store.lease_ends_by_id[lease_id] = now_ms() + duration
        return 200, {'ttl_ms': duration}

    def _host_rows(self) -> list[dict]:
        rows = [
            {
                'machine': backend.host_id,
                'pool': backend.service,
                'state': 'up' if backend.up else 'down',
                'zone': backend.zone,
                'labels': ['std', self.racks_by_backend_id[backend.backend_id]],
                'room': _wire_room(backend),
                'id': backend.backend_id if backend.up else None,
            }
            for backend in self.backends_by_id.values()
            if backend.host_id
        ]
        return [*self.hosts, *rows]

    async def _handle_host_call(self, request: HTTPServerRequest) -> Answer:
        if request.path == '/machines':
            return 200, {'machines': self._host_rows(), 'next_token': None}
        body = msgspec.json.decode(request.body)
        token = request.headers.get('X-Fence-Token', '')
        self.host_orders.append((request.path, body, token))
        return 200, {}


def _wire_room(backend: Backend) -> dict:
    room = backend.room
    return {'cpu': room.cpu_millicores, 'mem_mb': room.memory_mb}


def _wire_item(item: Item) -> dict:
    if item.deleted:
        return {'key': item.key, 'rev': item.revision, 'tombstone': True}
    return {
        'key': item.key,
        'value': base64.b64encode(item.value).decode(),
        'rev': item.revision,
        'created': item.created,
        'lease': item.lease_id,
    }


async def _answer_backend_call(backend: Backend, request: HTTPServerRequest) -> Answer:
    if not backend.up:
        return NO_ANSWER, {}
    if request.headers.get('X-Expect-Instance') != backend.backend_id:
        return 421, {}
    body = msgspec.json.decode(request.body)
    token = body['fence']
    clock = {'clock_ms': backend.clock(), 'born': backend.born_ms}
    if request.path == '/hold':
        return await _hold(backend, body, token)
    if request.path == '/run-start':
        order = StartOrder(
            task_name=body['task'], run=body['run'], payload=body['spec']
        )
        outcome = backend.start(order, body['deadline_ms'], token)
    else:
        outcome = backend.stop(body['task'], body['run'], token)
    if outcome is OrderOutcome.ACCEPTED:
        return 200, clock
    return 409, clock | {'reason': WIRE_REASONS[outcome]}


async def _hold(backend: Backend, body: dict, token: int) -> Answer:
    report = backend.hold(body.get('deadline_ms', 0), body['acked_upto'], token)
    if report is None:
        return 409, {'clock_ms': backend.clock(), 'reason': 'fence'}
    end = now_ms() + body.get('wait_ms', 0)
    while now_ms() < end and not backend.ends:
        await asyncio.sleep(HOLD_POLL_S)
        if not backend.up:
            return NO_ANSWER, {}
        backend.advance()
    report = backend.hold_report()
    return 200, {
        'clock_ms': report.clock_ms,
        'born': report.born_ms,
        'running': [
            [row.task_name, row.run, '', row.percent, row.reading]
            for row in report.running
        ],
        'finished': [
            [end.number, end.task_name, end.run, end.reason.value, '']
            for end in report.ended
        ],
    }
