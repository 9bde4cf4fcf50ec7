"""Answers to orders about hosts that speak of a former backend server of the host."""

import unittest
from unittest import mock

from dandelionknot.events import Event
from dandelionknot.jobs._crashes import is_outage
from dandelionknot.jobs._generated import (
    EndReason,
    Host,
    HostOrder,
    HostOrderOutcome,
    HostsListed,
    OrderOutcome,
    Resources,
    StepSpec,
    UpkeepWave,
)
from dandelionknot.jobs._maintenance import IN_MAINTENANCE, UP
from dandelionknot.manager._leader import Leader
from tests.capacity_test_bed import SPARE, CapacityTestCase
from tests.job_test_bed import SERVICE, FakeBackend, JobTestBed

TICK_MS = 50
# Longest standstill of a job with room, from the platform's rules.
MAX_STANDSTILL_MS = 3000
UPKEEP_MS = 2000
STEP = StepSpec(
    task_count=1,
    resources=Resources(cpu_millicores=1000),
    required_label='rare',
    long_running=True,
)


class LateAnswerTest(unittest.TestCase):
    """One host has the label that jobs require, and is due for maintenance."""

    def setUp(self):
        labels = ('rare', 'r1-1')
        self.former = FakeBackend('b1', labels=labels)
        self.later = FakeBackend('b2', labels=labels)
        self.test_bed = JobTestBed(self.former)
        self.test_bed.step()
        wave = UpkeepWave(number=1, host_ids=['m1'], within_s=20, max_down=1)
        self.maintenance.set_wave('1', wave, None, self.test_bed.now_ms)
        self.list_host(UP, 'b1')

    @property
    def maintenance(self):
        return self.test_bed.scheduler.maintenance

    def list_host(self, state, backend_id):
        row = Host(host_id='m1', pool=SERVICE, state=state, backend_id=backend_id)
        listed = HostsListed(hosts=[row], sent_ms=self.test_bed.now_ms)
        self.test_bed.scheduler.hosts_listed(listed)

    def run_for(self, duration_ms):
        """Returns the orders about hosts that are sent meanwhile."""
        orders = []
        for _ in range(0, duration_ms, TICK_MS):
            commands = self.test_bed.step(TICK_MS)
            orders += [c for c in commands if isinstance(c, HostOrder)]
        return orders

    def finish(self, order, outcome):
        self.test_bed.scheduler.host_order_finished(
            order, outcome, self.test_bed.now_ms
        )

    def replace_backend(self):
        """Ends the backend server of the host; a new one registers later."""
        del self.test_bed.backends['b1']
        self.test_bed.scheduler.remove_backend('b1')
        self.list_host(IN_MAINTENANCE, '')
        self.run_for(UPKEEP_MS)
        self.test_bed.backends['b2'] = self.later
        self.test_bed.scheduler.set_backend(self.later.report(), self.test_bed.now_ms)
        self.run_for(TICK_MS)
        self.list_host(UP, 'b2')

    def assert_later_is_used(self):
        self.test_bed.submit(STEP)
        self.run_for(MAX_STANDSTILL_MS)
        self.assertEqual(len(self.later.started), 1)

    def test_a_repeated_order_that_was_already_done(self):
        """Guards against a host that gets no work after an answer was lost."""
        [order] = self.run_for(TICK_MS)
        self.finish(order, HostOrderOutcome.NO_ANSWER)
        self.replace_backend()
        [repeated] = self.run_for(1000)
        self.assertEqual(repeated, order)
        self.finish(repeated, HostOrderOutcome.ACCEPTED)
        self.run_for(TICK_MS)
        self.assertTrue(self.maintenance.waves_by_name['1'].done)
        self.assert_later_is_used()
        events = [e.event for e in self.test_bed.scheduler.take_log_entries()]
        self.assertIn(Event.BACKEND_GOES_ON, events)

    def test_a_late_answer_to_the_first_order(self):
        """Guards against a host that gets no work as the platform answers slowly."""
        [order] = self.run_for(TICK_MS)
        self.replace_backend()
        self.finish(order, HostOrderOutcome.ACCEPTED)
        self.assert_later_is_used()

    def test_a_late_answer_to_a_move(self):
        """Guards against a moved host that gets no work in its new pool."""
        self.replace_backend()
        self.maintenance.waves_by_name.clear()
        self.finish(HostOrder(host_id='m1', pool='p'), HostOrderOutcome.ACCEPTED)
        self.assert_later_is_used()

    def test_a_backend_server_that_ends_gets_no_starts_before(self):
        """Guards against starts on a backend server that ends at any moment."""
        [order] = self.run_for(TICK_MS)
        self.finish(order, HostOrderOutcome.ACCEPTED)
        self.test_bed.submit(STEP)
        self.run_for(500)
        self.assertEqual(self.former.started, [])

    def test_backend_servers_that_end_by_an_order_are_no_outage(self):
        """Guards against a deadly task that is started for ever beside moved hosts.

        Contact with the moved servers is lost shortly before the crash.
        """
        test_bed = JobTestBed(*(FakeBackend(f'b{n}') for n in range(12)))
        test_bed.submit(StepSpec(task_count=1, resources=STEP.resources))
        for _ in range(4):
            test_bed.step(TICK_MS)
        states = list(test_bed.scheduler.backends_by_id.values())
        [crashed] = [state for state in states if state.tasks_by_name]
        for state in states:
            state.ending = state is not crashed
            test_bed.scheduler.contact_lost(
                state, OrderOutcome.NO_ANSWER, test_bed.now_ms + 3000, test_bed.now_ms
            )
        self.assertFalse(is_outage(test_bed.scheduler, crashed))

    def test_the_link_asks_a_backend_server_that_may_end(self):
        """Guards against an idle link that never learns that the server goes on."""
        [order] = self.run_for(TICK_MS)
        leader = Leader.from_ports(mock.Mock(), mock.Mock())
        leader.scheduler = self.test_bed.scheduler
        key, link = self.former.report().backend_id, mock.Mock()
        leader.links[key, self.former.born_ms] = link
        leader.addresses[key, self.former.born_ms] = self.former.report().address
        leader._reconcile_links()
        link.inbox.send.assert_not_called()
        self.finish(order, HostOrderOutcome.ACCEPTED)
        leader._reconcile_links()
        [call] = link.inbox.send.call_args_list
        self.assertTrue(call.args[0].expected)


class LostMoveAnswerTest(CapacityTestCase):
    def test_a_host_whose_move_has_no_answer_stays_borrowed(self):
        """Guards against a pool that loses its hosts with each lost answer."""
        self.run_rounds(2)
        self.lose_answers = True
        self.burst(7)
        self.run_rounds(20)
        self.assertEqual(self.pools['s0'], SERVICE)
        capacity = self.test_bed.scheduler.capacity
        self.assertEqual(capacity.homes_by_host_id, {'m-s0': SPARE, 'm-s1': SPARE})
        self.assertEqual(capacity.moves_by_host_id, {})

    def test_a_host_that_has_returned_without_an_answer_is_at_home(self):
        """Guards against a host that counts as borrowed by its own pool."""
        self.run_rounds(2)
        self.burst(7)
        self.run_rounds(20)
        self.lose_answers = True
        for backend in self.test_bed.backends.values():
            for name in list(backend.runs_by_name):
                backend.end(name, EndReason.DONE)
        self.run_rounds(100)
        self.assertEqual(sorted(self.pools.values()), sorted([SERVICE, SPARE] * 2))
        capacity = self.test_bed.scheduler.capacity
        self.assertEqual(capacity.homes_by_host_id, {})


if __name__ == '__main__':
    unittest.main()
