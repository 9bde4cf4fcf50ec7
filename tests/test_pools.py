"""Guards against a host that serves two pools at once."""

import unittest
from dataclasses import replace

from hypothesis import settings, strategies
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from result import Err

from dandelionknot.configuration import (
    AvailabilityZone,
    Configuration,
    Host,
    HostState,
    Pool,
    QueueAccess,
    Service,
)
from dandelionknot.decisions import _budgets, _pools
from dandelionknot.decisions._pools import DrainEvidence, MoveErrorKind
from dandelionknot.messages import UsageReport

HOST = Host(availability_zone='zone-a', rack='r1', pool='a', address='127.0.0.1:1')
BASE = Configuration(
    version=1,
    availability_zones_by_id={'zone-a': AvailabilityZone(region='north')},
    pools_by_id={'a': Pool(), 'b': Pool(), 'c': Pool()},
    hosts_by_id={'h1': HOST},
    services_by_id={'desk': Service(pool='a')},
)


def next_version(configuration):
    return replace(configuration, version=configuration.version + 1)


def evidence(version=2, since=0, asked=2500, running=0, age=0, stopped=0):
    report = UsageReport(running=running, slots=8, draining=True, age_ms=age)
    return DrainEvidence(
        accepted_version=version,
        accepted_since_ms=since,
        report=report,
        asked_ms=asked,
        stopped_members=stopped,
    )


def with_state(configuration, state):
    host = replace(configuration.hosts_by_id['h1'], state=state)
    return replace(configuration, hosts_by_id={'h1': host})


def takes_new_work(configuration):
    """Returns whether the routing table would use the host."""
    host = configuration.hosts_by_id['h1']
    reason = _budgets.unavailable_reason(
        configuration, _budgets.FleetHealth(), 'h1', host
    )
    return reason is None


def pool_of(configuration):
    return configuration.hosts_by_id['h1'].pool


MOVING = next_version(_pools.begin_move(BASE, 'h1', 'b').unwrap())
DRAINED = next_version(_pools.confirm_drained(MOVING, 'h1', evidence()).unwrap())
ASSIGNED = next_version(_pools.assign(DRAINED, 'h1').unwrap())


class MoveTest(unittest.TestCase):
    def test_refused_steps(self):
        """Guards against steps out of order, concurrent moves and stale evidence."""
        draining = with_state(BASE, HostState.DRAINING)
        drained_maintained = with_state(DRAINED, HostState.MAINTENANCE)
        open_queue = {'desk': Service(pool='a', access=QueueAccess.OPEN)}
        open_moving = replace(MOVING, services_by_id=open_queue)
        without_b = replace(DRAINED, pools_by_id={'a': Pool()})
        begin, confirm = _pools.begin_move, _pools.confirm_drained
        cases = [
            (begin(BASE, 'h9', 'b'), MoveErrorKind.HOST_NOT_FOUND),
            (begin(BASE, 'h1', 'z'), MoveErrorKind.POOL_NOT_FOUND),
            (begin(BASE, 'h1', 'a'), MoveErrorKind.SAME_POOL),
            (begin(draining, 'h1', 'b'), MoveErrorKind.HOST_NOT_ACTIVE),
            (begin(MOVING, 'h1', 'c'), MoveErrorKind.ALREADY_MOVING),
            (confirm(BASE, 'h1', evidence()), MoveErrorKind.NOT_MOVING),
            (confirm(MOVING, 'h1', evidence(1)), MoveErrorKind.NOT_ACCEPTED),
            (
                confirm(MOVING, 'h1', evidence(asked=2499)),
                MoveErrorKind.START_MAY_ARRIVE,
            ),
            (confirm(MOVING, 'h1', evidence(age=1)), MoveErrorKind.START_MAY_ARRIVE),
            (
                confirm(open_moving, 'h1', evidence(stopped=1)),
                MoveErrorKind.START_MAY_ARRIVE,
            ),
            (confirm(MOVING, 'h1', evidence(running=1)), MoveErrorKind.STILL_RUNNING),
            (_pools.assign(BASE, 'h1'), MoveErrorKind.NOT_MOVING),
            (_pools.assign(MOVING, 'h1'), MoveErrorKind.NOT_DRAINED),
            (_pools.assign(ASSIGNED, 'h1'), MoveErrorKind.NOT_MOVING),
            (_pools.assign(DRAINED, 'h1', 7), MoveErrorKind.OTHER_MOVE),
            (_pools.assign(without_b, 'h1'), MoveErrorKind.POOL_NOT_FOUND),
            (_pools.assign(drained_maintained, 'h1'), MoveErrorKind.HOST_NOT_ACTIVE),
            (_pools.cancel_move(BASE, 'h1'), MoveErrorKind.NOT_MOVING),
            (_pools.cancel_move(MOVING, 'h1', 7), MoveErrorKind.OTHER_MOVE),
        ]
        for number, (outcome, kind) in enumerate(cases):
            with self.subTest(number=number, kind=kind):
                self.assertIsInstance(outcome, Err)
                self.assertEqual(outcome.err_value.kind, kind)

    def test_repeats_change_nothing(self):
        """Guards against a second write after the answer to the first was lost."""
        self.assertIs(_pools.begin_move(MOVING, 'h1', 'b').ok_value, MOVING)
        repeated = _pools.confirm_drained(DRAINED, 'h1', evidence())
        self.assertIs(repeated.ok_value, DRAINED)

    def test_assignment_and_cancel(self):
        """Guards against an assignment that keeps the old epoch or the old move."""
        host = ASSIGNED.hosts_by_id['h1']
        self.assertEqual((host.pool, host.pool_epoch), ('b', 1))
        self.assertEqual(ASSIGNED.moves_by_host, {})
        for moving in (MOVING, DRAINED):
            cancelled = _pools.cancel_move(moving, 'h1', 2).unwrap()
            self.assertEqual(cancelled.hosts_by_id['h1'], HOST)
            self.assertTrue(takes_new_work(cancelled))


