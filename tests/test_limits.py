"""Guards against a team running more tasks than its limit, and against starvation."""

import unittest
from dataclasses import dataclass

from hypothesis import settings, strategies
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from result import Err

from dandelionknot.configuration import FleetBounds
from dandelionknot.decisions import _limits
from dandelionknot.messages import ErrorCode, GrantRecord, RunState

TEAM = 'team-1'
BOUNDS = FleetBounds()
STOP_MS = BOUNDS.freshness_bound_ms + BOUNDS.start_token_ms + BOUNDS.drift_margin_ms
HOSTS = strategies.integers(0, 4)
ZONES = ((0, 1, 2), (3, 4))
WRITE_OUTCOMES = strategies.sampled_from(['answered', 'answer lost', 'lost', 'late'])


class Host:
    """One simulated entry host."""

    def __init__(self, index, run, limits):
        self.holder = f'entry-{index}.{run}'
        self.local = _limits.LocalGrants()
        self.alive = True
        self.cut_off = False
        self.version = 0
        self.fresh_until_ms = 0
        self.adopt(limits)

    def adopt(self, limits):
        self.version = len(limits)
        lowered = [
            v for v in range(2, self.version + 1) if limits[v - 1] < limits[v - 2]
        ]
        lowered_version = lowered[-1] if lowered else 0
        _limits.set_limit(
            self.local, self.holder, TEAM, limits[-1], self.version, lowered_version
        )

    @property
    def team(self):
        return self.local.teams_by_id[TEAM]


@dataclass(eq=False)
class Task:
    """One task, the limit under which it started, and the end of its lease."""

    started_by: str
    holder: str
    limit: int
    decided_ms: int
    lease_end_ms: int = 0


