"""The last worker of a kind is kept empty for an upkeep that cannot begin."""

import asyncio

from review.common2.cloud import Cloud
from review.common2.harness import (
    BROKEN,
    HELD,
    Bed,
    CaseNotRunError,
    run_case,
    with_trouble,
)

WORKERS = 8
# Machines of the kind that the submissions require.
MACHINES = ('m-0', 'm-1')
LABEL = 'kind-b'
LOST = 'm-1'
# Time of the wave, its limit and the finish_s of the pages, and 3 s more.
WITHIN_S = 26
WAIT_S = 18.0
SUBMISSIONS = 3
WORK = {
    'spec': 'work',
    'steps': [
        {'count': 1, 'cpu': 800, 'mem_mb': 100, 'est_ms': 600, 'requires': LABEL}
    ],
}
LASTING = {
    'spec': 'lasting',
    'steps': [
        {
            'count': 2,
            'cpu': 2600,
            'mem_mb': 8000,
            'est_ms': 700,
            'requires': LABEL,
            'daemon': True,
            'max_per_server': 1,
            'may_miss': 1,
        }
    ],
}


async def play(bed: Bed) -> int:
    """Loses one of two workers of a kind; both machines are due for upkeep."""
    platform = bed.platform
    platform.configure(1)
    cloud = Cloud(bed)
    for index in range(WORKERS):
        name = f'm-{index}'
        kind = LABEL if name in MACHINES else 'kind-a'
        cloud.add(name, 'desk', [kind, 'r1-1'], mean_ms=600)
    for index in range(3):
        await bed.add_manager(f'edge-{index}')
    await bed.wait_until_serving()
    await asyncio.sleep(2)
    managers = list(bed.managers.values())
    await bed.call(managers[0], 'POST', f'/quotes/{1:016x}', LASTING)
    await asyncio.sleep(2)
    if with_trouble():
        bed.record(f'disruption: the worker of {LOST} is lost for good')
        await cloud.lose(LOST)
    bed.record(f'operator: wave 1 of {MACHINES}')
    wave = {'wave': 1, 'machines': MACHINES, 'within_s': WITHIN_S, 'cap': 1}
    platform.put('op/wave/1', wave)
    await asyncio.sleep(3)
    ids = [f'{index + 16:016x}' for index in range(SUBMISSIONS)]
    for index, job_id in enumerate(ids):
        status, _ = await bed.call(
            managers[index % 3], 'POST', f'/quotes/{job_id}', WORK
        )
        if status != 202:
            raise CaseNotRunError('a submission was not accepted')
    await asyncio.sleep(WITHIN_S + WAIT_S)
    started = {
        name.split('.')[0]
        for backend in platform.backends_by_id.values()
        for _, name, _ in backend.starts
    }
    for job_id in ids:
        await bed.call(managers[0], 'GET', f'/quotes/{job_id}')
    waiting = [job_id for job_id in ids if job_id not in started]
    worker = cloud.machines['m-0'].worker_id
    runs = sorted(platform.backends_by_id[worker].runs_by_name)
    bed.record(f'{len(waiting)} submissions have not begun; {worker} runs {runs}')
    return BROKEN if waiting else HELD


if __name__ == '__main__':
    run_case(__file__, play)
