"""Guards against a task being sent to a host that must not or cannot run it."""

import random
import unittest
from collections import Counter
from dataclasses import replace

from hypothesis import settings, strategies
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from result import Err, Ok

from dandelionknot.configuration import (
    AvailabilityZone,
    Configuration,
    Host,
    HostState,
    Pool,
    Service,
    ZoneState,
)
from dandelionknot.decisions import _pools, _routing, _zones
from dandelionknot.decisions._budgets import UnavailableReason
from dandelionknot.decisions._routing import RoutingTable, TaskSize, choose
from dandelionknot.messages import ErrorCode, RunState, UsageReport

SLOTS = 3
ZONES = ('z0', 'z1', 'z2')
BASE = Configuration(
    version=1,
    availability_zones_by_id={zone: AvailabilityZone(region='north') for zone in ZONES},
    pools_by_id={'a': Pool(), 'b': Pool(), 'c': Pool()},
    hosts_by_id={
        f'h{number}': Host(
            availability_zone=ZONES[number % 3],
            rack='r1',
            pool='a' if number < 12 else 'b',
            address='127.0.0.1:1',
            slots=SLOTS,
            cores=4 if number in (0, 4) else 2,
        )
        for number in range(15)
    },
    services_by_id={
        'desk': Service(pool='a'),
        'batch': Service(pool='b'),
        'empty': Service(pool='c'),
    },
)
HOST_IDS = sorted(BASE.hosts_by_id)


def edited(configuration, host_id, **changes):
    host = replace(configuration.hosts_by_id[host_id], **changes)
    hosts = {**configuration.hosts_by_id, host_id: host}
    return replace(configuration, hosts_by_id=hosts)


def with_zone(configuration, zone_id, state):
    zones = dict(configuration.availability_zones_by_id)
    zones[zone_id] = replace(zones[zone_id], state=state)
    return replace(configuration, availability_zones_by_id=zones)


def counts_of(table, seed, rounds, now_ms=0):
    draw = random.Random(seed).random
    return Counter(
        choose(table, 'desk', (draw(), draw(), draw()), now_ms).unwrap()
        for _ in range(rounds)
    )


