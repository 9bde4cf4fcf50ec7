"""Guards the limits of teams on a running fleet.

No team may run more tasks at once than its upper limit.
"""

import asyncio
import dataclasses

from dandelionknot.clock import now_ms
from dandelionknot.configuration import Cooperative
from dandelionknot.operators import ChangeOutcome, EditKind
from standins.fleet import FleetSettings, LocalFleet, Response, start_fleet
from standins.waiting import wait_until
from tests.virtual import VirtualTimeTestCase

LIMIT = 4
LOWERED_LIMIT = 2
MEMBERS = ('zone-a-entry-0', 'zone-b-entry-0', 'zone-c-entry-0')
TEAM = 'desk'
SMALL_TEAM = 'dock'
START_TARGET_MS = 1100  # an urgent request must start within this time
TIMEOUT_S = 30


def result_or_error(response: Response) -> str:
    """Returns the result, or the error code and message that the caller received."""
    body = response.body
    return body.get('result') or f'{body.get("code")}: {body.get("message")}'


class LimitTest(VirtualTimeTestCase):
    fleet: LocalFleet

    async def asyncSetUp(self):
        fleet_settings = FleetSettings.with_short_bounds(
            teams={TEAM: LIMIT, 'night': 50, SMALL_TEAM: 1}
        )
        self.fleet = await start_fleet(fleet_settings)
        self.addAsyncCleanup(self.fleet.stop)
        self.peak = 0
        watch = asyncio.create_task(self.watch())
        self.addCleanup(watch.cancel)

    async def watch(self) -> None:
        """Records the highest number of tasks of the team that ran at once."""
        while True:
            self.peak = max(self.peak, self.running())
            await asyncio.sleep(0.002)

    def running(self) -> int:
        return sum(
            task.order.team == TEAM
            for backend in self.fleet.backends_by_host.values()
            for task in backend.state.running()
        )

    async def burst(self, count: int, members: tuple[str, ...], **fields: object):
        """Sends many requests at once, distributed over entry hosts."""
        return await asyncio.gather(
            *(
                self.fleet.submit(
                    members[number % len(members)],
                    task={'text': 'answer', 'run_ms': 50},
                    deadline_ms=20000,
                    **fields,
                )
                for number in range(count)
            )
        )

    async def test_bursts_through_all_entry_hosts_stay_below_the_limit(self):
        """Guards against entry hosts that each count only their own tasks."""
        for idempotent in (True, False):
            responses = await self.burst(60, MEMBERS, idempotent=idempotent)
            answers = [result_or_error(response) for response in responses]
            self.assertEqual(answers, ['answer'] * 60)
        self.assertLessEqual(self.peak, LIMIT)
        self.assertGreater(self.peak, 1)

    async def test_one_entry_host_gets_the_whole_limit(self):
        """Guards against grants that idle entry hosts do not give back."""
        burst_task = asyncio.create_task(self.burst(200, MEMBERS[:1]))
        await wait_until(lambda: self.running() == LIMIT, TIMEOUT_S)
        await burst_task
        self.assertEqual(self.peak, LIMIT)

    async def test_a_small_limit_follows_the_caller(self):
        """Guards against a wait for a grant that another entry host does not use."""
        for number in range(12):
            sent_ms = now_ms()
            response = await self.fleet.submit(
                MEMBERS[number % 3], team=SMALL_TEAM, idempotent=number % 2 == 0
            )
            self.assertEqual(result_or_error(response), 'answer')
            self.assertLessEqual(now_ms() - sent_ms, START_TARGET_MS, number)

    async def test_a_killed_entry_host_still_counts_until_its_tasks_end(self):
        """Guards against a grant given to others while tasks of its holder run."""
        long_request = asyncio.create_task(
            self.fleet.submit(
                MEMBERS[0], task={'run_ms': 60000}, deadline_ms=70000, mode='wait'
            )
        )
        await wait_until(lambda: self.running() == 1, TIMEOUT_S)
        await self.fleet.kill(MEMBERS[0])
        await asyncio.gather(long_request, return_exceptions=True)
        responses = await self.burst(60, MEMBERS[1:])
        answers = [result_or_error(response) for response in responses]
        self.assertEqual(answers, ['answer'] * 60)
        self.assertLessEqual(self.peak, LIMIT)
        state = self.fleet.entries_by_id[MEMBERS[1]].state

        def is_reclaimed() -> bool:
            assert state.view is not None
            record = state.view.grants_by_team[TEAM]
            return not any(
                name.startswith(MEMBERS[0]) for name in record.grants_by_member
            )

        await wait_until(is_reclaimed, TIMEOUT_S)
        self.assertLessEqual(self.peak, LIMIT)

    async def test_a_lowered_limit_holds_once_accepted_and_cuts_nothing(self):
        """Guards against starts above a limit that was lowered by vote."""
        await self.set_only_voter()
        burst_task = asyncio.create_task(self.burst(120, MEMBERS))
        await wait_until(lambda: self.running() > LOWERED_LIMIT, TIMEOUT_S)
        proposed = await self.fleet.change(
            MEMBERS[0],
            EditKind.PROPOSE_LIMIT,
            proposal_id='lower-desk',
            team=TEAM,
            new_limit=LOWERED_LIMIT,
        )
        self.assertEqual(proposed.outcome, ChangeOutcome.ACCEPTED)
        await wait_until(lambda: self.running() <= LOWERED_LIMIT, TIMEOUT_S)
        self.peak = 0
        responses = await burst_task
        answers = [result_or_error(response) for response in responses]
        self.assertEqual(answers, ['answer'] * 120)
        self.assertLessEqual(self.peak, LOWERED_LIMIT)

    async def set_only_voter(self) -> None:
        """Makes the fleet's operator the only voter."""
        configuration = self.fleet.entries_by_id[MEMBERS[0]].state.configuration
        voters = {'shared': Cooperative(voters=['operator-1'])}
        self.fleet.put_configuration(
            dataclasses.replace(
                configuration,
                version=configuration.version + 1,
                cooperatives_by_id=voters,
            )
        )
        version = configuration.version + 1
        for entry in self.fleet.entries_by_id.values():
            await wait_until(
                lambda entry=entry: entry.state.configuration.version >= version,
                TIMEOUT_S,
            )
