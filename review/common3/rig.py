"""Stand-ins for the platform, backend servers and clients, and manager processes.

They follow the users' protocol page and need nothing but Python's standard library.
The names on the wire are those of that page: a worker is a backend server and a
submission is a job.
"""

import asyncio
import base64
import contextlib
import json
import os
import resource
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HOST = 'desk.example'
KEY = 'key-1'
# Figures of the users' small installations.
VALUE_BYTES = 1_048_576
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000
MAX_ENTRIES = 32
HOLD_MAX_MS = 6000
STOP_MS = 400
BEAT_S = 1.5
ENDS_LISTED = 500
MACHINE_FDS = 4100
MAX_ADVICE_CALLS = 32
MACHINE_MEMORY_MB = 300
# Statuses that stand-ins use in place of an answer.
SILENT = -1
CLOSE = 0


def now_ms() -> int:
    """Returns the steady clock."""
    return time.monotonic_ns() // 1_000_000


def unix_ms() -> int:
    """Returns the time of day."""
    return time.time_ns() // 1_000_000


class Record:
    """The lines of `record.txt`, with the time since the begin of the case."""

    def __init__(self, path: Path):
        self._file = path.open('w', encoding='utf-8')
        self._begin_ms = now_ms()

    def note(self, text: str, show: bool = True) -> None:
        """Writes a line, and shows it unless it is one of many."""
        line = f'{now_ms() - self._begin_ms:7d} ms  {text}'
        self._file.write(line + '\n')
        self._file.flush()
        if show:
            print(line, flush=True)