class RoutingMachine(RuleBasedStateMachine):
    """Applies starts, reports, exclusions and new versions in any order.

    Guards against choosing a host that is draining, moving, full, busy, excluded
    or in a zone out of service. Also guards against an available host that is
    never chosen, and against a host of another zone being chosen while a host
    of the entry host's own zone has a free slot.
    """

    host_ids = strategies.sampled_from(HOST_IDS)
    numbers = strategies.tuples(*[strategies.floats(0, 1, exclude_max=True)] * 3)

    def __init__(self):
        super().__init__()
        self.configuration = BASE
        self.table = RoutingTable.from_configuration(BASE, 'z0')
        self.now_ms = 0
        self.own = Counter()
        self.other = Counter()
        self.busy_until = Counter()
        self.full_until = {}
        self.excluded = {host_id: set() for host_id in HOST_IDS}

    def adopt(self, configuration):
        self.configuration = replace(configuration, version=configuration.version + 1)
        self.table = RoutingTable.from_configuration(
            self.configuration, 'z0', previous=self.table
        )

    def usable(self, pool, size=_routing.SMALLEST_TASK, hidden=()):
        return {
            host_id
            for host_id, host in self.configuration.hosts_by_id.items()
            if host.pool == pool
            and host.state is HostState.ACTIVE
            and host_id not in self.configuration.moves_by_host
            and self.configuration.availability_zones_by_id[
                host.availability_zone
            ].state
            is ZoneState.IN_SERVICE
            and not self.excluded[host_id]
            and host_id not in hidden
            and self.busy_until[host_id] <= self.now_ms
            and self.own[host_id] + self.other[host_id] < SLOTS
            and host.cores >= size.cores
        }

    @rule(
        service=strategies.sampled_from(['desk', 'batch']),
        numbers=numbers,
        hidden=strategies.sets(host_ids, max_size=3),
        cores=strategies.sampled_from([1, 3]),
        own_zone_only=strategies.booleans(),
    )
    def choose_host(self, service, numbers, hidden, cores, own_zone_only):
        size = TaskSize(cores)
        outcome = choose(
            self.table, service, numbers, self.now_ms, hidden, size, own_zone_only
        )
        pool = BASE.services_by_id[service].pool
        hosts = self.configuration.hosts_by_id
        usable = self.usable(pool, size, hidden)
        own = {one for one in usable if hosts[one].availability_zone == 'z0'}
        allowed = own if own or own_zone_only else usable
        if isinstance(outcome, Ok):
            host_id = outcome.ok_value.host_id
            assert host_id in allowed, f'{host_id} is not among {sorted(allowed)}'
            if len(allowed) == 2:
                load = self.own + self.other
                assert load[host_id] == min(load[one] for one in allowed), (
                    'the more loaded of two hosts'
                )
            _routing.host_started(self.table, host_id)
            self.own[host_id] += 1
            return
        assert not allowed, f'{sorted(allowed)} are usable'
        assert outcome.err_value.run_state is RunState.NOT_RUN
        sizes = [host.cores for host in hosts.values() if host.pool == pool]
        cannot_fit = bool(sizes) and max(sizes) < cores
        found_cannot_fit = outcome.err_value.code is ErrorCode.TASK_CANNOT_FIT
        assert found_cannot_fit == cannot_fit, outcome.err_value

    @rule(host_id=host_ids)
    def finish(self, host_id):
        _routing.host_finished(self.table, host_id)
        self.own[host_id] = max(0, self.own[host_id] - 1)

    @rule(host_id=host_ids, running=strategies.integers(0, 4))
    def usage(self, host_id, running):
        self.excluded[host_id].discard(UnavailableReason.DRAINING)
        if running == 4:
            self.excluded[host_id].add(UnavailableReason.DRAINING)
        report = UsageReport(running=running, slots=SLOTS, draining=running == 4)
        own_when_requested = _routing.own_running(self.table, host_id)
        assert own_when_requested == self.own[host_id]
        _routing.set_usage(self.table, host_id, report, own_when_requested)
        self.other[host_id] = max(0, running - own_when_requested)

    @rule(host_id=host_ids)
    def busy(self, host_id):
        _routing.host_busy(self.table, host_id, self.now_ms)
        self.busy_until[host_id] = self.now_ms + _routing.BUSY_EXCLUSION_MS

    @rule(host_id=host_ids, running=strategies.integers(0, 4))
    def report(self, host_id, running):
        _routing.host_reported(self.table, host_id, running, self.now_ms)
        self.other[host_id] = max(0, running - self.own[host_id])
        if running < SLOTS:
            self.busy_until[host_id] = 0
        self.full_until.pop(host_id, None)
        if self.other[host_id] and self.own[host_id] + self.other[host_id] >= SLOTS:
            self.full_until[host_id] = self.now_ms + _routing.BUSY_EXCLUSION_MS

    @rule(step_ms=strategies.sampled_from([100, 300, 700]))
    def advance(self, step_ms):
        self.now_ms += step_ms
        _routing.release_busy_hosts(self.table, self.now_ms)
        for host_id, until_ms in list(self.full_until.items()):
            if until_ms <= self.now_ms:
                del self.full_until[host_id]
                room = max(0, SLOTS - self.own[host_id] - 1)
                self.other[host_id] = min(self.other[host_id], room)

    @rule(
        host_id=host_ids,
        reason=strategies.sampled_from(
            [UnavailableReason.EJECTED, UnavailableReason.LEAVING]
        ),
    )
    def exclude(self, host_id, reason):
        self.excluded[host_id] ^= {reason}
        _routing.set_excluded(
            self.table, host_id, reason, reason in self.excluded[host_id]
        )

    @rule(host_id=host_ids, state=strategies.sampled_from(list(HostState)))
    def host_state(self, host_id, state):
        self.adopt(edited(self.configuration, host_id, state=state))

    @rule(host_id=host_ids, to_pool=strategies.sampled_from(['a', 'b']))
    def move(self, host_id, to_pool):
        moving = _pools.begin_move(self.configuration, host_id, to_pool)
        if host_id in self.configuration.moves_by_host:
            moving = _pools.cancel_move(self.configuration, host_id)
        self.adopt(moving.unwrap_or(self.configuration))

    @rule(
        zone_id=strategies.sampled_from(ZONES), state=strategies.sampled_from(ZoneState)
    )
    def zone_state(self, zone_id, state):
        self.adopt(with_zone(self.configuration, zone_id, state))

    @invariant()
    def free_lists_match(self):
        for pool, service in (('a', 'desk'), ('b', 'batch')):
            views = _routing.host_views(self.table, service, self.now_ms)
            free = {view.host_id for view in views if view.may_be_chosen}
            assert free == self.usable(pool), 'free lists differ'
            for view in views:
                explained = (
                    view.reasons or view.retry_after_ms or view.running >= view.slots
                )
                assert bool(explained) != view.may_be_chosen, f'not explained: {view}'


RoutingMachine.TestCase.settings = settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=120,
    stateful_step_count=30,
)
RoutingMachineTest = RoutingMachine.TestCase


