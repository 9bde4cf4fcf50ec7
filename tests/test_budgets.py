"""Guards against planned stops that exceed an availability budget."""

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
    HostMove,
    HostState,
    MaintenancePlan,
    PlanState,
    Pool,
    Service,
    ZoneState,
)
from dandelionknot.decisions import _budgets, _pools, _zones
from dandelionknot.decisions._budgets import FleetHealth, StopStep
from dandelionknot.messages import HostList, ListedHostState, UsageReport
from dandelionknot.operators import Edit, EditKind, apply_edit
from tests.test_edits import decisions


def fleet(hosts, budgets, racks=2, zones=2):
    """Returns a configuration with pools `p0` and `p1` and one service per budget.

    The services use the two pools alternately.
    """
    return Configuration(
        version=1,
        availability_zones_by_id={
            f'z{number}': AvailabilityZone(region='north') for number in range(zones)
        },
        pools_by_id={'p0': Pool(), 'p1': Pool()},
        hosts_by_id={
            f'h{number}': Host(
                availability_zone=f'z{number % zones}',
                rack=f'r{number // zones % racks}',
                pool='p0' if number < hosts * 2 // 3 else 'p1',
                address='127.0.0.1:1',
            )
            for number in range(hosts)
        },
        services_by_id={
            f's{number}': Service(pool=f'p{number % 2}', max_unavailable=budget)
            for number, budget in enumerate(budgets)
        },
    )


HOSTS = 12
BASE = replace(
    fleet(HOSTS, (4, 1, 5)),
    maintenance_plans_by_id={
        'plan': MaintenancePlan(
            hosts=[f'h{number}' for number in range(HOSTS)], state=PlanState.RUNNING
        )
    },
)
HOST_IDS = sorted(BASE.hosts_by_id)


def counted_by_service(configuration, health):
    """Counts unavailable hosts by the design page, without the code under test."""
    counted = {}
    for service_id, service in configuration.services_by_id.items():
        counted[service_id] = {
            host_id
            for host_id, host in configuration.hosts_by_id.items()
            if host.pool == service.pool
            and (
                host.state in (HostState.DRAINING, HostState.MAINTENANCE)
                or host_id in configuration.moves_by_host
                or host_id in health.failed_hosts | health.ejected_hosts
                or host_id in health.leaving_hosts
                or configuration.availability_zones_by_id[host.availability_zone].state
                is ZoneState.OUT_OF_SERVICE
            )
        }
    return counted


def rack_key(configuration, host_id):
    host = configuration.hosts_by_id[host_id]
    return host.pool, host.availability_zone, host.rack


