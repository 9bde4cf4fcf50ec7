"""Guards the withdrawal of keys on a running fleet.

No task starts with a withdrawn key once the freshness bound and the start token
validity have passed.
"""

import asyncio

from dandelionknot.clock import now_ms
from dandelionknot.operators import ChangeOutcome, EditKind
from standins.fleet import (
    SHORT_BOUNDS,
    FleetSettings,
    LocalFleet,
    new_request_id,
    start_fleet,
)
from standins.load import Load, start_load
from standins.waiting import wait_until
from tests.virtual import VirtualTimeTestCase

CUT_ZONE = 'zone-a'
CUT_ENTRY = 'zone-a-entry-0'
OTHER_ENTRY = 'zone-b-entry-0'
START_BOUND_MS = SHORT_BOUNDS.freshness_bound_ms + SHORT_BOUNDS.start_token_ms
WITHDRAWAL = {'kind': EditKind.WITHDRAW_KEY, 'team': 'desk', 'key_id': 'key-1'}
OBSERVED_MS = 2000
TIMEOUT_S = 15


def last_start_ms(fleet: LocalFleet, team: str) -> int:
    """Returns when a task of a team last started on any backend server."""
    return max(start.at_ms for start in fleet.starts() if start.team == team)


class WithdrawnKeyTest(VirtualTimeTestCase):
    fleet: LocalFleet
    load: Load

    async def asyncSetUp(self):
        self.fleet = await start_fleet(FleetSettings.with_short_bounds())
        self.addAsyncCleanup(self.fleet.stop)
        self.load = start_load(self.fleet)
        self.addAsyncCleanup(self.load.stop)
        for member_id in self.fleet.entries_by_id:
            await self.load.wait_for_answers(member_id, TIMEOUT_S)

    def assert_all_refused(self, since_ms: int, until_ms: int, member_id: str):
        """Checks that every request sent in an interval was refused and did not run."""
        exchanges = self.load.sent_between(since_ms, until_ms, member_id)
        self.assertGreater(len(exchanges), 0, member_id)
        for each in exchanges:
            self.assertEqual(each.response.body.get('run_state'), 'not_run')
            self.assertEqual(self.fleet.count_starts(each.request_id), 0)

    async def test_links_up(self):
        """Guards against an entry host that still accepts a withdrawn key."""
        other_team = start_load(self.fleet, team='night')
        self.addAsyncCleanup(other_team.stop)
        withdrawn_ms = now_ms()
        report = await self.fleet.change(OTHER_ENTRY, **WITHDRAWAL)
        accepted_ms = now_ms()
        self.assertEqual(report.outcome, ChangeOutcome.ACCEPTED)
        bound_ms = withdrawn_ms + START_BOUND_MS
        self.assertLessEqual(accepted_ms, bound_ms)
        await self.load.run_until(bound_ms + OBSERVED_MS)
        await asyncio.gather(self.load.stop(), other_team.stop())
        self.assertLessEqual(last_start_ms(self.fleet, 'desk'), bound_ms)
        self.assertLessEqual(last_start_ms(self.fleet, 'desk'), accepted_ms)
        for member_id in self.fleet.entries_by_id:
            self.assert_all_refused(accepted_ms, now_ms(), member_id)
            others_sent = other_team.sent_between(accepted_ms, now_ms(), member_id)
            self.assertTrue(
                others_sent and all(each.is_answered for each in others_sent)
            )

    async def test_zone_cut_off(self):
        """Guards against a cut-off zone that still accepts a withdrawn key.

        Tasks that already run there must still be finished and answered.
        """
        running_id = new_request_id()
        running = asyncio.create_task(
            self.fleet.submit(
                CUT_ENTRY,
                request_id=running_id,
                task={'text': 'kept', 'run_ms': 2000},
            )
        )
        await wait_until(lambda: self.fleet.count_starts(running_id) == 1, TIMEOUT_S)
        self.fleet.cut_zone(CUT_ZONE)
        cut_ms = now_ms()
        report = await self.fleet.change(OTHER_ENTRY, **WITHDRAWAL)
        accepted_ms = now_ms()
        self.assertEqual(report.outcome, ChangeOutcome.ACCEPTED)
        bound_ms = cut_ms + START_BOUND_MS
        await self.load.run_until(max(bound_ms, accepted_ms) + OBSERVED_MS)
        self.assertEqual((await running).body.get('result'), 'kept')
        self.assertLessEqual(last_start_ms(self.fleet, 'desk'), bound_ms)
        self.fleet.heal()
        await wait_until(
            lambda: self.fleet.entries_by_id[CUT_ENTRY].state.was_fresh, TIMEOUT_S
        )
        await self.load.stop()
        self.assertLessEqual(last_start_ms(self.fleet, 'desk'), bound_ms)
        for member_id in self.fleet.entries_by_id:
            self.assert_all_refused(bound_ms, now_ms(), member_id)