class GrantMachine(RuleBasedStateMachine):
    """Simulates entry hosts with one compare-and-swap store and counts running tasks.

    Guards against more running tasks than any limit in force at their start, whatever
    the order of lost answers, late messages, cut-offs, restarts and limit changes.
    """

    @initialize(limit=strategies.integers(1, 8))
    def begin(self, limit):
        self.now_ms = 1000
        self.limits = [limit]
        self.history = [(None, 0)]
        self.running, self.starts, self.writes = [], [], []
        self.removed_ms = {}
        self.runs = [0] * 5
        self.hosts = [Host(i, 0, self.limits) for i in range(5)]
        for host in self.hosts:
            self.refresh(host)
        self.work_normally(1, 1)

    def host_of(self, holder):
        found = [h for h in self.hosts if h.holder == holder and h.alive]
        return found[0] if found else None

    def connected(self, index):
        host = self.hosts[index]
        return host if host.alive and not host.cut_off else None

    def live(self):
        return {host.holder for host in self.hosts if host.alive}

    def limits_in_force(self):
        """Returns the limits since the newest one that all active holders confirmed."""
        versions = [len(self.limits)]
        for host in self.hosts:
            removed_ms = self.removed_ms.get(host.holder)
            if removed_ms is None or self.now_ms < removed_ms + STOP_MS:
                versions.append(host.version)
        return self.limits[min(versions) - 1 :]

    def refresh(self, host):
        """Reads configuration and member list, and joins again if removed."""
        if host.holder in self.removed_ms:
            self.replace_host(self.hosts.index(host))
            return
        host.adopt(self.limits)
        host.fresh_until_ms = self.now_ms + BOUNDS.freshness_bound_ms

    def replace_host(self, index):
        self.runs[index] += 1
        self.hosts[index] = Host(index, self.runs[index], self.limits)
        self.refresh(self.hosts[index])

    def compare_and_swap(self, record, expected):
        if self.history[-1][1] != expected:
            return False
        old = self.history[-1][0]
        before = sum(old.grants_by_member.values()) if old else 0
        total = sum(record.grants_by_member.values())
        assert total <= max(record.upper_limit, before), 'grants grew above the limit'
        self.history.append((record, expected + 1))
        return True

    def observe(self, host, entry):
        record, revision = entry
        if record is not None:
            _limits.observe_record(
                host.local, host.holder, record, revision, self.now_ms
            )

    @rule(rounds=strategies.integers(1, 3), count=strategies.integers(1, 8))
    def work_normally(self, rounds, count):
        """Makes each connected host request and transfer grant and start tasks."""
        for _ in range(rounds):
            self.advance(1000)
            for index in range(5):
                self.confirm(index)
                self.read(index, 0)
                self.request(index, count, False)
                self.transfer(index, 'answered')
                self.request(index, count, False)

    @rule(index=HOSTS, count=strategies.integers(1, 8), late=strategies.booleans())
    def request(self, index, count, late):
        host = self.hosts[index]
        _limits.set_wanted(host.local, TEAM, host.team.running + count)
        for _ in range(count):
            if not host.alive or self.now_ms >= host.fresh_until_ms:
                return
            if isinstance(_limits.try_start(host.local, TEAM), Err):
                return
            limits = self.limits_in_force()
            if len(limits) == 1:
                assert len(self.running) < limits[0], 'start above a confirmed limit'
            self.starts.append(Task(host.holder, host.holder, max(limits), self.now_ms))
            if not late:
                self.arrive(-1)

    @rule(which=strategies.integers(0, 20))
    def late_start_arrives(self, which):
        if self.starts:
            self.arrive(which % len(self.starts))

    def arrive(self, position):
        task = self.starts.pop(position)
        if self.now_ms - task.decided_ms > BOUNDS.start_token_ms:
            self.ended(task)
            return
        task.lease_end_ms = self.now_ms + BOUNDS.task_lease_ms
        self.running.append(task)

    def ended(self, task):
        for holder in {task.holder, task.started_by}:
            host = self.host_of(holder)
            if host is not None:
                _limits.finished(host.local, TEAM)

    @rule(index=HOSTS, more=strategies.integers(0, 8))
    def demand(self, index, more):
        team = self.hosts[index].team
        team.wanted = team.running + more

    @rule(which=strategies.integers(0, 20), all_of_them=strategies.booleans())
    def finish(self, which, all_of_them):
        for _ in range(len(self.running) if all_of_them else min(1, len(self.running))):
            self.ended(self.running.pop(which % len(self.running)))

    @rule(index=HOSTS, outcome=WRITE_OUTCOMES)
    def transfer(self, index, outcome):
        host = self.connected(index)
        if host is None:
            return
        write = _limits.next_write(
            host.local, host.holder, TEAM, self.now_ms, self.live()
        )
        if write is None:
            return
        if outcome == 'late':
            self.writes.append(write)
        if outcome in ('late', 'lost'):
            return
        written = self.compare_and_swap(write.record, write.expected_revision)
        if outcome == 'answered' and written:
            self.observe(host, (write.record, write.expected_revision + 1))
        elif outcome == 'answered':
            _limits.write_conflicted(host.local, TEAM, self.now_ms)
            self.observe(host, self.history[-1])

    @rule(which=strategies.integers(0, 20))
    def late_write_arrives(self, which):
        if self.writes:
            write = self.writes.pop(which % len(self.writes))
            self.compare_and_swap(write.record, write.expected_revision)

    @rule(index=HOSTS, age=strategies.integers(0, 4))
    def read(self, index, age):
        host = self.connected(index)
        if host is not None:
            self.observe(host, self.history[-1 - min(age, len(self.history) - 1)])

    @rule(index=HOSTS)
    def confirm(self, index):
        host = self.connected(index)
        if host is not None:
            self.refresh(host)

    @rule(limit=strategies.integers(0, 8))
    def change_limit(self, limit):
        self.limits.append(limit)

    @rule(limit=strategies.integers(0, 8))
    def change_limit_everywhere(self, limit):
        self.limits.append(limit)
        for index in range(5):
            self.confirm(index)

    @rule(index=HOSTS)
    def cut_off(self, index):
        self.hosts[index].cut_off = True

    @rule(index=HOSTS)
    def reconnect(self, index):
        self.hosts[index].cut_off = False

    @rule(hosts=strategies.sampled_from([(0,), (1,), (2,), (3,), (4,), *ZONES]))
    def kill(self, hosts):
        for index in hosts:
            self.hosts[index].alive = False
            self.remove_member(index)

    @rule(index=HOSTS)
    def remove_member(self, index):
        """Removes any member from the member list, also one that is still alive."""
        if any(self.connected(other) for other in range(5) if other != index):
            self.removed_ms.setdefault(self.hosts[index].holder, self.now_ms)

    @rule()
    def replace_dead(self):
        for index, host in enumerate(self.hosts):
            if not host.alive:
                self.removed_ms.setdefault(host.holder, self.now_ms)
                self.replace_host(index)

    @rule(by=HOSTS, which=strategies.integers(0, 9))
    def reclaim(self, by, which):
        record, revision = self.history[-1]
        if record is None or not self.connected(by) or not self.removed_ms:
            return
        removed = list(self.removed_ms)[which % len(self.removed_ms)]
        changed = _limits.reclaim(
            record, removed, self.removed_ms[removed], BOUNDS, self.now_ms
        )
        if changed is not None:
            self.compare_and_swap(changed, revision)

    @rule(by=HOSTS, which=strategies.integers(0, 9))
    def adopt(self, by, which):
        record, revision = self.history[-1]
        host = self.connected(by)
        if record is None or not host or not self.removed_ms:
            return
        removed = list(self.removed_ms)[which % len(self.removed_ms)]
        tasks = [task for task in self.running if task.holder == removed]
        if self.now_ms < self.removed_ms[removed] + STOP_MS:
            return
        changed = _limits.adopt(record, removed, host.holder, len(tasks))
        if changed is not None and self.compare_and_swap(changed, revision):
            self.observe(host, self.history[-1])
            _limits.adopted(host.local, TEAM, len(tasks))
            for task in tasks:
                task.holder = host.holder

    @rule(ms=strategies.sampled_from([100, 1000, 2000, 8000, 24000]))
    def advance(self, ms):
        for _ in range(0, ms, 1000):
            self.now_ms += min(ms, 1000)
            for host in self.hosts:
                if self.now_ms >= host.fresh_until_ms and host.alive:
                    self.refresh(host) if not host.cut_off else None
            self.renew_leases()

    def renew_leases(self):
        for task in list(self.running):
            host = self.host_of(task.holder)
            if host is not None and self.now_ms < host.fresh_until_ms:
                task.lease_end_ms = self.now_ms + BOUNDS.task_lease_ms
            elif self.now_ms >= task.lease_end_ms:
                self.running.remove(task)
                self.ended(task)

    @invariant()
    def running_fits_a_limit_in_force_at_start(self):
        allowed = max((task.limit for task in self.running), default=0)
        assert len(self.running) <= allowed, (len(self.running), allowed)


