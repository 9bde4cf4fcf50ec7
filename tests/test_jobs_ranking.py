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
from tests.job_world import SERVICE, FakeBackend, World

CORE = Resources(cpu_millicores=1000, memory_mb=100)
LIMIT = Resources(cpu_millicores=10_000_000)


def step(estimated_ms=600, count=1, **fields):
    return StepSpec(
        task_count=count, resources=CORE, estimated_ms=estimated_ms, **fields
    )


class BurstTest(unittest.TestCase):
    """A queue in a burst of five times its mean, which is more than its pool holds."""

    def world(self, cores=1):
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
        world = World(FakeBackend('b1', room=room), queue=queue)
        world.accounts = [
            ClientAccount(name='sofia', keys=[], weight=2, limit=LIMIT),
        ]
        world.configure()
        return world

    def finish(self, world):
        for name in list(world.running()):
            world.backends['b1'].end(name, EndReason.DONE)

    def test_a_job_that_cannot_end_in_time_ranks_below_others(self):
        """Guards against a burst in which all jobs are started and all end late."""
        world = self.world()
        world.submit(step(), job_id='old')
        world.now_ms += 1500
        world.submit(step(), job_id='new')
        world.step()
        world.step()
        self.assertEqual(list(world.running()), ['new.0.0.0'])

    def test_a_late_job_is_served_when_nothing_better_waits(self):
        """Guards against late jobs that wait although there is room for them."""
        world = self.world()
        world.submit(step(), job_id='old')
        for _ in range(3):
            world.step(3000)
        self.assertEqual(list(world.running()), ['old.0.0.0'])

    def test_a_second_step_counts_only_what_is_left(self):
        """Guards against ranking a job as late by the time of steps that are done."""
        world = self.world()
        world.submit(step(1000), step(100, after=[0]), job_id='j1')
        world.step()
        world.step()
        self.finish(world)
        world.now_ms += 1000
        world.submit(step(1000), job_id='j2')
        world.step()
        world.step()
        self.assertEqual(list(world.running()), ['j1.0.1.0'])

    def test_an_account_beyond_its_share_waits_for_the_others(self):
        """Guards against an account that fills the whole pool with a burst of jobs."""
        world = self.world(cores=4)
        world.accounts.append(
            ClientAccount(name='varna', keys=[], weight=2, limit=LIMIT)
        )
        world.configure()
        for number in range(8):
            world.submit(step(), job_id=f'hot{number}')
        world.submit(step(), job_id='calm')
        calm = world.scheduler.jobs_by_id['calm']
        calm.account, calm.beyond_share = world.scheduler.account('varna'), False
        calm.due_ms += 300
        world.step()
        world.step()
        running = {name.split('.')[0] for name in world.running()}
        self.assertEqual(len(running), 4)
        self.assertIn('calm', running)


class CopyTest(unittest.TestCase):
    def test_a_speculative_task_on_an_unresponsive_host_runs_elsewhere_at_once(self):
        """Guards against waiting for the lease to expire where copies are allowed."""
        for speculative, places in ((True, 2), (False, 1)):
            with self.subTest(speculative=speculative):
                world = World(FakeBackend('b1'), FakeBackend('b2'))
                world.submit(step(speculative=speculative))
                world.step()
                world.step()
                [place] = world.running()['j1.0.0.0']
                state = world.scheduler.backends_by_id[place]
                world.backends[place].unresponsive = True
                world.scheduler.contact_lost(
                    state, OrderOutcome.NO_ANSWER, world.now_ms + 6000
                )
                world.step()
                world.step()
                self.assertEqual(len(world.running()['j1.0.0.0']), places)

    def test_a_new_leader_asks_before_it_copies(self):
        """Guards against copies of all speculative tasks when the leader changes."""
        world = World(FakeBackend('b1'), FakeBackend('b2'))
        world.submit(step(speculative=True))
        world.step()
        world.step()
        world.new_leader()
        world.scheduler.plan(world.now_ms, world.now_ms)
        for _ in range(3):
            world.step()
        self.assertEqual(len(world.running()['j1.0.0.0']), 1)
        started = sum(len(b.started) for b in world.backends.values())
        self.assertEqual(started, 1)

    def test_the_copy_that_ends_first_counts(self):
        """Guards against a job that waits for both copies of a task to end."""
        world = World(FakeBackend('b1'), FakeBackend('b2'))
        world.submit(step(speculative=True))
        world.step()
        world.step()
        [place] = world.running()['j1.0.0.0']
        first = world.backends[place]
        state = world.scheduler.backends_by_id[place]
        first.unresponsive = True
        world.scheduler.contact_lost(state, OrderOutcome.NO_ANSWER, world.now_ms + 6000)
        world.step()
        world.step()
        first.end('j1.0.0.0', EndReason.DONE)
        first.unresponsive = False
        for _ in range(3):
            world.step()
        self.assertEqual(world.phase(), 'done')
        self.assertEqual(world.running(), {})


if __name__ == '__main__':
    unittest.main()
