"""A start goes out before its record is stored, and the next leader starts it again."""

import asyncio
import base64
import signal

import msgspec
from tornado.httputil import HTTPServerRequest

from dandelionknot.jobs._stored import record_key
from review.common2.harness import BROKEN, HELD, Bed, run_case, with_trouble

JOB_ID = '00000000000000a1'
TASKS = 5
WORKERS = 8
STOP_MS = 400
# Time after which a write without an answer is carried out (1 to 6 s on the pages).
LATE_S = 2.0
# Time from the start that is not stored to the kill of the leader.
KILL_AFTER_S = 0.3
# Processor of the tasks of three other submissions, each on a worker of its own.
OTHER_CPU = (2000, 3000, 4000)


def lasting(count: int, cpu: int) -> dict:
    """Returns a submission of tasks that last, like those of a night pack."""
    step = {
        'count': count,
        'cpu': cpu,
        'mem_mb': 2 * cpu,
        'est_ms': 700,
        'daemon': True,
        'max_per_server': 1,
        'may_miss': 1,
    }
    return {'spec': 'lasting', 'steps': [step]}


class Store:
    """Leaves chosen writes of a record unanswered and carries them out late."""

    def __init__(self, bed: Bed):
        self.bed = bed
        self.handler = bed.platform.store_server.handler
        bed.platform.store_server.handler = self.handle
        self.late_runs: set[int] = set()
        self.lost: list[int] = []
        self.writes = 0
        self.placed: dict[str, tuple[int, str]] = {}
        self.late_tasks: set[asyncio.Task] = set()

    def runs_in(self, body: bytes) -> dict[str, tuple[int, str]]:
        """Returns run and worker of each task that a write places."""
        for row in msgspec.json.decode(body)['set_keys']:
            if row['key'] == record_key(JOB_ID):
                record = msgspec.json.decode(base64.b64decode(row['value']))
                return {
                    name: (task.get('run', 0), task.get('backend_id', ''))
                    for name, task in record.get('tasks_by_name', {}).items()
                }
        return {}

    async def handle(self, request: HTTPServerRequest) -> tuple[int, dict]:
        """Answers a call, unless it is a write that is to be late."""
        if request.path != '/kv-txn':
            return await self.handler(request)
        self.writes += 1
        runs = self.runs_in(request.body)
        highest = max((run for run, _ in runs.values()), default=0)
        if highest in self.late_runs:
            self.late_runs.discard(highest)
            self.placed = runs
            self.lost.append(highest)
            self.bed.record(
                f'store: write of {runs} gets no answer and is carried out late'
            )
            self.late_tasks.add(asyncio.create_task(self.carry_out_late(request)))
            await asyncio.sleep(30)
            return 0, {}
        answer = await self.handler(request)
        if runs:
            self.bed.record(f'store: write of {runs}: {answer[0]}')
        return answer

    async def carry_out_late(self, request: HTTPServerRequest) -> None:
        """Carries a write out if its condition still holds."""
        await asyncio.sleep(LATE_S)
        status, _ = await self.handler(request)
        self.bed.record(f'store: the late write is carried out: {status}')


async def overlaps(bed: Bed, found: dict[str, set]) -> None:
    """Looks for tasks that two workers which are up run at the same time."""
    while True:
        places: dict[str, list] = {}
        for backend in bed.platform.backends_by_id.values():
            if backend.up:
                for run in backend.runs_by_name.values():
                    places.setdefault(run.task_name, []).append(
                        (backend.backend_id, run.run)
                    )
        for name, where in places.items():
            if len(where) > 1 and name not in found:
                found[name] = set(where)
                bed.record(f'{name} runs at the same time on {sorted(where)}')
        await asyncio.sleep(0.005)


async def play(bed: Bed) -> int:
    """Crashes the worker of a run that is being stored, then kills the leader."""
    platform = bed.platform
    platform.configure(1)
    for index in range(WORKERS):
        platform.add_backend(f'w-{index}', 'desk', host_id=f'm-{index}')
    for index in range(3):
        await bed.add_manager(f'edge-{index}')
    await bed.wait_until_serving()
    await asyncio.sleep(2)
    found: dict[str, set] = {}
    looking = asyncio.create_task(overlaps(bed, found))
    for index, cpu in enumerate(OTHER_CPU):
        await bed.call(
            bed.managers['edge-0'], 'POST', f'/quotes/{index + 1:016x}', lasting(1, cpu)
        )
        await asyncio.sleep(1)
    store = Store(bed)
    leader = bed.leader()
    others = [m for m in bed.managers.values() if m is not leader]
    if with_trouble():
        store.late_runs = {1, 2}
    await bed.call(others[0], 'POST', f'/quotes/{JOB_ID}', lasting(TASKS, 2600))
    if with_trouble():
        await bed.wait_until(lambda: bool(store.lost), 5, 'no write was lost')
        name, (_, worker) = sorted(store.placed.items())[0]
        task = f'{JOB_ID}.{name}'
        await asyncio.sleep(0.1)
        bed.record(f'disruption: worker {worker} crashes')
        platform.backends_by_id[worker].crash()
        await bed.wait_until(
            lambda: any(
                started == task
                for backend in platform.backends_by_id.values()
                for _, started, run in backend.starts
                if run == 2
            ),
            10,
            'the task was not started again',
        )
    else:
        await asyncio.sleep(1)
    # A client cancels one of the other submissions.
    await bed.call(others[0], 'DELETE', f'/quotes/{2:016x}')
    await asyncio.sleep(KILL_AFTER_S)
    if with_trouble():
        bed.record(f'disruption: kill of {leader.name}')
        leader.send_signal(signal.SIGKILL)
    await asyncio.sleep(15)
    looking.cancel()
    bed.record(f'writes: {store.writes}, without an answer: {len(store.lost)}')
    return BROKEN if found else HELD


if __name__ == '__main__':
    run_case(__file__, play)