GrantMachine.TestCase.settings = settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=300,
    stateful_step_count=60,
)
GrantTest = GrantMachine.TestCase


ALL_START = [('request', index, 8, False) for index in range(5)]
TAKE_AND_START = [('advance', 1000), ('read', 1, 0), ('transfer', 1, 'answered')]
TAKE_AND_START += ALL_START
HOST_1_REQUESTS_GRANT = [('finish', 0, True), ('demand', 0, 0), ('demand', 1, 4)]
HOST_1_REQUESTS_GRANT += [
    ('advance', 1000),
    ('transfer', 1, 'answered'),
    ('read', 0, 0),
]
HOST_1_REQUESTS_GRANT += [('advance', 1000)]
HOST_0_IS_REMOVED = [('finish', 0, True), ('cut_off', 0), ('remove_member', 0)]
HOST_0_IS_REMOVED += [('advance', 4000), ('advance', 900), ('request', 0, 1, True)]
RECLAIM = [('reclaim', 1, 0), *TAKE_AND_START, ('finish', 1, False)]

# Each step calls a rule; the invariant is checked after it.
SCRIPTS = {
    'a read older than a transfer does not restore its grant': [('begin', 5)]
    + [
        *HOST_1_REQUESTS_GRANT,
        ('transfer', 0, 'answered'),
        ('read', 0, 1),
        ('read', 1, 0),
    ]
    + ALL_START,
    'grant in an unanswered transfer is not used': [('begin', 5)]
    + [*HOST_1_REQUESTS_GRANT, ('transfer', 0, 'late'), ('request', 0, 1, False)]
    + [('late_write_arrives', 0), ('read', 1, 0)]
    + ALL_START,
    'grant in a lost write is not used': [('begin', 9)]
    + [('finish', 0, True), ('demand', 1, 5), ('advance', 1000)]
    + [('transfer', 1, 'lost'), ('request', 1, 5, False), ('demand', 2, 5)]
    + [('transfer', 2, 'answered'), *ALL_START],
    'reclaim waits for freshness, token and lease': [('begin', 5)]
    + [*HOST_0_IS_REMOVED, ('advance', 1900), ('late_start_arrives', 0)]
    + [('advance', 7000), *RECLAIM, ('advance', 2000), *RECLAIM]
    + [('advance', 2000), ('advance', 800), *RECLAIM, ('advance', 2000), *RECLAIM],
    'a start that arrives after the reclaim is refused': [('begin', 5)]
    + [
        *HOST_0_IS_REMOVED,
        ('advance', 18000),
        *RECLAIM[:-1],
        ('late_start_arrives', 0),
    ],
    'tasks are adopted only from a holder that can start nothing': [('begin', 5)]
    + [('cut_off', 0), ('remove_member', 0), ('adopt', 1, 0), ('finish', 0, True)]
    + [('request', 0, 1, False), *ALL_START],
    'a host that skips a raise still sees that the limit was lowered': [('begin', 5)]
    + [('finish', 0, True), ('change_limit', 10), ('confirm', 1), ('demand', 1, 6)]
    + [('advance', 1000), ('transfer', 1, 'answered'), ('request', 1, 6, False)]
    + [('change_limit_everywhere', 5), ('request', 0, 1, False)],
    'a host with the older limit does not restore it': [('begin', 10)]
    + [('finish', 0, True), ('cut_off', 1), ('change_limit_everywhere', 5)]
    + [('advance', 1000)]
    + [(step, i, a) for i in (0, 2, 3) for step, a in (('demand', 0), ('read', 0))]
    + [('transfer', 0, 'answered'), ('read', 2, 0), ('transfer', 2, 'answered')]
    + [('read', 3, 0), ('transfer', 3, 'answered'), ('read', 4, 0)]
    + [('reconnect', 1), ('read', 1, 0), ('demand', 1, 8)]
    + [('transfer', 1, 'answered'), ('request', 1, 8, False), ('confirm', 1)]
    + [('request', 4, 8, False)],
}


