"""Tests the limits on stored requests and what owners may do with them."""

import unittest
from types import SimpleNamespace

from dandelionknot.configuration import Configuration
from dandelionknot.decisions import _claims, _slices, _work
from dandelionknot.entry._queues import enqueue
from dandelionknot.entry._requests import RequestEntry
from dandelionknot.messages import Claim, ClaimSegment, ErrorCode, RunState
from tests.test_work import (
    BASE_UNIX_MS,
    BOUNDS,
    MAX_AGE_MS,
    SIZE_BYTES,
    WorkTestBed,
    make_kept,
)


class WorkStateTest(unittest.TestCase):
    def test_nothing_is_decided_from_memory(self):
        """Guards against a start or a "not run" of which the next owner cannot know."""
        outage = _claims.OutageView(own_age_ms=9000, peer_ages_ms=(), asked_ms=0)
        for idempotent in (False, True):
            with self.subTest(idempotent=idempotent):
                test_bed = WorkTestBed(1)
                test_bed.write_outcomes = ('ok',)
                table = test_bed.owner.table
                started, refused = (
                    make_kept(each, 0, 1, idempotent) for each in (1, 2)
                )
                test_bed.offer(started)
                test_bed.offer(refused)
                started_id, refused_id = (
                    each.request.request_id for each in (started, refused)
                )
                _claims.record_start(table, started_id, 'task-1', 'host-1').unwrap()
                test_bed.finish(refused_id, RunState.NOT_RUN)
                for now_ms, is_written in ((0, False), (1, True)):
                    may_start = _claims.may_send_start(
                        table, started_id, 'task-1', outage, 0
                    )
                    self.assertIs(may_start.is_ok(), is_written)
                    may_answer = _claims.may_answer(table, refused_id, outage, 0)
                    self.assertIs(may_answer, is_written)
                    test_bed.now_ms = now_ms
                    test_bed.claim()

    def test_bounds_of_segments_and_writes(self):
        """Guards against segments, writes and memory that grow with the load."""
        rates = [(1, 200), (8, 200), (24, 600)]
        for members, interval_ms in rates:
            self.assertEqual(_work.flush_interval_ms(200, members), interval_ms)
            self.assertLessEqual(members * 1000 / interval_ms, 40)
        work = _work.WorkState(flush_interval_ms=200, max_unfinished=70)
        size_bytes = 100 * 1024
        offers = [_work.offer(work, make_kept(each), size_bytes) for each in range(71)]
        self.assertEqual(offers[-1].err(), ErrorCode.QUEUE_FULL)
        too_large = _work.offer(work, make_kept(99), _work.MAX_SEGMENT_BYTES)
        self.assertEqual(too_large.err(), ErrorCode.WORK_TOO_LARGE)
        written = []
        for now_ms in range(0, 20_000, 100):
            call = _work.next_call(work, now_ms)
            if call is not None:
                self.assertEqual(now_ms % 200, 0)
                self.assertIsNone(_work.next_call(work, now_ms + 199))
                ids = [each.request.request_id for each in call.segment.requests]
                self.assertLessEqual(len(ids), 2)
                self.assertEqual(len(set(map(_slices.slice_of, ids))), 1)
                written += ids
                _work.write_answered(work, call.key, now_ms + 1)
        self.assertEqual(len(set(written)), 70)

    def test_write_without_an_answer_is_refused_once(self):
        """Guards against an acceptance after the caller received a refusal."""
        work = _work.WorkState(flush_interval_ms=200)
        kept = make_kept(1)
        _work.offer(work, kept, SIZE_BYTES).unwrap()
        call = _work.next_call(work, 0)
        cases = [(1999, ()), (2000, (kept,)), (2001, ())]
        for now_ms, expected in cases:
            self.assertEqual(_work.write_overdue(work, now_ms), expected)
        self.assertEqual(_work.write_answered(work, call.key, 7), ())
        self.assertEqual(work.segments_by_key[call.key].revision, 7)

    def test_segment_of_an_unknown_write_is_read_before_it_is_deleted(self):
        """Guards against segments that are never deleted from the platform."""
        for revision in (0, 7):
            with self.subTest(revision=revision):
                work = _work.WorkState(flush_interval_ms=1)
                _work.offer(work, make_kept(1), SIZE_BYTES).unwrap()
                key = _work.next_call(work, 0).key
                _work.write_answered(work, key, None)
                _work.find_deletable(work, lambda request_id: False)
                self.assertEqual(_work.next_call(work, 1), _work.WorkRead(key=key))
                _work.read_answered(work, key, revision)
                deletion = _work.WorkDeletion(key=key, expected_revision=7)
                expected = deletion if revision else None
                self.assertEqual(_work.next_call(work, 2), expected)

    def test_claims_are_retained_beyond_the_age_of_their_ids(self):
        """Guards against a second run of a request whose claim was deleted early."""
        test_bed = WorkTestBed(1)
        table = test_bed.owner.table
        kept = make_kept(1, deadline_ms=3 * MAX_AGE_MS)
        request_id = kept.request.request_id
        test_bed.adopt(kept)
        _claims.record_start(table, request_id, 'task-1', 'host-1').unwrap()
        later_ms = 2 * MAX_AGE_MS
        _claims.forget_old(table, BASE_UNIX_MS + later_ms)
        call = _claims.pending_segment(table, later_ms)
        self.assertEqual(
            [each.request_id for each in call.segment.claims], [request_id]
        )
        keep_until_ms = kept.deadline_unix_ms + 2 * MAX_AGE_MS
        for now_unix_ms, expected in ((keep_until_ms, []), (2**62, [call.key])):
            written = {call.key: call.segment}
            found = _claims.deletable_segments(written, now_unix_ms, MAX_AGE_MS)
            self.assertEqual(found, expected)
        test_bed.claims[call.key] = (1, call.segment)
        test_bed.now_ms = later_ms
        test_bed.take_over()
        _claims.forget_old(test_bed.owner.table, BASE_UNIX_MS + later_ms)
        self.assertIn(request_id, test_bed.owner.table.entries_by_id)

    def test_a_stored_request_waits_while_its_slice_may_change_owner(self):
        """Guards against a start that races with the next owner of the slice."""
        test_bed = WorkTestBed(1)
        table = test_bed.owner.table
        test_bed.adopt(make_kept(1))
        request_id = make_kept(1).request.request_id
        expiry_ms = BOUNDS.freshness_bound_ms
        cases = [(0, False, True), (0, True, False), (expiry_ms, False, False)]
        for now_ms, is_stopping, expected in cases:
            found = _claims.may_begin(
                table, request_id, now_ms, is_stopping=is_stopping
            )
            self.assertIs(found, expected)
        index = _slices.slice_of(request_id)
        _claims.begin_release(table, index)
        self.assertFalse(_claims.may_begin(table, request_id, 0, is_stopping=False))
        self.assertTrue(_claims.may_release_slice(table, index))
        _claims.cancel_release(table, index)
        _claims.record_start(table, request_id, 'task-1', 'host-1').unwrap()
        _claims.begin_release(table, index)
        self.assertFalse(_claims.may_release_slice(table, index))

    def test_a_request_that_was_closed_never_runs(self):
        """Guards against a run after a former owner may have answered "not run"."""
        for idempotent in (False, True):
            for place_count in (0, 1, 2):
                with self.subTest(idempotent=idempotent, place_count=place_count):
                    table = self.inherited_closing(idempotent, place_count)
                    request_id = make_kept(1).request.request_id
                    while (
                        place := _claims.resolve_inherited(table, request_id)
                    ) is not None:
                        _claims.attempt_not_run(table, request_id, place.task_id)
                    answer = _claims.closing_answer(table, request_id)
                    self.assertIs(answer.run_state, RunState.NOT_RUN)
                    started = _claims.record_start(
                        table, request_id, 'task-9', 'host-1'
                    )
                    self.assertTrue(started.is_err())

    def inherited_closing(self, idempotent, place_count):
        """Returns a table that inherited a closing and tasks from an untrusted log."""
        kept = make_kept(1, idempotent=idempotent)
        request_id = kept.request.request_id
        tasks = [f'{request_id}.{attempt}.nonce' for attempt in range(place_count)]
        fields = {'request_id': request_id, 'team': 'team-1', 'host_id': 'host-1'}
        fields |= {'body_digest': kept.body_digest, 'keep_until_ms': 2**62}
        claims = [Claim(task_id=task_id, **fields) for task_id in (*tasks, '')]
        test_bed = WorkTestBed(1)
        test_bed.claims['claims/1'] = (1, ClaimSegment(member_id='a', claims=claims))
        test_bed.take_over(trusts_log=False)
        _claims.adopt_kept(test_bed.owner.table, kept)
        return test_bed.owner.table


class MissingServiceTest(unittest.TestCase):
    def test_request_of_a_deleted_service(self):
        """Guards against a new owner that stops when it reads such a request."""
        kept = make_kept(1, 0, 1, True)
        entry = RequestEntry(
            body=kept.request,
            body_digest=kept.body_digest,
            team_id=kept.team,
            key_id=kept.key_id,
            arrived_ms=0,
            deadline_at_ms=1000,
        )
        state = SimpleNamespace(
            configuration=Configuration(version=1),
            queues_by_service={},
            grants_due=False,
        )
        refusal = enqueue(state, entry).unwrap_err()
        self.assertIs(refusal.code, ErrorCode.SERVICE_NOT_FOUND)
        self.assertIs(refusal.run_state, RunState.NOT_RUN)