class MoveMachine(RuleBasedStateMachine):
    """Entry hosts start tasks while planners move one host by compare-and-swap.

    Guards against a start for the old pool that arrives after the assignment,
    and against two entry hosts that start tasks of different pools on the host.
    """

    members = strategies.integers(0, 2)

    def __init__(self):
        super().__init__()
        self.history = [BASE]
        self.views = [0, 0, 0]
        self.now_ms = 0
        self.under_way: list = []
        self.running: list = []
        self.accepted = (0, 0)
        self.usage = (0, 0)
        self.old_planner = BASE

    def write(self, snapshot, outcome):
        newest = self.history[-1]
        if isinstance(outcome, Err) or outcome.ok_value is snapshot:
            return
        if snapshot is not newest:
            return
        before, after = (pool_of(value) for value in (newest, outcome.ok_value))
        if before != after:
            assert not self.running, 'assigned while tasks of the old pool run'
        self.history.append(next_version(outcome.ok_value))

    @rule()
    def pause_a_planner(self):
        self.old_planner = self.history[-1]

    @rule(to_pool=strategies.sampled_from('ab'), paused=strategies.booleans())
    def operator_begins(self, to_pool, paused):
        snapshot = self.old_planner if paused else self.history[-1]
        self.write(snapshot, _pools.begin_move(snapshot, 'h1', to_pool))

    @rule()
    def operator_cancels(self):
        newest = self.history[-1]
        self.write(newest, _pools.cancel_move(newest, 'h1'))

    @rule(paused=strategies.booleans())
    def planner_goes_on(self, paused):
        if not paused:
            self.observe()
        known = evidence(*self.accepted, asked=self.usage[1], running=self.usage[0])
        for step in (
            lambda snapshot: _pools.confirm_drained(snapshot, 'h1', known),
            lambda snapshot: _pools.assign(snapshot, 'h1'),
        ):
            snapshot = self.old_planner if paused else self.history[-1]
            self.write(snapshot, step(snapshot))

    def observe(self):
        version = self.history[min(self.views)].version
        if version != self.accepted[0]:
            self.accepted = (version, self.now_ms)
        self.usage = (len(self.running), self.now_ms)

    @rule(behind=strategies.sets(members, max_size=1))
    def adopt(self, behind):
        newest = len(self.history) - 1
        self.views = [
            view if member in behind else newest
            for member, view in enumerate(self.views)
        ]
        self.observe()

    @rule(member=members, delayed=strategies.booleans())
    def send_start(self, member, delayed):
        view = self.history[self.views[member]]
        if takes_new_work(view):
            self.under_way.append((pool_of(view), self.now_ms))
            if not delayed:
                self.deliver_start()

    @precondition(lambda self: self.under_way)
    @rule()
    def deliver_start(self):
        pool, token_ms = self.under_way.pop()
        if self.now_ms - token_ms <= BASE.bounds.start_token_ms:
            newest = pool_of(self.history[-1])
            assert pool == newest, f'start for {pool} on a host of {newest}'
            self.running.append(pool)

    @precondition(lambda self: self.running)
    @rule()
    def finish_tasks(self):
        self.running.clear()

    @rule(step_ms=strategies.sampled_from([500, 2500]))
    def advance(self, step_ms):
        self.now_ms += step_ms

    @invariant()
    def one_pool_in_all_views(self):
        views = [self.history[index] for index in self.views]
        pools = {pool_of(view) for view in views if takes_new_work(view)}
        assert len(pools) <= 1, f'starts for {pools}'
        assert not pools or pools == {pool_of(self.history[-1])}, (
            'starts for a pool that the host has left'
        )

    @invariant()
    def epoch_counts_assignments(self):
        hosts = [view.hosts_by_id['h1'] for view in self.history]
        steps = sum(
            one.pool != two.pool for one, two in zip(hosts, hosts[1:], strict=False)
        )
        assert hosts[-1].pool_epoch == steps, 'an assignment kept the epoch'


MoveMachine.TestCase.settings = settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=400,
    stateful_step_count=40,
)
MoveMachineTest = MoveMachine.TestCase
