"""What entry hosts that are not leader know, and which host becomes leader."""

import asyncio
import unittest

from dandelionknot.jobs._generated import CallerVerdict, JobSpec, Resources, StepSpec
from dandelionknot.manager._leadership import MAX_ELECTION_DELAY_MS, election_delay_ms
from emulator import virtual_time
from emulator.fleet import KEY, EmulatedFleet

SLOW = JobSpec(
    payload='work',
    steps=[StepSpec(task_count=1, resources=Resources(cpu_millicores=2000))],
)
# Needs more than any backend server has, so that the job waits.
TOO_LARGE = JobSpec(
    payload='work',
    steps=[StepSpec(task_count=1, resources=Resources(cpu_millicores=39_000))],
)


class FollowersTest(unittest.TestCase):
    def run_scenario(self, scenario):
        async def main():
            fleet = EmulatedFleet.from_seed(1)
            fleet.start()
            watching = asyncio.create_task(fleet.watch())
            await asyncio.sleep(3)
            cores = [m.core for m in fleet.members_by_id.values()]
            await scenario(fleet, [c for c in cores if not c.leadership.leading()])
            watching.cancel()
            for member_id in fleet.members_by_id:
                await fleet.kill_member(member_id)

        virtual_time.run(main())

    async def submit(self, core, number, spec):
        core.call_handler.find_queue('h', '/desk/x')
        job_id = f'{number:016x}'
        reply = await core.call_handler.submit('desk', KEY, job_id, spec, 3000)
        self.assertIs(reply.verdict, CallerVerdict.ACCEPTED)
        return job_id

    def test_followers_do_not_read_jobs_and_backend_servers(self):
        """Guards against small hosts that fall behind the changes of a large fleet."""

        async def scenario(fleet, followers):
            for number in range(20):
                await self.submit(followers[0], number, SLOW)
            await asyncio.sleep(2)
            for core in followers:
                self.assertEqual(core.view.jobs_by_id, {})
                self.assertEqual(core.view.backends_by_id, {})

        self.run_scenario(scenario)

    def test_a_job_is_known_on_every_host_once_it_is_accepted(self):
        """Guards against 'no such job' on a host whose view is older than the job."""

        async def scenario(fleet, followers):
            job_id = await self.submit(followers[0], 1, SLOW)
            for core in followers[1:]:
                core.call_handler.find_queue('h', '/desk/x')
                reply = await core.call_handler.state('desk', KEY, job_id, 3000)
                self.assertIs(reply.verdict, CallerVerdict.KNOWN)

        self.run_scenario(scenario)

    def test_every_host_reports_how_many_jobs_wait(self):
        """Guards against counts of waiting jobs that only the leader can answer."""

        async def scenario(fleet, followers):
            for number in range(3):
                await self.submit(followers[0], number, TOO_LARGE)
            # The platform allows counts to be up to two seconds old.
            await asyncio.sleep(2)
            for core in followers:
                core.call_handler.find_queue('h', '/desk/x')
                self.assertEqual(core.call_handler.waiting('desk', KEY).waiting_jobs, 3)

        self.run_scenario(scenario)


class ElectionDelayTest(unittest.TestCase):
    def test_stronger_hosts_try_first(self):
        """Guards against a leader on a slow host while stronger hosts are available."""
        waits = [election_delay_ms(cores) for cores in (4.0, 1.0, 0.5, 0.0)]
        self.assertEqual(
            waits, [0, 0, MAX_ELECTION_DELAY_MS // 2, MAX_ELECTION_DELAY_MS]
        )


if __name__ == '__main__':
    unittest.main()
