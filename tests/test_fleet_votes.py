"""Guards votes on the voters of a running fleet, through the operators' HTTP API."""

from dataclasses import replace

from dandelionknot.configuration import Cooperative
from dandelionknot.operators import ChangeOutcome, EditKind
from standins.fleet import FleetSettings, LocalFleet, start_fleet
from tests.virtual import VirtualTimeTestCase

FIRST = 'zone-a-entry-0'
SECOND = 'zone-b-entry-0'
BOTH = {'shared': Cooperative(voters=['operator-1', 'operator-2'])}
ONE = {'shared': Cooperative(voters=['operator-2'])}


class VotersTest(VirtualTimeTestCase):
    fleet: LocalFleet

    async def asyncSetUp(self):
        fleet_settings = FleetSettings.with_short_bounds(zones=('zone-a', 'zone-b'))
        self.fleet = await start_fleet(fleet_settings)
        self.addAsyncCleanup(self.fleet.stop)
        report = await self.apply(BOTH)
        self.assertEqual(report.outcome, ChangeOutcome.ACCEPTED, report.message)

    async def apply(self, voters):
        offered = replace(self.fleet.configuration, cooperatives_by_id=voters)
        return await self.fleet.change(
            FIRST, EditKind.APPLY_CONFIGURATION, configuration=offered
        )

    def voters(self):
        """Returns the voters in force at each entry host."""
        return [
            entry.state.configuration.cooperatives_by_id['shared'].voters
            for entry in self.fleet.entries_by_id.values()
        ]

    async def test_only_a_vote_changes_the_voters(self):
        """Guards against a change of voters by a file or by a single voter.

        After the vote, proposals of the former voter must be refused.
        """
        report = await self.apply(ONE)
        self.assertEqual(report.outcome, ChangeOutcome.REFUSED)
        self.assertIn('cooperatives_by_id.shared.voters', report.message)
        proposal = {'proposal_id': 'only-two', 'cooperatives_by_id': ONE}
        report = await self.fleet.change(FIRST, EditKind.PROPOSE_VOTERS, **proposal)
        self.assertEqual(report.outcome, ChangeOutcome.ACCEPTED, report.message)
        # A second vote with the same operator token does not count.
        vote = {'kind': EditKind.VOTE, 'proposal_id': 'only-two'}
        report = await self.fleet.change(SECOND, **vote)
        self.assertEqual(report.outcome, ChangeOutcome.ACCEPTED)
        self.assertEqual(self.voters(), [BOTH['shared'].voters] * 2)
        report = await self.fleet.change(SECOND, **vote, operator_id='operator-2')
        self.assertEqual(report.outcome, ChangeOutcome.ACCEPTED, report.message)
        change = 'voters [operator-1, operator-2] -> [operator-2]'
        self.assertIn(f'co-operative shared: {change}', report.changes)
        self.assertEqual(self.voters(), [ONE['shared'].voters] * 2)
        self.assertEqual((await self.apply(BOTH)).outcome, ChangeOutcome.REFUSED)
        self.assertEqual((await self.apply(ONE)).outcome, ChangeOutcome.ACCEPTED)
        limit = {'proposal_id': 'more', 'team': 'desk', 'new_limit': 30}
        refused = await self.fleet.change(FIRST, EditKind.PROPOSE_LIMIT, **limit)
        self.assertEqual(refused.outcome, ChangeOutcome.REFUSED)
        self.assertIn("'operator-1' votes for no co-operative", refused.message)
