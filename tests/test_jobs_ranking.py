"""Ranking of jobs in a full pool, and copies of speculative tasks."""

import unittest

from dandelionknot.jobs._generated import (
    ClientAccount,
    EndReason,
    OrderOutcome,
    Queue,
    Resources,
    StepSpec,
)
from tests.job_test_bed import SERVICE, FakeBackend, JobTestBed

CORE = Resources(cpu_millicores=1000, memory_mb=100)
LIMIT = Resources(cpu_millicores=10_000_000)


def step(estimated_ms=600, count=1, **fields):
    return StepSpec(
        task_count=count, resources=CORE, estimated_ms=estimated_ms, **fields
    )


class BurstTest(unittest.TestCase):
    """A queue in a burst of five times its mean, which is more than its pool holds."""

    def make_test_bed(self, cores=1):
        room = Resources(cpu_millicores=1000 * cores, memory_mb=100_000)
        queue = Queue(
            name='desk',
            host='h',
            path_prefix='/q/',
            service=SERVICE,
            max_attempts=3,
            stretch=1.6,
            objective_ms=600,
        )
        test_bed = JobTestBed(FakeBackend('b1', room=room), queue=queue)
        test_bed.accounts = [
            ClientAccount(name='sofia', keys=[], weight=2, limit=LIMIT),
        ]
        test_bed.configure()
        return test_bed

    def finish(self, test_bed):
        for name in list(test_bed.running()):
            test_bed.backends['b1'].end(name, EndReason.DONE)

    def test_a_job_that_cannot_end_in_time_ranks_below_others(self):
        """Guards against a burst in which all jobs are started and all end late."""
        test_bed = self.make_test_bed()
        test_bed.submit(step(), job_id='old')
        test_bed.now_ms += 1500
        test_bed.submit(step(), job_id='new')
        test_bed.step()
        test_bed.step()
        self.assertEqual(list(test_bed.running()), ['new.0.0.0'])

    def test_a_late_job_is_served_when_nothing_better_waits(self):
        """Guards against late jobs that wait although there is room for them."""
        test_bed = self.make_test_bed()
        test_bed.submit(step(), job_id='old')
        for _ in range(3):
            test_bed.step(3000)
        self.assertEqual(list(test_bed.running()), ['old.0.0.0'])

    def test_a_second_step_counts_only_what_is_left(self):
        """Guards against ranking a job as late by the time of steps that are done."""
        test_bed = self.make_test_bed()
        test_bed.submit(step(1000), step(100, after=[0]), job_id='j1')
        test_bed.step()
        test_bed.step()
        self.finish(test_bed)
        test_bed.now_ms += 1000
        test_bed.submit(step(1000), job_id='j2')
        test_bed.step()
        test_bed.step()
        self.assertEqual(list(test_bed.running()), ['j1.0.1.0'])

    def test_an_account_beyond_its_share_waits_for_the_others(self):
        """Guards against an account that fills the whole pool with a burst of jobs."""
        test_bed = self.make_test_bed(cores=4)
        test_bed.accounts.append(
            ClientAccount(name='varna', keys=[], weight=2, limit=LIMIT)
        )
        test_bed.configure()
        for number in range(8):
            test_bed.submit(step(), job_id=f'hot{number}')
        test_bed.submit(step(), job_id='calm')
        calm = test_bed.scheduler.jobs_by_id['calm']
        calm.account, calm.beyond_share = test_bed.scheduler.account('varna'), False
        calm.due_ms += 300
        test_bed.step()
        test_bed.step()
        running = {name.split('.')[0] for name in test_bed.running()}
        self.assertEqual(len(running), 4)
        self.assertIn('calm', running)


class CopyTest(unittest.TestCase):
    def test_a_speculative_task_on_an_unresponsive_host_runs_elsewhere_at_once(self):
        """Guards against waiting for the lease to expire where copies are allowed."""
        for speculative, places in ((True, 2), (False, 1)):
            with self.subTest(speculative=speculative):
                test_bed = JobTestBed(FakeBackend('b1'), FakeBackend('b2'))
                test_bed.submit(step(speculative=speculative))
                test_bed.step()
                test_bed.step()
                [place] = test_bed.running()['j1.0.0.0']
                state = test_bed.scheduler.backends_by_id[place]
                test_bed.backends[place].unresponsive = True
                test_bed.scheduler.contact_lost(
                    state, OrderOutcome.NO_ANSWER, test_bed.now_ms + 6000
                )
                test_bed.step()
                test_bed.step()
                self.assertEqual(len(test_bed.running()['j1.0.0.0']), places)

    def test_a_new_leader_asks_before_it_copies(self):
        """Guards against copies of all speculative tasks when the leader changes."""
        test_bed = JobTestBed(FakeBackend('b1'), FakeBackend('b2'))
        test_bed.submit(step(speculative=True))
        test_bed.step()
        test_bed.step()
        test_bed.new_leader()
        test_bed.scheduler.plan(test_bed.now_ms, test_bed.now_ms)
        for _ in range(3):
            test_bed.step()
        self.assertEqual(len(test_bed.running()['j1.0.0.0']), 1)
        started = sum(len(b.started) for b in test_bed.backends.values())
        self.assertEqual(started, 1)

    def test_the_copy_that_ends_first_counts(self):
        """Guards against a job that waits for both copies of a task to end."""
        test_bed = JobTestBed(FakeBackend('b1'), FakeBackend('b2'))
        test_bed.submit(step(speculative=True))
        test_bed.step()
        test_bed.step()
        [place] = test_bed.running()['j1.0.0.0']
        first = test_bed.backends[place]
        state = test_bed.scheduler.backends_by_id[place]
        first.unresponsive = True
        test_bed.scheduler.contact_lost(
            state, OrderOutcome.NO_ANSWER, test_bed.now_ms + 6000
        )
        test_bed.step()
        test_bed.step()
        first.end('j1.0.0.0', EndReason.DONE)
        first.unresponsive = False
        for _ in range(3):
            test_bed.step()
        self.assertEqual(test_bed.phase(), 'done')
        self.assertEqual(test_bed.running(), {})


if __name__ == '__main__':
    unittest.main()
