"""A worker crashes and comes back, under a spread step of a queue with advice.

The lost task that lasts has to run again on the worker that is back.
"""

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'common3'))

import rig

WORKERS = 8
ROOM = {'cpu': 32_000, 'mem_mb': 65_536}
TASK = {'cpu': 3000, 'mem_mb': 8000}
# One task on each worker, as `max_per_server` asks.
STEP = {'count': WORKERS, 'est_ms': 700, 'daemon': True, 'max_per_server': 1} | TASK
JOB_ID = '00000000000000c3'
ADVICE = {'decide_ms': 50, 'each_ms': 5, 'valid_ms': 60_000}
UNLIMITED_MS = 10**9
DOWN_S = 4.5
WATCHED_S = 30
# The rule counts 3 s, from 6 s after the last run, when 4 s before them are calm.
CALM_MS, LAST_RUN_MS, NOTHING_RUNS_MS = 4_000, 6_000, 3_000


async def case(deployment: rig.Rig, trouble: bool) -> int:
    """Returns 1 if the lost task isn't started again in time."""
    record = deployment.record
    for number in range(WORKERS):
        deployment.workers.append(
            rig.Worker(
                deployment.store,
                record,
                f'w{number}',
                'desk',
                ROOM,
                rack=f'r1-{number // 4}',
                machine=f'm{number}',
                lasts=lambda task, run: (UNLIMITED_MS, 'failed'),
                needs=lambda task: TASK,
                needs_ticket=True,
            )
        )
    advice = rig.Advice(record, deployment.workers, ADVICE)
    await advice.server.listen()
    configuration = rig.configuration()
    configuration['routes'][0]['advice'] = ADVICE
    await deployment.begin(
        configuration, managers=3, advice_address=advice.server.address
    )
    await deployment.submit(JOB_ID, {'spec': 'pack', 'steps': [STEP]})
    if not await rig.until(lambda: at_work(deployment) == WORKERS, 15):
        return 2
    await asyncio.sleep(2)
    lost = deployment.workers[3]
    lost_ms = rig.now_ms()
    if trouble:
        record.note(f'{lost.worker_id} crashes with {list(lost.runs)}')
        lost.crash()
    await asyncio.sleep(DOWN_S)
    if trouble:
        await lost.begin()
        record.note(f'{lost.worker_id} is up again, with a new lifetime')
    back_ms = rig.now_ms()
    again = await rig.until(lambda: at_work(deployment) == WORKERS, WATCHED_S)
    now = rig.now_ms()
    record.note(
        f'{at_work(deployment)} of {WORKERS} tasks at work {now - back_ms} ms after '
        f'the worker was back, {now - lost_ms} ms after the last run; {lost.worker_id} '
        f'runs {list(lost.runs)}; advice was asked {len(advice.asked)} times'
    )
    advice.server.stop()
    is_late = now - back_ms >= CALM_MS + NOTHING_RUNS_MS
    is_late = is_late and now - lost_ms >= LAST_RUN_MS + NOTHING_RUNS_MS
    return 1 if is_late or not again else 0


def at_work(deployment: rig.Rig) -> int:
    """Returns how many runs there are."""
    return sum(len(worker.runs) for worker in deployment.workers)


if __name__ == '__main__':
    is_troubled = os.environ.get('TROUBLE', '1') != '0'
    sys.exit(rig.run_case(Path(__file__).parent, case, is_troubled))
