"""Gangs that need a host on which they have crashed."""

import unittest

from dandelionknot.jobs._generated import EndReason, Resources, StepSpec
from tests.job_test_bed import RESTART_MS, FakeBackend, JobTestBed

TICK_MS = 50
SMALL = Resources(cpu_millicores=1000, memory_mb=100)
WHOLE = Resources(cpu_millicores=32_000, memory_mb=100)


class GangTest(unittest.TestCase):
    def run_for(self, duration_ms, work_ms=3000):
        for _ in range(0, duration_ms, TICK_MS):
            crashes = len(self.test_bed.crashes)
            self.test_bed.step(TICK_MS)
            if len(self.test_bed.crashes) > crashes:
                self.break_gang()
            self.test_bed.finish_after(work_ms)

    def break_gang(self):
        """Ends the other members of a gang of which one was lost."""
        for backend in self.test_bed.backends.values():
            for name in list(backend.runs_by_name):
                backend.end(name, EndReason.BROKEN)

    def test_a_gang_that_needs_the_crashed_host_runs_again(self):
        """Guards against a gang that waits for more hosts than there are."""
        for hosts, step in (
            (2, StepSpec(task_count=2, resources=SMALL, gang=True, max_per_host=1)),
            (3, StepSpec(task_count=3, resources=WHOLE, gang=True)),
            (4, StepSpec(task_count=4, resources=SMALL, gang=True, max_per_host=1)),
        ):
            for crashes in (1, 2):
                with self.subTest(hosts=hosts, crashes=crashes):
                    backends = [FakeBackend(f'b{n}') for n in range(hosts)]
                    self.test_bed = JobTestBed(*backends)
                    self.test_bed.step()
                    self.test_bed.submit(step)
                    self.test_bed.step()
                    for number in range(crashes):
                        # Right after the start, so that the gang is suspected.
                        self.test_bed.lose(backends[number])
                        self.break_gang()
                        self.run_for(RESTART_MS + 500, work_ms=60_000)
                    self.run_for(12_000)
                    self.assertEqual(self.test_bed.phase(), 'done')

    def test_a_deadly_gang_that_needs_all_hosts_is_given_up(self):
        """Guards against a gang that crashes its hosts for ever."""
        backends = [FakeBackend(f'b{n}') for n in range(3)]
        self.test_bed = JobTestBed(*backends)
        self.test_bed.step()
        self.test_bed.crash_after_ms_by_name['j1.0.0.1'] = 0
        self.test_bed.submit(
            StepSpec(task_count=3, resources=SMALL, gang=True, max_per_host=1)
        )
        self.run_for(60_000, work_ms=90_000)
        self.assertEqual(self.test_bed.phase(), 'failed')
        self.assertLessEqual(len(self.test_bed.crashes), 6)


if __name__ == '__main__':
    unittest.main()
