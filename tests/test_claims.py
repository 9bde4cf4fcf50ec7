"""Guards against requests that run twice and against a false "not run"."""

import unittest
from collections import Counter
from dataclasses import replace

from result import Err, Ok

from dandelionknot.configuration import FleetBounds
from dandelionknot.decisions import _claims, _slices
from dandelionknot.messages import AnswerBody, RequestBody, RequestPhase, RunState

BOUNDS = FleetBounds()
BASE_UNIX_MS = 1_800_000_000_000
OUTAGE = _claims.OutageView(own_age_ms=9000, peer_ages_ms=(), asked_ms=0)


def make_request(number, at_ms=0, **changes):
    random_bytes = number.to_bytes(_slices.RANDOM_BYTES)
    request_id = _claims.new_request_id(BASE_UNIX_MS + at_ms, random_bytes)
    fields = {'service': 'quotes', 'deadline_ms': 1000, 'idempotent': False} | changes
    return RequestBody(request_id=request_id, **fields)


def record(table, request, now_ms=0):
    """Claims a request, records its start and returns its id."""
    claim(table, request, now_ms)
    _claims.record_start(table, request.request_id, 'task-1', 'host-1')
    return request.request_id


def finish(table, request_id, run_state, result=None):
    phase = RequestPhase.FINISHED
    answer = AnswerBody(
        request_id=request_id, phase=phase, run_state=run_state, result=result
    )
    return _claims.finish(table, request_id, answer)


def make_table(slice_map=None, **changes):
    fields = {'member_id': 'entry-a', 'incarnation': 'one', 'bounds': BOUNDS}
    table = _claims.ClaimTable(**({'flush_interval_ms': 40} | fields | changes))
    slice_map = slice_map or _claims.assign_slices(['entry-a'], None)
    adopt(table, slice_map)
    return table


def adopt(table, slice_map, segments=(), trusts_log=True, now_ms=0):
    return _claims.take_over(
        table,
        slice_map,
        segments,
        trusts_log=trusts_log,
        asked_ms=now_ms,
        now_ms=now_ms,
        now_unix_ms=BASE_UNIX_MS + now_ms,
    )


def claim(table, request, now_ms=0, team='team-1'):
    digest, now_unix_ms = _claims.body_digest(request), BASE_UNIX_MS + now_ms
    return _claims.claim(
        table, request, team, digest, now_unix_ms=now_unix_ms, now_ms=now_ms
    )


class RequestIdTest(unittest.TestCase):
    def test_time_limits(self):
        """Guards against an id that is accepted after it may have been evicted."""
        max_age_ms = BOUNDS.request_id_max_age_ms
        cases = [(0, ''), (-max_age_ms, ''), (-max_age_ms - 1, 'too old')]
        cases += [(60_000, ''), (60_001, 'in future')]
        for at_ms, fault in cases:
            with self.subTest(at_ms=at_ms):
                request, now = make_request(7, at_ms), BASE_UNIX_MS
                request_id = request.request_id
                self.assertEqual(_claims.request_time_ms(request_id), now + at_ms)
                is_too_old = _claims.is_too_old(request_id, now, max_age_ms)
                self.assertIs(is_too_old, fault == 'too old')
                self.assertIs(
                    _claims.is_in_future(request_id, now), fault == 'in future'
                )
                outcome = claim(make_table(), request)
                self.assertIs(isinstance(outcome, Err), fault != '')

    def test_a_clock_set_back_does_not_permit_an_evicted_id(self):
        """Guards against a second run after the wall clock was set back."""
        table = make_table()
        request = make_request(1)
        finish(table, record(table, request), RunState.RAN)
        later_ms = BOUNDS.request_id_max_age_ms + 1
        self.assertEqual(_claims.forget_old(table, BASE_UNIX_MS + later_ms), 1)
        self.assertIsInstance(claim(table, request), Err)


