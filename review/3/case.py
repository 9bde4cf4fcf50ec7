"""A worker fails part of its calls for some seconds: first a start, then a stop."""

import asyncio
import time

from review.standin.trial import Trial, main
from review.standin.web import RESET, Answer, Request

# Share of the calls that fail, and for how long: the defaults of `srv_grey`.
FAILED_SHARE = 0.4
GREY_S = 5.0
# One of them is grey: 0.14 of all, where 0.15 is the default.
WORKERS = 7
JOBS = 32
PAUSE_S = 0.25
# Bound of the site files: submissions are asked for this long after the traffic.
FINISH_S = 14


class Grey:
    """Fails each try of one start, and once the order to stop that run."""

    def __init__(self):
        self.until = time.monotonic() + GREY_S
        self.task = ''
        self.stops = 0
        self.calls = 0
        self.failed = 0

    def answer(self, request: Request) -> Answer | None:
        """Returns the answer of a call that fails; None for any other."""
        if time.monotonic() >= self.until:
            return None
        self.calls += 1
        task = request.json().get('task', '')
        if request.path == '/run-start' and self.task in ('', task):
            self.task = task
            self.failed += 1
            return RESET
        if request.path == '/run-stop' and task == self.task and not self.stops:
            self.stops += 1
            self.failed += 1
            return 503, {}
        return None


async def scenario(trial: Trial) -> list[str]:
    """Hands in jobs while a worker is grey; returns those that are never done."""
    worker = await trial.add_worker('i-1f3a91c2')
    for number in range(1, WORKERS):
        await trial.add_worker(f'i-2{number}', rack=f'r1-{number // 4}')
    await trial.start_members()
    grey: Grey | None = None
    ids = [f'{0xA0 + number:016x}' for number in range(JOBS)]
    for number, job_id in enumerate(ids):
        if trial.trouble and number == JOBS // 4:
            trial.log('worker turns grey', worker=worker.worker_id)
            grey = Grey()
            worker.hook = grey.answer
        await trial.submit(job_id, 0.6, count=3, cpu=500)
        await asyncio.sleep(PAUSE_S)
    trial.log('traffic ends')
    if grey is not None:
        trial.log('calls while grey', all=grey.calls, failed=grey.failed)
        if grey.failed > FAILED_SHARE * grey.calls:
            raise RuntimeError('too large a share of the calls failed')
    await asyncio.sleep(FINISH_S)
    waiting = [job_id for job_id in ids if await trial.state(job_id) != 'done']
    began = len(trial.runs())
    await asyncio.sleep(4)
    problems = []
    for job_id in waiting:
        state = await trial.state(job_id)
        if state != 'done' and len(trial.runs()) == began:
            problems.append(
                f'LOST: job {job_id} was accepted, is {state} {FINISH_S + 4} s after '
                'the end of the traffic, and no worker ran or began anything in the '
                'last 4 s'
            )
    return problems


if __name__ == '__main__':
    main(scenario, __file__)
