"""What the leader sends after a write goes by what the write has stored."""

import unittest
from unittest import mock

from dandelionknot.jobs._batches import ORDER_KEPT_MS
from dandelionknot.jobs._generated import (
    Host,
    HostsListed,
    OrderOutcome,
    Resources,
    StartTask,
    StepSpec,
    UpkeepWave,
)
from dandelionknot.manager._commit import BatchStored
from dandelionknot.manager._leader import Leader
from tests.job_test_bed import LEASE_MS, SERVICE, FakeBackend, JobTestBed

SMALL = Resources(cpu_millicores=1000, memory_mb=100)
TASK = 'j1.0.0.0'


def step(count=1, **fields):
    """Returns a step of small tasks."""
    return StepSpec(task_count=count, resources=SMALL, **fields)


def runs(commands):
    """Returns task, run and backend server of each start."""
    return [
        (command.order.task_name, command.order.run, command.backend_id)
        for command in commands
        if isinstance(command, StartTask)
    ]


class PlacedAgainTest(unittest.TestCase):
    """A task is placed again while the record of its first placement is written."""

    def place_again(self, spec):
        """Returns the batch that is being written, and the id of the lost server."""
        self.test_bed = JobTestBed(*(FakeBackend(f'b{n}') for n in range(4)))
        self.test_bed.step()
        self.test_bed.submit(spec)
        self.plan()
        batch = self.test_bed.scheduler.take_batch(10, self.test_bed.now_ms)
        stored = batch.records_by_job_id['j1'].tasks_by_name['0.0.0']
        self.assertEqual(stored.run, 1)
        lost = self.test_bed.scheduler.backends_by_id[stored.backend_id]
        now_ms = self.test_bed.now_ms
        self.test_bed.scheduler.contact_lost(
            lost, OrderOutcome.NO_ANSWER, now_ms + LEASE_MS, now_ms
        )
        self.test_bed.scheduler.requeue_tasks(lost, 'its host is listed as down')
        self.plan()
        return batch, stored.backend_id

    def plan(self):
        self.test_bed.now_ms += 10
        self.test_bed.scheduler.plan(self.test_bed.now_ms, self.test_bed.now_ms)

    def confirm_next(self):
        """Stores the next batch; returns the runs that it names and those started."""
        scheduler = self.test_bed.scheduler
        batch = scheduler.take_batch(10, self.test_bed.now_ms)
        record = batch.records_by_job_id['j1']
        stored = {
            (f'j1.{suffix}', task.run, task.backend_id)
            for suffix, task in record.tasks_by_name.items()
        }
        return stored, runs(scheduler.confirm(batch))

    def test_a_run_is_not_started_before_its_own_record_is_stored(self):
        """Guards against a run that the next leader does not know and starts again."""
        batch, lost_id = self.place_again(step())
        self.assertEqual(runs(self.test_bed.scheduler.confirm(batch)), [])
        stored, [started] = self.confirm_next()
        self.assertIn(started, stored)
        self.assertEqual(started[:2], (TASK, 2))
        self.assertNotEqual(started[2], lost_id)

    def test_the_other_runs_of_the_batch_are_started(self):
        """Guards against tasks that wait because another one was placed again."""
        batch, lost_id = self.place_again(step(4, max_per_host=1))
        started = runs(self.test_bed.scheduler.confirm(batch))
        self.assertEqual({run for _, run, _ in started}, {1})
        self.assertEqual(len(started), 3)
        self.assertNotIn(lost_id, {backend_id for _, _, backend_id in started})

    def test_a_stop_of_the_new_run_is_not_lost(self):
        """Guards against a cancelled task that keeps its place on a server."""
        batch, _ = self.place_again(step())
        scheduler = self.test_bed.scheduler
        scheduler.cancel_job('j1', self.test_bed.now_ms)
        self.assertEqual(runs(scheduler.confirm(batch)), [])
        following = scheduler.take_batch(10, self.test_bed.now_ms)
        self.assertEqual(runs(scheduler.confirm(following)), [])
        assigned = [b for b in scheduler.backends_by_id.values() if b.tasks_by_name]
        self.assertEqual(assigned, [])


class LateHostOrderTest(unittest.TestCase):
    """The record of an order about a host is stored long after it was planned."""

    def setUp(self):
        self.test_bed = JobTestBed(FakeBackend('b1'), FakeBackend('b2'))
        self.test_bed.step()
        scheduler = self.test_bed.scheduler
        wave = UpkeepWave(number=1, host_ids=['m1'], within_s=20, max_down=1)
        scheduler.maintenance.set_wave('1', wave, None, self.test_bed.now_ms)
        row = Host(host_id='m1', pool=SERVICE, state='up', backend_id='b1')
        listed = HostsListed(hosts=[row], sent_ms=self.test_bed.now_ms)
        scheduler.maintenance.hosts_listed(listed)
        self.leader = Leader.from_ports(mock.Mock(), mock.Mock(number=1))
        self.leader.scheduler = scheduler
        self.leader.hosts = mock.Mock()

    def take_batch_after(self, duration_ms):
        self.test_bed.now_ms += duration_ms
        now_ms = self.test_bed.now_ms
        self.test_bed.scheduler.plan(now_ms, now_ms)
        return self.test_bed.scheduler.take_batch(10, now_ms)

    def test_an_order_stays_recorded_for_its_time_after_it_was_sent(self):
        """Guards against two leaders that give orders about one host in turn."""
        batch = self.take_batch_after(10)
        [order] = batch.host_orders
        self.test_bed.now_ms += ORDER_KEPT_MS
        sent_ms = self.test_bed.now_ms
        with mock.patch('dandelionknot.manager._leader.now_ms', return_value=sent_ms):
            self.leader._handle(BatchStored(batch, ORDER_KEPT_MS, revision=2))
        self.leader.hosts.inbox.send.assert_called_once_with(order)
        self.test_bed.submit(step(), job_id='j1')
        following = self.take_batch_after(ORDER_KEPT_MS - 1000)
        self.assertIsNone(following.borrowed)
        self.assertIn('m1', self.test_bed.scheduler.ordered_at_ms_by_host_id)
        self.test_bed.submit(step(), job_id='j2')
        last = self.take_batch_after(2000)
        self.assertEqual(last.borrowed.recently_ordered_host_ids, [])


if __name__ == '__main__':
    unittest.main()
