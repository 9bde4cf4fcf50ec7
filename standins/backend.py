"""Stand-in for a backend server: runs tasks under leases, over HTTP.

The payload of a task is JSON: `{"run_ms": 20, "text": "..."}`. Its result is the text.
With `"fail": true` the task fails.
"""

import asyncio
import contextlib
import hashlib
import ipaddress
import json
from dataclasses import dataclass, field

from result import Err

from dandelionknot import codec
from dandelionknot.clock import now_ms, seconds
from dandelionknot.messages import (
    LeaseRenewal,
    LeaseReport,
    StartRefusal,
    TaskReport,
    TaskStart,
    TaskState,
    UsageReport,
)
from standins.faults import FaultsHandler, FaultyHandler
from standins.server import Standin, listen, start_standin

# Interval of the scans that end due tasks and expired leases.
SCAN_MS = 20
# Ended tasks are deleted after this time.
RETENTION_MS = 600_000
CLEANUP_INTERVAL_MS = 1000
# Limit of the time that a call waits for the end of a task.
MAX_WAIT_MS = 60_000


@dataclass(slots=True)
class BackendFaults:
    """Faults in effect. Tests and calls to `/v1/faults` set the fields."""

    # Delay of every call.
    delay_ms: int = 0
    # All connections are closed without an answer.
    down: bool = False
    # Every task that ends fails.
    fail_all: bool = False
    # Number of upcoming starts that are carried out but not answered.
    lost_start_answers: int = 0
    # Number of upcoming starts that are neither carried out nor answered.
    lost_starts: int = 0
    # Number of upcoming results that are sent without their last character.
    truncated_results: int = 0
    # Number of upcoming results that are sent with the task id of another request.
    crossed_results: int = 0
    # Usage reports are out of date by up to this time.
    usage_lag_ms: int = 0
    # Callers with these addresses get no answer.
    cut_source_ips: set[str] = field(default_factory=set)


@dataclass(slots=True)
class _Task:
    order: TaskStart
    state: TaskState
    lease_ends_ms: int
    ends_ms: int
    result: str | None = None
    message: str | None = None
    changed_ms: int = 0
    done: asyncio.Event = field(default_factory=asyncio.Event)


@dataclass(frozen=True, slots=True)
class StartRecord:
    """One start that was carried out, timed by the monotonic clock of the process."""

    at_ms: int
    request_id: str
    team: str
    service: str


@dataclass(slots=True)
class BackendState:
    """Tasks, limits, faults and the counts that tests check against an oracle."""

    slots: int = 8
    start_token_ms: int = 2000
    cores: int = 1024
    memory_mb: int = 1 << 20
    # Number of the current lifetime. A reboot increments it, which invalidates older
    # start tokens.
    lifetime: int = 1
    draining: bool = False
    # All tasks, also those that ended less than `RETENTION_MS` ago.
    tasks_by_id: dict[str, _Task] = field(default_factory=dict)
    # Running tasks, and tasks that ended since the last call of `running`.
    unfinished_by_id: dict[str, _Task] = field(default_factory=dict)
    last_cleanup_ms: int = 0
    barred_task_ids: set[str] = field(default_factory=set)
    runs_by_request: dict[str, int] = field(default_factory=dict)
    teams_by_task: dict[str, str] = field(default_factory=dict)
    peak_running_by_team: dict[str, int] = field(default_factory=dict)
    starts: list[StartRecord] = field(default_factory=list)
    faults: BackendFaults = field(default_factory=BackendFaults)
    reported_running: int = 0
    reported_at_ms: int = 0

    def running(self) -> list[_Task]:
        """Returns the running tasks.

        Reads `unfinished_by_id`, since `tasks_by_id` also has many ended tasks.
        """
        for task_id, task in list(self.unfinished_by_id.items()):
            if task.state is not TaskState.RUNNING:
                del self.unfinished_by_id[task_id]
        return list(self.unfinished_by_id.values())

    def token(self) -> str:
        """Returns a start token that is valid for `start_token_ms`."""
        return f'{self.lifetime}.{now_ms()}'

    def token_is_valid(self, token: str) -> bool:
        """Returns whether the token is of this lifetime and has not expired."""
        lifetime, _, issued_ms = token.partition('.')
        if not issued_ms.isdigit() or lifetime != str(self.lifetime):
            return False
        return 0 <= now_ms() - int(issued_ms) <= self.start_token_ms


def start_refusal(state: BackendState, order: TaskStart) -> StartRefusal | None:
    """Returns why a task may not start now, or None if it may start."""
    if order.task_id in state.barred_task_ids:
        return StartRefusal.BARRED
    if not state.token_is_valid(order.start_token):
        return StartRefusal.STALE_TOKEN
    if state.draining:
        return StartRefusal.DRAINING
    if order.cores > state.cores or order.memory_mb > state.memory_mb:
        return StartRefusal.CANNOT_FIT
    if len(state.running()) >= state.slots:
        return StartRefusal.BUSY
    return None


