"""The view of the store: order of versions, missing items and malformed items."""

import unittest

import msgspec

from dandelionknot.jobs._generated import Job, JobPhase, JobRecord, JobSpec
from dandelionknot.jobs._stored import (
    BORROWED_KEY,
    LEADER_PRESENCE_KEY,
    WAITING_KEY,
    WAVE_RECORD_PREFIX,
    cancel_key,
    job_key,
    record_key,
)
from dandelionknot.manager._view import JobStored, View, sort_for_view
from dandelionknot.store import Item

JOB = Job(
    job_id='j1',
    queue='q',
    service='s',
    client_account='a',
    accepted_unix_ms=1,
    spec=JobSpec(payload='p', steps=[]),
)


def item(key, value, revision, deleted=False):
    return Item(key, msgspec.json.encode(value), revision, deleted=deleted)


class ViewTest(unittest.TestCase):
    def setUp(self):
        self.view = View(decode_fact=lambda found: None)
        self.view.apply(item(job_key('j1'), JOB, 5))

    def test_an_older_version_changes_nothing(self):
        """Guards against a view that returns to older versions that are read again."""
        done = JobRecord(phase=JobPhase.DONE)
        self.view.apply(item(record_key('j1'), done, 9))
        queued = JobRecord(phase=JobPhase.QUEUED)
        self.view.apply(item(record_key('j1'), queued, 7))
        self.assertIs(self.view.jobs_by_id['j1'].phase, JobPhase.DONE)

    def test_a_cancelled_job_is_shown_as_such_unless_it_had_ended(self):
        """Guards against a done job that a late cancellation shows as cancelled."""
        self.view.apply(item(cancel_key('j1'), {}, 6))
        self.assertIs(self.view.jobs_by_id['j1'].phase, JobPhase.CANCELLED)
        done = JobRecord(phase=JobPhase.DONE)
        self.view.apply(item(record_key('j1'), done, 7))
        self.assertIs(self.view.jobs_by_id['j1'].phase, JobPhase.DONE)

    def test_malformed_items_of_another_writer_are_skipped(self):
        """Guards against a process that ends after each restart at a malformed item."""
        revision = 10
        keys = (
            job_key('j2'),
            record_key('j1'),
            WAVE_RECORD_PREFIX + '1',
            BORROWED_KEY,
            WAITING_KEY,
        )
        for key in keys:
            for value in (b'', b'\xff', b'[]', b'{"phase":7}'):
                revision += 1
                with self.subTest(key=key, value=value):
                    event = self.view.apply(Item(key, value, revision))
                    self.assertNotIsInstance(event, JobStored)
        self.assertIs(self.view.jobs_by_id['j1'].phase, JobPhase.QUEUED)

    def test_items_missing_from_a_full_read_are_deleted(self):
        """Guards against a leader item that stays in the view after it was deleted.

        If the store no longer has the change that deleted the item, the view has to
        notice that a full read does not contain it. If the item stayed, no other host
        would try to become leader.
        """
        self.view.apply(item(LEADER_PRESENCE_KEY, {}, 6))
        [gone] = self.view.deletions_of_missing('', {job_key('j1')}, 20)
        self.view.apply(gone)
        self.assertIsNone(self.view.leader)

    def test_jobs_come_before_their_records(self):
        """Guards against dropping records because their job is not known yet."""
        record = item(record_key('j1'), {}, 1)
        job = item(job_key('j1'), JOB, 2)
        cancelled = item(cancel_key('j1'), {}, 3)
        self.assertIs(sort_for_view([cancelled, record, job])[0], job)


if __name__ == '__main__':
    unittest.main()
