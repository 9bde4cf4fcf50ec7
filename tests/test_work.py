"""Guards against asynchronous requests lost, run twice or falsely "not run"."""

import unittest
from collections import Counter
from dataclasses import dataclass, field, replace
from random import Random

from hypothesis import settings, strategies
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from dandelionknot.configuration import FleetBounds
from dandelionknot.decisions import _claims, _slices, _work
from dandelionknot.messages import (
    AnswerBody,
    KeptRequest,
    RequestBody,
    RequestMode,
    RequestPhase,
    RunState,
)

BOUNDS = FleetBounds()
MAX_AGE_MS = BOUNDS.request_id_max_age_ms
PROOF_MS = _slices.stop_proof_ms(BOUNDS) + 1
BASE_UNIX_MS = 1_800_000_000_000
SIZE_BYTES = 400
ACTIONS = 3 * 'accept write write claim claim start deliver '.split()
ACTIONS += 'collect collect advance advance crash hand_over forget arrive wait'.split()
# A `lost` write takes effect without an answer, a `gone` one never takes effect, and a
# `late` one takes effect when `arrive` runs.
WRITE_OUTCOMES = ('ok', 'ok', 'ok', 'lost', 'gone', 'late')
DEADLINES_MS = (20_000, 60_000, 2 * MAX_AGE_MS)
RARE_EVENTS = {'kept', 'not_run', 'unknown', 'asked', 'adopted', 'deleted', 'expired'}


def make_kept(number, at_ms=0, deadline_ms=60_000, idempotent=False):
    random_bytes = number.to_bytes(_slices.RANDOM_BYTES)
    request = RequestBody(
        request_id=_slices.new_request_id(BASE_UNIX_MS + at_ms, random_bytes),
        service='quotes',
        deadline_ms=deadline_ms,
        idempotent=idempotent,
        mode=RequestMode.ASYNC,
    )
    return KeptRequest(
        request=request,
        body_digest=_claims.body_digest(request),
        team='team-1',
        key_id='key-1',
        arrived_unix_ms=BASE_UNIX_MS + at_ms,
        deadline_unix_ms=BASE_UNIX_MS + at_ms + deadline_ms,
    )


@dataclass
class Member:
    """One owner: its claim table, its segments and the requests that it knows."""

    table: _claims.ClaimTable
    work: _work.WorkState
    kept_by_id: dict = field(default_factory=dict)
    tasks_by_id: dict = field(default_factory=dict)


