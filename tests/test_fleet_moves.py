"""Guards host moves and maintenance plans on a running fleet.

A host serves one pool at a time, and planned stops stay within the budgets.
"""

import asyncio
import dataclasses

from dandelionknot.clock import now_ms
from dandelionknot.configuration import HostState, PlanState, Pool, Service
from dandelionknot.operators import ChangeOutcome, EditKind
from standins.fleet import FleetSettings, LocalFleet, start_fleet
from standins.load import Load, start_load
from standins.waiting import wait_until
from tests.virtual import VirtualTimeTestCase

ENTRY = 'zone-a-entry-0'
OTHER_ENTRY = 'zone-b-entry-0'
HOST = 'zone-a-host-0'
MAX_UNAVAILABLE = 2
TIMEOUT_S = 40
CUT_MS = 3000


class MoveTest(VirtualTimeTestCase):
    fleet: LocalFleet
    load: Load

    async def asyncSetUp(self):
        self.fleet = await start_fleet(FleetSettings.with_short_bounds())
        self.addAsyncCleanup(self.fleet.stop)
        configuration = self.fleet.configuration
        services = configuration.services_by_id
        quotes = dataclasses.replace(
            services['quotes'], max_unavailable=MAX_UNAVAILABLE
        )
        self.fleet.put_configuration(
            dataclasses.replace(
                configuration,
                version=2,
                pools_by_id={'quotes': Pool(), 'packs': Pool()},
                services_by_id={
                    'quotes': quotes,
                    'packs': Service(pool='packs', max_unavailable=9),
                    'bulletin': services['bulletin'],
                },
            )
        )
        await self.wait_for_version(2)
        self.load = start_load(self.fleet, run_ms=30)
        self.addAsyncCleanup(self.load.stop)
        for member_id in self.fleet.entries_by_id:
            await self.load.wait_for_answers(member_id, TIMEOUT_S)

    async def wait_for_version(self, version: int) -> None:
        for entry in self.fleet.entries_by_id.values():
            await wait_until(
                lambda entry=entry: entry.state.configuration.version >= version,
                TIMEOUT_S,
            )

    def in_force(self, member_id: str = ENTRY):
        return self.fleet.entries_by_id[member_id].state.configuration

    def services_started_on(self, host_id: str) -> list[str]:
        starts = self.fleet.backends_by_host[host_id].state.starts
        return [start.service for start in starts]

    def assert_all_answered(self) -> None:
        for exchange in self.load.exchanges:
            self.assertTrue(exchange.is_answered, exchange.response)

    async def test_a_moved_host_serves_one_pool_at_a_time(self):
        """Guards against starts for the old pool after a host joined the new one."""
        report = await self.fleet.change(
            ENTRY, EditKind.MOVE_HOST, host_id=HOST, to_pool='packs'
        )
        self.assertEqual(report.outcome, ChangeOutcome.ACCEPTED)
        for member_id in self.fleet.entries_by_id:
            await wait_until(
                lambda member_id=member_id: (
                    self.in_force(member_id).hosts_by_id[HOST].pool == 'packs'
                ),
                TIMEOUT_S,
            )
        host = self.in_force().hosts_by_id[HOST]
        self.assertEqual(host.pool_epoch, 1)
        self.assertEqual(self.in_force().moves_by_host, {})
        response = await self.fleet.submit(OTHER_ENTRY, service='packs')
        self.assertEqual(response.body.get('host_id'), HOST, response.body)
        services = self.services_started_on(HOST)
        first_of_new_pool = services.index('packs')
        self.assertNotIn('quotes', services[first_of_new_pool:])
        await self.load.stop()
        self.assert_all_answered()

    async def test_a_move_waits_for_a_cut_off_zone(self):
        """Guards against a cut-off member that starts requests of the old pool."""
        host_id = 'zone-c-host-0'
        member_id = 'zone-c-entry-0'
        open_load = start_load(self.fleet, [member_id], run_ms=30, service='bulletin')
        self.addAsyncCleanup(open_load.stop)
        await open_load.wait_for_answers(member_id, TIMEOUT_S)
        self.fleet.cut_zone('zone-c')
        change_task = asyncio.create_task(
            self.fleet.change(
                ENTRY, EditKind.MOVE_HOST, host_id=host_id, to_pool='packs'
            )
        )
        backend = self.fleet.backends_by_host[host_id].state
        asked_ms = now_ms()
        assigned_ms = 0

        def is_assigned() -> bool:
            nonlocal assigned_ms
            if now_ms() - asked_ms > CUT_MS:
                self.fleet.heal()
            if self.in_force().hosts_by_id[host_id].pool == 'packs':
                assigned_ms = assigned_ms or now_ms()
            return bool(assigned_ms) and now_ms() - assigned_ms > CUT_MS

        await wait_until(is_assigned, TIMEOUT_S)
        late = [
            start
            for start in backend.starts
            if start.service != 'packs' and start.at_ms > assigned_ms
        ]
        self.assertEqual(late, [])
        outcome = (await change_task).outcome
        self.assertIn(outcome, (ChangeOutcome.ACCEPTED, ChangeOutcome.PENDING))
        self.assertEqual(self.in_force().hosts_by_id[host_id].pool_epoch, 1)

    async def test_two_operators_move_one_host(self):
        """Guards against a drain and a move of the same version that both succeed."""
        version = self.in_force().version
        first = await self.fleet.change(
            ENTRY,
            EditKind.MOVE_HOST,
            host_id=HOST,
            to_pool='packs',
            expected_version=version,
        )
        second = await self.fleet.change(
            OTHER_ENTRY,
            EditKind.DRAIN_HOST,
            host_id=HOST,
            expected_version=version,
        )
        self.assertEqual(first.outcome, ChangeOutcome.ACCEPTED)
        self.assertEqual(second.outcome, ChangeOutcome.CONFLICT)

    async def test_a_plan_maintains_every_host_within_the_budget(self):
        """Guards against a plan that stops too many hosts or interrupts requests."""
        hosts = sorted(self.in_force().hosts_by_id)
        await self.fleet.change(
            ENTRY, EditKind.PLAN_CREATE, plan_id='autumn', hosts=hosts
        )
        await self.fleet.change(ENTRY, EditKind.PLAN_RESUME, plan_id='autumn')
        max_stopped = 0

        def is_finished() -> bool:
            nonlocal max_stopped
            configuration = self.in_force()
            stopped = [
                host
                for host in configuration.hosts_by_id.values()
                if host.state is not HostState.ACTIVE
            ]
            max_stopped = max(max_stopped, len(stopped))
            plan = configuration.maintenance_plans_by_id['autumn']
            return plan.state is PlanState.FINISHED

        await wait_until(is_finished, TIMEOUT_S)
        self.assertLessEqual(max_stopped, MAX_UNAVAILABLE)
        self.assertGreater(max_stopped, 0)
        for host_id in hosts:
            lifetimes = self.fleet.backends_by_host[host_id].state.lifetime
            self.assertEqual(lifetimes, 2, host_id)
        await self.load.stop()
        self.assert_all_answered()
