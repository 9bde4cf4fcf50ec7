"""The only worker that may run a step starts again under its id."""

import asyncio

from review.standin.trial import ADVISED_QUEUE, Trial, main

JOB = '00000000000000a1'
TASK = f'{JOB}.0.0.0'
# Bound of the site files: submissions are asked for this long after the traffic.
FINISH_S = 14


async def scenario(trial: Trial) -> list[str]:
    """Restarts the worker while the step runs; returns whether it runs again."""
    trial.configure(8, [ADVISED_QUEUE])
    fields = {'check_ticket': trial.advice.accepts}
    restarted = await trial.add_worker('i-1f3a91c2', **fields)
    await trial.add_worker('i-20b8e6d4', **fields)
    trial.advice.allowed_ids.add(restarted.worker_id)
    await trial.start_members()
    await trial.submit(JOB, 5.0)
    if not await trial.until(lambda: trial.runs(TASK), 10):
        raise RuntimeError('the task did not start')
    await asyncio.sleep(2.5)
    if trial.trouble:
        restarted.crash()
        await asyncio.sleep(0.5)
        await restarted.start()
    trial.log('traffic ends')
    await asyncio.sleep(FINISH_S)
    before = len(trial.runs())
    state = await trial.state(JOB)
    await asyncio.sleep(4)
    if state != 'done' and len(trial.runs()) == before:
        return [
            f'LOST: job {JOB} was accepted, is {state} {FINISH_S} s after the end of '
            'the traffic, and its task is not started again on the worker that may '
            'run it, which is up and empty'
        ]
    return []


if __name__ == '__main__':
    main(scenario, __file__)