class WorkTestBed:
    """A simulated platform and host, the owners of all slices, and the oracle."""

    def __init__(self, seed):
        self.random = Random(seed)
        self.now_ms = 0
        self.segments, self.claims = {}, {}
        self.revision = self.count = self.owners = 0
        self.late = []
        self.runs = Counter()
        self.barred, self.finished = set(), set()
        self.accepted, self.answered = {}, {}
        self.seen, self.idempotent_ids = set(), set()
        self.write_outcomes = WRITE_OUTCOMES
        self.former_owners = []
        self.owner = None
        self.take_over()

    def run_action(self, action):
        getattr(self, action)()

    def take_over(self, trusts_log=True):
        """Starts a new owner, which may not trust the claim log.

        It reads the claims first and then the stored requests.
        """
        self.owners += 1
        name = f'entry-{self.owners}'
        table = _claims.ClaimTable(
            member_id=name, incarnation='one', bounds=BOUNDS, flush_interval_ms=1
        )
        owner = Member(table=table, work=_work.WorkState(flush_interval_ms=1))
        slice_map = _slices.assign_slices([name], None)
        _claims.take_over(
            table,
            replace(slice_map, epoch=self.owners),
            [segment for _, segment in self.claims.values()],
            trusts_log=trusts_log,
            asked_ms=self.now_ms,
            now_ms=self.now_ms,
            now_unix_ms=BASE_UNIX_MS + self.now_ms,
        )
        self.owner = owner
        for key, (revision, segment) in self.segments.items():
            ids = tuple(each.request.request_id for each in segment.requests)
            _work.record_segment(owner.work, key, revision, ids)
            for kept in segment.requests:
                if not self.is_past_retention(kept):
                    self.adopt(kept)

    def adopt(self, kept):
        request_id = kept.request.request_id
        self.owner.kept_by_id[request_id] = kept
        self.seen.add('adopted')
        outcome = _claims.adopt_kept(self.owner.table, kept)
        if isinstance(outcome, _claims.Repeated):
            self.end(request_id, outcome.answer.run_state)
        elif isinstance(outcome, _claims.InDoubt):
            self.ask(request_id, outcome.tasks[-1])
        elif self.is_deadline_past(kept):
            self.refuse(request_id)

    def ask(self, request_id, place):
        """Asks the host about tasks, which bars those that have not started."""
        self.seen.add('asked')
        while place is not None:
            if place.task_id in self.finished:
                self.finish(request_id, RunState.RAN)
                return
            self.barred.add(place.task_id)
            _claims.attempt_not_run(self.owner.table, request_id, place.task_id)
            place = _claims.resolve_inherited(self.owner.table, request_id)
        closing = _claims.closing_answer(self.owner.table, request_id)
        if closing is not None:
            self.end(request_id, closing.run_state)
        elif self.is_deadline_past(self.owner.kept_by_id[request_id]):
            self.refuse(request_id)

    def is_deadline_past(self, kept):
        return BASE_UNIX_MS + self.now_ms >= kept.deadline_unix_ms

    def is_past_retention(self, kept):
        return _work.is_past_retention(kept, BASE_UNIX_MS + self.now_ms, MAX_AGE_MS)

    def finish(self, request_id, run_state):
        phase = RequestPhase.FINISHED
        answer = AnswerBody(request_id=request_id, phase=phase, run_state=run_state)
        return _claims.finish(self.owner.table, request_id, answer)

    def refuse(self, request_id):
        """Closes a request; its caller is answered once the closing is written."""
        if self.finish(request_id, RunState.NOT_RUN):
            self.send_answers(self.owner)

    def send_answers(self, member):
        for request_id in member.kept_by_id:
            entry = member.table.entries_by_id.get(request_id)
            if entry is None or entry.answer is None:
                continue
            if _claims.may_answer(member.table, request_id, None, self.now_ms):
                self.end(request_id, entry.answer.run_state)

    def end(self, request_id, run_state):
        self.answered[request_id] = run_state
        self.seen.add(str(run_state))
        kept = self.accepted.pop(request_id, None)
        if kept is not None and run_state is RunState.NOT_RUN:
            assert self.is_deadline_past(kept), 'refused before its deadline'

    def accept(self):
        self.count += 1
        random = self.random
        kept = make_kept(
            self.count, self.now_ms, random.choice(DEADLINES_MS), random.random() < 0.3
        )
        self.offer(kept)

    def offer(self, kept):
        request, digest = kept.request, kept.body_digest
        if request.idempotent:
            self.idempotent_ids.add(request.request_id)
        times = {'now_unix_ms': kept.arrived_unix_ms, 'now_ms': self.now_ms}
        claimed = _claims.claim(
            self.owner.table, request, kept.team, digest, **times
        ).unwrap_or(None)
        if not isinstance(claimed, _claims.NewClaim):
            return
        if _work.offer(self.owner.work, kept, SIZE_BYTES).is_ok():
            self.owner.kept_by_id[request.request_id] = kept

    def swap(self, store, key, expected, value, write_outcome):
        """Writes with compare-and-swap; a late write takes effect in `arrive`."""
        if write_outcome == 'late':
            self.late.append((store, key, expected, value))
            return None
        if write_outcome == 'gone':
            return None
        revision = store.get(key, (0, None))[0]
        if revision != expected:
            return 0
        self.revision += 1
        store[key] = (self.revision, value)
        if value is None:
            del store[key]
        return self.revision if write_outcome == 'ok' else None

    def arrive(self):
        """Applies the late writes."""
        for store, key, expected, value in self.late:
            self.swap(store, key, expected, value, 'ok')
        self.late.clear()

    def write(self):
        owner, write_outcome = self.owner, self.random.choice(self.write_outcomes)
        call = _work.next_call(owner.work, self.now_ms)
        if isinstance(call, _work.WorkWrite):
            revision = self.swap(
                self.segments, call.key, 0, call.segment, write_outcome
            )
            for kept in _work.write_answered(owner.work, call.key, revision or None):
                request_id = kept.request.request_id
                entry = owner.table.entries_by_id.get(request_id)
                if entry is None or entry.answer is not None:
                    continue  # its deadline has passed meanwhile
                if revision and _claims.is_owner(owner.table, request_id, self.now_ms):
                    _claims.mark_kept(owner.table, request_id)
                    self.accepted[request_id] = kept
                    self.seen.add('kept')
                else:
                    self.refuse(request_id)
                    self.seen.add('unknown')
        elif isinstance(call, _work.WorkRead):
            revision = self.segments.get(call.key, (0, None))[0]
            _work.read_answered(owner.work, call.key, revision)
        elif isinstance(call, _work.WorkDeletion):
            revision = call.expected_revision
            done = self.swap(self.segments, call.key, revision, None, write_outcome)
            _work.deletion_answered(owner.work, call.key, is_resolved=done is not None)
            self.seen.add('deleted')

    def claim(self):
        for member in (self.owner, *self.former_owners):
            call = _claims.pending_segment(member.table, self.now_ms)
            if isinstance(call, _claims.SegmentRead):
                revision, segment = self.claims.get(call.key, (0, None))
                _claims.segment_read(member.table, call.key, segment, revision)
            elif call is not None:
                write_outcome = self.random.choice(self.write_outcomes)
                expected, segment = call.expected_revision, call.segment
                revision = self.swap(
                    self.claims, call.key, expected, segment, write_outcome
                )
                if revision:
                    _claims.segment_written(member.table, call.key, revision)
                else:
                    _claims.segment_conflict(member.table, call.key)
            self.send_answers(member)

    def start(self):
        for request_id in self.open_ids():
            if request_id in self.owner.tasks_by_id or self.random.random() < 0.5:
                continue
            table, now_ms = self.owner.table, self.now_ms
            if not _claims.may_begin(table, request_id, now_ms, is_stopping=False):
                continue
            task_id = f'{request_id}.{self.owners}.nonce'
            if _claims.record_start(
                self.owner.table, request_id, task_id, 'host-1'
            ).is_ok():
                self.owner.tasks_by_id[request_id] = task_id

    def open_ids(self):
        """Returns the ids of unanswered requests whose deadline has not passed."""
        entries = self.owner.table.entries_by_id
        kept_by_id = self.owner.kept_by_id
        known = [request_id for request_id in kept_by_id if request_id in entries]
        unanswered = [
            request_id for request_id in known if entries[request_id].answer is None
        ]
        return [
            request_id
            for request_id in unanswered
            if not self.is_deadline_past(kept_by_id[request_id])
        ]

    def deliver(self):
        """Sends the starts that are permitted, also those of former owners."""
        for member in (self.owner, *self.former_owners):
            for request_id, task_id in member.tasks_by_id.items():
                table, now_ms = member.table, self.now_ms
                allowed = _claims.may_send_start(
                    table, request_id, task_id, None, now_ms
                )
                if allowed.is_ok() and task_id not in self.barred:
                    self.runs[request_id] += 1
                    self.finished.add(task_id)

    def collect(self):
        for request_id, task_id in self.owner.tasks_by_id.items():
            if task_id in self.finished and request_id not in self.answered:
                self.finish(request_id, RunState.RAN)
                self.end(request_id, RunState.RAN)

    def advance(self):
        self.now_ms += self.random.choice((40, 1000, 4000))
        self.owner.table.known_as_of_ms = self.now_ms
        self.expire()

    def wait(self):
        """Advances the time so that ids become too old before some of the deadlines."""
        self.now_ms += MAX_AGE_MS + 20_000
        self.owner.table.known_as_of_ms = self.now_ms
        self.expire()
        _claims.forget_old(self.owner.table, BASE_UNIX_MS + self.now_ms)

    def expire(self):
        for request_id, kept in self.owner.kept_by_id.items():
            entry = self.owner.table.entries_by_id.get(request_id)
            is_idle = entry and not entry.attempts_by_task and entry.answer is None
            if is_idle and self.is_deadline_past(kept):
                self.seen.add('expired')
                self.refuse(request_id)

    def crash(self):
        self.former_owners = [self.owner]
        self.now_ms += PROOF_MS
        self.take_over(trusts_log=self.random.random() < 0.7)

    def hand_over(self):
        table = self.owner.table
        for index in list(table.owned_slices):
            _claims.begin_release(table, index)
        if all(_claims.may_release_slice(table, index) for index in range(64)):
            self.former_owners = []
            self.take_over()
        else:
            for index in list(table.owned_slices):
                _claims.cancel_release(table, index)

    def forget(self):
        """Evicts ended requests; a long time passes only if none is open."""
        if not self.accepted and self.random.random() < 0.3:
            self.now_ms += 4 * MAX_AGE_MS
            self.owner.table.known_as_of_ms = self.now_ms
            self.expire()
        owner = self.owner
        _claims.forget_old(owner.table, BASE_UNIX_MS + self.now_ms)
        for request_id, kept in list(owner.kept_by_id.items()):
            if request_id in self.answered and self.is_past_retention(kept):
                del owner.kept_by_id[request_id]
                _work.ended(owner.work, request_id)
        _work.find_deletable(owner.work, owner.kept_by_id.__contains__)

    def check(self, test_case):
        for request_id, runs in self.runs.items():
            if request_id not in self.idempotent_ids:
                test_case.assertEqual(runs, 1, 'ran twice')
            test_case.assertIsNot(
                self.answered.get(request_id), RunState.NOT_RUN, 'ran after all'
            )
        for request_id, kept in self.accepted.items():
            if not self.is_past_retention(kept):
                test_case.assertIn(request_id, self.owner.kept_by_id, 'lost')

    def drain(self, test_case):
        """Checks that after a crash stored requests run and segments are deleted."""
        self.write_outcomes = ('ok',)
        self.arrive()
        self.crash()
        kept_ids = [
            request_id
            for request_id, kept in self.accepted.items()
            if not self.is_deadline_past(kept)
        ]
        for _ in range(200):
            for action in ('write', 'claim', 'start', 'deliver', 'collect'):
                self.now_ms += 1
                self.run_action(action)
        self.check(test_case)
        for request_id in kept_ids:
            test_case.assertIs(
                self.answered.get(request_id), RunState.RAN, 'did not run'
            )
        self.now_ms += 4 * MAX_AGE_MS
        self.take_over()
        for _ in range(200):
            self.forget()
            self.claim()
            self.now_ms += 1
            self.write()
        test_case.assertEqual(self.segments, {}, 'segments were not deleted')


