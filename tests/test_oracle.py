"""The oracle of soak and emulator, on fleets in a state that a test sets up."""

import asyncio
import itertools
import random
import unittest
from functools import partial
from unittest import mock

from dandelionknot.clock import now_ms
from dandelionknot.jobs._generated import JobSpec, Resources, StartOrder, StepSpec
from emulator import virtual_time
from emulator.backends import Backend, LateCall, Run
from emulator.oracle import Oracle
from emulator.standstill import MAX_STANDSTILL_MS, STABLE_MS, StandstillCheck

JOB, TASK = '00000000000000a1', '00000000000000a1.0.0.0'
OTHER_TASK = '00000000000000b2.0.0.0'
ROOM = Resources(cpu_millicores=16_000)


class OracleTest(unittest.TestCase):
    def setUp(self):
        self.backends = {
            name: Backend(name, 'desk', 'zone-a', random.Random(1), ROOM)
            for name in ('b1', 'b2')
        }
        self.oracle = Oracle(self.backends, Resources(), max_attempts=3)
        step = StepSpec(task_count=1, resources=Resources(cpu_millicores=2000))
        for job_id in (JOB, OTHER_TASK.split('.')[0]):
            self.oracle.specs_by_job_id[job_id] = JobSpec(payload='work', steps=[step])
            self.oracle.services_by_job_id[job_id] = 'desk'
        self.oracle.accepted_at_ms[JOB] = 0

    def stand(self, duration_ms, calm=True):
        """Checks for some time, with no fault or with one all the while."""
        check = StandstillCheck(self.oracle)

        async def run():
            start_ms = now_ms()
            while now_ms() < start_ms + duration_ms:
                check.check(start_ms if calm else None)
                await asyncio.sleep(0.1)

        virtual_time.run(run())
        return self.oracle.problems

    def test_failed_job_has_a_cause_after_the_attempts_of_its_queue(self):
        """Guards against reports of jobs that failed for their own tasks."""
        for failures, problems in ((2, 1), (3, 0)):
            with self.subTest(failures=failures):
                self.setUp()
                self.backends['b1'].failed_runs_by_name[TASK] = failures
                self.oracle.check_at_end(lambda job_id: 'failed')
                self.assertEqual(len(self.oracle.problems), problems)

    def run_steps(self, *steps):
        """Takes the steps one after the other, 100 ms apart, and returns the problems.

        A step is a name of a backend server and what it does: the number of a run that
        it starts, which lasts 400 ms, or a method without arguments.
        """
        for backend in self.backends.values():
            backend.rng = mock.Mock(**{'uniform.return_value': 1.0})
            backend.rng.random.return_value = 0.9

        async def run():
            for backend in self.backends.values():
                backend.born_ms = now_ms()
            for name, step in steps:
                backend = self.backends[name]
                backend.advance()
                if callable(step):
                    step(backend)
                else:
                    order = StartOrder(task_name=TASK, run=step, payload='work')
                    backend.start(order, backend.clock() + 3000, 1)
                await asyncio.sleep(0.1)

        virtual_time.run(run())
        self.oracle.check_at_end(lambda job_id: 'running')
        return [problem for problem in self.oracle.problems if TASK in problem]

    def test_start_beside_or_after_a_done_run_is_reported(self):
        """Guards against starts of lower runs, carried out late, that go unseen.

        What counts is the time of the start and of the end, not the run numbers.
        """
        wait = [('b1', Backend.advance)] * 5
        acknowledge = ('b1', lambda backend: backend.hold(0, 1, 1))
        for run in (1, 2, 3):
            cases = {
                'after both': [*wait, acknowledge, ('b2', run)],
                'before the acknowledgement': [*wait, ('b2', run), acknowledge],
                'before the end': [('b2', run), *wait, acknowledge],
            }
            for name, steps in cases.items():
                with self.subTest(name, run=run):
                    self.setUp()
                    [problem] = self.run_steps(('b1', 2), *steps)
                    self.assertIn(f'on b2 run {run}', problem)

    def test_start_beside_an_end_that_does_not_count_is_not_reported(self):
        """Guards against reports of starts that the rules allow."""
        wait = [('b1', Backend.advance)] * 5
        acknowledge = ('b1', lambda backend: backend.hold(0, 1, 1))

        def restart(backend):
            backend.crash()
            backend.restart()

        cases = {
            'not acknowledged': [('b1', 2), *wait, ('b2', 1)],
            'lost by a crash': [('b1', 2), *wait, ('b1', restart), ('b2', 1)],
            'lease expired': [('b1', 2), *wait * 6, acknowledge, ('b2', 3)],
            'lost earlier': [('b2', 3), ('b2', restart), ('b1', 2), *wait, acknowledge],
        }
        for name, steps in cases.items():
            with self.subTest(name):
                self.setUp()
                self.assertEqual(self.run_steps(*steps), [])

    def test_a_run_is_not_reported_beside_itself(self):
        """Guards against two times of one start, if the clock ticks in between."""
        ticks = itertools.count(1_000_000)
        backend = self.backends['b1']
        backend.fail_share = 0.0
        with mock.patch('emulator.backends.now_ms', lambda: next(ticks)):
            order = StartOrder(task_name=TASK, run=1, payload='work')
            backend.start(order, 10**9, 1)
            while backend.runs_by_name:
                backend.advance()
            backend.hold(0, 1, 1)
        self.assertEqual(len(backend.acknowledged), 1)
        self.oracle.check_at_end(lambda job_id: 'running')
        self.assertEqual([p for p in self.oracle.problems if TASK in p], [])

    def test_report_of_a_late_start_names_its_lifetimes(self):
        """Guards against reports that do not tell how a task came to run twice."""

        def start_late(backend, lifetime):
            order = StartOrder(task_name=TASK, run=1, payload='work')
            start = partial(backend.start, order, backend.clock() + 3000, 1)
            call = LateCall(now_ms(), backend.lifetime, start)
            if lifetime == 1:
                backend.carry_out_late(call)
            else:
                backend.crash()
                backend.carry_out_late(call)
                backend.restart()

        for lifetime in (1, 2):
            with self.subTest(lifetime=lifetime):
                self.setUp()
                steps = [('b1', 2), ('b2', partial(start_late, lifetime=lifetime))]
                self.run_steps(*steps)
                self.oracle.problems.clear()
                self.oracle.check_invariants()
                [problem] = self.oracle.problems
                self.assertRegex(
                    problem,
                    r"'b1 run 2', 'b2 run 1 \(carried out late at \d+ in lifetime "
                    rf'{lifetime} since \d+, sent at \d+ in lifetime 1\)',
                )

    def test_job_without_a_run_is_reported_if_there_is_room(self):
        """Guards against jobs that stand still unseen."""
        self.assertEqual(self.stand(STABLE_MS + MAX_STANDSTILL_MS - 200), [])
        [problem] = self.stand(STABLE_MS + MAX_STANDSTILL_MS + 200)
        self.assertIn(JOB, problem)

    def test_job_that_failed_on_several_backends_is_not_reported(self):
        """Guards against a report of a job that may have failed.

        Its attempts count together, on whichever backend servers its task has failed.
        """
        for failures, is_reported in (((2, 1), False), ((1, 1), True)):
            with self.subTest(failures=failures):
                self.setUp()
                for name, count in zip(('b1', 'b2'), failures, strict=True):
                    self.backends[name].failed_runs_by_name[TASK] = count
                self.assertEqual(bool(self.stand(20_000)), is_reported)

    def test_job_is_not_reported_beside_a_fault(self):
        """Guards against reports that a fault explains."""
        self.assertEqual(self.stand(20_000, calm=False), [])

    def test_job_that_runs_or_has_no_room_is_not_reported(self):
        """Guards against reports of jobs that are served, or cannot be."""
        self.backends['b1'].runs_by_name[TASK] = Run(TASK, 1, 0, 1000, False)
        self.assertEqual(self.stand(20_000), [])
        self.setUp()
        self.backends['b1'].up = self.backends['b2'].up = False
        self.assertEqual(self.stand(20_000), [])

    def test_long_running_task_counts_by_itself(self):
        """Guards against tasks that last and do not run beside others of their job."""
        step = StepSpec(
            task_count=2,
            resources=Resources(cpu_millicores=2000),
            long_running=True,
            max_per_host=1,
        )
        self.oracle.specs_by_job_id[JOB] = JobSpec(payload='lasting', steps=[step])
        self.backends['b1'].runs_by_name[TASK] = Run(TASK, 1, 0, 1000, False)
        self.backends['b3'] = Backend('b3', 'desk', 'zone-a', random.Random(1), ROOM)
        [problem] = self.stand(STABLE_MS + MAX_STANDSTILL_MS + 200)
        self.assertIn(f'{JOB}.0.0.1', problem)


if __name__ == '__main__':
    unittest.main()