class QueuedRequestTest(VirtualTimeTestCase):
    async def test_key_withdrawn_while_the_request_waits(self):
        """Guards against the start of a queued request whose key was withdrawn."""
        fleet_settings = FleetSettings.with_short_bounds(
            zones=('zone-a',), hosts_per_zone=1, slots=1
        )
        fleet = await start_fleet(fleet_settings)
        self.addAsyncCleanup(fleet.stop)
        first_id, waiting_id = new_request_id(), new_request_id()
        task = {'text': 'first', 'run_ms': 2000}
        first = asyncio.create_task(
            fleet.submit(CUT_ENTRY, request_id=first_id, team='night', task=task)
        )
        await wait_until(lambda: fleet.count_starts(first_id) == 1, TIMEOUT_S)
        waiting = asyncio.create_task(fleet.submit(CUT_ENTRY, request_id=waiting_id))
        requests = fleet.entries_by_id[CUT_ENTRY].state.requests.by_id
        await wait_until(lambda: waiting_id in requests, TIMEOUT_S)
        report = await fleet.change(CUT_ENTRY, **WITHDRAWAL)
        self.assertEqual(report.outcome, ChangeOutcome.ACCEPTED)
        refused = (await waiting).body
        self.assertEqual(
            (refused.get('code'), refused['run_state']), ('key_not_valid', 'not_run')
        )
        self.assertEqual(fleet.count_starts(waiting_id), 0)
        self.assertEqual((await first).body.get('result'), 'first')


class PlatformOutageTest(VirtualTimeTestCase):
    async def test_outage_with_a_killed_member(self):
        """Guards against a platform outage that stops the whole fleet.

        Members must stop starting tasks, however, while another member does not answer
        that may have read a change before the outage.
        """
        for name in ('down', 'silent'):
            with self.subTest(name):
                await self.run_outage(name)

    async def run_outage(self, name: str):
        fleet = await start_fleet(FleetSettings.with_short_bounds())
        load = start_load(fleet, [CUT_ENTRY, OTHER_ENTRY], deadline_ms=1000)
        try:
            await self.check_outage(fleet, load, name)
        finally:
            await load.stop()
            await fleet.stop()

    async def check_outage(self, fleet: LocalFleet, load: Load, name: str):
        setattr(fleet.platform_relay.faults, name, True)
        if name == 'down':
            fleet.platform.state.faults.down = True
        outage_ms = now_ms()
        await load.run_until(outage_ms + 3 * SHORT_BOUNDS.freshness_bound_ms)
        for member_id in (CUT_ENTRY, OTHER_ENTRY):
            await load.wait_for_answers(member_id, TIMEOUT_S)
        ended = load.sent_between(outage_ms, now_ms())
        self.assertEqual([each for each in ended if not each.is_answered], [])
        await fleet.kill('zone-c-entry-0')
        bound_ms = now_ms() + START_BOUND_MS
        await load.run_until(bound_ms + OBSERVED_MS)
        self.assertLessEqual(last_start_ms(fleet, 'desk'), bound_ms)
        refused = load.sent_between(bound_ms, now_ms())
        self.assertEqual(
            {each.response.body['run_state'] for each in refused}, {'not_run'}
        )
        setattr(fleet.platform_relay.faults, name, False)
        fleet.platform.state.faults.down = False
        for member_id in (CUT_ENTRY, OTHER_ENTRY):
            await load.wait_for_answers(member_id, TIMEOUT_S)