class WorkMachine(RuleBasedStateMachine):
    """Guards against loss, a second run or a false "not run" in short sequences."""

    def __init__(self):
        super().__init__()
        self.test_bed = WorkTestBed(1)
        self.test_case = unittest.TestCase()

    @rule(seed=strategies.integers(0, 2**16), action=strategies.sampled_from(ACTIONS))
    def act(self, seed, action):
        self.test_bed.random.seed(seed)
        self.test_bed.run_action(action)

    @invariant()
    def holds(self):
        self.test_bed.check(self.test_case)

    def teardown(self):
        self.test_bed.drain(self.test_case)


WorkMachineTest = WorkMachine.TestCase
WorkMachineTest.settings = settings(
    derandomize=True, deadline=None, database=None, stateful_step_count=60
)


class LongRunTest(unittest.TestCase):
    def test_random_actions(self):
        """Guards against faults that need more steps than the state machine takes."""
        seen = set()
        for seed in range(60):
            test_bed = WorkTestBed(seed)
            chooser = Random(seed)
            for _ in range(200):
                test_bed.run_action(chooser.choice(ACTIONS))
                test_bed.check(self)
            test_bed.drain(self)
            seen |= test_bed.seen
        self.assertLessEqual(RARE_EVENTS, seen, 'rare events were not reached')