class RoutingTest(unittest.TestCase):
    def test_refusals(self):
        """Guards against a refusal whose code or reason misleads the caller."""
        out = BASE
        for zone_id in ZONES:
            out = with_zone(out, zone_id, ZoneState.OUT_OF_SERVICE)
        own_out = with_zone(BASE, 'z0', ZoneState.OUT_OF_SERVICE)
        many_cores, much_memory = TaskSize(cores=5), TaskSize(memory_mb=2000)
        cases = [
            (BASE, 'none', {}, ErrorCode.SERVICE_NOT_FOUND, "'none'"),
            (BASE, 'empty', {}, ErrorCode.NO_HOST_AVAILABLE, "'c' has no hosts"),
            (BASE, 'desk', {'size': many_cores}, ErrorCode.TASK_CANNOT_FIT, '5 cores'),
            (BASE, 'desk', {'size': much_memory}, ErrorCode.TASK_CANNOT_FIT, '2000 MB'),
            (out, 'desk', {}, ErrorCode.AVAILABILITY_ZONE_OUT, 'z0, z1, z2'),
            (
                own_out,
                'desk',
                {'own_zone_only': True},
                ErrorCode.AVAILABILITY_ZONE_OUT,
                'z0',
            ),
            (
                BASE,
                'desk',
                {'excluded': HOST_IDS * 2},
                ErrorCode.NO_HOST_AVAILABLE,
                "'a'",
            ),
        ]
        for number, (configuration, service, options, code, words) in enumerate(cases):
            with self.subTest(number=number):
                table = RoutingTable.from_configuration(configuration, 'z0')
                outcome = choose(table, service, (0.1, 0.5, 0.9), 0, **options)
                self.assertEqual(outcome.err_value.code, code)
                self.assertIn(words, outcome.err_value.message)

    def test_busy_hosts_give_the_time_to_retry(self):
        """Guards against a caller that retries while all hosts still count as busy."""
        table = RoutingTable.from_configuration(BASE, 'z0')
        for number, host_id in enumerate(HOST_IDS):
            _routing.host_busy(table, host_id, number * 10)
        refusal = choose(table, 'desk', (0, 0, 0), 100).err_value
        self.assertEqual(refusal.retry_after_ms, _routing.BUSY_EXCLUSION_MS - 100)
        released = choose(table, 'desk', (0, 0, 0), _routing.BUSY_EXCLUSION_MS)
        self.assertIsInstance(released, Ok)

    def test_full_host_is_tried_again(self):
        """Guards against slots that stay idle after other entry hosts freed them."""
        table = RoutingTable.from_configuration(BASE, 'z0')
        for host_id in HOST_IDS:
            _routing.host_reported(table, host_id, SLOTS, 0)
        end_ms = _routing.BUSY_EXCLUSION_MS
        self.assertIsInstance(choose(table, 'desk', (0, 0, 0), end_ms - 1), Err)
        for _ in range(sum(host.pool == 'a' for host in BASE.hosts_by_id.values())):
            chosen = choose(table, 'desk', (0, 0, 0), end_ms).unwrap()
            _routing.host_started(table, chosen.host_id)
        self.assertIsInstance(choose(table, 'desk', (0, 0, 0), end_ms), Err)

    def test_free_slot_ends_a_busy_answer(self):
        """Guards against a host that stays excluded after it reported a free slot."""
        table = RoutingTable.from_configuration(BASE, 'z0')
        for host_id in HOST_IDS:
            _routing.host_busy(table, host_id, 0)
        _routing.host_reported(table, 'h5', SLOTS, 0)
        self.assertIsInstance(choose(table, 'desk', (0, 0, 0), 0), Err)
        _routing.host_reported(table, 'h5', SLOTS - 1, 0)
        self.assertEqual(choose(table, 'desk', (0, 0, 0), 0).unwrap().host_id, 'h5')

    def test_fewer_reported_slots(self):
        """Guards against sending more tasks than a backend server has slots."""
        table = RoutingTable.from_configuration(BASE, 'z0')
        report = UsageReport(running=1, slots=1, draining=False)
        for host_id in HOST_IDS:
            if host_id != 'h5':
                _routing.set_usage(table, host_id, report, 0)
        self.assertEqual({one.host_id for one in counts_of(table, 1, 50)}, {'h5'})
        more = RoutingTable.from_configuration(
            edited(BASE, 'h5', slots=9), 'z0', previous=table
        )
        self.assertEqual(more.hosts_by_id['h5'].slots, 9)
        self.assertEqual(more.hosts_by_id['h4'].slots, 1)

    def test_every_free_host_is_drawn_evenly(self):
        """Guards against hosts that are chosen never or more often than others."""
        table = RoutingTable.from_configuration(BASE, 'elsewhere')
        counts = counts_of(table, 2, 6000)
        self.assertEqual(len(counts), 12)
        for count in counts.values():
            self.assertAlmostEqual(count, 500, delta=100)

    def test_ramp_limits_a_returning_zone(self):
        """Guards against full load on a zone that has just returned to service."""
        for own_zone, expected in (('z0', 0.25), ('z1', 0.25 / 2.25)):
            with self.subTest(own_zone=own_zone):
                ramp = _zones.ZoneRamp()
                out = with_zone(BASE, 'z0', ZoneState.OUT_OF_SERVICE)
                _zones.observe_zones(ramp, out, 0)
                _zones.observe_zones(ramp, BASE, 0)
                entry_zone = own_zone if own_zone == 'z0' else 'elsewhere'
                table = RoutingTable.from_configuration(
                    BASE, entry_zone, zone_ramp=ramp
                )
                quarter_ms = BASE.bounds.ramp_ms // 4
                counts = counts_of(table, 3, 4000, quarter_ms)
                returned = [
                    count
                    for one, count in counts.items()
                    if one.availability_zone == 'z0'
                ]
                self.assertAlmostEqual(sum(returned) / 4000, expected, delta=0.03)
                self.assertEqual(len(returned), 4)
                self.assertLess(max(returned), 2 * min(returned))