def start_task(state: BackendState, order: TaskStart) -> TaskReport:
    """Starts a task unless its id is known or the start is refused.

    Returns a report of the task. A known task is not started again.
    """
    known = state.tasks_by_id.get(order.task_id)
    if known is not None:
        return report(state, order.task_id)
    refusal = start_refusal(state, order)
    if refusal is not None:
        return TaskReport(
            task_id=order.task_id,
            state=TaskState.NEVER_STARTED,
            start_token=state.token(),
            refusal=refusal,
        )
    try:
        run_ms = max(0, int(json.loads(order.payload or '{}').get('run_ms', 0)))
    except (ValueError, AttributeError):
        run_ms = 0
    now = now_ms()
    task = _Task(order, TaskState.RUNNING, now + order.lease_ms, now + run_ms)
    state.tasks_by_id[order.task_id] = task
    state.unfinished_by_id[order.task_id] = task
    runs = state.runs_by_request
    runs[order.request_id] = runs.get(order.request_id, 0) + 1
    state.starts.append(StartRecord(now, order.request_id, order.team, order.service))
    state.teams_by_task[order.task_id] = order.team
    running = sum(1 for each in state.running() if each.order.team == order.team)
    peak = state.peak_running_by_team.get(order.team, 0)
    state.peak_running_by_team[order.team] = max(peak, running)
    if run_ms == 0:
        finish_task(state, task)
    return report(state, order.task_id)


def finish_task(state: BackendState, task: _Task) -> None:
    """Ends a task with the result that its payload asks for, or as failed."""
    try:
        payload = json.loads(task.order.payload or '{}')
        text = payload.get('text', '')
        fails = bool(payload.get('fail', False))
    except (ValueError, AttributeError):
        text, fails = task.order.payload, False
    task.changed_ms = now_ms()
    if fails or state.faults.fail_all:
        task.state = TaskState.FAILED
        task.message = 'the task failed'
    else:
        task.state = TaskState.FINISHED
        task.result = text
    task.done.set()


def report(state: BackendState, task_id: str) -> TaskReport:
    """Returns a report of a task, with the length and digest of its result."""
    task = state.tasks_by_id.get(task_id)
    if task is None:
        return TaskReport(
            task_id=task_id, state=TaskState.NEVER_STARTED, start_token=state.token()
        )
    result = task.result
    length = digest = None
    if result is not None:
        encoded = result.encode()
        length = len(encoded)
        digest = hashlib.sha256(encoded).hexdigest()
        if state.faults.truncated_results > 0 and encoded:
            state.faults.truncated_results -= 1
            result = result[:-1]
    if state.faults.crossed_results > 0 and result is not None:
        state.faults.crossed_results -= 1
        task_id = 'task-of-another-request'
    return TaskReport(
        task_id=task_id,
        state=task.state,
        start_token=state.token(),
        result=result,
        result_length=length,
        result_digest=digest,
        message=task.message,
        running=usage(state).running,
    )


def stop_task(state: BackendState, task_id: str) -> TaskReport:
    """Stops a task, or bars it from starting later if it never started."""
    task = state.tasks_by_id.get(task_id)
    if task is None:
        state.barred_task_ids.add(task_id)
    elif task.state is TaskState.RUNNING:
        task.state = TaskState.STOPPED
        task.changed_ms = now_ms()
        task.done.set()
    return report(state, task_id)


def throttle_task(state: BackendState, task_id: str, percent: int) -> TaskReport:
    """Slows the rest of a running task down to a percentage of its current speed."""
    task = state.tasks_by_id.get(task_id)
    if task is not None and task.state is TaskState.RUNNING:
        left_ms = max(0, task.ends_ms - now_ms())
        task.ends_ms = now_ms() + left_ms * 100 // max(1, min(percent, 100))
    return report(state, task_id)


def checkpoint_task(state: BackendState, task_id: str) -> TaskReport:
    """Records a checkpoint of a running task with its remaining time."""
    task = state.tasks_by_id.get(task_id)
    if task is not None and task.state is TaskState.RUNNING:
        task.message = f'checkpoint with {max(0, task.ends_ms - now_ms())} ms left'
    return report(state, task_id)


def renew(state: BackendState, renewal: LeaseRenewal) -> LeaseReport:
    """Renews the leases of the given tasks and lists those that do not run."""
    renewed = []
    missing = []
    for task_id in renewal.task_ids:
        task = state.tasks_by_id.get(task_id)
        if task is None or task.state is not TaskState.RUNNING:
            missing.append(task_id)
            continue
        task.lease_ends_ms = now_ms() + renewal.lease_ms
        renewed.append(task_id)
    return LeaseReport(renewed=renewed, missing=missing, start_token=state.token())


def scan(state: BackendState) -> None:
    """Ends tasks that are due or whose lease expired, and deletes old ended tasks."""
    now = now_ms()
    for task in state.running():
        if task.ends_ms <= now:
            finish_task(state, task)
        elif task.lease_ends_ms <= now:
            task.state = TaskState.EXPIRED
            task.changed_ms = now
            task.done.set()
    if now - state.last_cleanup_ms < CLEANUP_INTERVAL_MS:
        return
    state.last_cleanup_ms = now
    old = [
        task_id
        for task_id, task in state.tasks_by_id.items()
        if task.state is not TaskState.RUNNING and now - task.changed_ms > RETENTION_MS
    ]
    for task_id in old:
        del state.tasks_by_id[task_id]