@dataclass
class Request:
    """One HTTP request."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def json(self) -> dict:
        """Returns the decoded body."""
        return json.loads(self.body) if self.body else {}


Answer = tuple[int, dict]
Handler = Callable[[Request], Awaitable[Answer]]


class Server:
    """An HTTP/1.1 server on a free loopback port."""

    def __init__(self, handler: Handler):
        self.handler = handler
        self.address = ''
        self.writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def listen(self, address: str = '127.0.0.1:0') -> None:
        """Listens; a later call with the same address listens there again."""
        host, _, port = address.rpartition(':')
        self._server = await asyncio.start_server(
            self._serve, host, int(port), backlog=4096
        )
        bound_port = self._server.sockets[0].getsockname()[1]
        self.address = f'{host}:{bound_port}'

    def stop(self) -> None:
        """Refuses new connections and resets the open ones, as a dead process does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        try:
            with contextlib.suppress(
                OSError, asyncio.IncompleteReadError, asyncio.CancelledError
            ):
                await self._serve_requests(reader, writer)
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _serve_requests(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            request = await read_request(reader)
            if request is None:
                return
            status, body = await self.handler(request)
            if status == SILENT:
                await asyncio.sleep(3600)
            if status == CLOSE:
                return
            data = json.dumps(body).encode()
            head = f'HTTP/1.1 {status} A\r\nContent-Length: {len(data)}\r\n'
            head += 'Content-Type: application/json\r\n\r\n'
            writer.write(head.encode() + data)
            await writer.drain()


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Reads one request; returns None at the end of the connection."""
    head = await reader.readuntil(b'\r\n\r\n')
    lines = head.decode('latin-1').split('\r\n')
    method, target, _ = lines[0].split(' ', 2)
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(':')
        if colon:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get('content-length', 0)))
    parts = urlsplit(target)
    query = {k: v[0] for k, v in parse_qs(parts.query, keep_blank_values=True).items()}
    return Request(method, unquote(parts.path), query, headers, body)


@dataclass
class Item:
    """An item of the store."""

    key: str
    value: bytes
    rev: int
    created: int
    lease: int = 0

    def wire(self) -> dict:
        """Returns the item as it is sent."""
        return {
            'key': self.key,
            'value': base64.b64encode(self.value).decode(),
            'rev': self.rev,
            'created': self.created,
            'lease': self.lease,
        }


class Store:
    """The platform's store: it loses nothing and answers in revision order."""

    def __init__(self, record: Record):
        self.record = record
        self.server = Server(self._handle)
        self.items: dict[str, Item] = {}
        self.history: list[tuple[int, str, dict]] = []
        self.rev = 10
        self.leases: dict[int, tuple[int, int]] = {}
        self.changed = asyncio.Event()
        self.refused = 0
        self.largest_value = 0

    def put(self, key: str, value: object) -> None:
        """Writes an item as the operator or a worker does."""
        self.rev += 1
        self._put(key, json.dumps(value).encode(), 0)
        self._wake()

    def delete(self, key: str) -> None:
        """Deletes an item, if it exists."""
        if key in self.items:
            self.rev += 1
            self._delete(key)
            self._wake()

    def _put(self, key: str, value: bytes, lease: int) -> None:
        known = self.items.get(key)
        created = known.created if known else self.rev
        item = Item(key, value, self.rev, created, lease)
        self.items[key] = item
        self.history.append((self.rev, key, item.wire()))

    def _delete(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            event = {'key': key, 'rev': self.rev, 'tombstone': True}
            self.history.append((self.rev, key, event))

    def _wake(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    def _expire(self) -> None:
        now = now_ms()
        for lease, (end, _) in list(self.leases.items()):
            if end <= now:
                self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        self.leases.pop(lease, None)
        for item in list(self.items.values()):
            if item.lease == lease:
                self.delete(item.key)

    async def _handle(self, request: Request) -> Answer:
        await asyncio.sleep(0.002)
        self._expire()
        kind = request.path.split('/')[1]
        if kind == 'kv-range':
            return 200, self._range(request.query)
        if kind == 'kv-key':
            item = self.items.get(request.query['key'])
            return (
                (200, item.wire() | {'store_revision': self.rev})
                if item
                else (
                    404,
                    {},
                )
            )
        if kind == 'kv-watch':
            return await self._watch(request.query)
        if kind == 'kv-txn':
            return self._write(request.json())
        return self._lease(kind, request)

    def _range(self, query: dict[str, str]) -> dict:
        after, prefix = query.get('after', ''), query.get('prefix', '')
        found, size = [], 0
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        for key in keys:
            wire = self.items[key].wire()
            if found and (len(found) >= PAGE_ITEMS or size > PAGE_BYTES):
                break
            found.append(wire)
            size += len(wire['value'])
        return {
            'items': found,
            'truncated': len(found) < len(keys),
            'store_revision': self.rev,
        }

    async def _watch(self, query: dict[str, str]) -> Answer:
        after, prefix = int(query['after']), query.get('prefix', '')
        end = now_ms() + int(query['wait_ms'])
        while True:
            self._expire()
            found = []
            for rev, key, event in reversed(self.history):
                if rev <= after:
                    break
                if key.startswith(prefix):
                    found.append(event)
            left = end - now_ms()
            if found or left <= 0:
                return 200, {'events': found[::-1], 'store_revision': self.rev}
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(min(left, 50) / 1000):
                    await self.changed.wait()

    def _write(self, body: dict) -> Answer:
        conditions = body.get('precondition', [])
        puts, deletes = body.get('set_keys', []), body.get('delete_keys', [])
        values = [base64.b64decode(row['value']) for row in puts]
        self.largest_value = max([self.largest_value, *map(len, values)])
        entries = len(conditions) + len(puts) + len(deletes)
        if entries > MAX_ENTRIES or any(len(v) > VALUE_BYTES for v in values):
            self.refused += 1
            sizes = [(r['key'], len(v)) for r, v in zip(puts, values, strict=True)]
            sizes = [size for size in sizes if size[1] > VALUE_BYTES]
            if self.refused < 4:
                self.record.note(f'store refuses a write with 400: too large {sizes}')
            return 400, {'reason': 'too large'}
        failed = False
        for row in conditions:
            known = self.items.get(row['key'])
            failed = failed or (known.rev if known else 0) != row['rev']
        if failed:
            empty = {'value': '', 'rev': 0, 'created': 0, 'lease': 0}
            items = [
                self.items[row['key']].wire()
                if row['key'] in self.items
                else {'key': row['key']} | empty
                for row in conditions
            ]
            return 412, {'items': items}
        for row in puts:
            if row.get('lease') and row['lease'] not in self.leases:
                return 404, {}
        self.rev += 1
        for row, value in zip(puts, values, strict=True):
            self._put(row['key'], value, row.get('lease', 0))
        for key in deletes:
            self._delete(key)
        self._wake()
        return 200, {'rev': self.rev}

    def _lease(self, kind: str, request: Request) -> Answer:
        if kind == 'kv-lease':
            ttl = max(1000, request.json()['ttl_ms'])
            self.rev += 1
            self.leases[self.rev] = (now_ms() + ttl, ttl)
            return 200, {'lease': self.rev, 'ttl_ms': ttl}
        lease = int(request.path.split('/')[2])
        if lease not in self.leases:
            return 404, {}
        ttl = self.leases[lease][1]
        if kind == 'kv-lease-end':
            self._end_lease(lease)
        else:
            self.leases[lease] = (now_ms() + ttl, ttl)
        return 200, {'ttl_ms': ttl}


@dataclass
class Run:
    """A run of a task on a worker."""

    task: str
    run: int
    began_ms: int
    end_ms: int
    how: str = 'done'
    stop_ms: int = 0


def _never_held_back(_: Request) -> float | None:
    return None


@dataclass
class Worker:
    """One worker over its lifetimes."""

    store: Store
    record: Record
    worker_id: str
    service: str
    room: dict[str, int]
    rack: str = 'r1-1'
    machine: str = ''
    guards: bool = True
    # Returns how long a run lasts and how it ends.
    lasts: Callable[[str, int], tuple[int, str]] = lambda task, run: (300, 'done')
    # Resources of a task, from its name.
    needs: Callable[[str], dict[str, int]] = lambda task: {}
    # Returns after how many seconds a call is carried out that gets no answer.
    held_back: Callable[[Request], float | None] = _never_held_back
    # Whether calls get no answer and have no effect.
    silent: bool = False
    # Whether starts need a ticket, and the step and the end of each ticket.
    needs_ticket: bool = False
    tickets: dict[str, tuple[str, int]] = field(default_factory=dict)
    up: bool = False
    born: int = 0
    started: int = 0
    seq: int = 0
    state: str = 'ready'
    fence: int = 0
    deadline: int = 0
    runs: dict[str, Run] = field(default_factory=dict)
    # Sum of the resources of all runs.
    used: dict[str, int] = field(default_factory=dict)
    barred: dict[str, int] = field(default_factory=dict)
    ends: list[list] = field(default_factory=list)
    next_end: int = 1
    acked: int = 0
    # All starts in all lifetimes, and the number of ends by task and reason.
    starts: list[tuple[int, str, int]] = field(default_factory=list)
    ended: dict[tuple[str, str], int] = field(default_factory=dict)
    server: Server = field(init=False)
    end_event: asyncio.Event = field(default_factory=asyncio.Event)
    tasks: set[asyncio.Task] = field(default_factory=set)
    # Whether each start and end is noted in the record.
    notes: bool = True

    def __post_init__(self) -> None:
        """Creates the server, which does not listen yet."""
        self.server = Server(self._handle)

    async def begin(self) -> None:
        """Begins a lifetime and registers it."""
        await self.server.listen(self.server.address or '127.0.0.1:0')
        self.up, self.born, self.started = True, unix_ms(), now_ms()
        self.seq = self.fence = self.deadline = self.acked = 0
        self.next_end, self.state = 1, 'ready'
        self.register()
        if not self.tasks:
            for coroutine in (self._advance_forever(), self._beat_forever()):
                self.tasks.add(asyncio.create_task(coroutine))

    def crash(self) -> None:
        """Ends the lifetime: all runs and what it knows are gone."""
        self.up = False
        self.server.stop()
        self.runs.clear()
        self.used.clear()
        self.barred.clear()
        self.ends.clear()
        self.tickets.clear()

    def clock(self) -> int:
        """Returns the steady clock of this lifetime."""
        return now_ms() - self.started + 1000

    def register(self) -> None:
        """Writes the registry entry."""
        self.seq += 1
        entry = {
            'service': self.service,
            'addr': self.server.address,
            'zone': 'zone-a',
            'version': 'v1',
            'slots': 8,
            'state': self.state,
            'cold_left_ms': 0,
            'room': self.room,
            'labels': ['a', self.rack],
            'born': self.born,
            'machine': self.machine,
            'seq': self.seq,
        }
        self.store.put(f'servers/{self.worker_id}', entry)

    async def _beat_forever(self) -> None:
        silent_since = 0
        while True:
            await asyncio.sleep(BEAT_S)
            if self.up:
                silent_since = 0
                self.register()
                continue
            silent_since = silent_since or now_ms()
            if now_ms() - silent_since > 2 * BEAT_S * 1000:
                self.store.delete(f'servers/{self.worker_id}')

    async def _advance_forever(self) -> None:
        while True:
            await asyncio.sleep(0.01)
            self.advance()

    def advance(self) -> None:
        """Ends what is due."""
        if not self.up:
            return
        now = now_ms()
        lapsed = self.clock() >= self.deadline
        for run in list(self.runs.values()):
            if lapsed:
                self._end(run, 'lapsed')
            elif run.stop_ms and now >= run.stop_ms:
                self._end(run, 'stopped')
            elif now >= run.end_ms:
                self._end(run, run.how)

    def _end(self, run: Run, how: str) -> None:
        del self.runs[run.task]
        self._count_use(run.task, -1)
        self.barred[run.task] = max(run.run, self.barred.get(run.task, 0))
        self.ends.append([self.next_end, run.task, run.run, how, ''])
        self.next_end += 1
        key = run.task, how
        self.ended[key] = self.ended.get(key, 0) + 1
        text = f'{self.worker_id}: {run.task} run {run.run} ends {how}'
        self.record.note(text, show=self.notes)
        self.end_event.set()
        self.end_event = asyncio.Event()

    async def _handle(self, request: Request) -> Answer:
        wait_s = self.held_back(request)
        if wait_s is not None:
            self.tasks.add(asyncio.create_task(self._carry_out_late(request, wait_s)))
            return SILENT, {}
        if self.silent:
            return SILENT, {}
        return await self._carry_out(request)

    async def _carry_out_late(self, request: Request, wait_s: float) -> None:
        await asyncio.sleep(wait_s)
        if self.up:
            status, _ = await self._carry_out(request)
            self.record.note(
                f'{self.worker_id}: {request.path} {request.json()} carried out late, '
                f'{status}'
            )

    async def _carry_out(self, request: Request) -> Answer:
        if request.headers.get('x-expect-instance') != self.worker_id:
            return 421, {}
        self.advance()
        body = request.json()
        fence = body.get('fence', 0)
        if fence < self.fence:
            return 409, self._stamp() | {'reason': 'fence'}
        self.fence = fence
        if request.path == '/hold':
            return await self._hold(body)
        if request.path == '/run-start':
            return self._start(body)
        if request.path == '/run-stop':
            self._stop(body['task'], body['run'])
        return 200, self._stamp()

    def _stamp(self) -> dict:
        return {'clock_ms': self.clock(), 'born': self.born}

    def _extend(self, deadline: int) -> None:
        self.deadline = max(self.deadline, min(deadline, self.clock() + HOLD_MAX_MS))

    def _start(self, body: dict) -> Answer:
        task, run, deadline = body['task'], body['run'], body['deadline_ms']
        if deadline <= self.clock():
            return 409, self._stamp() | {'reason': 'late'}
        self._extend(deadline)
        current = self.runs.get(task)
        if current is not None and current.run == run:
            return 200, self._stamp()
        if current is not None or run <= self.barred.get(task, 0):
            return 409, self._stamp() | {'reason': 'old'}
        if self.needs_ticket:
            step, until_ms = self.tickets.get(body.get('ticket', ''), ('', 0))
            if step != task.rpartition('.')[0] or now_ms() >= until_ms:
                return 409, self._stamp() | {'reason': 'ticket'}
        if self.guards and not self._has_room(task):
            return 409, self._stamp() | {'reason': 'room'}
        lasts_ms, how = self.lasts(task, run)
        self.runs[task] = Run(task, run, now_ms(), now_ms() + lasts_ms, how)
        self._count_use(task, 1)
        self.starts.append((now_ms(), task, run))
        text = f'{self.worker_id}: {task} run {run} starts'
        self.record.note(text, show=self.notes)
        return 200, self._stamp()

    def _has_room(self, task: str) -> bool:
        return all(
            self.used.get(what, 0) + amount <= self.room.get(what, 0)
            for what, amount in self.needs(task).items()
        )

    def _count_use(self, task: str, sign: int) -> None:
        for what, amount in self.needs(task).items():
            self.used[what] = self.used.get(what, 0) + sign * amount

    def _stop(self, task: str, run: int) -> None:
        current = self.runs.get(task)
        if current is not None and current.run <= run:
            current.stop_ms = current.stop_ms or now_ms() + STOP_MS
        else:
            self.barred[task] = max(run, self.barred.get(task, 0))

    async def _hold(self, body: dict) -> Answer:
        if body.get('deadline_ms'):
            self._extend(body['deadline_ms'])
        acked = body.get('acked_upto', 0)
        self.ends = [end for end in self.ends if end[0] > acked]
        wait_ms = min(2000, body.get('wait_ms', 0))
        if wait_ms and not self.ends:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_ms / 1000):
                    await self.end_event.wait()
        running = [
            [r.task, r.run, '', self._percent(r), 0.0] for r in self.runs.values()
        ]
        lists = {'running': running, 'finished': self.ends[:ENDS_LISTED]}
        return 200, self._stamp() | lists

    def _percent(self, run: Run) -> int:
        lasts = run.end_ms - run.began_ms
        if lasts >= 10**8:
            return 100
        return min(99, 100 * (now_ms() - run.began_ms) // max(1, lasts))


@dataclass
class End:
    """The end of a run as done, and whether the system has taken note of it."""

    number: int
    task: str
    lapsed: bool = False
    noted: bool = False


@dataclass
class NotingWorker(Worker):
    """A worker that notes each start of a task whose end was taken note of."""

    lifetimes: int = 0
    # Ends as done in this lifetime, and in all of them.
    listed: list[End] = field(default_factory=list)
    done: list[End] = field(default_factory=list)
    broken: list[str] = field(default_factory=list)
    # Calls since the first one without an answer, and how many got none.
    calls: int = 0
    unanswered: int = 0

    async def begin(self) -> None:
        """Begins a lifetime."""
        self.lifetimes += 1
        self.listed = []
        await super().begin()

    def note_call(self, request: Request, late_ms: int) -> float | None:
        """Counts a call; returns how long it waits for `late_ms`, None if that is 0."""
        if self.unanswered or late_ms:
            self.calls += 1
        if not late_ms:
            return None
        self.unanswered += 1
        self.record.note(f'{request.path} {request.json()} gets no answer')
        return (late_ms - now_ms()) / 1000

    def advance(self) -> None:
        """Ends what is due, and notes whether the lease has expired."""
        if self.up and self.clock() >= self.deadline:
            for end in self.listed:
                end.lapsed = end.lapsed or not end.noted
        super().advance()

    def _end(self, run: Run, how: str) -> None:
        super()._end(run, how)
        if how == 'done':
            end = End(self.next_end - 1, run.task, self.clock() >= self.deadline)
            self.listed.append(end)
            self.done.append(end)

    async def _hold(self, body: dict) -> Answer:
        for end in self.listed:
            if end.number <= body.get('acked_upto', 0) and not end.noted:
                end.noted = True
                self.record.note(f'the end of {end.task} is taken note of')
        return await super()._hold(body)

    def _start(self, body: dict) -> Answer:
        starts = len(self.starts)
        answer = super()._start(body)
        if len(self.starts) > starts:
            for end in self.done:
                if end.task == body['task'] and end.noted and not end.lapsed:
                    text = f'{end.task} is started as run {body["run"]} after its end'
                    self.broken.append(text)
                    self.record.note(text)
        return answer


class Cloud:
    """The platform's list of machines."""

    def __init__(self, workers: list[Worker]):
        self.workers = workers
        self.server = Server(self._handle)

    async def _handle(self, request: Request) -> Answer:
        if request.path != '/machines':
            return 200, {}
        rows = [
            {
                'machine': worker.machine,
                'pool': worker.service,
                'state': 'up' if worker.up else 'down',
                'zone': 'zone-a',
                'labels': ['a', worker.rack],
                'room': worker.room,
                'id': worker.worker_id if worker.up else None,
            }
            for worker in self.workers
        ]
        return 200, {'machines': rows, 'next_token': None}


class Advice:
    """The service that knows which workers may run a step: here all of them."""

    def __init__(self, record: Record, workers: list['Worker'], policy: dict):
        self.record = record
        self.workers = workers
        self.policy = policy
        self.server = Server(self._handle)
        self.asked: list[list[str]] = []
        self.answered = 0
        self.rejected = 0
        # Calls that wait, with the one in progress.
        self.waiting = 0
        self._turn = asyncio.Lock()

    async def _handle(self, request: Request) -> Answer:
        if self.waiting > MAX_ADVICE_CALLS:
            self.rejected += 1
            return 429, {}
        self.waiting += 1
        try:
            return await self._answer(request.json())
        finally:
            self.waiting -= 1

    async def _answer(self, body: dict) -> Answer:
        workers = body['workers']
        async with self._turn:
            took_ms = self.policy['decide_ms'] + len(workers) * self.policy['each_ms']
            await asyncio.sleep(took_ms / 1000)
        self.asked.append(workers)
        self.answered += 1
        self.record.note(f'advice for step {body["step"]} about {workers}')
        granted = []
        for worker in self.workers:
            if worker.up and worker.worker_id in workers:
                ticket = f'{body["step"]}-{worker.worker_id}-{worker.born}'
                until_ms = now_ms() + self.policy['valid_ms']
                worker.tickets[ticket] = body['step'], until_ms
                granted.append([worker.worker_id, ticket])
        return 200, {'granted': granted, 'valid_ms': self.policy['valid_ms']}


def free_port() -> int:
    """Returns a port that is free now."""
    with socket.socket() as bound:
        bound.bind(('127.0.0.1', 0))
        return bound.getsockname()[1]


class Manager:
    """One manager process, with settings as `deploy/manager.yaml.template` has them."""

    def __init__(self, name: str, directory: Path, settings: dict, record: Record):
        self.name = name
        self.record = record
        self.directory = directory
        self.address = f'127.0.0.1:{free_port()}'
        self.settings = {
            'member_id': name,
            'availability_zone': 'zone-a',
            'caller_address': self.address,
            'readiness_address': f'127.0.0.1:{free_port()}',
            'host_orders_per_s': 64.0,
            'processor_share': 0.537,
            'processor_speed': 2,
            'min_lease_ms': 1000,
            'admission_forecast': False,
            'log_level': 'INFO',
            'timing': {
                'hold_max_ms': HOLD_MAX_MS,
                'revoke_ms': 5000,
                'grace_s': 6,
                'duty_handover_ms': 3000,
                'status_kept_s': 120,
            },
            'limits': {'memory_mb': MACHINE_MEMORY_MB, 'max_fds': MACHINE_FDS},
        } | settings
        self.process: subprocess.Popen | None = None
        self.exits: list[int] = []

    def start(self) -> None:
        """Starts the process as the platform does, with the machine's descriptors."""
        path = self.directory / f'{self.name}.yaml'
        # JSON is YAML.
        path.write_text(json.dumps(self.settings))
        environment = {
            'PATH': os.environ.get('PATH', ''),
            'HOME': str(self.directory),
            'LANG': os.environ.get('LANG', 'C.UTF-8'),
            'PYTHONPATH': f'{ROOT}/target/deps',
            'DANDELIONKNOT_NODE_FILE': str(path),
        }
        with (self.directory / f'{self.name}.log').open('ab') as log:
            self.process = subprocess.Popen(
                run_command(),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
                preexec_fn=_limit_descriptors,
            )
        self.record.note(f'{self.name} starts')

    def ended(self) -> bool:
        """Whether the process has ended by itself; notes that once."""
        if self.process is None or self.process.poll() is None:
            return False
        status = self.process.returncode
        self.exits.append(status)
        self.record.note(f'{self.name} ended by itself with status {status}')
        self.process = None
        return True

    def memory_mb(self) -> float:
        """Returns the resident memory of the process, or 0 if it doesn't run."""
        if self.process is None:
            return 0.0
        try:
            text = Path(f'/proc/{self.process.pid}/statm').read_text()
        except OSError:
            return 0.0
        return int(text.split()[1]) * os.sysconf('SC_PAGE_SIZE') / 1e6

    def signal(self, number: int) -> None:
        """Sends a signal to the process."""
        if self.process is not None:
            self.record.note(f'{signal.Signals(number).name} to {self.name}')
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kills the process and waits for its end."""
        if self.process is not None:
            with contextlib.suppress(OSError):
                self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()
            self.process = None

    def log_lines(self, text: str) -> list[str]:
        """Returns the lines of its log that contain a text."""
        log = (self.directory / f'{self.name}.log').read_text(errors='replace')
        return [line for line in log.splitlines() if text in line]


def run_command() -> list[str]:
    """Returns the program and its arguments from the deploy file."""
    deploy = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
    return deploy['roles']['manager']['run'].split()


def _limit_descriptors() -> None:
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(MACHINE_FDS, hard), hard))


async def call(
    address: str,
    method: str,
    path: str,
    body: object | None = None,
    timeout_s: float = 5.0,
    key: str = KEY,
) -> tuple[int, dict]:
    """Makes a call as a client; status 0 means that there was no answer."""
    data = b'' if body is None else json.dumps(body).encode()
    host, _, port = address.rpartition(':')
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                head = f'{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n'
                head += f'X-Api-Key: {key}\r\nX-Deadline-Ms: 3000\r\n'
                head += 'Content-Type: application/json\r\nConnection: close\r\n'
                head += f'Content-Length: {len(data)}\r\n\r\n'
                writer.write(head.encode() + data)
                await writer.drain()
                first = await reader.readuntil(b'\r\n\r\n')
                status = int(first.split(b' ', 2)[1])
                answer = await reader.read()
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, {}
    with contextlib.suppress(ValueError):
        return status, json.loads(answer)
    return status, {}


class Rig:
    """A small deployment: store, list of machines, workers, managers and clients."""

    def __init__(self, directory: Path, record: Record):
        self.directory = directory
        self.record = record
        self.store = Store(record)
        self.workers: list[Worker] = []
        self.cloud = Cloud(self.workers)
        self.managers: list[Manager] = []
        self._watching: asyncio.Task | None = None

    async def begin(self, configuration: dict, managers: int, **settings: object):
        """Starts the stand-ins and the managers, and waits until all are ready."""
        await self.store.server.listen()
        await self.cloud.server.listen()
        self.store.put('op/config', configuration)
        for worker in self.workers:
            await worker.begin()
        addresses = {
            'store_address': self.store.server.address,
            'hosts_address': self.cloud.server.address,
        }
        for number in range(managers):
            name = f'edge-{number + 1}'
            manager = Manager(name, self.directory, addresses | settings, self.record)
            self.managers.append(manager)
            manager.start()
        self._watching = asyncio.create_task(self._restart_ended())
        for manager in self.managers:
            if not await until(lambda m=manager: self.is_ready(m), 30):
                raise RuntimeError(f'{manager.name} does not become ready')
        if not await until(lambda: bool(self.leader()), 15):
            raise RuntimeError('no process leads')
        self.record.note(f'all managers are ready, {self.leader()} leads')

    async def is_ready(self, manager: Manager) -> bool:
        """Whether the balancer would send clients to a manager."""
        address = manager.settings['readiness_address']
        status, _ = await call(address, 'GET', '/readyz', timeout_s=1)
        return status == 200

    async def _restart_ended(self) -> None:
        """Starts a process again that has ended, after a short delay."""
        while True:
            await asyncio.sleep(0.1)
            for manager in self.managers:
                memory_mb = manager.memory_mb()
                if memory_mb > MACHINE_MEMORY_MB and manager.process is not None:
                    # The platform kills a process that exceeds `memory_mb`.
                    self.record.note(f'{manager.name} uses {memory_mb:.0f} MB: killed')
                    manager.process.kill()
                    manager.process.wait()
                if manager.ended():
                    await asyncio.sleep(0.5)
                    manager.start()

    def leader(self) -> str:
        """Returns the name of the leader, by the item in the store."""
        item = self.store.items.get('dandelionknot/fleet/leading')
        return json.loads(item.value)['member_id'] if item else ''

    def leading_manager(self) -> Manager:
        """Returns the process that leads."""
        return next(m for m in self.managers if m.name == self.leader())

    async def submit(self, job_id: str, body: dict, path: str = '/quotes/') -> int:
        """Hands a submission in, again if need be, as a client does; 2xx or last."""
        status = 0
        for attempt in range(5):
            manager = self.managers[attempt % len(self.managers)]
            status, _ = await call(manager.address, 'POST', path + job_id, body)
            self.record.note(f'client: POST {path}{job_id} -> {status}')
            if 200 <= status < 300:
                return status
            await asyncio.sleep(0.3)
        return status

    async def state(self, job_id: str, path: str = '/quotes/') -> str:
        """Returns the state of a submission as any manager tells it."""
        status = 0
        for manager in self.managers:
            status, body = await call(manager.address, 'GET', path + job_id)
            if status == 200:
                return body['state']
        return f'status {status}'

    def end(self) -> None:
        """Ends all processes and servers that the case has started."""
        if self._watching is not None:
            self._watching.cancel()
        for manager in self.managers:
            manager.kill()
        for worker in self.workers:
            for task in worker.tasks:
                task.cancel()
            worker.server.stop()
        self.store.server.stop()
        self.cloud.server.stop()


def configuration(**fields: object) -> dict:
    """Returns a configuration with one queue, one service and one tenant."""
    return {
        'version': 3,
        'routes': [
            {
                'name': 'r-desk',
                'host': HOST,
                'prefix': '/quotes/',
                'service': 'desk',
                'priority': 0,
                'attempts': 4,
                'stretch': 1.6,
                'objective_ms': 600,
            }
        ],
        'services': [{'name': 'desk', 'admission_control': True}],
        'tenants': [{'name': 'sofia', 'keys': [KEY], 'weight': 5}],
        'limits': {},
    } | fields


async def sleep_until(time_ms: int) -> None:
    """Waits until a time of the steady clock."""
    await asyncio.sleep(max(0, time_ms - now_ms()) / 1000)


async def until(
    condition: Callable[[], bool | Awaitable[bool]], timeout_s: float
) -> bool:
    """Waits for a condition; returns whether it held in time."""
    end = now_ms() + timeout_s * 1000
    while True:
        holds = condition()
        if not isinstance(holds, bool):
            holds = await holds
        if holds:
            return True
        if now_ms() >= end:
            return False
        await asyncio.sleep(0.05)


def keep_logs(directory: Path) -> None:
    """Copies the logs of the managers to the folder in `KEEP_LOGS`, if it is set."""
    if not os.environ.get('KEEP_LOGS'):
        return
    keep = Path(os.environ['KEEP_LOGS'])
    keep.mkdir(parents=True, exist_ok=True)
    for log in directory.glob('*.log'):
        (keep / log.name).write_bytes(log.read_bytes())


def run_case(
    folder: Path, case: Callable[[Rig, bool], Awaitable[int]], trouble: bool
) -> int:
    """Runs a case; returns 1 if the rule was broken, 0 if it held, 2 if it failed."""
    record = Record(folder / 'record.txt')
    if not (ROOT / 'target' / 'deps').is_dir():
        record.note('the build of the deploy file is missing')
        return 2
    record.note(f'trouble: {trouble}')

    async def run(directory: Path) -> int:
        rig = Rig(directory, record)
        try:
            async with asyncio.timeout(112):
                return await case(rig, trouble)
        except Exception as error:
            record.note(f'the case could not run: {error!r}')
            return 2
        finally:
            rig.end()
            keep_logs(directory)

    with tempfile.TemporaryDirectory() as name:
        status = asyncio.run(run(Path(name)))
    record.note(f'exit {status}')
    return status
