"""Guards asynchronous work against loss, a second run and a false "not run"."""

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
ACTIONS += 'collect collect advance advance crash hand_over forget land wait'.split()
FATES = ('ok', 'ok', 'ok', 'lost', 'gone', 'late')
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
    """One owner: its decisions' state and the requests that it knows."""

    table: _claims.ClaimTable
    work: _work.WorkState
    kept_by_id: dict = field(default_factory=dict)
    tasks_by_id: dict = field(default_factory=dict)


class World:
    """A platform and a host that keep what they were sent, and the oracle."""

    def __init__(self, seed):
        self.random = Random(seed)
        self.now_ms = 0
        self.segments, self.claims = {}, {}
        self.revision = self.count = self.owners = 0
        self.late = []
        self.runs = Counter()
        self.barred, self.finished = set(), set()
        self.accepted, self.told = {}, {}
        self.seen, self.idempotent_ids = set(), set()
        self.fates = FATES
        self.zombies = []
        self.owner = None
        self.take_over()

    def do(self, action):
        getattr(self, action)()

    def take_over(self, trusts_log=True):
        """A new owner, which may not trust the log, reads work, and then claims."""
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
            _work.hold_segment(owner.work, key, revision, ids)
            for kept in segment.requests:
                if not self.is_past_retention(kept):
                    self.adopt(kept)

    def adopt(self, kept):
        one = kept.request.request_id
        self.owner.kept_by_id[one] = kept
        self.seen.add('adopted')
        outcome = _claims.adopt_kept(self.owner.table, kept)
        if isinstance(outcome, _claims.Repeated):
            self.end(one, outcome.answer.run_state)
        elif isinstance(outcome, _claims.InDoubt):
            self.ask(one, outcome.tasks[-1])
        elif self.has_passed(kept):
            self.refuse(one)

    def ask(self, one, place):
        """Asks the host about a task, which bars it if it has not started."""
        self.seen.add('asked')
        while place is not None:
            if place.task_id in self.finished:
                self.finish(one, RunState.RAN)
                return
            self.barred.add(place.task_id)
            _claims.attempt_not_run(self.owner.table, one, place.task_id)
            place = _claims.resolve_inherited(self.owner.table, one)
        closing = _claims.closing_answer(self.owner.table, one)
        if closing is not None:
            self.end(one, closing.run_state)
        elif self.has_passed(self.owner.kept_by_id[one]):
            self.refuse(one)

    def has_passed(self, kept):
        return BASE_UNIX_MS + self.now_ms >= kept.deadline_unix_ms

    def is_past_retention(self, kept):
        return _work.is_past_retention(kept, BASE_UNIX_MS + self.now_ms, MAX_AGE_MS)

    def finish(self, one, run_state):
        phase = RequestPhase.FINISHED
        answer = AnswerBody(request_id=one, phase=phase, run_state=run_state)
        return _claims.finish(self.owner.table, one, answer)

    def refuse(self, one):
        """Closes a request; its caller is told once the closing is written."""
        if self.finish(one, RunState.NOT_RUN):
            self.tell(self.owner)

    def tell(self, member):
        for one in member.kept_by_id:
            entry = member.table.entries_by_id.get(one)
            if entry is None or entry.answer is None:
                continue
            if _claims.may_answer(member.table, one, None, self.now_ms):
                self.end(one, entry.answer.run_state)

    def end(self, one, run_state):
        self.told[one] = run_state
        self.seen.add(str(run_state))
        kept = self.accepted.pop(one, None)
        if kept is not None and run_state is RunState.NOT_RUN:
            assert self.has_passed(kept), 'a kept request was refused in its time'

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

    def swap(self, store, key, expected, value, fate):
        """Writes with compare-and-swap; a late write lands after `land`."""
        if fate == 'late':
            self.late.append((store, key, expected, value))
            return None
        if fate == 'gone':
            return None
        revision = store.get(key, (0, None))[0]
        if revision != expected:
            return 0
        self.revision += 1
        store[key] = (self.revision, value)
        if value is None:
            del store[key]
        return self.revision if fate == 'ok' else None

    def land(self):
        for store, key, expected, value in self.late:
            self.swap(store, key, expected, value, 'ok')
        self.late.clear()

    def write(self):
        owner, fate = self.owner, self.random.choice(self.fates)
        call = _work.next_call(owner.work, self.now_ms)
        if isinstance(call, _work.WorkWrite):
            revision = self.swap(self.segments, call.key, 0, call.segment, fate)
            for kept in _work.write_answered(owner.work, call.key, revision or None):
                one = kept.request.request_id
                entry = owner.table.entries_by_id.get(one)
                if entry is None or entry.answer is not None:
                    continue  # its deadline has passed meanwhile
                if revision and _claims.is_owner(owner.table, one, self.now_ms):
                    _claims.mark_kept(owner.table, one)
                    self.accepted[one] = kept
                    self.seen.add('kept')
                else:
                    self.refuse(one)
                    self.seen.add('unknown')
        elif isinstance(call, _work.WorkRead):
            revision = self.segments.get(call.key, (0, None))[0]
            _work.read_answered(owner.work, call.key, revision)
        elif isinstance(call, _work.WorkDeletion):
            revision = call.expected_revision
            done = self.swap(self.segments, call.key, revision, None, fate)
            _work.deletion_answered(owner.work, call.key, is_settled=done is not None)
            self.seen.add('deleted')

    def claim(self):
        for member in (self.owner, *self.zombies):
            call = _claims.pending_segment(member.table, self.now_ms)
            if isinstance(call, _claims.SegmentRead):
                revision, segment = self.claims.get(call.key, (0, None))
                _claims.segment_read(member.table, call.key, segment, revision)
            elif call is not None:
                fate = self.random.choice(self.fates)
                expected, segment = call.expected_revision, call.segment
                revision = self.swap(self.claims, call.key, expected, segment, fate)
                if revision:
                    _claims.segment_written(member.table, call.key, revision)
                else:
                    _claims.segment_conflict(member.table, call.key)
            self.tell(member)

    def start(self):
        for one in self.open_ids():
            if one in self.owner.tasks_by_id or self.random.random() < 0.5:
                continue
            table, now_ms = self.owner.table, self.now_ms
            if not _claims.may_begin(table, one, now_ms, is_stopping=False):
                continue
            task_id = f'{one}.{self.owners}.nonce'
            if _claims.record_start(self.owner.table, one, task_id, 'host-1').is_ok():
                self.owner.tasks_by_id[one] = task_id

    def open_ids(self):
        """Requests that the owner may run: kept, not ended, before the deadline."""
        entries = self.owner.table.entries_by_id
        kept_by_id = self.owner.kept_by_id
        known = [one for one in kept_by_id if one in entries]
        unanswered = [one for one in known if entries[one].answer is None]
        return [one for one in unanswered if not self.has_passed(kept_by_id[one])]

    def deliver(self):
        """Sends the starts that are allowed, also those of owners before."""
        for member in (self.owner, *self.zombies):
            for one, task_id in member.tasks_by_id.items():
                table, now_ms = member.table, self.now_ms
                allowed = _claims.may_send_start(table, one, task_id, None, now_ms)
                if allowed.is_ok() and task_id not in self.barred:
                    self.runs[one] += 1
                    self.finished.add(task_id)

    def collect(self):
        for one, task_id in self.owner.tasks_by_id.items():
            if task_id in self.finished and one not in self.told:
                self.finish(one, RunState.RAN)
                self.end(one, RunState.RAN)

    def advance(self):
        self.now_ms += self.random.choice((40, 1000, 4000))
        self.owner.table.known_as_of_ms = self.now_ms
        self.expire()

    def wait(self):
        """Lets the ids become too old before some of the deadlines."""
        self.now_ms += MAX_AGE_MS + 20_000
        self.owner.table.known_as_of_ms = self.now_ms
        self.expire()
        _claims.forget_old(self.owner.table, BASE_UNIX_MS + self.now_ms)

    def expire(self):
        for one, kept in self.owner.kept_by_id.items():
            entry = self.owner.table.entries_by_id.get(one)
            is_idle = entry and not entry.attempts_by_task and entry.answer is None
            if is_idle and self.has_passed(kept):
                self.seen.add('expired')
                self.refuse(one)

    def crash(self):
        self.zombies = [self.owner]
        self.now_ms += PROOF_MS
        self.take_over(trusts_log=self.random.random() < 0.7)

    def hand_over(self):
        table = self.owner.table
        for index in list(table.owned_slices):
            _claims.begin_release(table, index)
        if all(_claims.may_release_slice(table, index) for index in range(64)):
            self.zombies = []
            self.take_over()
        else:
            for index in list(table.owned_slices):
                _claims.cancel_release(table, index)

    def forget(self):
        """Forgets what ended; a long time passes only if nothing is open."""
        if not self.accepted and self.random.random() < 0.3:
            self.now_ms += 4 * MAX_AGE_MS
            self.owner.table.known_as_of_ms = self.now_ms
            self.expire()
        owner = self.owner
        _claims.forget_old(owner.table, BASE_UNIX_MS + self.now_ms)
        for one, kept in list(owner.kept_by_id.items()):
            if one in self.told and self.is_past_retention(kept):
                del owner.kept_by_id[one]
                _work.ended(owner.work, one)
        _work.find_deletable(owner.work, owner.kept_by_id.__contains__)

    def check(self, case):
        for one, runs in self.runs.items():
            if one not in self.idempotent_ids:
                case.assertEqual(runs, 1, 'ran twice')
            case.assertIsNot(self.told.get(one), RunState.NOT_RUN, 'ran after all')
        for one, kept in self.accepted.items():
            if not self.is_past_retention(kept):
                case.assertIn(one, self.owner.kept_by_id, 'lost')

    def drain(self, case):
        """After one more crash every kept request runs and every segment goes."""
        self.fates = ('ok',)
        self.land()
        self.crash()
        kept_ids = [
            one for one, kept in self.accepted.items() if not self.has_passed(kept)
        ]
        for _ in range(200):
            for action in ('write', 'claim', 'start', 'deliver', 'collect'):
                self.now_ms += 1
                self.do(action)
        self.check(case)
        for one in kept_ids:
            case.assertIs(self.told.get(one), RunState.RAN, 'did not run')
        self.now_ms += 4 * MAX_AGE_MS
        self.take_over()
        for _ in range(200):
            self.forget()
            self.claim()
            self.now_ms += 1
            self.write()
        case.assertEqual(self.segments, {}, 'kept after its time')


class WorkMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.world = World(1)
        self.case = unittest.TestCase()

    @rule(seed=strategies.integers(0, 2**16), action=strategies.sampled_from(ACTIONS))
    def act(self, seed, action):
        self.world.random.seed(seed)
        self.world.do(action)

    @invariant()
    def holds(self):
        self.world.check(self.case)

    def teardown(self):
        self.world.drain(self.case)


WorkMachineTest = WorkMachine.TestCase
WorkMachineTest.settings = settings(
    derandomize=True, deadline=None, database=None, stateful_step_count=60
)


class LongRunTest(unittest.TestCase):
    def test_random_actions(self):
        """Guards against faults that need more steps than the machine makes."""
        seen = set()
        for seed in range(60):
            world = World(seed)
            chooser = Random(seed)
            for _ in range(200):
                world.do(chooser.choice(ACTIONS))
                world.check(self)
            world.drain(self)
            seen |= world.seen
        self.assertLessEqual(RARE_EVENTS, seen, 'the actions did not reach this')
