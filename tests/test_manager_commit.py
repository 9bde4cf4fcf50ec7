"""The committer: no record is lost or written twice, and batches fit into a write."""

import asyncio
import random
import unittest

from dandelionknot.jobs._batches import Batch
from dandelionknot.jobs._generated import (
    HostOrder,
    JobPhase,
    JobRecord,
    StepSpec,
    UpkeepWave,
)
from dandelionknot.jobs._stored import LEADER_KEY, record_key
from dandelionknot.manager._commit import (
    MAX_RECORDS,
    BatchStored,
    Committer,
    TermEnded,
)
from dandelionknot.store import Put
from emulator import virtual_time
from emulator.store import MAX_ENTRIES, MemoryStore, StoreClient
from tests.job_test_bed import FakeBackend, JobTestBed

# Entries of each write for the leader's item: the precondition and the item itself.
OWN_ENTRIES = 2


def new_committer(store, reports, lease_id=0, revision=0):
    return Committer(
        store=StoreClient(store, [False]),
        member_id='edge-1',
        lease_id=lease_id,
        term=1,
        revision=revision,
        report=reports.append,
        wave_status=lambda number, done: Put(f'status/{number}', b''),
    )


def batch(**records):
    found = {name: JobRecord(phase=phase) for name, phase in records.items()}
    return Batch(found, [], [])


def has(store, job_id):
    return record_key(job_id) in store.items_by_key


class SizeTest(unittest.TestCase):
    def test_the_largest_batch_fits_into_one_write(self):
        """Guards against a batch that the store rejects at every try as too large."""
        test_bed = JobTestBed(FakeBackend('b1'))
        scheduler = test_bed.scheduler
        step = StepSpec(task_count=1, resources=FakeBackend('x').room)
        for number in range(100):
            test_bed.submit(step, job_id=f'j{number}')
            scheduler.cancel_job(f'j{number}', test_bed.now_ms)
        for name in '12345':
            wave = UpkeepWave(number=int(name), host_ids=[], within_s=1, max_down=1)
            scheduler.maintenance.set_wave(name, wave, None, test_bed.now_ms)
        committer = new_committer(MemoryStore(random.Random(1)), [])
        later = test_bed.now_ms + scheduler.status_kept_ms
        deleted = 0
        for _ in range(60):
            scheduler.capacity.dirty = True
            taken = scheduler.take_batch(MAX_RECORDS, later)
            puts, deletes = committer.entries(taken)
            self.assertLessEqual(OWN_ENTRIES + len(puts) + len(deletes), MAX_ENTRIES)
            deleted += len(taken.deleted_job_ids)
        self.assertEqual(deleted, 100)
        self.assertEqual(scheduler.maintenance.dirty, set())


class AnswerTest(unittest.TestCase):
    def run_committer(self, prepare, batches, seconds=20):
        async def main():
            store = MemoryStore(random.Random(1))
            revision = store.put(LEADER_KEY, b'first')
            reports = []
            committer = new_committer(store, reports, revision=revision)
            prepare(store)
            task = asyncio.create_task(committer.run())
            for each in batches:
                committer.inbox.send(each)
            await asyncio.sleep(seconds)
            task.cancel()
            return store, reports

        return virtual_time.run(main())

    def test_lost_answers_store_each_batch_once(self):
        """Guards against an older record that a write carried out late restores."""

        def prepare(store):
            store.lost_share, store.late_share = 0.6, 0.5

        batches = [
            batch(j1=JobPhase.RUNNING),
            batch(j1=JobPhase.DONE),
            batch(j2=JobPhase.QUEUED),
        ]
        store, reports = self.run_committer(prepare, batches, 120)
        self.assertEqual([type(report) for report in reports], [BatchStored] * 3)
        revisions = [report.revision for report in reports]
        self.assertEqual(revisions, sorted(set(revisions)))
        written = [item.value for item in store.history if item.key == record_key('j1')]
        self.assertEqual(len(written), 2)
        self.assertIn(b'done', store.items_by_key[record_key('j1')].value)

    def test_another_leader_ends_the_term(self):
        """Guards against records that a leader writes after it was replaced."""
        store, reports = self.run_committer(
            lambda store: store.put(LEADER_KEY, b'second'),
            [batch(j1=JobPhase.RUNNING)],
        )
        self.assertEqual([type(report) for report in reports], [TermEnded])
        self.assertNotIn(record_key('j1'), store.items_by_key)

    def test_a_record_that_is_too_large_does_not_hold_up_others(self):
        """Guards against a leader that repeats one rejected write for ever."""
        sizes = {'j1': 'x' * 5000, 'j2': ''}
        records = {
            job_id: JobRecord(phase=JobPhase.RUNNING, reason=reason)
            for job_id, reason in sizes.items()
        }
        large = Batch(records, [], [(None, 1)])

        def prepare(store):
            store.max_value_bytes = 4000

        batches = [large, batch(j3=JobPhase.RUNNING)]
        store, reports = self.run_committer(prepare, batches)
        self.assertEqual([type(report) for report in reports], [BatchStored] * 2)
        self.assertEqual(reports[0].rejected_job_ids, ['j1'])
        # The ends might be those of the job that is not stored.
        self.assertEqual(large.ends_by_backend, [])
        stored = [job_id for job_id in 'j1 j2 j3'.split() if has(store, job_id)]
        self.assertEqual(stored, ['j2', 'j3'])

    def test_a_batch_that_is_stored_in_pieces_has_its_effects(self):
        """Guards against orders about hosts that are recorded and never sent."""
        orders = [HostOrder(host_id='h1', pool='p')]
        records = {
            job_id: JobRecord(phase=JobPhase.RUNNING) for job_id in ('j1', 'j2', 'j3')
        }
        large = Batch(records, [], [(None, 1)], host_orders=list(orders))

        def prepare(store):
            store.max_puts = 2

        _, reports = self.run_committer(prepare, [large])
        self.assertEqual(reports[0].rejected_job_ids, [])
        self.assertEqual(large.ends_by_backend, [(None, 1)])
        self.assertEqual(large.host_orders, orders)

    def test_a_store_that_rejects_every_write_ends_no_job(self):
        """Guards against jobs that are given up for a fault of the store."""

        def prepare(store):
            store.max_value_bytes = 1
            loop = asyncio.get_running_loop()
            loop.call_later(5, setattr, store, 'max_value_bytes', 10_000)

        store, reports = self.run_committer(prepare, [batch(j1=JobPhase.RUNNING)])
        self.assertEqual([type(report) for report in reports], [BatchStored])
        self.assertEqual(reports[0].rejected_job_ids, [])
        self.assertTrue(has(store, 'j1'))

    def test_an_outage_delays_batches_and_loses_none(self):
        """Guards against a batch that is dropped while the store does not answer."""

        def prepare(store):
            store.down = True
            asyncio.get_running_loop().call_later(5, setattr, store, 'down', False)

        store, reports = self.run_committer(prepare, [batch(j1=JobPhase.RUNNING)])
        self.assertEqual([type(report) for report in reports], [BatchStored])


if __name__ == '__main__':
    unittest.main()
