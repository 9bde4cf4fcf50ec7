"""Submissions whose worker is lost before they begin vanish from the pending count."""

import asyncio

from tornado.httputil import HTTPServerRequest

from review.common2.harness import (
    BROKEN,
    HELD,
    Bed,
    CaseNotRunError,
    run_case,
    with_trouble,
)

SUBMISSIONS = 6
WORKERS = 8
LOST = 'w-7'
LABEL = 'kind-b'
# A worker's entry is removed after three liveness intervals of 1.5 s.
ENTRY_KEPT_S = 4.5
# visible_ms + 2 s, and a little more.
AGE_S = 5.5
JOB = {
    'spec': 'work',
    'steps': [
        {'count': 2, 'cpu': 1600, 'mem_mb': 300, 'est_ms': 600, 'requires': LABEL}
    ],
}


def make_silent(bed: Bed, backend_id: str) -> None:
    """Lets a worker fall silent for good: nothing answers, nothing is reset."""
    standin = bed.platform.backend_servers_by_id[backend_id]
    backend = bed.platform.backends_by_id[backend_id]
    handler = standin.handler

    async def handle(request: HTTPServerRequest) -> tuple[int, dict]:
        answer = await handler(request) if backend.up else (0, {})
        if not backend.up:
            await asyncio.sleep(60)
        return answer

    standin.handler = handle


async def play(bed: Bed) -> int:
    """Loses the only worker of a kind, then submits work for this kind."""
    platform = bed.platform
    platform.configure(1)
    for index in range(WORKERS):
        platform.add_backend(f'w-{index}', 'desk', host_id=f'm-{index}', mean_ms=600)
    platform.register(LOST, labels=[LABEL, 'r1-2'])
    make_silent(bed, LOST)
    for index in range(3):
        await bed.add_manager(f'edge-{index}')
    await bed.wait_until_serving()
    await asyncio.sleep(2)
    managers = list(bed.managers.values())
    if with_trouble():
        bed.record(f'disruption: worker {LOST} is lost for good and silent')
        platform.backends_by_id[LOST].crash()
    lost_s = bed.now_s()
    await asyncio.sleep(0.1)
    ids = [f'{index + 1:016x}' for index in range(SUBMISSIONS)]
    accepted = []
    for index, job_id in enumerate(ids):
        status, _ = await bed.call(
            managers[index % 3], 'POST', f'/quotes/{job_id}', JOB
        )
        if status == 202:
            accepted.append(job_id)
    sent_s = bed.now_s()
    if with_trouble():
        await asyncio.sleep(ENTRY_KEPT_S - (bed.now_s() - lost_s))
        platform.store.delete(f'servers/{LOST}')
    await asyncio.sleep(AGE_S - (bed.now_s() - sent_s))
    started = {
        name.split('.')[0]
        for backend in platform.backends_by_id.values()
        for _, name, _ in backend.starts
    }
    waiting = [job_id for job_id in accepted if job_id not in started]
    counts = []
    for manager in managers:
        _, answer = await bed.call(manager, 'GET', '/quotes/')
        counts.append(answer.get('pending', -1))
    bed.record(f'submissions that have not begun: {len(waiting)}, pending: {counts}')
    await bed.call(managers[0], 'GET', f'/quotes/{ids[0]}')
    if not accepted or min(counts) < 0:
        raise CaseNotRunError('no submission was accepted, or no count was answered')
    return BROKEN if any(count < len(waiting) / 2 for count in counts) else HELD


if __name__ == '__main__':
    run_case(__file__, play)