class BudgetMachine(RuleBasedStateMachine):
    """Mixes failures of every kind with planned stops, waves and moves.

    Guards against a planned stop that exceeds the budget of a service, a host
    that is counted twice or not at all, and two hosts of one rack that stop at
    the same time.
    """

    host_ids = strategies.sampled_from(HOST_IDS)

    def __init__(self):
        super().__init__()
        self.configuration = BASE
        self.health = FleetHealth()

    def apply_planned_change(self, configuration):
        before = counted_by_service(self.configuration, self.health)
        after = counted_by_service(configuration, self.health)
        for service_id, service in configuration.services_by_id.items():
            count = len(after[service_id])
            assert count <= max(service.max_unavailable, len(before[service_id])), (
                f'planned stop takes {service_id} to {count}'
            )
        self.configuration = replace(configuration, version=configuration.version + 1)

    @rule(
        host_id=host_ids,
        cause=strategies.sampled_from(
            ['failed_hosts', 'ejected_hosts', 'leaving_hosts']
        ),
    )
    def health_changes(self, host_id, cause):
        changed = getattr(self.health, cause) ^ {host_id}
        self.health = replace(self.health, **{cause: changed})

    @rule()
    def hosts_recover(self):
        self.health = FleetHealth()

    @rule(zone_id=strategies.sampled_from(['z0', 'z1']))
    def zone_changes(self, zone_id):
        report = _budgets.may_take_zone_out(self.configuration, self.health, zone_id)
        zones = dict(self.configuration.availability_zones_by_id)
        out = zones[zone_id].state is ZoneState.IN_SERVICE
        state = ZoneState.OUT_OF_SERVICE if out else ZoneState.IN_SERVICE
        zones[zone_id] = replace(zones[zone_id], state=state)
        changed = replace(self.configuration, availability_zones_by_id=zones)
        if out:
            short_services = {
                service_id
                for service_id, counted in counted_by_service(
                    changed, self.health
                ).items()
                if len(counted) > BASE.services_by_id[service_id].max_unavailable
            }
            reported = {one.service_id for one in report.unwrap().shortfalls}
            assert reported == short_services, (
                'the zone exit report does not name the right services'
            )
        self.configuration = changed

    @rule(host_id=host_ids)
    def stop_one_host(self, host_id):
        advice = _budgets.planned_stop_step(
            self.configuration, self.health, host_id, None, is_maintenance_done=True
        )
        if isinstance(advice, Err):
            return
        states = {StopStep.DRAIN: HostState.DRAINING, StopStep.RETURN: HostState.ACTIVE}
        if state := states.get(advice.ok_value.step):
            self.apply_planned_change(
                _budgets.with_host_state(self.configuration, host_id, state)
            )

    @rule()
    def begin_next_wave(self):
        plan = self.configuration.maintenance_plans_by_id['plan']
        stopping = [
            host_id
            for host_id, host in self.configuration.hosts_by_id.items()
            if host.state is not HostState.ACTIVE
        ]
        wave = _budgets.next_wave(plan, self.configuration, self.health)
        racks = Counter(rack_key(self.configuration, one) for one in wave.host_ids)
        for host_id in stopping:
            racks[rack_key(self.configuration, host_id)] += 1
        changed = self.configuration
        excluded = {*stopping, *plan.done, *changed.moves_by_host}
        assert not excluded & set(wave.host_ids), 'a host in the wave must not stop'
        for host_id in wave.host_ids:
            count = racks[rack_key(changed, host_id)]
            assert count == 1, f'{count} hosts of the rack of {host_id} stop together'
            changed = _budgets.with_host_state(changed, host_id, HostState.DRAINING)
        self.apply_planned_change(changed)

    @rule()
    def continue_planned_stops(self):
        for host_id, host in self.configuration.hosts_by_id.items():
            changed = self.configuration
            if host.state is HostState.DRAINING:
                state = HostState.MAINTENANCE
                changed = _budgets.with_host_state(changed, host_id, state)
            elif host.state is HostState.MAINTENANCE:
                changed = _budgets.return_host(changed, host_id, 'plan')
            self.apply_planned_change(changed)

    @rule(host_id=host_ids, to_pool=strategies.sampled_from(['p0', 'p1']))
    def begin_move(self, host_id, to_pool):
        if _budgets.may_stop(self.configuration, self.health, host_id).is_ok():
            moved = _pools.begin_move(self.configuration, host_id, to_pool)
            self.apply_planned_change(moved.unwrap_or(self.configuration))

    @rule()
    def finish_moves(self):
        report = UsageReport(running=0, slots=8, draining=True)
        for host_id in self.configuration.moves_by_host:
            known = _pools.DrainEvidence(
                accepted_version=self.configuration.version,
                accepted_since_ms=0,
                report=report,
                asked_ms=2500,
            )
            assigned = (
                _budgets.may_assign(self.configuration, self.health, host_id)
                .and_then(
                    lambda _, host_id=host_id, known=known: _pools.confirm_drained(
                        self.configuration, host_id, known
                    )
                )
                .and_then(
                    lambda drained, host_id=host_id: _pools.assign(drained, host_id)
                )
            )
            self.apply_planned_change(assigned.unwrap_or(self.configuration))

    @invariant()
    def counts_match(self):
        found = _budgets.unavailable_by_service(self.configuration, self.health)
        expected = counted_by_service(self.configuration, self.health)
        assert {key: set(one.reasons_by_host) for key, one in found.items()} == expected
        for host_id, host in self.configuration.hosts_by_id.items():
            reason = _budgets.unavailable_reason(
                self.configuration, FleetHealth(), host_id, host
            )
            zone = self.configuration.availability_zones_by_id[host.availability_zone]
            takes_work = (
                host.state is HostState.ACTIVE
                and host_id not in self.configuration.moves_by_host
                and zone.state is ZoneState.IN_SERVICE
            )
            assert takes_work == (reason is None), f'{host_id}: {reason}'

    @invariant()
    def planned_waves_fit(self):
        plan = _budgets.plan_waves(self.configuration, self.health, HOST_IDS)
        counted = counted_by_service(self.configuration, self.health)
        planned = [host_id for wave in plan.waves for host_id in wave.host_ids]
        refused = [refusal.subject for refusal in plan.refused]
        assert sorted(planned + refused) == HOST_IDS, 'a host is lost or planned twice'
        for wave in plan.waves:
            racks = Counter(rack_key(self.configuration, one) for one in wave.host_ids)
            assert max(racks.values()) == 1, 'a wave stops two hosts of a rack'
            for service_id, service in self.configuration.services_by_id.items():
                here = {
                    host_id
                    for host_id in wave.host_ids
                    if self.configuration.hosts_by_id[host_id].pool == service.pool
                }
                used = len(counted[service_id] | here)
                limit = max(service.max_unavailable, len(counted[service_id]))
                assert used <= limit, f'wave takes {service_id} to {used}'
                counted[service_id] -= here


