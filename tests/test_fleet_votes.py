"""Guards the vote on who votes on a running fleet, through the operator API."""

import unittest
from dataclasses import replace

from dandelionknot.configuration import Cooperative
from dandelionknot.operators import ChangeOutcome, EditKind
from standins.fleet import Fleet, FleetPlan, start_fleet
from standins.waiting import wait_until

FIRST = 'zone-a-entry-0'
SECOND = 'zone-b-entry-0'
TIMEOUT_S = 15
BOTH = {'shared': Cooperative(voters=['operator-1', 'operator-2'])}
ONE = {'shared': Cooperative(voters=['operator-2'])}


class VotersTest(unittest.IsolatedAsyncioTestCase):
    fleet: Fleet

    async def asyncSetUp(self):
        plan = FleetPlan.with_short_bounds(zones=('zone-a', 'zone-b'))
        self.fleet = await start_fleet(plan)
        self.addAsyncCleanup(self.fleet.stop)
        report = await self.apply(BOTH)
        self.assertEqual(report.outcome, ChangeOutcome.ACCEPTED, report.message)

    async def apply(self, voters):
        offered = replace(self.fleet.configuration, cooperatives_by_id=voters)
        return await self.fleet.change(
            FIRST, EditKind.APPLY_CONFIGURATION, configuration=offered
        )

    async def propose(self):
        report = await self.fleet.change(
            FIRST,
            EditKind.PROPOSE_VOTERS,
            proposal_id='only-two',
            cooperatives_by_id=ONE,
        )
        self.assertEqual(report.outcome, ChangeOutcome.ACCEPTED, report.message)

    async def vote(self, operator_id):
        return await self.fleet.change(
            SECOND, EditKind.VOTE, proposal_id='only-two', operator_id=operator_id
        )

    def voters(self):
        """Returns the voters in force at each entry host."""
        return [
            entry.state.configuration.cooperatives_by_id['shared'].voters
            for entry in self.fleet.entries_by_id.values()
        ]

    async def test_files_and_a_lone_vote_change_nothing(self):
        """Guards against voters that change by a file or by the proposer alone."""
        report = await self.apply(ONE)
        self.assertEqual(report.outcome, ChangeOutcome.REFUSED)
        self.assertIn('cooperatives_by_id.shared.voters', report.message)
        await self.propose()
        # A second vote with the same token is no second voter.
        self.assertEqual(
            (await self.vote('operator-1')).outcome, ChangeOutcome.ACCEPTED
        )
        self.assertEqual(self.voters(), [BOTH['shared'].voters] * 2)

    async def test_accepted_proposal(self):
        """Guards against a vote of all that leaves the former voters in place."""
        await self.propose()
        report = await self.vote('operator-2')
        self.assertEqual(report.outcome, ChangeOutcome.ACCEPTED, report.message)
        self.assertIn(
            'co-operative shared: voters [operator-1, operator-2] -> [operator-2]',
            report.changes,
        )
        await wait_until(lambda: self.voters() == [ONE['shared'].voters] * 2, TIMEOUT_S)
        self.assertEqual((await self.apply(BOTH)).outcome, ChangeOutcome.REFUSED)
        self.assertEqual((await self.apply(ONE)).outcome, ChangeOutcome.ACCEPTED)
        refused = await self.fleet.change(
            FIRST,
            EditKind.PROPOSE_LIMIT,
            proposal_id='more',
            team='desk',
            new_limit=30,
        )
        self.assertEqual(refused.outcome, ChangeOutcome.REFUSED)
        self.assertIn("'operator-1' votes for no co-operative", refused.message)