class SliceTest(unittest.TestCase):
    def test_changes_move_few_slices_and_stay_balanced(self):
        """Guards against needless moves of slices, whose requests wait meanwhile."""
        members = ['a']
        slice_map = _claims.assign_slices(members, None)
        steps = ['+b', '+c', '+d', '-b', '+e', '-a', '+f', '+g', '-c', '+h', '-h']
        for step in steps:
            with self.subTest(step=step):
                change = members.append if step[0] == '+' else members.remove
                change(step[1])
                before = slice_map
                slice_map = _claims.assign_slices(members, before)
                counts = Counter(slice_map.owners)
                self.assertEqual(set(counts), set(members))
                self.assertLessEqual(max(counts.values()) - min(counts.values()), 1)
                pairs = zip(before.owners, slice_map.owners, strict=True)
                moved = sum(old != new for old, new in pairs)
                lost = before.owners.count(step[1])
                self.assertEqual(moved, lost or counts[step[1]])
                self.assertEqual(slice_map.epoch, before.epoch + 1)

    def test_ids_spread_over_all_slices(self):
        """Guards against a hash that gives one owner most of the requests."""
        ids = [make_request(number, number).request_id for number in range(6400)]
        counts = Counter(map(_claims.slice_of, ids))
        self.assertEqual(len(counts), 64)
        self.assertLess(max(counts.values()), 200)

    def test_a_slice_is_taken_only_after_the_proof(self):
        """Guards against two owners of one slice that both start requests."""
        # 1 ms longer than `stop_proof_ms` of the default bounds.
        wait_ms = 7_501
        witness = {'witness_version': 4, 'witness_learned_ms': 0}
        cases = [
            ({}, wait_ms, False),
            ({'released': True}, 0, True),
            ({'gone_ms': 0}, wait_ms - 1, False),
            ({'gone_ms': 0}, wait_ms, True),
            (witness, wait_ms - 1, False),
            (witness, wait_ms, True),
            (witness | {'witness_version': 3}, wait_ms, False),
            (witness | {'witness_joined_revision': 10}, wait_ms, True),
            (witness | {'witness_joined_revision': 11}, wait_ms, False),
        ]
        for fields, now_ms, expected in cases:
            with self.subTest(fields=fields, now_ms=now_ms):
                former = _claims.FormerOwner(
                    confirmed_version=3, members_revision=10, **fields
                )
                self.assertIs(_claims.may_take_slice(former, BOUNDS, now_ms), expected)


