"""Guards the use of slots on backend servers that several entry hosts share."""

import asyncio

from dandelionknot.clock import now_ms, seconds
from dandelionknot.entry._fleet_view import handle_host_usage
from dandelionknot.messages import HostUsage, UsageReport
from standins.fleet import FleetSettings, start_fleet
from standins.waiting import wait_until
from tests.virtual import VirtualTimeTestCase

ZONES = ('zone-a', 'zone-b')
ENTRY, OTHER_ENTRY = 'zone-a-entry-0', 'zone-b-entry-0'
SLOTS = 2
OTHER_RUN_MS = 1500
TIMEOUT_S = 10


class SharedSlotsTest(VirtualTimeTestCase):
    async def asyncSetUp(self):
        fleet_settings = FleetSettings(zones=ZONES, hosts_per_zone=1, slots=SLOTS)
        self.fleet = await start_fleet(fleet_settings)
        self.addAsyncCleanup(self.fleet.stop)

    async def test_old_report_of_a_full_host(self):
        """Guards against an old usage report after which a host is never tried again.

        Usage is reported only when a start token is missing, so the last report may
        be from a moment at which other entry hosts had filled the host.
        """
        state = self.fleet.entries_by_id[ENTRY].state
        report = UsageReport(running=SLOTS, slots=SLOTS, draining=False)
        for host_id in self.fleet.backends_by_host:
            message = HostUsage(host_id=host_id, asked_ms=now_ms(), usage=report)
            handle_host_usage(state, message)
        response = await self.fleet.submit(ENTRY)
        self.assertEqual(response.body.get('result'), 'answer')

    async def test_full_host_is_not_asked_all_the_time(self):
        """Guards against endless start orders to hosts that others have filled."""
        task = {'text': 'answer', 'run_ms': OTHER_RUN_MS}
        others = [
            asyncio.create_task(self.fleet.submit(OTHER_ENTRY, task=task))
            for _ in range(SLOTS * len(ZONES))
        ]
        await wait_until(lambda: len(self.fleet.starts()) == len(others), TIMEOUT_S)
        began_ms = now_ms()
        response = await self.fleet.submit(ENTRY, deadline_ms=TIMEOUT_S * 1000)
        self.assertEqual(response.body.get('result'), 'answer')
        # Each of the two hosts may get one start order per BUSY_EXCLUSION_MS, so
        # five per second. Four more are allowed at the beginning.
        waited_s = seconds(now_ms() - began_ms)
        self.assertLessEqual(response.body['attempts'], 4 + 2 * 5 * waited_s)
        for other in others:
            self.assertEqual((await other).status, 200)
