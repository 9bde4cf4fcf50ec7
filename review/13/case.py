"""A worker's calls are carried out late, and it crashes and returns under its id.

A task that has ended as done there must not be started again.
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
FIRST_MS, SECOND_MS = 300, 500
# Times since the first call without an answer: the crash, the return, and when the
# late start and the late acknowledgement are carried out.
CRASH_MS, BACK_MS, LATE_START_MS, LATE_HOLD_MS = 500, 2100, 2250, 2850
# Time for which calls to the new lifetime get no answer, and when they are carried out.
NO_ANSWER_MS, LATER_MS = 500, 6000
WATCHED_S = 15


@dataclass
class Disturbed(rig.NotingWorker):
    """A worker that leaves some calls unanswered and carries them out late."""

    trouble: bool = True
    begun_ms: int = 0
    is_start_late: bool = False

    def delay_s(self, request: rig.Request) -> float | None:
        """Returns after how many seconds a call is carried out; None if at once."""
        if not self.trouble:
            return None
        now, body, late_ms = rig.now_ms(), request.json(), 0
        if self.lifetimes > 1:
            if now < self.begun_ms + BACK_MS + NO_ANSWER_MS:
                late_ms = now + LATER_MS
        elif body.get('acked_upto') and not self.begun_ms:
            self.begun_ms = now
            late_ms = now + LATE_HOLD_MS
        elif body.get('task', '').startswith(SECOND_ID) and not self.is_start_late:
            self.is_start_late = True
            late_ms = self.begun_ms + LATE_START_MS
        return self.note_call(request, late_ms)


def lasts(task: str, run: int) -> tuple[int, str]:
    """Returns the duration of a run and how it ends."""
    return (FIRST_MS if task.startswith(FIRST_ID) else SECOND_MS), 'done'


def body(lasts_ms: int) -> dict:
    """Returns a submission of one task that needs the label."""
    step = {'count': 1, 'est_ms': lasts_ms, 'requires': LABEL} | TASK
    return {'spec': 'quote', 'steps': [step]}


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
    await deployment.submit(FIRST_ID, body(FIRST_MS))
    await rig.until(lambda: bool(disturbed.done), 5)
    await deployment.submit(SECOND_ID, body(SECOND_MS))
    if trouble:
        if not await rig.until(lambda: disturbed.is_start_late, 5):
            return 2
        await rig.sleep_until(disturbed.begun_ms + CRASH_MS)
        record.note(f'{disturbed.worker_id} crashes with {list(disturbed.runs)}')
        disturbed.crash()
        await rig.sleep_until(disturbed.begun_ms + BACK_MS)
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