class ScriptTest(unittest.TestCase):
    """Guards against faults in orders of events that random search seldom finds."""

    def test_scripts(self):
        for name, steps in SCRIPTS.items():
            with self.subTest(name):
                machine = GrantMachine()
                for method, *arguments in steps:
                    getattr(machine, method)(*arguments)
                    machine.running_fits_a_limit_in_force_at_start()

    def test_starts_continue_after_a_raise_and_a_lowering(self):
        """Guards against a team that stays blocked after its limit is raised and reset.

        The value is then the same as before, but the limit was lowered in between.
        """
        machine = GrantMachine()
        machine.begin(5)
        machine.finish(0, True)
        machine.change_limit(10)
        machine.change_limit_everywhere(5)
        machine.work_normally(3, 8)
        self.assertEqual(len(machine.running), 5)

    def test_starts_continue_after_the_grants_have_shrunk(self):
        """Guards against a lowered limit that blocks all starts of a team.

        This happens if holders with little demand do not give up grant.
        """
        machine = GrantMachine()
        machine.begin(10)
        machine.finish(0, True)
        machine.change_limit_everywhere(7)
        machine.demand(0, 0)
        machine.advance(1000)
        machine.transfer(0, 'answered')
        machine.cut_off(0)
        machine.work_normally(5, 1)
        self.assertEqual(len(machine.running), 7)


def record(grants, requests=None):
    """Returns a record whose limit is the sum of its grants."""
    return GrantRecord(
        team=TEAM,
        grants_by_member=grants,
        requests_by_member=requests or {},
        upper_limit=sum(grants.values()),
        limit_version=1,
    )


class RecordTest(unittest.TestCase):
    def test_adopt_moves_no_more_than_is_held(self):
        """Guards against creating new grant for tasks whose grant was reclaimed."""
        shown = record({'a': 2, 'b': 1})
        cases = [(1, {'a': 1, 'b': 2}), (2, {'b': 3}), (3, None), (0, None)]
        for count, expected in cases:
            with self.subTest(count=count):
                moved = _limits.adopt(shown, 'a', 'b', count)
                self.assertEqual(moved and moved.grants_by_member, expected)

    def test_given_up_grant_stops_counting_before_the_write(self):
        """Guards against starts on grant that a pending write gives to others."""
        local = _limits.LocalGrants()
        _limits.set_limit(local, 'a', TEAM, 3, 1)
        _limits.observe_record(local, 'a', record({'a': 3}, {'b': 2}), 1, 0)
        self.assertEqual(local.teams_by_id[TEAM].granted, 3)
        write = _limits.next_write(local, 'a', TEAM, 0, ['a', 'b'])
        self.assertEqual(write.record.grants_by_member, {'a': 1, 'b': 2})
        self.assertEqual(local.teams_by_id[TEAM].granted, 1)

    def test_writes_for_small_changes_and_requests_of_dead_hosts(self):
        """Guards against a write for each slot, and against grant for dead hosts."""
        cases = [
            ('small need, soon', 22, {}, 1500, None),
            ('small need, later', 22, {}, 3000, {'a': 2}),
            ('large need, soon', 40, {}, 1500, {'a': 20}),
            ('small transfer, soon', 18, {'b': 2}, 1500, None),
            ('small transfer, later', 18, {'b': 2}, 3000, {}),
            ('request of a dead host', 0, {'dead': 20}, 3000, None),
        ]
        for name, wanted, requests, now_ms, expected in cases:
            with self.subTest(name):
                local = _limits.LocalGrants()
                _limits.set_limit(local, 'a', TEAM, 40, 1)
                shown = record({'a': 20, 'b': 20}, requests)
                _limits.observe_record(local, 'a', shown, 1, 0)
                _limits.set_wanted(local, TEAM, wanted)
                local.teams_by_id[TEAM].last_transfer_ms = 0
                write = _limits.next_write(local, 'a', TEAM, now_ms, ['a', 'b'])
                self.assertEqual(write and write.record.requests_by_member, expected)

    def test_refusal_is_typed(self):
        """Guards against a refusal that does not state whether the task ran."""
        refusal = _limits.try_start(_limits.LocalGrants(), TEAM).err_value
        self.assertEqual(refusal.code, ErrorCode.TEAM_LIMIT_REACHED)
        self.assertEqual(refusal.run_state, RunState.NOT_RUN)
