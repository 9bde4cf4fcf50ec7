"""A worker crashes under a submission of many light tasks.

Another submission, handed in later, must run on the workers that are up.
"""

import asyncio
import os
import sys
import uuid
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'common3'))

import rig

WORKERS = 8
ROOM = {'cpu': 32_000, 'mem_mb': 65_536}
# All tasks together fit on one worker, and run for two minutes. They need its label.
TASKS = 3800
TASK = {'cpu': 8, 'mem_mb': 17}
LABEL = 'r1-0'
LASTS_MS = 120_000
STEP = {'count': TASKS, 'est_ms': LASTS_MS, 'requires': LABEL} | TASK
LARGE = {'spec': 'sheets', 'steps': [STEP]}
SMALL = {'spec': 'quote', 'steps': [{'count': 1, 'cpu': 500, 'est_ms': 300}]}
LARGE_ID, SMALL_ID = '00000000000000a1', '00000000000000b2'
# How long the worker is down, and until the disruption is `stable_ms` past.
DOWN_S = 4.5
STABLE_S = 3.0
# Time for the small submission to be done: `finish_s` and as much again.
PATIENCE_S = 28


def lasts(task: str, run: int) -> tuple[int, str]:
    """Returns the duration of a run and how it ends."""
    return (300 if task.startswith(SMALL_ID) else LASTS_MS), 'done'


async def case(deployment: rig.Rig, trouble: bool) -> int:
    """Returns 1 if the later submission isn't done in time."""
    record, store = deployment.record, deployment.store
    for number in range(WORKERS):
        worker = rig.Worker(
            store,
            record,
            f's-{uuid.uuid5(uuid.NAMESPACE_OID, str(number))}',
            'desk',
            ROOM,
            rack=f'r1-{number}',
            machine=f'm-{uuid.uuid5(uuid.NAMESPACE_URL, str(number))}',
            lasts=lasts,
            needs=lambda task: {} if task.startswith(SMALL_ID) else TASK,
            notes=False,
        )
        deployment.workers.append(worker)
    await deployment.begin(rig.configuration(), managers=3)
    await deployment.submit(LARGE_ID, LARGE)
    running = await rig.until(lambda: at_work(deployment) >= TASKS, 30)
    record.note(f'{at_work(deployment)} tasks at work; all: {running}')
    if not running:
        return 2
    await asyncio.sleep(3)
    if trouble:
        busy = max(deployment.workers, key=lambda worker: len(worker.runs))
        record.note(f'worker {busy.worker_id} crashes with {len(busy.runs)} runs')
        busy.crash()
        await asyncio.sleep(DOWN_S)
        await busy.begin()
        record.note(f'worker {busy.worker_id} is up again')
    else:
        await asyncio.sleep(DOWN_S)
    await asyncio.sleep(STABLE_S)
    status = await deployment.submit(SMALL_ID, SMALL)
    if not 200 <= status < 300:
        return 2
    done = await rig.until(lambda: is_done(deployment), PATIENCE_S)
    record.note(
        f'small submission: {await deployment.state(SMALL_ID)}; '
        f'{at_work(deployment)} tasks at work on {WORKERS} workers'
    )
    record.note(f'largest value sent to the store: {store.largest_value} bytes')
    record.note(f'writes that the store refused: {store.refused}')
    return 0 if done else 1


def at_work(deployment: rig.Rig) -> int:
    """Returns how many runs there are."""
    return sum(len(worker.runs) for worker in deployment.workers)


async def is_done(deployment: rig.Rig) -> bool:
    """Whether the small submission is shown as done."""
    return await deployment.state(SMALL_ID) == 'done'


if __name__ == '__main__':
    is_troubled = os.environ.get('TROUBLE', '1') != '0'
    sys.exit(rig.run_case(Path(__file__).parent, case, is_troubled))
