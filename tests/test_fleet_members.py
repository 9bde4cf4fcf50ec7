"""Guards the simultaneous replacement of every entry host of a fleet."""

from dandelionknot.operators import ChangeOutcome, EditKind
from standins.fleet import FleetSettings, LocalFleet, new_request_id, start_fleet
from standins.waiting import wait_until
from tests.virtual import VirtualTimeTestCase

ZONES = ('zone-a', 'zone-b', 'zone-c')
NEW_MEMBERS = tuple(f'{zone}-new' for zone in ZONES)
TIMEOUT_S = 40


class ReplacementTest(VirtualTimeTestCase):
    fleet: LocalFleet

    async def asyncSetUp(self):
        self.fleet = await start_fleet(FleetSettings.with_short_bounds())
        self.addAsyncCleanup(self.fleet.stop)

    async def replace_all(self) -> list[str]:
        """Kills every entry host, starts new ones, and returns the old members."""
        old = [entry.state.member_id for entry in self.fleet.entries_by_id.values()]
        for member_id in list(self.fleet.entries_by_id):
            await self.fleet.kill(member_id)
        for zone, member_id in zip(ZONES, NEW_MEMBERS, strict=True):
            await self.fleet.start_entry(member_id, zone)
        await self.fleet.wait_until_ready()
        return old

    async def test_new_members_take_over_after_operators_declare_the_old_gone(self):
        """Guards against slices and grants that stay with members declared gone.

        Changes must also be accepted again, and a request that an old member ran must
        not run a second time.
        """
        first_id = new_request_id()
        first = await self.fleet.submit(
            'zone-a-entry-0', request_id=first_id, idempotent=False
        )
        self.assertEqual(first.body.get('result'), 'answer')
        old = await self.replace_all()
        served = await self.fleet.submit(NEW_MEMBERS[0])
        self.assertEqual(served.body.get('result'), 'answer', served.body)
        for member_id in old:
            report = await self.fleet.change(
                NEW_MEMBERS[0], EditKind.MEMBER_GONE, member_id=member_id
            )
            self.assertIn(
                report.outcome, (ChangeOutcome.ACCEPTED, ChangeOutcome.PENDING)
            )
        self.assertEqual(report.outcome, ChangeOutcome.ACCEPTED)
        state = self.fleet.entries_by_id[NEW_MEMBERS[1]].state

        def is_taken_over() -> bool:
            names = {name.split('.')[0] for name in state.view.slices.owners}
            records = {name.split('.')[0] for name in state.members_by_id}
            holders = {
                name.split('.')[0]
                for record in state.view.grants_by_team.values()
                for name in record.grants_by_member
            }
            return (names | records | holders) <= set(NEW_MEMBERS)

        await wait_until(is_taken_over, TIMEOUT_S)
        again = await self.fleet.submit(
            NEW_MEMBERS[2], request_id=first_id, idempotent=False
        )
        self.assertIn(again.body['run_state'], ('ran', 'unknown'))
        self.assertEqual(self.fleet.count_starts(first_id), 1)
