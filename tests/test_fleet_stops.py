"""Tests guarantee 10 on a running fleet: planned stops interrupt no request."""

import asyncio
import json
from collections.abc import Awaitable, Callable

from dandelionknot.clock import now_ms
from dandelionknot.entry import RELEASE_TIMEOUT_MS
from dandelionknot.messages import ListedHostState
from dandelionknot.operators import ChangeOutcome, EditKind
from standins.fleet import FleetSettings, LocalFleet, start_fleet
from standins.load import Load, start_load
from standins.waiting import wait_until
from tests.virtual import VirtualTimeTestCase

HOST = 'zone-a-host-0'
ENTRY = 'zone-a-entry-0'
OTHER_ENTRY = 'zone-b-entry-0'
LIST_LAG_MS = 500
# From "a few seconds" after the list shows the host as leaving, no task may start.
LEAVING_BOUND_MS = LIST_LAG_MS + 3000
OBSERVED_MS = 2000
TIMEOUT_S = 20


class PlannedStopTest(VirtualTimeTestCase):
    fleet: LocalFleet
    loads: list[Load]

    async def asyncSetUp(self):
        self.fleet = await start_fleet(FleetSettings.with_short_bounds())
        self.addAsyncCleanup(self.fleet.stop)
        self.loads = [
            start_load(self.fleet, run_ms=run_ms, idempotent=idempotent)
            for run_ms, idempotent in ((20, True), (300, True), (60, False))
        ]
        for load in self.loads:
            self.addAsyncCleanup(load.stop)
            for member_id in self.fleet.entries_by_id:
                await load.wait_for_answers(member_id, TIMEOUT_S)

    def host_starts_after(self, since_ms: int) -> int:
        starts = self.fleet.backends_by_host[HOST].state.starts
        return sum(1 for each in starts if each.at_ms > since_ms)

    def count_running(self, run_ms: int) -> int:
        """Counts the running tasks whose ordered run time is `run_ms`."""
        return sum(
            json.loads(task.order.payload)['run_ms'] == run_ms
            for backend in self.fleet.backends_by_host.values()
            for task in backend.state.running()
        )

    def assert_complete_results(
        self, since_ms: int, until_ms: int, member_ids: list[str]
    ):
        """Checks that every request to these members in a time span was answered."""
        for load in self.loads:
            for each in load.sent_between(since_ms, until_ms):
                if each.member_id in member_ids:
                    self.assertTrue(each.is_answered, each.response)

    def assert_run_states_correct(self):
        """Checks the reported run states against the runs on the backend servers."""
        for load in self.loads:
            for each in load.exchanges:
                runs = self.fleet.count_starts(each.request_id)
                run_state = each.response.body['run_state']
                self.assertEqual(run_state == 'ran', each.is_answered, each.response)
                self.assertLessEqual(runs, 1)
                if run_state != 'unknown':
                    self.assertEqual(
                        runs, 1 if run_state == 'ran' else 0, each.response
                    )

    async def take_host_out(self, stop: Callable[[], Awaitable[int]]):
        """Stops a host; `stop` returns the time after which no task may start on it."""
        bound_ms = await stop()
        for load in self.loads:
            await load.run_until(bound_ms + OBSERVED_MS)
        self.assertEqual(self.host_starts_after(bound_ms), 0)
        self.assertEqual(self.fleet.backends_by_host[HOST].state.running(), [])
        await asyncio.gather(*(load.stop() for load in self.loads))
        self.assert_complete_results(0, now_ms(), list(self.fleet.entries_by_id))
        self.assert_run_states_correct()

    async def test_host_that_is_leaving(self):
        """Guards against starts on a host that the platform lists as leaving."""

        async def leave() -> int:
            platform = self.fleet.platform.state
            platform.faults.list_lag_ms = LIST_LAG_MS
            left_ms = now_ms()
            platform.set_listed_state(HOST, ListedHostState.LEAVING)
            return left_ms + LEAVING_BOUND_MS

        await self.take_host_out(leave)

    async def test_drain_of_a_backend_server(self):
        """Guards against a drain that aborts a task or lets another one start."""

        async def drain() -> int:
            report = await self.fleet.change(
                OTHER_ENTRY, EditKind.DRAIN_HOST, host_id=HOST
            )
            self.assertEqual(report.outcome, ChangeOutcome.ACCEPTED)
            return now_ms()

        await self.take_host_out(drain)

    async def test_graceful_stop_of_an_entry_host(self):
        """Guards against a graceful stop that loses answers, slices or grants."""
        entry = self.fleet.entries_by_id[ENTRY]
        leaving = entry.state.member_id
        others = [each for each in self.fleet.entries_by_id if each != ENTRY]
        # Runs longer than the stop waits for the handover of slices and grants.
        task = {'text': 'kept', 'run_ms': RELEASE_TIMEOUT_MS + 2000}
        long = asyncio.create_task(
            self.fleet.submit(ENTRY, task=task, deadline_ms=9000)
        )
        await wait_until(lambda: self.count_running(task['run_ms']) == 1, TIMEOUT_S)
        stopping = asyncio.create_task(entry.stop())
        await wait_until(lambda: entry.state.stopping, TIMEOUT_S)
        stopped_ms = now_ms()
        submitted_ids = set(entry.state.requests.by_id)
        for load in self.loads:
            await load.run_until(stopped_ms + 200)
            load.stopped_member_ids.add(ENTRY)  # as the load balancer does
        await stopping
        self.assertEqual((await long).body.get('result'), 'kept')
        self.fleet.entries_by_id.pop(ENTRY)
        state = self.fleet.entries_by_id[OTHER_ENTRY].state

        def has_moved() -> bool:
            view = state.view
            assert view is not None and view.slices is not None
            granted = [
                record.grants_by_member.get(leaving, 0)
                for record in view.grants_by_team.values()
            ]
            has_slices = leaving in view.slices.owners
            return not has_slices and not any(granted) and leaving not in view.alive_ids

        await wait_until(has_moved, TIMEOUT_S)
        moved_ms = now_ms()
        await self.loads[0].run_until(moved_ms + OBSERVED_MS)
        await asyncio.gather(*(load.stop() for load in self.loads))
        self.assert_run_states_correct()
        exchanges = [each for load in self.loads for each in load.exchanges]
        submitted = [each for each in exchanges if each.request_id in submitted_ids]
        self.assertTrue(submitted and all(each.is_answered for each in submitted))
        self.assert_complete_results(0, now_ms(), others)
