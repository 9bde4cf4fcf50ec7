"""A worker's calls are carried out late, and it crashes and returns under its id.

A task whose end as done was taken note of must not be started again.
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
# The label of the worker that is disturbed, which both submissions need.
LABEL = 'r1-0'
FIRST_ID, SECOND_ID = '00000000000000d1', '00000000000000d2'
TASK_MS = 300
# Time between the two submissions, in which the worker is well.
PAUSE_S = 14
# When the late start is carried out, from its sending, and when the worker is back
# before that. Calls to its new lifetime get no answer for some time before and after.
LATE_START_MS, BACK_MS, NO_ANSWER_MS = 5200, 5050, 350
# When other calls without an answer are carried out. The worker rejects a late start
# of a task that has ended there in the same lifetime.
LATER_MS = 6000
WATCHED_S = 12


@dataclass
class Disturbed(rig.NotingWorker):
    """A worker that leaves some calls unanswered and carries them out late."""

    trouble: bool = True
    # When the first try of each submission's start came.
    first_ms: int = 0
    second_ms: int = 0

    def delay_s(self, request: rig.Request) -> float | None:
        """Returns after how many seconds a call is carried out; None if at once."""
        if not self.trouble:
            return None
        now, task, late_ms = rig.now_ms(), request.json().get('task', ''), 0
        if self.lifetimes > 1:
            if now < self.second_ms + BACK_MS + NO_ANSWER_MS:
                late_ms = now + LATER_MS
        elif task.startswith(FIRST_ID) and not self.first_ms:
            self.first_ms = now
            late_ms = now + LATER_MS
        elif task.startswith(SECOND_ID) and not self.second_ms:
            self.second_ms = now
            late_ms = now + LATE_START_MS
        return self.note_call(request, late_ms)

    def has_noted(self, job_id: str) -> bool:
        """Whether the end of a submission's task was taken note of."""
        return any(end.noted for end in self.done if end.task.startswith(job_id))


def lasts(task: str, run: int) -> tuple[int, str]:
    """Returns the duration of a run and how it ends."""
    return TASK_MS, 'done'


async def case(deployment: rig.Rig, trouble: bool) -> int:
    """Returns 1 if a task is started after its end as done was taken note of."""
    record = deployment.record
    for number in range(WORKERS):
        worker = Disturbed(
            deployment.store,
            record,
            f'w{number}',
            'desk',
            ROOM,
            rack=f'r1-{number}',
            machine=f'm{number}',
            lasts=lasts,
            needs=lambda task: TASK,
            trouble=trouble and number == 0,
        )
        worker.held_back = worker.delay_s
        deployment.workers.append(worker)
    await deployment.begin(rig.configuration(), managers=3)
    await asyncio.sleep(2)
    disturbed = deployment.workers[0]
    step = {'count': 1, 'est_ms': TASK_MS, 'requires': LABEL} | TASK
    body = {'spec': 'quote', 'steps': [step]}
    await deployment.submit(FIRST_ID, body)
    await asyncio.sleep(PAUSE_S)
    await deployment.submit(SECOND_ID, body)
    if trouble:
        if not await rig.until(lambda: disturbed.has_noted(SECOND_ID), 20):
            return 2
        record.note(f'{disturbed.worker_id} crashes with {list(disturbed.runs)}')
        disturbed.crash()
        await rig.sleep_until(disturbed.second_ms + BACK_MS)
        await disturbed.begin()
        record.note(f'{disturbed.worker_id} is up again, with a new lifetime')
    await asyncio.sleep(WATCHED_S)
    record.note(
        f'{disturbed.unanswered} of {disturbed.calls} calls got no answer; '
        f'second submission: {await deployment.state(SECOND_ID)}'
    )
    return 1 if disturbed.broken else 0


if __name__ == '__main__':
    is_troubled = os.environ.get('TROUBLE', '1') != '0'
    sys.exit(rig.run_case(Path(__file__).parent, case, is_troubled))
