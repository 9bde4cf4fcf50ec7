"""Tests guarantee 9 on a running fleet: accepted asynchronous requests are not lost."""

import asyncio

from dandelionknot.entry._ownership import owner_of
from dandelionknot.messages import ErrorCode
from dandelionknot.operators import EditKind
from standins.fleet import (
    FleetSettings,
    LocalFleet,
    Response,
    new_request_id,
    start_fleet,
)
from standins.waiting import wait_until
from tests.virtual import VirtualTimeTestCase

ZONES = ('zone-a', 'zone-b', 'zone-c')
OLD_MEMBERS = tuple(f'{zone}-entry-0' for zone in ZONES)
NEW_MEMBERS = tuple(f'{zone}-new' for zone in ZONES)
REQUESTS = 30
RUN_MS = 1000  # shorter than the task lease of the short bounds
LEAST_WAITING = 6
DEADLINE_MS = 60_000
TIMEOUT_S = 40


class WorkTest(VirtualTimeTestCase):
    fleet: LocalFleet

    async def asyncSetUp(self):
        fleet_settings = FleetSettings.with_short_bounds(hosts_per_zone=1, slots=2)
        self.fleet = await start_fleet(fleet_settings)
        self.addAsyncCleanup(self.fleet.stop)

    async def submit_all(self) -> dict[str, bool]:
        """Submits the requests; returns by request id whether each is idempotent."""
        idempotent_by_id = {
            request_id: number % 2 == 0
            for number, request_id in enumerate(self.new_request_ids())
        }
        calls = [
            self.submit(OLD_MEMBERS[number % 3], request_id, idempotent, run_ms=RUN_MS)
            for number, (request_id, idempotent) in enumerate(idempotent_by_id.items())
        ]
        responses = await asyncio.gather(*calls)
        self.assertEqual({each.status for each in responses}, {202}, responses)
        return idempotent_by_id

    def new_request_ids(self) -> list[str]:
        """Returns ids of which every entry host owns the same number.

        With random ids, one entry host may own so few that all of them have started
        before the last request is accepted.
        """
        state = self.fleet.entries_by_id[OLD_MEMBERS[0]].state
        ids_by_owner: dict[str | None, list[str]] = {
            entry.state.member_id: [] for entry in self.fleet.entries_by_id.values()
        }
        share = REQUESTS // len(OLD_MEMBERS)
        while any(len(ids) < share for ids in ids_by_owner.values()):
            request_id = new_request_id()
            ids = ids_by_owner[owner_of(state, request_id)]
            if len(ids) < share:
                ids.append(request_id)
        return [ids[n] for n in range(share) for ids in ids_by_owner.values()]

    async def submit(
        self, member_id: str, request_id: str, idempotent: bool, run_ms: int = 0
    ) -> Response:
        return await self.fleet.submit(
            member_id,
            request_id=request_id,
            mode='async',
            idempotent=idempotent,
            deadline_ms=DEADLINE_MS,
            task={'text': request_id, 'run_ms': run_ms},
        )

    async def fetch(self, member_id: str, request_id: str) -> Response:
        key = self.fleet.keys_by_team['desk']
        path = f'/v1/requests/{request_id}?wait_ms=500'
        return await self.fleet.call(member_id, 'GET', path, key)

    async def assert_all_end(self, member_id: str, idempotent_by_id: dict[str, bool]):
        """Waits for the answer of every request; non-idempotent ones must run once."""
        answers: dict[str, Response] = {}

        async def all_have_answers() -> bool:
            for request_id in idempotent_by_id.keys() - answers.keys():
                response = await self.fetch(member_id, request_id)
                if response.body.get('result') is not None:
                    answers[request_id] = response
            return answers.keys() == idempotent_by_id.keys()

        await wait_until(all_have_answers, TIMEOUT_S)
        for request_id, response in answers.items():
            self.assertEqual(response.body['result'], request_id)
            runs = self.fleet.count_starts(request_id)
            self.assertGreaterEqual(runs, 1)
            if not idempotent_by_id[request_id]:
                self.assertEqual(runs, 1, response)

    async def replace_all(self) -> None:
        """Kills every entry host, starts new ones and declares the old ones gone."""
        old = [entry.state.member_id for entry in self.fleet.entries_by_id.values()]
        for member_id in list(self.fleet.entries_by_id):
            await self.fleet.kill(member_id)
        for zone, member_id in zip(ZONES, NEW_MEMBERS, strict=True):
            await self.fleet.start_entry(member_id, zone)
        await self.fleet.wait_until_ready()
        for member_id in old:
            await self.fleet.change(
                NEW_MEMBERS[0], EditKind.MEMBER_GONE, member_id=member_id
            )

    async def test_work_survives_the_replacement_of_every_entry_host(self):
        """Guards against accepted requests that a crash loses or runs twice."""
        idempotent_by_id = await self.submit_all()
        waiting = [
            each for each in idempotent_by_id if not self.fleet.count_starts(each)
        ]
        self.assertGreater(len(waiting), LEAST_WAITING)
        await self.replace_all()
        await self.assert_all_end(NEW_MEMBERS[1], idempotent_by_id)

    async def test_graceful_stop_hands_waiting_requests_over(self):
        """Guards against a stop that loses accepted requests or waits for them all."""
        idempotent_by_id = await self.submit_all()
        entry = self.fleet.entries_by_id.pop(OLD_MEMBERS[0])
        waiting = [
            each
            for each in entry.state.work.unfinished_ids
            if not self.fleet.count_starts(each)
        ]
        self.assertTrue(waiting)
        await entry.stop()
        self.assertFalse(entry.state.claims.owned_slices)
        handed_over = set(waiting) - entry.state.requests.by_id.keys()
        self.assertTrue(handed_over, 'the stop waited for all of them')
        await self.assert_all_end(OLD_MEMBERS[1], idempotent_by_id)

    async def test_run_state_is_correct_when_a_request_cannot_be_stored(self):
        """Guards against reporting "accepted" or "not run" wrongly.

        In both cases the answer to the write of the request is lost; in the second,
        the platform is down as well.
        """
        faults, closed_id = self.fleet.platform.state.faults, ''
        for is_down in (False, True):
            with self.subTest(is_down=is_down):
                faults.lost_write_prefix = 'work/'
                faults.lost_write_answers = 1
                faults.down = is_down
                request_id = new_request_id()
                refused = await self.submit(OLD_MEMBERS[0], request_id, False)
                expected = 'unknown' if is_down else 'not_run'
                self.assertEqual(refused.body['code'], ErrorCode.WORK_NOT_KEPT)
                self.assertEqual(refused.body['run_state'], expected, refused)
                self.assertEqual(refused.status, 503)
                faults.down = False
                closed_id = closed_id or request_id
        await self.replace_all()

        async def is_read_back() -> bool:
            response = await self.fetch(NEW_MEMBERS[0], closed_id)
            return response.body.get('phase') == 'refused'

        await wait_until(is_read_back, TIMEOUT_S)
        self.assertEqual(self.fleet.count_starts(closed_id), 0)
