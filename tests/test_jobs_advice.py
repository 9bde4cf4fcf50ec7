"""Steps that need advice, and backend servers that start again."""

import unittest

from dandelionknot.jobs._generated import AskAdvice, Queue, Resources, StepSpec
from tests.job_test_bed import SERVICE, FakeBackend, JobTestBed

TICK_MS = 50
SMALL = Resources(cpu_millicores=1000, memory_mb=100)


class AdviceTest(unittest.TestCase):
    """The advice service grants a step one host, or refuses it, by its lifetime."""

    def play(self, granted_lifetimes):
        """Plays a crash of the only host; returns the task that waits or runs."""
        queue = Queue(
            name='desk',
            host='h',
            path_prefix='/q/',
            service=SERVICE,
            max_attempts=3,
            needs_advice=True,
        )
        backend = FakeBackend('b1')
        test_bed = JobTestBed(backend, FakeBackend('b2'), queue=queue)
        test_bed.step()
        test_bed.submit(StepSpec(task_count=1, resources=SMALL, estimated_ms=500))
        for number in range(200):
            if number == 20:
                test_bed.lose(backend)
            for command in test_bed.step(TICK_MS):
                if isinstance(command, AskAdvice):
                    lifetime = 'first' if backend.born_ms == 1 else 'second'
                    granted = 'b1' in command.backend_ids
                    granted = granted and lifetime in granted_lifetimes
                    test_bed.scheduler.advice_given(
                        command,
                        {'b1': f't{backend.born_ms}'} if granted else {},
                        60_000,
                        test_bed.now_ms,
                    )
        return test_bed, backend

    def test_a_later_lifetime_is_asked_about_again(self):
        """Guards against a step that waits for a ticket which nobody asks for."""
        for granted_lifetimes in (('first', 'second'), ('second',)):
            with self.subTest(granted_lifetimes=granted_lifetimes):
                test_bed, backend = self.play(granted_lifetimes)
                self.assertGreater(backend.born_ms, 1)
                self.assertEqual(test_bed.running(), {'j1.0.0.0': ['b1']})

    def test_a_ticket_of_a_former_lifetime_is_not_used(self):
        """Guards against a start on a host that the policy does not allow any more."""
        test_bed, _ = self.play(('first',))
        self.assertEqual(test_bed.running(), {})

    def test_a_late_answer_counts_for_no_later_lifetime(self):
        """Guards against a ticket or a refusal that was given for a former lifetime."""
        for granted in ({}, {'b1': 'former'}):
            with self.subTest(granted=granted):
                queue = Queue(
                    name='desk',
                    host='h',
                    path_prefix='/q/',
                    service=SERVICE,
                    needs_advice=True,
                )
                backend = FakeBackend('b1')
                test_bed = JobTestBed(backend, queue=queue)
                test_bed.step()
                test_bed.submit(StepSpec(task_count=1, resources=SMALL))
                (request,) = test_bed.step(TICK_MS)
                backend.restart()
                test_bed.scheduler.set_backend(backend.report(), test_bed.now_ms)
                test_bed.step(TICK_MS)
                test_bed.scheduler.advice_given(
                    request, granted, 60_000, test_bed.now_ms
                )
                commands = []
                for _ in range(10):
                    commands += test_bed.step(TICK_MS)
                self.assertEqual([type(c) for c in commands], [AskAdvice])


if __name__ == '__main__':
    unittest.main()