BudgetMachine.TestCase.settings = settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=60,
    stateful_step_count=25,
)
BudgetMachineTest = BudgetMachine.TestCase


class BudgetTest(unittest.TestCase):
    def test_refusal_names_service_and_hosts(self):
        """Guards against a refusal that does not say what uses up the budget."""
        host_list = HostList(states_by_host={'h9': ListedHostState.LEAVING})
        health = FleetHealth.from_host_list(host_list, failed=[], ejected=['h8'])
        refusal = _budgets.may_stop(BASE, health, 'h10').err_value
        self.assertEqual(refusal.service_id, 's1')
        self.assertEqual(set(refusal.reasons_by_host), {'h8', 'h9'})
        self.assertIn('h9 (leaving)', refusal.message)
        self.assertEqual(_budgets.may_stop(BASE, health, 'h9'), Ok(None))
        self.assertIsInstance(_budgets.may_stop(BASE, health, 'h8'), Err)
        self.assertIsInstance(_budgets.may_stop(BASE, health, 'h99'), Err)

    def test_wave_count_is_the_lower_bound(self):
        """Guards against a roll-out with more waves than racks and budget require."""
        for hosts, budget, racks, waves in [
            (12, 1, 2, 8),
            (12, 3, 2, 3),
            (24, 9, 2, 4),
        ]:
            with self.subTest(hosts=hosts, budget=budget):
                configuration = fleet(hosts, (budget, 9), racks)
                plan = _budgets.plan_waves(
                    configuration, FleetHealth(), configuration.hosts_by_id
                )
                self.assertEqual((len(plan.waves), plan.refused), (waves, ()))

    def test_waves_have_at_most_max_stopped_hosts(self):
        """Guards against a wave that stops more hosts than the plan allows."""
        configuration = fleet(24, (9, 9), racks=4)
        hosts = list(configuration.hosts_by_id)
        for limit in (1, 3, 5):
            plan = _budgets.plan_waves(configuration, FleetHealth(), hosts, limit)
            sizes = [len(wave.host_ids) for wave in plan.waves]
            self.assertEqual((max(sizes), sum(sizes)), (limit, 24))
            running = MaintenancePlan(
                hosts=hosts, state=PlanState.RUNNING, max_stopped=limit
            )
            draining = _budgets.with_host_state(
                configuration, 'h0', HostState.MAINTENANCE
            )
            wave = _budgets.next_wave(running, draining, FleetHealth())
            self.assertEqual(len(wave.host_ids), limit - 1)

    def test_pool_that_needs_most_waves_comes_first(self):
        """Guards against a large pool that is stopped last and delays the roll-out."""
        cases = [
            ((9, 1), ['h0', 'h16', 'h17', 'h18'], 'p1'),
            ((1, 9), ['h0', 'h1', 'h2', 'h16'], 'p0'),
        ]
        for budgets, hosts, pool in cases:
            configuration = fleet(24, budgets, 4)
            plan = MaintenancePlan(hosts=hosts, state=PlanState.RUNNING, max_stopped=1)
            wave = _budgets.next_wave(plan, configuration, FleetHealth())
            first = configuration.hosts_by_id[wave.host_ids[0]]
            self.assertEqual(first.pool, pool)

    def test_failed_host_is_maintained_first(self):
        """Guards against a failed host that uses up the budget of its whole pool."""
        health = FleetHealth(failed_hosts=frozenset({'h9'}))
        plan = _budgets.plan_waves(BASE, health, ['h8', 'h9', 'h10'])
        self.assertEqual(plan.refused, ())
        self.assertEqual([len(wave.host_ids) for wave in plan.waves], [1, 1, 1])
        self.assertEqual(plan.waves[0].host_ids, ('h9',))

    def test_waves_are_spread_over_zones(self):
        """Guards against a wave whose hosts are all in one availability zone."""
        configuration = fleet(24, (2, 2), racks=4)
        plan = _budgets.plan_waves(
            configuration, FleetHealth(), configuration.hosts_by_id
        )
        half = [f'h{number}' for number in range(0, 16, 2)]
        skewed = _budgets.plan_waves(
            configuration, FleetHealth(), half + [f'h{n}' for n in range(16, 24)]
        )
        for wave in plan.waves + skewed.waves:
            zones = Counter(
                configuration.hosts_by_id[one].availability_zone
                for one in wave.host_ids
                if configuration.hosts_by_id[one].pool == 'p1' or wave in plan.waves
            )
            self.assertEqual(len(set(zones.values())), 1, zones)
            self.assertEqual(len(zones), 2)

    def test_waves_of_many_pools_are_spread_over_zones(self):
        """Guards against small pools that all stop their hosts in the same zone."""
        plan = _budgets.plan_waves(
            fleet(24, (1, 1)), FleetHealth(), ['h0', 'h1', 'h16', 'h17']
        )
        self.assertEqual(
            [one.host_ids for one in plan.waves], [('h0', 'h17'), ('h1', 'h16')]
        )

    def test_steps_of_a_planned_stop(self):
        """Guards against a stop before the host is drained and an exceeded budget."""
        draining = _budgets.with_host_state(BASE, 'h10', HostState.DRAINING)
        stopped = _budgets.with_host_state(BASE, 'h10', HostState.MAINTENANCE)

        def known(running, asked_ms=2500):
            report = UsageReport(running=running, slots=8, draining=True)
            return _pools.DrainEvidence(
                accepted_version=1,
                accepted_since_ms=0,
                report=report,
                asked_ms=asked_ms,
            )

        failed = FleetHealth(failed_hosts=frozenset({'h11'}))
        cases = [
            (BASE, FleetHealth(), None, False, StopStep.DRAIN),
            (draining, FleetHealth(), None, False, StopStep.WAIT),
            (draining, FleetHealth(), known(1), False, StopStep.WAIT),
            (draining, FleetHealth(), known(0, 2499), False, StopStep.WAIT),
            (draining, FleetHealth(), known(0), False, StopStep.STOP),
            (draining, failed, known(0), False, StopStep.RETURN),
            (stopped, FleetHealth(), known(0), False, StopStep.WAIT),
            (stopped, FleetHealth(), None, True, StopStep.RETURN),
        ]
        for number, (
            configuration,
            health,
            evidence,
            is_maintenance_done,
            step,
        ) in enumerate(cases):
            with self.subTest(number=number):
                advice = _budgets.planned_stop_step(
                    configuration, health, 'h10', evidence, is_maintenance_done
                )
                self.assertEqual(advice.unwrap().step, step)
        self.assertIsInstance(
            _budgets.planned_stop_step(BASE, failed, 'h10', None, False), Err
        )

    def test_plan_that_is_not_running_waits(self):
        """Guards against a paused or finished plan that stops further hosts."""
        for state in (PlanState.PROPOSED, PlanState.PAUSED, PlanState.FINISHED):
            plan = MaintenancePlan(hosts=HOST_IDS, state=state)
            wave = _budgets.next_wave(plan, BASE, FleetHealth())
            self.assertEqual(wave.host_ids, ())
        returned = _budgets.return_host(
            replace(
                BASE, maintenance_plans_by_id={'plan': MaintenancePlan(hosts=['h1'])}
            ),
            'h1',
            'plan',
        )
        finished = returned.maintenance_plans_by_id['plan']
        self.assertEqual((finished.done, finished.state), (['h1'], PlanState.FINISHED))


