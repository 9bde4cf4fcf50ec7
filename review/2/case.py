"""The leading manager is restarted while tasks of a step run and others wait."""

import asyncio
import signal
import time

from review.standin.trial import Trial, main
from review.standin.worker import Run

JOB = '00000000000000a1'
WORK_S = 10.0
# Time from the start of the first tasks to the restart.
RESTART_AFTER_S = 7.7
# Bounds of the site files and of the rule.
FINISH_S = 14
LONGEST_GAP_S = 3.0
WATCHED_S = 30


def gaps(runs: list[Run], since: float, until: float) -> list[tuple[float, float]]:
    """Returns the spans of over `LONGEST_GAP_S` in which none of the runs went on."""
    found = []
    quiet_since = since
    for run in [*runs, None]:
        begins = run.began if run is not None else until
        if begins - quiet_since > LONGEST_GAP_S:
            found.append((quiet_since, begins))
        if run is not None:
            quiet_since = max(quiet_since, run.ended or until)
    return found


async def scenario(trial: Trial) -> list[str]:
    """Restarts the leader; returns the spans in which nothing of the job runs."""
    for worker_id in ('i-1f3a91c2', 'i-20b8e6d4'):
        await trial.add_worker(worker_id)
    await trial.start_members()
    await trial.submit(JOB, WORK_S, count=4, max_per_server=1)
    if not await trial.until(lambda: len(trial.runs()) == 2, 10):
        raise RuntimeError('the first tasks did not start')
    await asyncio.sleep(RESTART_AFTER_S)
    if trial.trouble:
        leader = trial.leader()
        if leader is None or leader.process is None:
            raise RuntimeError('no manager leads')
        trial.send_signal(leader, signal.SIGTERM)
        await leader.process.wait()
        await trial.start_member(leader)
    trial.log('traffic ends')
    await asyncio.sleep(FINISH_S)
    since = time.monotonic()
    await asyncio.sleep(WATCHED_S)
    if await trial.state(JOB) == 'done':
        return []
    runs = [run for run in trial.runs() if run.how != 'done']
    return [
        f'LOST: job {JOB} was accepted and is not done after {len(runs)} more runs; '
        f'nothing of it ran for {end - begin:.1f} s, while both workers were empty'
        for begin, end in gaps(runs, since, time.monotonic())
    ]


if __name__ == '__main__':
    main(scenario, __file__)
