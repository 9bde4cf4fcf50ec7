"""Tests of packed long-running tasks: the load is a surge that needs their hosts."""

import unittest

from dandelionknot.jobs import _placement
from dandelionknot.jobs._generated import PoolPolicy, Resources, StepSpec
from tests.job_test_bed import FakeBackend, JobTestBed

SMALL = Resources(cpu_millicores=4000, memory_mb=4096)


def long_running(**fields) -> StepSpec:
    return StepSpec(
        task_count=4, resources=SMALL, long_running=True, max_unavailable=2, **fields
    )


class PackingTest(unittest.TestCase):
    def setUp(self):
        racks = ['r1-1', 'r1-1', 'r1-1', 'r1-2', 'r1-2', 'r1-2']
        self.test_bed = JobTestBed(
            *(
                FakeBackend(f'b{number}', labels=('std', rack))
                for number, rack in enumerate(racks)
            )
        )

    def _places(self, step: StepSpec, standby: bool) -> list[str]:
        """Submits a job and returns the ids of the hosts on which its tasks run."""
        if standby:
            spare = PoolPolicy(name='spare', standby=True)
            self.test_bed.scheduler.capacity.standby_pools = frozenset({spare.name})
        self.test_bed.submit(step)
        for _ in range(3):
            self.test_bed.step()
        places = [host_id for (host_id,) in self.test_bed.running().values()]
        self.assertEqual(len(places), step.task_count)
        return sorted(set(places))

    def test_long_running_tasks_leave_hosts_free_that_can_be_moved(self):
        """Guards against small tasks that keep every host of a pool from a surge."""
        self.assertEqual(len(self._places(long_running(), standby=True)), 2)

    def test_each_rack_has_a_part_of_the_tasks(self):
        """Guards against a lost rack that ends all tasks of a step."""
        places = self._places(long_running(), standby=True)
        backends = self.test_bed.backends
        racks = {backends[place].labels[1] for place in places}
        self.assertEqual(len(racks), 2)

    def test_the_limit_for_each_host_holds(self):
        """Guards against packing that exceeds `max_per_host`."""
        step = long_running(max_per_host=1)
        self.assertEqual(len(self._places(step, standby=True)), 4)

    def test_a_host_can_be_emptied_within_the_availability_budget(self):
        """Guards against a drain that has to wait for restarts of the same step."""
        self._places(long_running(), standby=True)
        for backend in self.test_bed.backends.values():
            self.assertLessEqual(len(backend.runs_by_name), 2)

    def test_tasks_are_spread_where_hosts_are_not_moved(self):
        """Guards against a change for fleets without a standby pool."""
        self.assertEqual(len(self._places(long_running(), standby=False)), 4)

    def test_serving_tasks_with_a_latency_objective_are_spread(self):
        """Guards against serving tasks that slow each other on one host."""
        step = long_running(latency_objective_ms=50)
        self.assertEqual(len(self._places(step, standby=True)), 4)
        self.assertFalse(_placement.is_packed(step))


if __name__ == '__main__':
    unittest.main()
