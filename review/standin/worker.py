"""Stand-in for a worker: it runs tasks on the orders that it receives."""

import asyncio
import json
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from review.standin.store import Store
from review.standin.web import Answer, Request, Server

# Bounds and times of a small deployment, as in the site files.
HOLD_MAX_MS = 6000
STOP_S = 0.2
HEARTBEAT_S = 1.5
# Time from the start of a task that lasts until it is at work.
STARTUP_S = 0.3
TICK_S = 0.005
# Time for which a task of a gang waits for the others.
GANG_S = 3.0
MAX_ENDS_LISTED = 500

# What a hook returns: nothing, so that the call is carried out, or an answer.
Hook = Callable[[Request], Answer | None]


@dataclass(slots=True)
class Run:
    """One run of a task in one life of a worker."""

    task: str
    run: int
    worker: str
    life: int
    spec: str
    began: float
    needs: tuple[int, int]
    # Work in seconds; None for a task that lasts.
    work_s: float | None
    # Number of tasks that work only together; 0 for a task that is in no gang.
    gang: int = 0
    stop_at: float | None = None
    ended: float | None = None
    how: str = ''

    def percent(self, now: float) -> int:
        """Returns the progress, or 100 for a task that lasts and is at work."""
        if self.work_s is None:
            return 100 if now - self.began >= STARTUP_S else 0
        return min(99, int(100 * (now - self.began) / self.work_s))


