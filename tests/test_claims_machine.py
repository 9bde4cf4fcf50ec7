"""Compares claims with a simple oracle under crashes, partitions and take-overs."""

from collections import Counter
from dataclasses import replace
from random import Random

from hypothesis import settings, strategies
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from result import Ok

from dandelionknot.decisions import _claims
from dandelionknot.messages import RunState
from tests.test_claims import (
    BASE_UNIX_MS,
    BOUNDS,
    adopt,
    claim,
    finish,
    make_request,
    make_table,
)

SETTINGS = settings(derandomize=True, deadline=None, database=None, max_examples=100)
INDEX = strategies.integers(0, 63)
ACTIONS = (
    *('submit', 'submit', 'flush', 'start', 'deliver', 'advance') * 4,
    *(
        'take_slices',
        'take_slices',
        'take_slices',
        'answer',
        'resolve',
        'refuse',
        'outage',
        'inject_fault',
    ),
)
WRITE_OUTCOMES = ('ok', 'ok', 'ok', 'lost', 'gone')
STEPS_MS = (40, 40, 1000, 1000, 2500, 2500, 4900, 8000)
RARE_EVENTS = {'memory start', 'trusted', 'untrusted', 'InDoubt', 'not_run'}


class EntryHost:
    """An entry host of the model, with its claim table and what it has read.

    While `cut` is set, it cannot reach the platform.
    """

    def __init__(self, name, incarnation=1):
        self.name, self.incarnation = name, incarnation
        self.table = make_table(None, member_id=name, incarnation=str(incarnation))
        _claims.drop_ownership(self.table)
        self.up, self.paused, self.cut, self.outage = True, False, False, None
        self.version = self.read_ms = self.member_since_ms = 0
        self.gaps, self.peers = [], set()


