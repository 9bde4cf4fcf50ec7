"""A machine back from its upkeep gets no more work if the first answer was lost."""

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
MACHINE = 'm-0'
LABEL = 'kind-b'
SILENT_S = 4.0
# finish_s and 3 s more, and a little.
WAIT_S = 18.0
SUBMISSIONS = 3


def work(label: str = '') -> dict:
    """Returns a submission that needs a twentieth of a worker."""
    step = {'count': 1, 'cpu': 800, 'mem_mb': 100, 'est_ms': 600, 'requires': label}
    return {'spec': 'work', 'steps': [step]}


async def play(bed: Bed) -> int:
    """Leaves the answer to an upkeep order out, then submits work for the machine."""
    platform = bed.platform
    platform.configure(1)
    cloud = Cloud(bed)
    for index in range(WORKERS):
        name = f'm-{index}'
        label = LABEL if name == MACHINE else 'kind-a'
        cloud.add(name, 'desk', [label, 'r1-1'], mean_ms=600)
    for index in range(3):
        await bed.add_manager(f'edge-{index}')
    await bed.wait_until_serving()
    await asyncio.sleep(3)
    managers = list(bed.managers.values())
    await bed.call(managers[0], 'POST', f'/quotes/{1:016x}', work(LABEL))
    await asyncio.sleep(2)
    if with_trouble():
        bed.record(f'disruption: the machines interface is silent for {SILENT_S} s')
        cloud.silent = True
    bed.record('operator: wave 1')
    platform.put(
        'op/wave/1', {'wave': 1, 'machines': [MACHINE], 'within_s': 26, 'cap': 1}
    )
    if with_trouble():
        await asyncio.sleep(SILENT_S)
        cloud.silent = False
        bed.record('the machines interface answers again')
        if not cloud.unanswered_orders:
            raise CaseNotRunError('no order fell into the silence')

    def is_done() -> bool:
        item = platform.store.items_by_key.get('status/wave/1')
        return item is not None and b'done' in item.value

    await bed.wait_until(is_done, 30, 'the wave was not done')
    bed.record('the wave is said to be done')
    await asyncio.sleep(3)
    ids = [f'{index + 16:016x}' for index in range(SUBMISSIONS)]
    for index, job_id in enumerate(ids):
        status, _ = await bed.call(
            managers[index % 3], 'POST', f'/quotes/{job_id}', work(LABEL)
        )
        if status != 202:
            raise CaseNotRunError('a submission was not accepted')
    # Other workers go on.
    await bed.call(managers[0], 'POST', f'/quotes/{2:016x}', work())
    await asyncio.sleep(WAIT_S)
    started = {
        name.split('.')[0]
        for backend in platform.backends_by_id.values()
        for _, name, _ in backend.starts
    }
    for job_id in [*ids, f'{2:016x}']:
        await bed.call(managers[0], 'GET', f'/quotes/{job_id}')
    waiting = [job_id for job_id in ids if job_id not in started]
    worker = cloud.machines[MACHINE].worker_id
    runs = len(platform.backends_by_id[worker].runs_by_name)
    bed.record(f'{len(waiting)} submissions have not begun; {worker} runs {runs} tasks')
    return BROKEN if waiting else HELD


if __name__ == '__main__':
    run_case(__file__, play)
