"""Idle workers are cut off from all managers for some seconds."""

import asyncio

from review.standin.trial import Trial, main

# Workers, and the share and length of the cut, as `node_cut` in the site file.
WORKERS = 18
CUT_SHARE = 0.17
CUT_S = 5.5
JOB = '00000000000000b1'


async def scenario(trial: Trial) -> list[str]:
    """Cuts the idle workers off while a job arrives; returns whether it failed."""
    for number in range(WORKERS):
        await trial.add_worker(f'i-{number:02d}', rack=f'r1-{number}')
    await trial.start_members()
    count = int(WORKERS * CUT_SHARE)
    # Tasks that last fill all workers but some.
    await trial.submit(
        '00000000000000a1', None, count=WORKERS - count, cpu=8000, daemon=True
    )
    await trial.until(lambda: len(trial.runs()) == WORKERS - count, 15)
    await asyncio.sleep(4)
    idle = [worker for worker in trial.workers if not worker.running]
    if trial.trouble:
        trial.log('cut begins', workers=[worker.worker_id for worker in idle])
        for worker in idle:
            worker.server.cut()
    await trial.submit(JOB, 0.5, count=1, cpu=2000, speculative=True)
    await asyncio.sleep(CUT_S)
    if trial.trouble:
        trial.log('cut ends')
        for worker in idle:
            worker.server.heal()
    state = await trial.wait_for_state(JOB, {'done', 'failed'}, 20)
    if state == 'failed':
        return [
            f'LOST: job {JOB} is shown as failed, though no run of it has ended '
            f'failed and no worker has crashed; it was started '
            f'{len(trial.runs(f"{JOB}.0.0.0"))} times on a worker'
        ]
    return []


if __name__ == '__main__':
    main(scenario, __file__)