HEALTHY = FleetHealth()


class ZoneExitTest(unittest.TestCase):
    """Guards against a zone exit or planned stops that exceed a budget.

    The twelve hosts belong to `z0` and `z1` in turn. Pool `p0` has eight of them.
    """

    def out(self, configuration, health=HEALTHY, force=False):
        """Returns the outcome of an operator's edit that takes `z0` out of service."""
        patched_decisions = replace(
            decisions([]),
            may_take_zone_out=lambda configuration, zone_id: _zones.check_exit(
                configuration, health, zone_id
            ),
        )
        edit = Edit(kind=EditKind.ZONE_OUT, availability_zone='z0', force=force)
        return apply_edit(configuration, edit, 'ana', 0, patched_decisions)

    def test_exit_counts_hosts_unavailable_for_any_reason(self):
        """Guards against an exit that is accepted because some hosts do not count."""
        base = fleet(HOSTS, (4, 2))
        moving = HostMove(from_pool='p0', to_pool='p1', phase='draining', from_epoch=0)
        draining = _budgets.with_host_state(base, 'h1', HostState.DRAINING)
        zones = base.availability_zones_by_id
        other_out = replace(zones['z1'], state=ZoneState.OUT_OF_SERVICE)
        cases = [
            ('fits', base, HEALTHY, None),
            ('counted once', base, FleetHealth(failed_hosts={'h0', 'h2'}), None),
            ('failed', base, FleetHealth(failed_hosts={'h1'}), 5),
            ('ejected', base, FleetHealth(ejected_hosts={'h1'}), 5),
            ('leaving', base, FleetHealth(leaving_hosts={'h1'}), 5),
            ('draining', draining, HEALTHY, 5),
            ('moving', replace(base, moves_by_host={'h1': moving}), HEALTHY, 5),
            (
                'other zone',
                replace(base, availability_zones_by_id=zones | {'z1': other_out}),
                HEALTHY,
                8,
            ),
            ('budget', fleet(HOSTS, (3, 2)), HEALTHY, 4),
        ]
        for name, configuration, health, count in cases:
            with self.subTest(name):
                outcome = self.out(configuration, health)
                forced = self.out(configuration, health, force=True).unwrap()
                state = forced.availability_zones_by_id['z0'].state
                self.assertEqual(state, ZoneState.OUT_OF_SERVICE)
                # A repeated exit changes nothing and needs no force.
                self.assertEqual(self.out(forced, health).unwrap(), forced)
                if count is None:
                    self.assertEqual(outcome.unwrap(), forced)
                    continue
                self.assertIn(f"'s0' {count} of 8", outcome.err_value.message)

    def test_planned_stops_wait_after_an_exit(self):
        """Guards against a wave, drain or move that ignores a zone out of service."""
        base = fleet(HOSTS, (4, 2))
        plan = MaintenancePlan(hosts=['h1', 'h9'], state=PlanState.RUNNING)
        draining = _budgets.with_host_state(base, 'h3', HostState.DRAINING)
        after = self.out(base).unwrap()
        late = self.out(draining, force=True).unwrap()
        self.assertEqual(
            set(_budgets.next_wave(plan, base, HEALTHY).host_ids), {'h1', 'h9'}
        )
        wave = _budgets.next_wave(plan, after, HEALTHY)
        self.assertEqual(wave.host_ids, ())
        self.assertEqual({each.service_id for each in wave.held_back}, {'s0', 's1'})
        for host_id in ('h1', 'h9'):
            self.assertIsInstance(_budgets.may_stop(base, HEALTHY, host_id), Ok)
            self.assertIsInstance(_budgets.may_stop(after, HEALTHY, host_id), Err)
        advice = _budgets.planned_stop_step(late, HEALTHY, 'h3', None, False)
        self.assertEqual(advice.unwrap().step, StopStep.RETURN)
