"""A run that a restarted worker has accepted is started a second time elsewhere."""

import asyncio

from review.common2.harness import (
    BROKEN,
    HELD,
    Bed,
    CaseNotRunError,
    run_case,
    with_trouble,
)
from standins.relay import Relay, start_relay

WORKERS = 8
LOST = 'w-7'
RACK = 'r1-2'
JOB_ID = '00000000000000a1'
# Time from the crash to the submission, and from the submission to the new start.
IDLE_S = 1.5
BACK_S = 0.25
CUT_S = 5.5
JOB = {
    'spec': 'lasting',
    'steps': [
        {'count': 2, 'cpu': 3600, 'mem_mb': 5000, 'est_ms': 9000, 'affinity': RACK}
    ],
}


async def look_for_overlaps(bed: Bed, found: dict[str, list]) -> None:
    """Looks for tasks that two workers which are up run at the same time."""
    while True:
        places: dict[str, list] = {}
        for backend in bed.platform.backends_by_id.values():
            if backend.up:
                for run in backend.runs_by_name.values():
                    where = (backend.backend_id, run.run)
                    places.setdefault(run.task_name, []).append(where)
        for name, where in places.items():
            if len(where) > 1 and name not in found:
                found[name] = where
                bed.record(f'{name} runs at the same time on {sorted(where)}')
        await asyncio.sleep(0.005)


async def add_workers(bed: Bed) -> Relay:
    """Starts the workers; the one to be lost is reached through a relay."""
    platform = bed.platform
    for index in range(WORKERS):
        platform.add_backend(f'w-{index}', 'desk', host_id=f'm-{index}')
    relay = await start_relay(platform.backend_servers_by_id[LOST].address)
    platform.advertised_addresses_by_id[LOST] = relay.address
    platform.racks_by_backend_id[LOST] = RACK
    platform.register(LOST)
    return relay


async def play(bed: Bed) -> int:
    """Restarts an idle worker, lets it accept a start, and cuts it off."""
    platform = bed.platform
    platform.configure(1)
    relay = await add_workers(bed)
    backend = platform.backends_by_id[LOST]
    for index in range(3):
        await bed.add_manager(f'edge-{index}')
    await bed.wait_until_serving()
    await asyncio.sleep(3)
    found: dict[str, list] = {}
    looking = asyncio.create_task(look_for_overlaps(bed, found))
    if with_trouble():
        bed.record(f'disruption: worker {LOST} crashes and is silent')
        relay.faults.silent = True
        relay.freeze_open()
        backend.crash()
    await asyncio.sleep(IDLE_S)
    call = bed.call(bed.managers['edge-0'], 'POST', f'/quotes/{JOB_ID}', JOB)
    submission = asyncio.create_task(call)
    if with_trouble():
        await asyncio.sleep(BACK_S)
        bed.record(f'worker {LOST} is back under its id and registers')
        relay.faults.silent = False
        backend.restart()
        platform.register(LOST)
        for _ in range(200):
            if backend.runs_by_name:
                break
            await asyncio.sleep(0.005)
        if not backend.runs_by_name:
            raise CaseNotRunError('the new lifetime accepted no start')
        await asyncio.sleep(0.05)
        bed.record(f'disruption: worker {LOST} is cut off and runs on')
        relay.faults.silent = True
        relay.freeze_open()
        await asyncio.sleep(CUT_S)
        relay.faults.silent = False
        bed.record('the cut ends')
    await submission
    await asyncio.sleep(6)
    looking.cancel()
    await relay.stop()
    return BROKEN if found else HELD


if __name__ == '__main__':
    run_case(__file__, play)
