"""A hand-over between leaders while starts are in progress."""

import asyncio
import logging
import random
import unittest
from unittest import mock

from dandelionknot.jobs._generated import JobSpec, Resources, StepSpec
from emulator import virtual_time
from emulator.fleet import EmulatedFleet

JOBS = 30
# Run time of a task, longer than a change of leader takes.
RUN_MS = 4000
SETTLE_S = 30


class HandoverTest(unittest.TestCase):
    def setUp(self):
        logger = logging.getLogger('dandelionknot')
        self.addCleanup(logger.setLevel, logger.level)
        logger.setLevel(logging.CRITICAL)

    def play(self, seed, disturb):
        """Submits jobs, disturbs the fleet among their starts, and checks the end.

        Returns the fleet. `disturb` gets the fleet and the id of its leader.
        """
        random.seed(seed)
        spec = JobSpec(
            payload='work',
            steps=[
                StepSpec(
                    task_count=2,
                    resources=Resources(cpu_millicores=2000, memory_mb=500),
                    estimated_ms=RUN_MS,
                )
            ],
        )
        patcher = mock.patch.object(EmulatedFleet, 'random_spec', lambda fleet: spec)
        patcher.start()
        self.addCleanup(patcher.stop)
        return virtual_time.run(self.run_fleet(seed, disturb))

    async def run_fleet(self, seed, disturb):
        fleet = EmulatedFleet.from_seed(seed)
        fleet.start()
        watching = asyncio.create_task(fleet.watch())
        await asyncio.sleep(3)
        calls = [
            asyncio.create_task(fleet.submit(f'{number:016x}'))
            for number in range(JOBS)
        ]
        await asyncio.sleep(0.15)
        await disturb(fleet, fleet.leader())
        await asyncio.gather(*calls)
        await asyncio.sleep(SETTLE_S)
        phases = {i: await fleet.phase(i) for i in fleet.oracle.accepted_at_ms}
        fleet.oracle.check_at_end(phases.get)
        watching.cancel()
        for member_id in fleet.members_by_id:
            await fleet.kill_member(member_id)
        self.assertEqual(fleet.oracle.problems, [])
        self.assertGreater(len(fleet.oracle.accepted_at_ms), JOBS // 2)
        return fleet

    def test_a_graceful_stop_among_many_starts(self):
        """Guards against starts that are sent twice, or lost, when a leader stops."""

        async def stop(fleet, leader):
            core = fleet.members_by_id[leader].core
            core.begin_stop()
            await asyncio.sleep(1)
            await fleet.kill_member(leader)

        for seed in (1, 2, 3):
            with self.subTest(seed=seed):
                self.play(seed, stop)


if __name__ == '__main__':
    unittest.main()
