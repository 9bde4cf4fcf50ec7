"""A worker crashes under a gang that needs all workers, and is soon back."""

import asyncio

from review.standin.trial import Trial, main

JOB = '00000000000000a1'
# Bound of the site files: submissions are asked for this long after the traffic.
FINISH_S = 14


async def scenario(trial: Trial) -> list[str]:
    """Crashes a worker after the start of the gang; returns whether it runs again."""
    crashed = await trial.add_worker('i-1f3a91c2')
    await trial.add_worker('i-20b8e6d4', rack='r1-2')
    await trial.start_members()
    await trial.submit(JOB, 3.0, count=2, gang=True, max_per_server=1)
    if not await trial.until(lambda: len(trial.runs()) == 2, 10):
        raise RuntimeError('the gang did not start')
    await asyncio.sleep(0.3)
    if trial.trouble:
        crashed.crash()
        await asyncio.sleep(1)
        await crashed.start()
    trial.log('traffic ends')
    await asyncio.sleep(FINISH_S)
    before = len(trial.runs())
    state = await trial.state(JOB)
    await asyncio.sleep(4)
    if state != 'done' and len(trial.runs()) == before:
        return [
            f'LOST: job {JOB} was accepted, is {state} {FINISH_S} s after the end of '
            'the traffic, and its tasks are not started again, while both workers are '
            'up and empty'
        ]
    return []


if __name__ == '__main__':
    main(scenario, __file__)