def usage(state: BackendState) -> UsageReport:
    """Returns a usage report, which may be out of date by up to `usage_lag_ms`."""
    now = now_ms()
    if now - state.reported_at_ms >= state.faults.usage_lag_ms:
        state.reported_running = len(state.running())
        state.reported_at_ms = now
    return UsageReport(
        running=state.reported_running,
        slots=state.slots,
        draining=state.draining,
        age_ms=now - state.reported_at_ms,
        start_token=state.token(),
    )


class _Handler(FaultyHandler):
    state: BackendState

    async def wait_for_end(self, task_id: str, wait_ms: int) -> None:
        """Waits up to `wait_ms`, limited to `MAX_WAIT_MS`, until a task has ended."""
        task = self.state.tasks_by_id.get(task_id)
        if task is None or wait_ms <= 0:
            return
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(task.done.wait(), seconds(min(wait_ms, MAX_WAIT_MS)))


class _StartHandler(_Handler):
    async def post(self) -> None:
        faults = self.state.faults
        if faults.lost_starts > 0:
            faults.lost_starts -= 1
            self.drop()
            return
        decoded = codec.decode_json(self.request.body, TaskStart, 'start')
        if isinstance(decoded, Err):
            self.set_status(400)
            self.finish({'message': str(decoded.err_value)})
            return
        order = decoded.ok_value
        started = start_task(self.state, order)
        if faults.lost_start_answers > 0:
            faults.lost_start_answers -= 1
            self.drop()
            return
        if started.refusal is not None or started.state is not TaskState.RUNNING:
            self.send(started)
            return
        await self.wait_for_end(order.task_id, order.wait_ms)
        self.send(report(self.state, order.task_id))


class _TaskHandler(_Handler):
    async def get(self, task_id: str) -> None:
        await self.wait_for_end(task_id, int(self.get_query_argument('wait_ms', '0')))
        self.send(report(self.state, task_id))


class _ActionHandler(_Handler):
    def post(self, task_id: str, action: str) -> None:
        if action == 'stop':
            self.send(stop_task(self.state, task_id))
        elif action == 'throttle':
            percent = int(self.get_query_argument('percent'))
            self.send(throttle_task(self.state, task_id, percent))
        else:
            self.send(checkpoint_task(self.state, task_id))


class _RenewalsHandler(_Handler):
    def post(self) -> None:
        decoded = codec.decode_json(self.request.body, LeaseRenewal, 'renewal')
        if isinstance(decoded, Err):
            self.set_status(400)
            self.finish({'message': str(decoded.err_value)})
            return
        self.send(renew(self.state, decoded.ok_value))


class _UsageHandler(_Handler):
    def get(self) -> None:
        self.send(usage(self.state))


class _DrainHandler(_Handler):
    def post(self) -> None:
        self.state.draining = self.get_query_argument('draining') == '1'
        self.send(usage(self.state))


class _RebootHandler(_Handler):
    def post(self) -> None:
        for task in self.state.running():
            stop_task(self.state, task.order.task_id)
        self.state.tasks_by_id.clear()
        self.state.lifetime += 1
        self.state.draining = False
        self.send(usage(self.state))


class _RunsHandler(_Handler):
    def get(self) -> None:
        self.write(json.dumps(self.state.runs_by_request))


BackendStandin = Standin[BackendState]


def following_ips(ip: str, count: int) -> list[str]:
    """Returns `count` consecutive IPv4 addresses that begin with `ip`."""
    first = ipaddress.IPv4Address(ip)
    return [str(first + offset) for offset in range(count)]


async def start_backend(
    address: str = '127.0.0.1:0',
    state: BackendState | None = None,
    address_count: int = 1,
) -> BackendStandin:
    """Starts the stand-in on `IP:PORT`; port 0 selects a free port.

    With an `address_count` above 1, it also listens on the IP addresses that follow,
    at the same port. All addresses share one state.
    """
    state = state or BackendState()
    arguments = {'state': state}
    routes: list = [
        (r'/v1/tasks', _StartHandler, arguments),
        (r'/v1/tasks/([^/]+)', _TaskHandler, arguments),
        (r'/v1/tasks/([^/]+)/(stop|checkpoint|throttle)', _ActionHandler, arguments),
        (r'/v1/renewals', _RenewalsHandler, arguments),
        (r'/v1/usage', _UsageHandler, arguments),
        (r'/v1/drain', _DrainHandler, arguments),
        (r'/v1/reboot', _RebootHandler, arguments),
        (r'/v1/runs', _RunsHandler, arguments),
        (r'/v1/faults', FaultsHandler, {'faults': state.faults}),
    ]
    standin = start_standin(state, address, routes, scan, SCAN_MS)
    host, _, port = standin.address.rpartition(':')
    for ip in following_ips(host, address_count)[1:]:
        listen(standin.server, ip, int(port))
    return standin