class FlushRateTest(unittest.TestCase):
    def test_platform_writes_per_second(self):
        """Guards against more claim writes per second than the platform accepts."""
        cases = [(9, 40, 225), (24, 100, 240)]
        for member_count, interval_ms, writes in cases:
            with self.subTest(member_count=member_count):
                chosen_ms = _claims.flush_interval_ms(40, member_count)
                self.assertEqual(chosen_ms, interval_ms)
                table = make_table(flush_interval_ms=chosen_ms)
                first, second = self.writes_by_second(table)
                self.assertLess(first * member_count, 300)
                self.assertEqual(second * member_count, writes)
                self.assertLess(writes, 300)

    def writes_by_second(self, table):
        """Counts the writes of the first two seconds of constant load."""
        counts = [0, 0]
        for now_ms in range(2000):
            table.known_as_of_ms = now_ms
            record(table, make_request(now_ms), now_ms)
            call = _claims.pending_segment(table, now_ms)
            if call is not None:
                counts[now_ms // 1000] += 1
                _claims.segment_written(table, call.key, sum(counts))
        return counts

    def test_old_segments_are_reused_or_deletable(self):
        """Guards against a log that grows without bound."""
        table = make_table()
        written = {}
        for number in range(400):
            now_ms = number * 10_000
            table.known_as_of_ms = now_ms
            _claims.forget_old(table, BASE_UNIX_MS + now_ms)
            request_id = record(table, make_request(number, now_ms), now_ms)
            finish(table, request_id, RunState.RAN)
            call = _claims.pending_segment(table, now_ms)
            written[call.key] = call.segment
            _claims.segment_written(table, call.key, number + 1)
        self.assertLessEqual(len(written), 5)
        self.assertLessEqual(len(table.entries_by_id), 91)
        self.assertLessEqual(len(table.answered_ids), 91)
        max_age_ms = BOUNDS.request_id_max_age_ms
        end_ms = BASE_UNIX_MS + now_ms + max_age_ms
        for wait_ms, kept_count in [(10_001, 0), (10_000, 1)]:
            old = _claims.deletable_segments(written, end_ms + wait_ms, max_age_ms)
            self.assertEqual(len(old), len(written) - kept_count)


class ClaimTest(unittest.TestCase):
    def test_kinds_of_repeated_requests(self):
        """Guards against an id that is answered to another body or another team."""
        table = make_table()
        request = make_request(1)
        resend = replace(request, deadline_ms=500)
        other = replace(request, payload='other')
        self.assertIsInstance(claim(table, request).unwrap(), _claims.NewClaim)
        self.assertIsInstance(claim(table, resend).unwrap(), _claims.Repeated)
        self.assertIsInstance(claim(table, other).unwrap(), _claims.ReusedId)
        self.assertIsInstance(
            claim(table, request, team='team-2').unwrap(), _claims.ReusedId
        )

    def test_memory_is_bounded(self):
        """Guards against memory that grows without bound in a burst of requests."""
        table = make_table(max_entries=2, max_result_bytes=10)
        for number in range(2):
            request_id = record(table, make_request(number))
            finish(table, request_id, RunState.RAN, result='12345678')
        refusal = claim(table, make_request(3)).unwrap_err()
        self.assertIs(refusal.run_state, RunState.UNKNOWN)
        results = [entry.answer.result for entry in table.entries_by_id.values()]
        self.assertEqual(results, [None, '12345678'])

    def test_a_long_outage_does_not_accumulate_claims(self):
        """Guards against memory that grows as long as nothing can be written."""
        table = make_table()
        for number in range(400):
            now_ms = table.known_as_of_ms = number * 10_000
            record(table, make_request(number, now_ms), now_ms)
            _claims.forget_old(table, BASE_UNIX_MS + now_ms)
        self.assertLessEqual(len(table.log.unwritten), 92)

    def test_a_start_waits_for_its_claim(self):
        """Guards against a start of which the next owner cannot know."""
        cases = [
            (None, False),
            ((9000, (9000, 400), 4000), False),
            ((400, (9000,), 4000), False),
            ((9000, (9000,), -1000), False),
            ((9000, (5501, None), 4000), True),
        ]
        for view, allowed in cases:
            with self.subTest(view=view):
                names = ('own_age_ms', 'peer_ages_ms', 'asked_ms')
                outage = view and _claims.OutageView(
                    **dict(zip(names, view, strict=True))
                )
                table = make_table()
                request_id = record(table, make_request(1))
                outcome = _claims.may_send_start(
                    table, request_id, 'task-1', outage, 4500
                )
                expected = (
                    Ok(None) if allowed else Err(_claims.StartBlock.CLAIM_NOT_WRITTEN)
                )
                self.assertEqual(outcome, expected)
                self.assertIs(_claims.may_renew_membership(table), not allowed)

    def test_untrusted_log_leaves_ids_in_doubt(self):
        """Guards against a second run of a request whose claim was only in memory."""
        table = make_table(_claims.assign_slices(['entry-b'], None))
        adopt(table, _claims.assign_slices(['entry-a'], None), trusts_log=False)
        cases = [({}, 0, True), ({}, 70_001, False), ({'idempotent': True}, 0, False)]
        for changes, at_ms, in_doubt in cases:
            with self.subTest(changes=changes, at_ms=at_ms):
                table.known_as_of_ms = at_ms
                request = make_request(1, at_ms, **changes)
                outcome = claim(table, request, now_ms=at_ms).unwrap()
                self.assertIs(isinstance(outcome, _claims.InDoubt), in_doubt)


class OwnershipTest(unittest.TestCase):
    """Guards against an owner that acts on slices, claims or closings that it lost."""

    def setUp(self):
        self.own_map = _claims.assign_slices(['entry-a'], None)
        self.table = make_table(self.own_map)
        self.request = make_request(1)
        self.id = self.request.request_id

    def record(self):
        record(self.table, self.request)
        return self.write()

    def write(self, now_ms=100):
        call = _claims.pending_segment(self.table, now_ms)
        _claims.segment_written(self.table, call.key, 1)
        return call.segment

    def may_start(self, now_ms, outage=None):
        return _claims.may_send_start(self.table, self.id, 'task-1', outage, now_ms)

    def answer_not_run(self):
        return finish(self.table, self.id, RunState.NOT_RUN)

    def make_new_owner(self, segments, slice_map=None, trusts_log=True):
        table = make_table(replace(self.own_map, owners=['entry-b'] * 64))
        slice_map = slice_map or replace(self.own_map, epoch=9)
        adopt(table, slice_map, segments, trusts_log=trusts_log)
        return table

    def test_expired_ownership(self):
        """Guards against a paused owner that continues after another took over."""
        for renews_first in (True, False):
            with self.subTest(renews_first=renews_first):
                self.setUp()
                self.check_expired_ownership(renews_first)

    def check_expired_ownership(self, renews_first):
        self.record()
        expired = Err(_claims.StartBlock.OWNERSHIP_LAPSED)
        self.assertEqual(self.may_start(5000), expired)
        self.assertIsInstance(claim(self.table, make_request(2), 5000), Err)
        if renews_first:
            self.assertFalse(_claims.renew_ownership(self.table, 6000, 6001))
            self.assertEqual(self.may_start(6001), Err(_claims.StartBlock.NOT_OWNER))
        changed = replace(self.own_map, epoch=3)
        self.assertFalse(adopt(self.table, changed, None, now_ms=7000))
        self.assertTrue(adopt(self.table, changed, now_ms=7000))
        self.assertFalse(adopt(self.table, self.own_map, now_ms=7000))
        self.assertEqual(self.may_start(7000), Err(_claims.StartBlock.NO_ATTEMPT))
        self.assertIsInstance(
            claim(self.table, self.request, 7000).unwrap(), _claims.NewClaim
        )

    def test_expired_ownership_with_unchanged_map(self):
        """Guards against a pause that loses slices which no other member took."""
        self.record()
        _claims.renew_ownership(self.table, 6000, 6001)
        self.assertTrue(adopt(self.table, self.own_map, None, now_ms=7000))
        self.assertEqual(self.may_start(7000), Ok(None))
        self.assertEqual(self.may_start(7000), Err(_claims.StartBlock.ALREADY_SENT))

    def test_membership_waits_for_the_claim_itself(self):
        """Guards against a renewal while a claim that took effect is not written."""
        self.record()
        record(self.table, make_request(2))
        write = _claims.pending_segment(self.table, 200)
        _claims.attempt_not_run(self.table, self.id, 'task-1')
        _claims.record_start(self.table, self.id, 'task-2', 'host-2')
        sent = _claims.may_send_start(self.table, self.id, 'task-2', OUTAGE, 300)
        self.assertEqual(sent, Ok(None))
        adopt(self.table, replace(self.own_map, owners=['entry-b'] * 64, epoch=4))
        _claims.attempt_not_run(self.table, self.id, 'task-2')
        _claims.segment_written(self.table, write.key, 2)
        self.assertFalse(_claims.may_renew_membership(self.table))
        self.write(400)
        self.assertTrue(_claims.may_renew_membership(self.table))

    def test_exclusion(self):
        """Guards against an excluded member that is fresh again and starts requests."""
        self.record()
        _claims.drop_ownership(self.table)
        _claims.renew_ownership(self.table, 200, 200)
        self.assertEqual(self.may_start(200), Err(_claims.StartBlock.NOT_OWNER))

    def test_write_of_unknown_outcome_is_read_back(self):
        """Guards against a start whose claim was lost in transit."""
        record(self.table, self.request)
        write = _claims.pending_segment(self.table, 0)
        _claims.segment_failed(self.table, write.key, may_have_taken_effect=True)
        self.assertIsNone(_claims.pending_segment(self.table, 39))
        self.assertEqual(
            _claims.pending_segment(self.table, 40), _claims.SegmentRead(key=write.key)
        )
        _claims.segment_read(self.table, write.key, None, 0)
        self.assertEqual(self.may_start(41), Err(_claims.StartBlock.CLAIM_NOT_WRITTEN))
        self.assertEqual(_claims.pending_segment(self.table, 80), write)
        _claims.segment_conflict(self.table, write.key)
        _claims.pending_segment(self.table, 120)
        _claims.segment_read(self.table, write.key, write.segment, 5)
        self.assertEqual(self.may_start(121), Ok(None))

    def test_not_run_waits_for_its_closing(self):
        """Guards against "not run" for a request that the next owner runs."""
        claim(self.table, self.request)
        self.assertTrue(self.answer_not_run())
        may_answer = _claims.may_answer
        self.assertFalse(may_answer(self.table, self.id, None, 0))
        self.assertIsNone(claim(self.table, self.request).unwrap().answer)
        segment = self.write()
        self.assertFalse(may_answer(self.table, self.id, None, 5000))
        self.assertTrue(may_answer(self.table, self.id, None, 4999))
        new_owner = self.make_new_owner([segment])
        answer = claim(new_owner, self.request).unwrap().answer
        self.assertIs(answer.run_state, RunState.NOT_RUN)

    def test_closing_of_a_lost_slice_proves_nothing(self):
        """Guards against a late closing that hides a run by another owner."""
        started = self.record()
        _claims.attempt_not_run(self.table, self.id, 'task-1')
        self.answer_not_run()
        segments = [started, self.write(200)]
        for fault in ('', 'lost slice', 'doubt'):
            with self.subTest(fault=fault):
                new_owner = self.make_new_owner(segments, trusts_log=fault != 'doubt')
                self.assertIsInstance(
                    claim(new_owner, self.request).unwrap(), _claims.InDoubt
                )
                if fault == 'lost slice':
                    _claims.drop_ownership(new_owner)
                _claims.attempt_not_run(new_owner, self.id, 'task-1')
                may_answer = _claims.may_answer(new_owner, self.id, None, 300)
                self.assertIs(may_answer, fault == '')
        claims = [replace(segments[1], claims=segments[1].claims[-1:])]
        without_task = self.make_new_owner(claims, trusts_log=False)
        self.assertFalse(_claims.may_answer(without_task, self.id, None, 300))

    def test_closing_needs_the_slice(self):
        """Guards against "not run" from a former owner while the next one runs it."""
        self.record()
        self.may_start(200)
        _claims.drop_ownership(self.table)
        _claims.attempt_not_run(self.table, self.id, 'task-1')
        self.assertFalse(self.answer_not_run())

    def test_open_attempts_forbid_not_run_and_other_starts(self):
        """Guards against a retry or "not run" while a start may be in transit."""
        self.record()
        blocked = Err(_claims.StartBlock.ALREADY_SENT)
        again = _claims.record_start(self.table, self.id, 'task-2', 'host-2')
        self.assertEqual(again, blocked)
        self.assertFalse(self.answer_not_run())
        _claims.attempt_not_run(self.table, self.id, 'task-1')
        again = _claims.record_start(self.table, self.id, 'task-2', 'host-2')
        self.assertEqual(again, Ok(None))

    def test_inherited_claims(self):
        """Guards against a second run of a request that an earlier owner started."""
        segment = self.record()
        doubtful_map = _claims.mark_in_doubt(
            replace(self.own_map, epoch=9), range(64), BASE_UNIX_MS
        )
        cases = [
            (None, True, _claims.NewClaim),
            (None, False, _claims.InDoubt),
            (doubtful_map, True, _claims.InDoubt),
        ]
        for slice_map, trusts_log, after in cases:
            with self.subTest(after=after, trusts_log=trusts_log):
                new_owner = self.make_new_owner([segment], slice_map, trusts_log)
                outcome = claim(new_owner, self.request).unwrap()
                place = _claims.TaskPlace(task_id='task-1', host_id='host-1')
                self.assertEqual(outcome.tasks, (place,))
                blocked = _claims.record_start(new_owner, self.id, 'task-2', 'host-2')
                self.assertEqual(blocked, Err(_claims.StartBlock.ALREADY_SENT))
                _claims.attempt_not_run(new_owner, self.id, 'task-1')
                self.assertIsInstance(claim(new_owner, self.request).unwrap(), after)
                is_closed = finish(new_owner, self.id, RunState.NOT_RUN)
                self.assertIs(is_closed, after is _claims.NewClaim)
                again = _claims.record_start(new_owner, self.id, 'task-2', 'host-2')
                self.assertIsInstance(again, Err)

    def test_release(self):
        """Guards against a slice that is handed over with open requests."""
        claim(self.table, self.request)
        index = _claims.slice_of(self.id)
        self.assertFalse(_claims.may_release_slice(self.table, index))
        _claims.begin_release(self.table, index)
        self.assertFalse(_claims.may_release_slice(self.table, index))
        record(self.table, self.request)
        self.assertEqual(self.may_start(300, OUTAGE), Ok(None))
        finish(self.table, self.id, RunState.RAN)
        self.assertFalse(_claims.may_release_slice(self.table, index))
        self.write()
        self.assertTrue(_claims.may_release_slice(self.table, index))
        # Request 176 is in the same slice as request 1.
        self.assertIsInstance(claim(self.table, make_request(176)), Err)
        _claims.cancel_release(self.table, index)
        self.assertIsInstance(claim(self.table, make_request(176)), Ok)

    def test_trust_in_the_log(self):
        """Guards against trust in a log that lacks claims which were only in memory."""
        cases = [(0, 5000, True), (0, 5001, False), (100, 5000, False)]
        for since_ms, gap_ms, expected in cases:
            with self.subTest(since_ms=since_ms, gap_ms=gap_ms):
                trusted = _claims.trusts_claim_log(
                    member_since_ms=since_ms,
                    renewal_after_ms=100,
                    longest_gap_ms=gap_ms,
                    bounds=BOUNDS,
                )
                self.assertIs(trusted, expected)
