"""Submissions of a queue with advice come at once. All of them must get their turn."""

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'common3'))

import rig

WORKERS = 8
ROOM = {'cpu': 32_000, 'mem_mb': 65_536}
TASK = {'cpu': 1600, 'mem_mb': 3000}
BODY = {'spec': 'quote', 'steps': [{'count': 2, 'est_ms': 640} | TASK]}
SUBMISSIONS = 40
# A call about the eight workers takes 280 ms; all calls together take 11.2 s.
ADVICE = {'decide_ms': 200, 'each_ms': 10, 'valid_ms': 30_000}
# Time between two submissions when they don't come at once.
SPACED_S = 0.6
# Time for all to be done after the last was accepted: five times that of all calls.
PATIENCE_S = 56


async def case(deployment: rig.Rig, trouble: bool) -> int:
    """Returns 1 if accepted submissions never get their turn."""
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
                lasts=lambda task, run: (640, 'done'),
                needs=lambda task: TASK,
                needs_ticket=True,
                notes=False,
            )
        )
    advice = rig.Advice(record, deployment.workers, ADVICE)
    await advice.server.listen()
    configuration = rig.configuration()
    configuration['routes'][0]['advice'] = ADVICE
    await deployment.begin(
        configuration, managers=3, advice_address=advice.server.address
    )
    ids = [f'{number:016x}' for number in range(1, SUBMISSIONS + 1)]
    if trouble:
        await asyncio.gather(*(deployment.submit(i, BODY) for i in ids))
    else:
        for i in ids:
            await deployment.submit(i, BODY)
            await asyncio.sleep(SPACED_S)
    end = rig.now_ms() + PATIENCE_S * 1000
    left = ids
    while left and rig.now_ms() < end:
        await asyncio.sleep(2)
        states = [await deployment.state(i) for i in left]
        left = [i for i, state in zip(left, states, strict=True) if state != 'done']
        record.note(
            f'{SUBMISSIONS - len(left)} of {SUBMISSIONS} done; advice: '
            f'{advice.answered} calls handled, {advice.rejected} rejected, '
            f'{advice.waiting} waiting'
        )
    begun = {task.split('.')[0] for w in deployment.workers for _, task, _ in w.starts}
    record.note(f'{len(set(ids) - begun)} accepted submissions never began')
    advice.server.stop()
    return 1 if set(ids) - begun else 0


if __name__ == '__main__':
    is_troubled = os.environ.get('TROUBLE', '1') != '0'
    sys.exit(rig.run_case(Path(__file__).parent, case, is_troubled))