class ClaimMachine(RuleBasedStateMachine):
    """Three entry hosts, a platform, backend servers and delayed messages.

    The oracle counts the runs of each request and records which requests were
    answered "not run".
    """

    seen: Counter = Counter()

    def __init__(self):
        super().__init__()
        self.now_ms, self.platform_up = 10_000, True
        self.entries = {name: EntryHost(name) for name in 'abc'}
        self.members = set(self.entries)
        self.slice_map = _claims.assign_slices(self.members, None)
        self.version, self.exclusion = 1, None
        self.store, self.confirmed, self.renewed_ms = {}, {}, {}
        self.requests, self.network, self.request_by_task = [], [], {}
        self.started, self.barred, self.runs = set(), set(), Counter()
        self.answered_not_run = set()
        for entry in self.entries.values():
            self.contact(entry)

    @rule(action=strategies.sampled_from(ACTIONS), index=INDEX, selector=INDEX)
    def step(self, action, index, selector):
        """Carries out one action.

        If each action were a rule, most examples would omit some of them.
        """
        entries = list(self.entries.values())
        if action not in ('flush', 'start', 'answer'):
            entries = [entries[index % 3]]
        for entry in entries:
            is_running = entry.up and not entry.paused
            if is_running or action in ('advance', 'deliver', 'outage', 'inject_fault'):
                getattr(self, action)(entry, selector)

    def advance(self, _, selector):
        self.now_ms += STEPS_MS[selector % len(STEPS_MS)]
        for entry in self.entries.values():
            if entry.up and not entry.paused:
                self.contact(entry)

    def outage(self, _, selector):
        self.platform_up = not self.platform_up or selector % 3 > 0

    def inject_fault(self, entry, selector):
        if not entry.up:
            if self.platform_up:
                self.restart(entry)
        elif entry.paused or entry.cut:
            entry.paused = entry.cut = False
        else:
            what = ('up', 'paused', 'cut', 'cut')[selector % 4]
            setattr(entry, what, not getattr(entry, what))

    def reaches_platform(self, entry):
        return self.platform_up and not entry.cut

    def restart(self, entry):
        if self.exclusion and self.exclusion[0] == entry.name:
            self.exclusion = None
        self.members.discard(entry.name)
        self.write_map(self.slice_map.owners, [entry.name])
        self.entries[entry.name] = EntryHost(entry.name, entry.incarnation + 1)
        self.contact(self.entries[entry.name])

    def write_map(self, owners, doubtful_owners):
        lost = [
            index
            for index, owner in enumerate(self.slice_map.owners)
            if owner in doubtful_owners
        ]
        epoch = self.slice_map.epoch + 1
        changed = replace(self.slice_map, owners=owners, epoch=epoch)
        self.slice_map = _claims.mark_in_doubt(
            changed, lost, BASE_UNIX_MS + self.now_ms
        )

    def contact(self, entry):
        if not self.reaches_platform(entry):
            self.ask_peers(entry)
            return
        entry.gaps.append((self.now_ms, self.now_ms - entry.read_ms))
        entry.read_ms, entry.outage = self.now_ms, None
        self.receive_version(entry, self.version)
        if self.exclusion and self.exclusion[0] == entry.name:
            return
        if entry.name not in self.members:
            self.members.add(entry.name)
            entry.member_since_ms = self.now_ms
        entry.peers = self.members - {entry.name}
        table, known = entry.table, entry.table.slice_map
        renewed = _claims.renew_ownership(table, self.now_ms, self.now_ms)
        if not renewed or known is None or known.epoch != self.slice_map.epoch:
            segments = [segment for _, segment in self.store.values()]
            adopt(table, self.slice_map, segments, now_ms=self.now_ms)
        if _claims.may_renew_membership(table):
            self.renewed_ms[entry.name] = self.now_ms

    def receive_version(self, entry, version):
        excluded = self.exclusion and self.exclusion[0] == entry.name
        if excluded and entry.version < self.exclusion[1] <= version:
            _claims.drop_ownership(entry.table)
            self.confirmed[entry.name] = version * self.reaches_platform(entry)
        entry.version = max(entry.version, version)

    def ask_peers(self, entry):
        peers = [self.entries[name] for name in entry.peers]
        answering = [peer for peer in peers if peer.up and not peer.paused]
        is_full = answering == peers
        for peer in answering:
            is_full = is_full and peer.version <= entry.version
            self.receive_version(entry, peer.version)
        entry.outage = None
        if is_full:
            _claims.renew_ownership(entry.table, self.now_ms, self.now_ms)
            entry.outage = _claims.OutageView(
                own_age_ms=self.now_ms - entry.read_ms,
                peer_ages_ms=tuple(self.now_ms - peer.read_ms for peer in peers),
                asked_ms=self.now_ms,
            )

    def take_slices(self, taker, selector):
        """Excludes a member, and takes its slices once it has provably stopped."""
        if not self.reaches_platform(taker):
            return
        if self.exclusion is None:
            name = 'abc'[selector % 3]
            if name != taker.name and name in self.members:
                self.version += 1
                self.exclusion = (name, self.version, self.now_ms)
                self.contact(taker)
            return
        name, version, learned_ms = self.exclusion
        confirmed = self.confirmed.get(name, 0)
        former = _claims.FormerOwner(
            confirmed_version=confirmed,
            members_revision=0,
            released=confirmed >= version,
            witness_version=version,
            witness_learned_ms=learned_ms,
        )
        if name != taker.name and _claims.may_take_slice(former, BOUNDS, self.now_ms):
            self.contact(taker)
            self.write_taken(name, taker)

    def write_taken(self, name, taker):
        after_ms = self.renewed_ms.get(name, 0) - 1
        is_trusted = _claims.trusts_claim_log(
            member_since_ms=taker.member_since_ms,
            renewal_after_ms=after_ms,
            longest_gap_ms=max(gap for end, gap in taker.gaps if end > after_ms),
            bounds=BOUNDS,
        )
        self.seen['trusted' if is_trusted else 'untrusted'] += 1
        self.members.discard(name)
        goal = _claims.assign_slices(self.members, self.slice_map)
        taken = _claims.permitted_map(self.slice_map, goal, lambda _, o: o == name)
        self.write_map(taken.owners, [] if is_trusted else [name])
        self.exclusion = None
        self.version += 1
        self.contact(taker)

    def submit(self, entry, selector):
        if selector % 8 == 0 or not self.requests:
            self.requests.append(make_request(len(self.requests), self.now_ms))
        request = self.requests[-1 - selector // 8 % min(len(self.requests), 3)]
        if entry.table.slice_map is None:
            return
        name = _claims.owner_of(entry.table.slice_map, request.request_id)
        owner = self.entries[name]
        if not owner.up or owner.paused:
            return
        outcome = claim(owner.table, request, now_ms=self.now_ms)
        if isinstance(outcome, Ok):
            self.handle(owner, request.request_id, outcome.ok_value)

    def handle(self, owner, request_id, known):
        self.seen[type(known).__name__] += 1
        if isinstance(known, _claims.Repeated) and known.answer:
            self.record_answer(request_id, known.answer)
        elif isinstance(known, _claims.InDoubt):
            self.ask_hosts(owner, request_id, known.tasks)
        else:
            task_id = f'task-{len(self.request_by_task)}'
            self.request_by_task[task_id] = request_id
            _claims.record_start(owner.table, request_id, task_id, 'host-1')

    def record_answer(self, request_id, answer):
        self.seen[str(answer.run_state)] += 1
        if answer.run_state is RunState.NOT_RUN:
            self.answered_not_run.add(request_id)

    def flush(self, entry, selector):
        call = _claims.pending_segment(entry.table, self.now_ms)
        if call is None:
            return
        write_outcome = (
            WRITE_OUTCOMES[selector % len(WRITE_OUTCOMES)]
            if self.reaches_platform(entry)
            else 'gone'
        )
        revision, segment = self.store.get(call.key, (0, None))
        if write_outcome == 'gone':
            _claims.segment_failed(entry.table, call.key, may_have_taken_effect=True)
        elif isinstance(call, _claims.SegmentRead):
            _claims.segment_read(entry.table, call.key, segment, revision)
        elif revision != call.expected_revision:
            _claims.segment_conflict(entry.table, call.key)
        else:
            self.store[call.key] = (revision + 1, call.segment)
            if write_outcome == 'ok':
                _claims.segment_written(entry.table, call.key, revision + 1)
            else:
                _claims.segment_failed(
                    entry.table, call.key, may_have_taken_effect=True
                )

    def each_attempt(self, entry):
        for known in list(entry.table.entries_by_id.values()):
            for attempt in list(known.attempts_by_task.values()):
                yield known, attempt

    def start(self, entry, _):
        for known, attempt in self.each_attempt(entry):
            request_id, task_id = known.request_id, attempt.task_id
            may_send = _claims.may_send_start
            if may_send(
                entry.table, request_id, task_id, entry.outage, self.now_ms
            ).is_ok():
                self.seen['start' if attempt.is_logged else 'memory start'] += 1
                self.network.append((task_id, self.now_ms))

    def deliver(self, _, selector):
        if not self.network:
            return
        task_id, token_ms = self.network.pop(selector % len(self.network))
        is_stale = self.now_ms - token_ms > BOUNDS.start_token_ms
        if not is_stale and task_id not in self.barred | self.started:
            self.started.add(task_id)
            self.runs[self.request_by_task[task_id]] += 1

    def resolve(self, entry, _):
        for known, attempt in self.each_attempt(entry):
            place = _claims.TaskPlace(task_id=attempt.task_id, host_id=attempt.host_id)
            self.ask_hosts(entry, known.request_id, [place])

    def ask_hosts(self, entry, request_id, tasks):
        """Stops each task: one that did not start cannot start later."""
        for task in tasks:
            if task.task_id in self.started:
                finish(entry.table, request_id, RunState.RAN)
            else:
                self.barred.add(task.task_id)
                _claims.attempt_not_run(entry.table, request_id, task.task_id)

    def refuse(self, entry, _):
        for request_id in list(entry.table.entries_by_id):
            finish(entry.table, request_id, RunState.NOT_RUN)

    def answer(self, entry, _):
        table = entry.table
        for known in list(table.entries_by_id.values()):
            if _claims.may_answer(table, known.request_id, entry.outage, self.now_ms):
                self.record_answer(known.request_id, known.answer)

    @invariant()
    def oracle(self):
        ran_twice = [request_id for request_id, count in self.runs.items() if count > 1]
        assert not ran_twice, f'ran twice: {ran_twice}'
        falsely_not_run = [
            request_id for request_id in self.answered_not_run if self.runs[request_id]
        ]
        assert not falsely_not_run, f'answered "not run" but ran: {falsely_not_run}'


class ClaimMachineTest(ClaimMachine.TestCase):
    """Guards against a second run and a false "not run" under combined failures."""

    settings = settings(SETTINGS, stateful_step_count=80)

    def test_long_random_runs(self):
        """Guards against faults that need more steps than the generated examples."""
        step = ClaimMachine.step.hypothesis_stateful_rule.function
        for seed in range(400):
            random, machine = Random(seed), ClaimMachine()
            for _ in range(400):
                picks = random.randrange(64), random.randrange(64)
                step(machine, random.choice(ACTIONS), *picks)
                machine.oracle()
        self.assertEqual(RARE_EVENTS - set(ClaimMachine.seen), set())
