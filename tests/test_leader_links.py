"""The links that the leader opens to lifetimes of backend servers."""

import asyncio
import unittest
from unittest import mock

from msgspec.structs import replace

from dandelionknot.events import Event
from dandelionknot.jobs._generated import OrderOutcome, Resources, StepSpec
from dandelionknot.manager._commit import BatchStored
from dandelionknot.manager._leader import Leader
from tests.job_test_bed import FakeBackend, JobTestBed
from tests.test_manager_link import FakeBackendClient

SMALL = Resources(cpu_millicores=1000, memory_mb=100)
LATE_ADDRESS, ADDRESS = '10.0.0.8:1', '10.0.0.9:1'


class LeaderLinksTest(unittest.IsolatedAsyncioTestCase):
    """A new leader finds a late entry of the lifetime before the recorded one."""

    async def asyncSetUp(self):
        self.backend = FakeBackend('b1', born_ms=5000)
        self.test_bed = JobTestBed(self.backend)
        self.test_bed.step()
        self.test_bed.submit(StepSpec(task_count=3, resources=SMALL, long_running=True))
        for _ in range(3):
            self.test_bed.step()
        self.entry = replace(self.backend.report(), address=ADDRESS)
        late = replace(self.entry, born_ms=4000, address=LATE_ADDRESS)
        self.test_bed.entries_by_id['b1'] = late
        self.called = []
        self.tokens = []
        ports = mock.Mock()
        ports.settings.timing.hold_max_ms = 6000
        ports.new_backend_client = self.new_client
        self.leader = Leader.from_ports(ports, mock.Mock(number=7))
        self.leader.scheduler = self.test_bed.new_leader()
        self.leader._reconcile_links()

    async def asyncTearDown(self):
        for task in self.leader.tasks.values():
            task.cancel()
        await asyncio.gather(*self.leader.tasks.values(), return_exceptions=True)

    def new_client(self, address, backend_id, token):
        self.called.append(address)
        self.tokens.append(token)
        return FakeBackendClient()

    @property
    def state(self):
        return self.leader.scheduler.backends_by_id['b1']

    async def test_recorded_lifetime_is_called_at_the_address_of_the_entry(self):
        """Guards against a lifetime whose lease nobody renews."""
        self.assertEqual(self.called, [LATE_ADDRESS])
        self.assertEqual(list(self.leader.links), [('b1', 5000)])

    async def test_link_follows_the_address_of_the_own_entry(self):
        """Guards against a link that calls the address of a former lifetime."""
        self.leader.scheduler.set_backend(self.entry, self.test_bed.now_ms)
        self.leader._reconcile_links()
        self.assertEqual(self.called, [LATE_ADDRESS, ADDRESS])
        self.leader._reconcile_links()
        self.assertEqual(self.called, [LATE_ADDRESS, ADDRESS])

    async def test_a_later_lifetime_is_called_with_a_higher_token(self):
        """Guards against starts of a former lifetime that a later one accepts.

        Calls without an answer may be carried out by a later lifetime, which knows no
        token of its own.
        """
        batch = self.leader.scheduler.take_batch(10, self.test_bed.now_ms)
        self.leader._handle(BatchStored(batch, 10, revision=9))
        self.backend.restart()
        now_ms = self.test_bed.now_ms + 10
        report = self.backend.hold_report()
        self.leader.scheduler.hold_answered(self.state, report, now_ms, now_ms, now_ms)
        later = replace(self.entry, born_ms=self.backend.born_ms)
        self.leader.scheduler.set_backend(later, now_ms)
        self.leader._reconcile_links()
        self.assertEqual(self.called, [LATE_ADDRESS, ADDRESS])
        self.assertEqual(self.tokens, [7, 9])

    async def test_a_link_waits_for_a_token_that_is_higher(self):
        """Guards against a hold of a former lifetime that a later one accepts.

        Nothing was written since the link to the former lifetime was opened.
        """
        self.leader.committer = mock.Mock()
        self.backend.restart()
        now_ms = self.test_bed.now_ms + 10
        report = self.backend.hold_report()
        self.leader.scheduler.hold_answered(self.state, report, now_ms, now_ms, now_ms)
        later = replace(self.entry, born_ms=self.backend.born_ms)
        self.leader.scheduler.set_backend(later, now_ms)
        for _ in range(2):
            self.leader._reconcile_links()
        self.assertEqual(self.called, [LATE_ADDRESS])
        [call] = self.leader.committer.inbox.send.call_args_list
        self.leader._handle(BatchStored(call.args[0], 10, revision=9))
        self.leader._reconcile_links()
        self.assertEqual(self.called, [LATE_ADDRESS, ADDRESS])
        self.assertEqual(self.tokens, [7, 9])

    async def test_another_backend_server_at_that_address_proves_nothing(self):
        """Guards against a second run of tasks whose host has another address."""
        self.leader.scheduler.contact_lost(
            self.state,
            OrderOutcome.OTHER_LIFETIME,
            self.test_bed.now_ms + 6000,
            self.test_bed.now_ms,
        )
        self.assertEqual(len(self.state.tasks_by_name), 3)
        self.assertIsNone(self.state.contested_by)
        self.leader._reconcile_links()
        self.assertEqual(self.leader.links, {})
        reasons = [
            entry.fields['reason']
            for entry in self.leader.scheduler.take_log_entries()
            if entry.event is Event.BACKEND_ENTRY_IGNORED
        ]
        self.assertEqual(reasons[-1], 'another backend server has its address')

    async def test_answer_of_the_recorded_lifetime_keeps_its_tasks(self):
        """Guards against an entry that is asked about for ever."""
        now_ms = self.test_bed.now_ms + 10
        report = self.backend.hold_report()
        self.leader.scheduler.hold_answered(self.state, report, now_ms, now_ms, now_ms)
        self.assertEqual(len(self.state.tasks_by_name), 3)
        self.assertIsNone(self.state.contested_by)


if __name__ == '__main__':
    unittest.main()
