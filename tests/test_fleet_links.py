"""Tests forwarded requests on a running fleet whose peer links fail."""

import asyncio
from collections.abc import Callable

from dandelionknot import decisions
from dandelionknot.clock import now_ms
from standins.fleet import FleetSettings, LocalFleet, new_request_id, start_fleet
from standins.load import Load, start_load
from standins.relay import Relay
from standins.waiting import wait_until
from tests.virtual import VirtualTimeTestCase

ASKED = 'zone-a-entry-0'
OWNER = 'zone-b-entry-0'
FAULTS = 4
PAUSE_MS = 700
TIMEOUT_S = 20


class LinkFaultTest(VirtualTimeTestCase):
    fleet: LocalFleet
    load: Load

    async def asyncSetUp(self):
        self.fleet = await start_fleet(FleetSettings.with_short_bounds())
        self.addAsyncCleanup(self.fleet.stop)
        self.load = start_load(
            self.fleet, run_ms=300, deadline_ms=4000, idempotent=False
        )
        self.addAsyncCleanup(self.load.stop)
        for member_id in self.fleet.entries_by_id:
            await self.load.wait_for_answers(member_id, TIMEOUT_S)

    async def fail_links(self, fail: Callable[[Relay], None]) -> None:
        """Breaks all peer links a few times; checks that every request is answered."""
        since_ms = now_ms()
        for _ in range(FAULTS):
            for relay in self.fleet.relays_by_id.values():
                fail(relay)
            await self.load.run_until(now_ms() + PAUSE_MS)
        await self.load.stop()
        sent = self.load.sent_between(since_ms, now_ms())
        self.assertTrue(sent)
        for each in sent:
            self.assertTrue(each.is_answered, each.response)
            self.assertEqual(self.fleet.count_starts(each.request_id), 1)

    async def test_links_that_close(self):
        """Guards against losing an answer when the connection to the owner closes."""

        def close(relay: Relay) -> None:
            relay.cut(set(self.fleet.source_ip(zone) for zone in self.fleet.plan.zones))
            relay.cut(set())

        await self.fail_links(close)

    async def test_links_that_go_silent(self):
        """Guards against waiting on a connection that no longer carries data."""
        await self.fail_links(lambda relay: relay.freeze_open())

    async def test_stop_while_a_request_waits_for_its_owner(self):
        """Guards against a graceful stop that refuses a request accepted before it."""
        state = self.fleet.entries_by_id[ASKED].state
        member_id = self.fleet.entries_by_id[OWNER].state.member_id
        request_id = new_request_id()
        while decisions.slices.owner_of(state.view.slices, request_id) != member_id:
            request_id = new_request_id()
        asked = asyncio.create_task(
            self.fleet.submit(
                ASKED,
                request_id=request_id,
                idempotent=False,
                task={'text': 'kept', 'run_ms': 1000},
            )
        )
        await wait_until(lambda: self.fleet.count_starts(request_id) == 1, TIMEOUT_S)
        stopping = asyncio.create_task(self.fleet.entries_by_id[ASKED].stop())
        await wait_until(lambda: state.stopping, TIMEOUT_S)
        self.fleet.relays_by_id[OWNER].freeze_open()
        self.assertEqual((await asked).body.get('result'), 'kept')
        self.load.stopped_member_ids.add(ASKED)
        await stopping
        self.assertEqual(self.fleet.count_starts(request_id), 1)
