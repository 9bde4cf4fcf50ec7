"""Steps that cannot be placed hold up no other step, unless they wait for its room."""

import unittest

from dandelionknot.jobs._generated import EndReason, Resources, StepSpec
from tests.job_test_bed import FakeBackend, JobTestBed

HOSTS = 7
SMALL = Resources(cpu_millicores=300, memory_mb=500)
HUGE = Resources(cpu_millicores=64_000, memory_mb=500)
WHOLE = Resources(cpu_millicores=32_000, memory_mb=500)
# Steps that wait for something else than room, by what they wait for.
BLOCKED = {
    'another host': StepSpec(
        task_count=HOSTS + 1,
        resources=SMALL,
        long_running=True,
        max_per_host=1,
        max_unavailable=1,
    ),
    'another host, short': StepSpec(
        task_count=HOSTS + 1, resources=SMALL, max_per_host=1
    ),
    'a label': StepSpec(task_count=1, resources=SMALL, required_label='gpu'),
    'a larger host': StepSpec(task_count=1, resources=HUGE),
    'a larger host, gang': StepSpec(task_count=2, resources=HUGE, gang=True),
    'more hosts, gang': StepSpec(
        task_count=HOSTS + 1, resources=SMALL, gang=True, max_per_host=1
    ),
    'accelerators': StepSpec(
        task_count=1, resources=Resources(cpu_millicores=100, accelerators=1)
    ),
}


class HoldUpTest(unittest.TestCase):
    def new_test_bed(self):
        test_bed = JobTestBed(*(FakeBackend(f'b{n}') for n in range(HOSTS)))
        test_bed.step()
        return test_bed

    def assert_starts(self, test_bed, rounds=10):
        """Submits one more job, and checks that it starts within some rounds."""
        test_bed.submit(StepSpec(task_count=1, resources=SMALL), job_id='other')
        for _ in range(rounds):
            test_bed.step()
        self.assertIn('other.0.0.0', test_bed.running())

    def test_steps_that_wait_for_something_else_hold_up_no_other(self):
        """Guards against accepted jobs that never start beside many blocked ones."""
        for what, step in BLOCKED.items():
            for count in (13, 40, 90):
                with self.subTest(what=what, count=count):
                    test_bed = self.new_test_bed()
                    for number in range(count):
                        test_bed.submit(step, job_id=f'blocked{number}')
                    for _ in range(3):
                        test_bed.step()
                    self.assert_starts(test_bed)

    def test_whole_host_tasks_beside_small_ones_hold_up_no_other(self):
        """Guards against a nearly empty pool that waits for hosts to become empty.

        Each host runs one small task that lasts, or one that is short but not done.
        """
        for long_running in (True, False):
            with self.subTest(long_running=long_running):
                test_bed = self.new_test_bed()
                test_bed.submit(
                    StepSpec(
                        task_count=HOSTS,
                        resources=SMALL,
                        long_running=long_running,
                        max_per_host=1,
                    )
                )
                for _ in range(3):
                    test_bed.step()
                for number in range(20):
                    step = StepSpec(task_count=1, resources=WHOLE)
                    test_bed.submit(step, job_id=f'whole{number}')
                self.assert_starts(test_bed)

    def test_steps_that_fitted_until_the_room_shrank_hold_up_no_other(self):
        """Guards against a pool that starts nothing while its hosts have less room.

        Nor may anything start beyond the smaller room (LIMIT).
        """
        for share in (0.1, 0.25, 0.55):
            with self.subTest(share=share):
                test_bed = self.new_test_bed()
                room = Resources(cpu_millicores=int(share * 32_000), memory_mb=65_536)
                for backend in test_bed.backends.values():
                    backend.room = room
                    test_bed.scheduler.set_backend(backend.report(), test_bed.now_ms)
                for number in range(20):
                    step = StepSpec(task_count=1, resources=WHOLE)
                    test_bed.submit(step, job_id=f'whole{number}')
                self.assert_starts(test_bed)
                self.assertEqual(list(test_bed.running()), ['other.0.0.0'])
                for backend in test_bed.backends.values():
                    backend.room = FakeBackend('b').room
                    test_bed.scheduler.set_backend(backend.report(), test_bed.now_ms)
                for _ in range(3):
                    test_bed.step()
                self.assertEqual(len(test_bed.running()), HOSTS)

    def test_small_tasks_do_not_take_the_room_for_which_large_ones_wait(self):
        """Guards against large tasks that wait for ever in a pool in use."""
        test_bed = self.new_test_bed()
        for number in range(HOSTS):
            test_bed.submit(
                StepSpec(task_count=1, resources=WHOLE), job_id=f'first{number}'
            )
        test_bed.step()
        test_bed.step()
        for number in range(20):
            step = StepSpec(
                task_count=1, resources=Resources(cpu_millicores=31_900, memory_mb=500)
            )
            test_bed.submit(step, job_id=f'large{number}')
        for number in range(60):
            test_bed.submit(
                StepSpec(task_count=1, resources=SMALL), job_id=f'small{number}'
            )
        for backend in test_bed.backends.values():
            for name in list(backend.runs_by_name):
                backend.end(name, EndReason.DONE)
        test_bed.step()
        test_bed.step()
        large = [name for name in test_bed.running() if name.startswith('large')]
        self.assertEqual(len(large), HOSTS)


if __name__ == '__main__':
    unittest.main()
