"""A worker is lost for good, so that submissions that last miss a task each."""

import asyncio

from review.standin.trial import LATER_PREFIX, Trial, main

# One of them is lost: 0.125 of all.
WORKERS = 8
# Submissions with one task that lasts on each worker.
LASTING = 13
# Liveness reports that a lost worker misses until its entry is removed, in seconds.
EXPIRY_S = 4.5
# Bound of the site files: submissions are asked for this long after the traffic.
FINISH_S = 14


async def scenario(trial: Trial) -> list[str]:
    """Loses a worker; returns the jobs that are not run on the others."""
    for number in range(WORKERS):
        await trial.add_worker(f'i-{number:02d}', rack=f'r1-{number // 4}', cpu=32_000)
    await trial.start_members()
    for number in range(LASTING):
        await trial.submit(
            f'{0xA0 + number:016x}',
            None,
            count=WORKERS,
            cpu=300,
            mem_mb=500,
            daemon=True,
            max_per_server=1,
            may_miss=1,
        )
    if not await trial.until(lambda: len(trial.runs()) == LASTING * WORKERS, 20):
        raise RuntimeError('the tasks that last did not start')
    await asyncio.sleep(3)
    if trial.trouble:
        lost = trial.workers[0]
        lost.crash()
        await asyncio.sleep(EXPIRY_S)
        trial.store.delete(f'servers/{lost.worker_id}')
    await asyncio.sleep(3)
    others = [f'{0xB0 + number:016x}' for number in range(4)]
    for job_id in others:
        await trial.submit(job_id, 0.5, prefix=LATER_PREFIX)
    trial.log('traffic ends')
    await asyncio.sleep(FINISH_S)
    states = {job_id: await trial.state(job_id) for job_id in others}
    return [
        f'LOST: job {job_id} was accepted, is {state} {FINISH_S} s after the end of '
        f'the traffic and was started {len(trial.runs(f"{job_id}.0.0.0"))} times, '
        f'while {WORKERS - 1} workers have over three quarters of their room free'
        for job_id, state in states.items()
        if state != 'done'
    ]


if __name__ == '__main__':
    main(scenario, __file__)