@dataclass(slots=True)
class Worker:
    """A worker at one address over all of its lives under one id.

    `needs` returns the `cpu` and `mem_mb` of a task. `log` writes a line to the record.
    """

    worker_id: str
    service: str
    store: Store
    needs: Callable[[str], tuple[int, int]]
    log: Callable[..., None]
    zone: str = 'zone-a'
    rack: str = 'r1-1'
    kind: str = 'a'
    cpu: int = 8000
    mem_mb: int = 32_000
    # Returns the number of tasks of the gang of a task, and the runs of that gang.
    gang_of: Callable[[str], int] = lambda task: 0
    gang_runs: Callable[[Run], list[Run]] = lambda run: []
    # Whether its reports reach the store.
    reaches_store: bool = True
    hook: Hook | None = None
    # Whether the ticket of a start is valid; None if the queue needs none.
    check_ticket: Callable[['Worker', str, str], bool] | None = None
    # All runs of all lives, in the order in which they began.
    runs: list[Run] = field(default_factory=list)
    up: bool = False
    life: int = 0
    born: int = 0
    born_s: float = 0.0
    fence: int = 0
    deadline_ms: int = 0
    running: dict[str, Run] = field(default_factory=dict)
    # Highest run of each task that may not start here any more.
    barred: dict[str, int] = field(default_factory=dict)
    finished: list[list] = field(default_factory=list)
    next_end: int = 1
    seq: int = 0
    server: Server = field(init=False)
    tasks: list[asyncio.Task] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Creates the HTTP server."""
        self.server = Server(self._handle)

    async def start(self, register: bool = True) -> None:
        """Begins a life, at the address of the last one if there was one."""
        port = int(self.server.address.rpartition(':')[2] or 0)
        self.server.listen(port)
        self.up = True
        self.life += 1
        self.born = int(time.time() * 1000)
        self.born_s = time.monotonic()
        self.fence = self.deadline_ms = self.seq = 0
        self.next_end = 1
        self.log('worker starts', worker=self.worker_id, life=self.life)
        if register:
            self.register()
        self.tasks = [
            asyncio.create_task(self._tick()),
            asyncio.create_task(self._report()),
        ]

    def crash(self) -> None:
        """Ends the life: connections are reset, and nothing is kept."""
        self.log('worker crashes', worker=self.worker_id, life=self.life)
        self.up = False
        self.server.stop()
        for task in self.tasks:
            task.cancel()
        for run in self.running.values():
            run.ended, run.how = time.monotonic(), 'crashed'
        self.running, self.barred, self.finished = {}, {}, []

    def entry(self, state: str = 'ready') -> dict:
        """Returns the report that the worker writes into the store."""
        return {
            'service': self.service,
            'addr': self.server.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': 8,
            'state': state,
            'cold_left_ms': 0,
            'born': self.born,
            'room': {'cpu': self.cpu, 'mem_mb': self.mem_mb, 'gpu': 0},
            'labels': [self.kind, self.rack],
            'machine': f'm-{self.worker_id}',
            'clock_ms': self.clock(),
            'seq': self.seq,
        }

    def register(self) -> None:
        """Writes the report, if the store is within reach."""
        if self.reaches_store:
            self.seq += 1
            self.store.put(f'servers/{self.worker_id}', self.entry())

    def restart_reports(self) -> None:
        """Reports now, and from now on in the usual interval."""
        self.tasks.pop().cancel()
        self.register()
        self.tasks.append(asyncio.create_task(self._report()))

    def clock(self) -> int:
        """Returns the worker's own steady clock in ms."""
        return int((time.monotonic() - self.born_s) * 1000)

    async def _report(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.register()

    async def _tick(self) -> None:
        while True:
            self._advance()
            await asyncio.sleep(TICK_S)

    def _advance(self) -> None:
        now = time.monotonic()
        lapsed = self.clock() >= self.deadline_ms
        for run in list(self.running.values()):
            if lapsed:
                self._end(run, 'lapsed')
            elif run.stop_at is not None and now >= run.stop_at:
                self._end(run, 'stopped')
            elif run.gang:
                self._advance_gang(run, now)
            elif run.work_s is not None and now - run.began >= run.work_s:
                self._end(run, 'done')

    def _advance_gang(self, run: Run, now: float) -> None:
        members = self.gang_runs(run)
        if any(member.how not in ('', 'done') for member in members):
            self._end(run, 'broken')
        elif len(members) < run.gang:
            if now - run.began >= GANG_S:
                self._end(run, 'alone')
        elif now - max(member.began for member in members) >= (run.work_s or 0):
            self._end(run, 'done')

    def _end(self, run: Run, how: str) -> None:
        run.ended, run.how = time.monotonic(), how
        del self.running[run.task]
        self.barred[run.task] = max(run.run, self.barred.get(run.task, 0))
        self.finished.append([self.next_end, run.task, run.run, how, ''])
        self.next_end += 1
        self.log('run ends', worker=self.worker_id, task=run.task, run=run.run, how=how)

    async def _handle(self, request: Request) -> Answer:
        expected = request.headers.get('x-expect-instance', self.worker_id)
        if expected != self.worker_id:
            return 421, {'clock_ms': self.clock()}
        if self.hook is not None:
            answer = self.hook(request)
            if answer is not None:
                told = answer if isinstance(answer, str) else answer[0]
                self.log(
                    'worker fails a call',
                    worker=self.worker_id,
                    call=request.path,
                    task=request.json().get('task', ''),
                    answer=told,
                )
                return answer
        body = request.json()
        if body.get('fence', 0) < self.fence:
            return self._refuse('fence')
        self.fence = body.get('fence', 0)
        self._advance()
        if request.path == '/hold':
            return await self._hold(body)
        if request.path == '/run-start':
            return self._start_run(body)
        if request.path == '/run-stop':
            return self._stop_run(body)
        return (
            (200, {'clock_ms': self.clock()}) if request.path == '/pace' else (404, {})
        )

    def _refuse(self, reason: str) -> Answer:
        return 409, {'clock_ms': self.clock(), 'reason': reason}

    def _extend(self, deadline_ms: int) -> None:
        limit = self.clock() + HOLD_MAX_MS
        self.deadline_ms = max(self.deadline_ms, min(deadline_ms, limit))

    def _start_run(self, body: dict) -> Answer:
        task, number = body['task'], body['run']
        if body['deadline_ms'] <= self.clock():
            return self._refuse('late')
        self._extend(body['deadline_ms'])
        current = self.running.get(task)
        if current is not None and current.run == number:
            return 200, {'clock_ms': self.clock()}
        if current is not None or number <= self.barred.get(task, 0):
            return self._refuse('old')
        ticket = body.get('ticket', '')
        if self.check_ticket and not self.check_ticket(self, task, ticket):
            return self._refuse('ticket')
        needs = self.needs(task)
        used = [sum(r.needs[i] for r in self.running.values()) for i in (0, 1)]
        if used[0] + needs[0] > self.cpu or used[1] + needs[1] > self.mem_mb:
            return self._refuse('room')
        run = Run(
            task=task,
            run=number,
            worker=self.worker_id,
            life=self.life,
            spec=body['spec'],
            began=time.monotonic(),
            needs=needs,
            work_s=json.loads(body['spec'])['work_s'],
            gang=self.gang_of(task),
        )
        self.running[task] = run
        self.runs.append(run)
        self.log(
            'run begins',
            worker=self.worker_id,
            life=self.life,
            task=task,
            run=number,
            fence=body.get('fence', 0),
        )
        return 200, {'clock_ms': self.clock()}

    def _stop_run(self, body: dict) -> Answer:
        task, number = body['task'], body['run']
        current = self.running.get(task)
        if current is not None and current.run <= number:
            current.stop_at = current.stop_at or time.monotonic() + STOP_S
        else:
            self.barred[task] = max(number, self.barred.get(task, 0))
        return 200, {'clock_ms': self.clock()}

    async def _hold(self, body: dict) -> Answer:
        acked = body.get('acked_upto', 0)
        self.finished = [end for end in self.finished if end[0] > acked]
        if 'deadline_ms' in body:
            self._extend(body['deadline_ms'])
        end = time.monotonic() + min(2000, body.get('wait_ms', 0)) / 1000
        while not self.finished:
            if time.monotonic() >= end:
                break
            await asyncio.sleep(TICK_S)
        now = time.monotonic()
        return 200, {
            'clock_ms': self.clock(),
            'born': self.born,
            'running': [
                [run.task, run.run, '', run.percent(now), run.needs[0]]
                for run in self.running.values()
            ],
            'finished': self.finished[:MAX_ENDS_LISTED],
        }
