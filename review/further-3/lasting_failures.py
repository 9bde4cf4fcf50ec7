"""Tasks that last fail now and then, each by its own fault, on sound workers.

Each has to be started again while there is capacity.
"""

import asyncio
import os
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'common3'))

import rig

WORKERS = 2
ROOM = {'cpu': 32_000, 'mem_mb': 65_536}
SUBMISSIONS = 8
TASKS = 5
TASK = {'cpu': 500, 'mem_mb': 500}
BODY = {
    'spec': 'night pack',
    'steps': [{'count': TASKS, 'est_ms': 700, 'daemon': True, 'may_miss': 1} | TASK],
}
# Range of the times after which a run fails.
FAILS_AFTER_MS = (8_000, 40_000)
UNLIMITED_MS = 10**9
WATCHED_S = 60
# The rule counts from 6 s after the last run of a task that lasts, and for 3 s.
LAST_RUN_MS = 6_000
NOTHING_RUNS_MS = 3_000


async def case(deployment: rig.Rig, trouble: bool) -> int:
    """Returns 1 if a task that lasts isn't started again in time."""
    record = deployment.record
    rng = random.Random(12)

    def lasts(task: str, run: int) -> tuple[int, str]:
        return (rng.randint(*FAILS_AFTER_MS) if trouble else UNLIMITED_MS), 'failed'

    for number in range(WORKERS):
        deployment.workers.append(
            rig.Worker(
                deployment.store,
                record,
                f'w{number}',
                'desk',
                ROOM,
                rack=f'r1-{number}',
                machine=f'm{number}',
                lasts=lasts,
                needs=lambda task: TASK,
                notes=False,
            )
        )
    await deployment.begin(rig.configuration(), managers=3)
    ids = [f'{number:016x}' for number in range(1, SUBMISSIONS + 1)]
    for job_id in ids:
        await deployment.submit(job_id, BODY)
    names = [f'{job_id}.0.0.{index}' for job_id in ids for index in range(TASKS)]
    if not await rig.until(lambda: len(running(deployment)) == len(names), 15):
        return 2
    idle_since = dict.fromkeys(names, 0)
    longest: dict[str, int] = {}
    begin = rig.now_ms()
    noted = 0
    while rig.now_ms() < begin + WATCHED_S * 1000:
        await asyncio.sleep(0.05)
        at_work = running(deployment)
        now = rig.now_ms()
        for name in names:
            if name in at_work:
                idle_since[name] = 0
                continue
            idle_since[name] = idle_since[name] or now
            longest[name] = max(longest.get(name, 0), now - idle_since[name])
        if now - noted > 2000:
            noted = now
            away = [now - since for since in idle_since.values() if since]
            record.note(
                f'{len(at_work)} of {len(names)} tasks at work, '
                f'longest without a run: {max(away, default=0)} ms'
            )
    late = {
        name: gap
        for name, gap in longest.items()
        if gap >= LAST_RUN_MS + NOTHING_RUNS_MS
    }
    record.note(
        f'{len(late)} of {len(names)} tasks had no run for 9 s or more on end: '
        f'{sorted(late.values(), reverse=True)[:10]} ms'
    )
    return 1 if late else 0


def running(deployment: rig.Rig) -> set[str]:
    """Returns the names of the tasks that run."""
    return {name for worker in deployment.workers for name in worker.runs}


if __name__ == '__main__':
    is_troubled = os.environ.get('TROUBLE', '1') != '0'
    sys.exit(rig.run_case(Path(__file__).parent, case, is_troubled))
