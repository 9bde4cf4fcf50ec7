"""A worker is down for long, and a call to it is carried out as it returns.

A task must not run twice at the same time.
"""

import asyncio
import os
import sys
from dataclasses import dataclass
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'common3'))

import rig

WORKERS = 8
ROOM = {'cpu': 32_000, 'mem_mb': 65_536}
TASK = {'cpu': 1600, 'mem_mb': 3000}
JOB_ID = '00000000000000d1'
TASK_MS = 4000
# Times since the first try of the start, which gets no answer: the crash, the return,
# and when the start is carried out.
CRASH_MS, BACK_MS, LATE_START_MS = 500, 8200, 8350
# Time for which calls to the new lifetime get no answer, and when they are carried out.
NO_ANSWER_MS, LATER_MS = 350, 6000
WATCHED_S = 12


@dataclass
class Disturbed(rig.NotingWorker):
    """A worker that leaves some calls unanswered and carries them out late."""

    trouble: bool = True
    first_ms: int = 0

    def delay_s(self, request: rig.Request) -> float | None:
        """Returns after how many seconds a call is carried out; None if at once."""
        if not self.trouble:
            return None
        now, late_ms = rig.now_ms(), 0
        if self.lifetimes > 1:
            if now < self.first_ms + BACK_MS + NO_ANSWER_MS:
                late_ms = now + LATER_MS
        elif request.path == '/run-start' and not self.first_ms:
            self.first_ms = now
            late_ms = now + LATE_START_MS
        return self.note_call(request, late_ms)


async def case(deployment: rig.Rig, trouble: bool) -> int:
    """Returns 1 if a task runs on two workers at the same time."""
    record, workers = deployment.record, deployment.workers
    for number in range(WORKERS):
        worker = Disturbed(
            deployment.store,
            record,
            f'w{number}',
            'desk',
            ROOM,
            rack=f'r1-{number // 4}',
            machine=f'm{number}',
            lasts=lambda task, run: (TASK_MS, 'done'),
            needs=lambda task: TASK,
            trouble=trouble,
        )
        worker.held_back = worker.delay_s
        workers.append(worker)
    await deployment.begin(rig.configuration(), managers=3)
    await asyncio.sleep(2)
    step = {'count': 1, 'est_ms': TASK_MS} | TASK
    await deployment.submit(JOB_ID, {'spec': 'quote', 'steps': [step]})
    if trouble:
        if not await rig.until(lambda: any(w.first_ms for w in workers), 5):
            return 2
        disturbed = next(w for w in workers if w.first_ms)
        for worker in workers:
            worker.trouble = worker is disturbed
        await rig.sleep_until(disturbed.first_ms + CRASH_MS)
        record.note(f'{disturbed.worker_id} crashes with {list(disturbed.runs)}')
        disturbed.crash()
        await rig.sleep_until(disturbed.first_ms + BACK_MS)
        await disturbed.begin()
        record.note(f'{disturbed.worker_id} is up again, with a new lifetime')
    end = rig.now_ms() + WATCHED_S * 1000
    broken = False
    while rig.now_ms() < end:
        await asyncio.sleep(0.02)
        at_work = [w.worker_id for w in workers if w.up and w.runs]
        if len(at_work) > 1 and not broken:
            broken = True
            record.note(f'runs at the same time on {at_work}')
    return 1 if broken or any(w.broken for w in workers) else 0


if __name__ == '__main__':
    is_troubled = os.environ.get('TROUBLE', '1') != '0'
    sys.exit(rig.run_case(Path(__file__).parent, case, is_troubled))
