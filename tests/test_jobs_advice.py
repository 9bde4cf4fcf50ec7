"""Steps that need advice, and backend servers that start again."""

import unittest

from dandelionknot.jobs._generated import AskAdvice, Queue, Resources, StepSpec
from tests.job_test_bed import RESTART_MS, SERVICE, FakeBackend, JobTestBed

TICK_MS = 50
# Time of some questions to the advice service and planning rounds.
SOON_MS = 500
VALID_MS = 60_000
SMALL = Resources(cpu_millicores=1000, memory_mb=100)


class AdviceTest(unittest.TestCase):
    """The advice service grants a step one host, or refuses it, by its lifetime."""

    def play(self, granted_lifetimes):
        """Plays a crash of the only host; returns the task that waits or runs."""
        queue = Queue(
            name='desk',
            host='h',
            path_prefix='/q/',
            service=SERVICE,
            max_attempts=3,
            needs_advice=True,
        )
        backend = FakeBackend('b1')
        test_bed = JobTestBed(backend, FakeBackend('b2'), queue=queue)
        test_bed.step()
        test_bed.submit(StepSpec(task_count=1, resources=SMALL, estimated_ms=500))
        for number in range(200):
            if number == 20:
                test_bed.lose(backend)
            for command in test_bed.step(TICK_MS):
                if isinstance(command, AskAdvice):
                    lifetime = 'first' if backend.born_ms == 1 else 'second'
                    granted = 'b1' in command.backend_ids
                    granted = granted and lifetime in granted_lifetimes
                    test_bed.scheduler.advice_given(
                        command,
                        {'b1': f't{backend.born_ms}'} if granted else {},
                        60_000,
                        test_bed.now_ms,
                    )
        return test_bed, backend

    def test_a_later_lifetime_is_asked_about_again(self):
        """Guards against a step that waits for a ticket which nobody asks for."""
        for granted_lifetimes in (('first', 'second'), ('second',)):
            with self.subTest(granted_lifetimes=granted_lifetimes):
                test_bed, backend = self.play(granted_lifetimes)
                self.assertGreater(backend.born_ms, 1)
                self.assertEqual(test_bed.running(), {'j1.0.0.0': ['b1']})

    def test_a_ticket_of_a_former_lifetime_is_not_used(self):
        """Guards against a start on a host that the policy does not allow any more."""
        test_bed, _ = self.play(('first',))
        self.assertEqual(test_bed.running(), {})

    def test_a_late_answer_counts_for_no_later_lifetime(self):
        """Guards against a ticket or a refusal that was given for a former lifetime."""
        for granted in ({}, {'b1': 'former'}):
            with self.subTest(granted=granted):
                queue = Queue(
                    name='desk',
                    host='h',
                    path_prefix='/q/',
                    service=SERVICE,
                    needs_advice=True,
                )
                backend = FakeBackend('b1')
                test_bed = JobTestBed(backend, queue=queue)
                test_bed.step()
                test_bed.submit(StepSpec(task_count=1, resources=SMALL))
                (request,) = test_bed.step(TICK_MS)
                backend.restart()
                test_bed.scheduler.set_backend(backend.report(), test_bed.now_ms)
                test_bed.step(TICK_MS)
                test_bed.scheduler.advice_given(
                    request, granted, 60_000, test_bed.now_ms
                )
                commands = []
                for _ in range(10):
                    commands += test_bed.step(TICK_MS)
                self.assertEqual([type(c) for c in commands], [AskAdvice])


class FurtherAdviceTest(unittest.TestCase):
    """A step of which some servers with tickets have room, but may not take a task."""

    def setUp(self):
        queue = Queue(
            name='desk',
            host='h',
            path_prefix='/q/',
            service=SERVICE,
            max_attempts=3,
            needs_advice=True,
        )
        self.backends = [
            FakeBackend(f'b{n}', host_id=f'h{n}', labels=('rare', 'r1-1'))
            for n in range(3)
        ]
        self.test_bed = JobTestBed(*self.backends, queue=queue)
        self.test_bed.step()
        # Backend servers that the advice service does not allow.
        self.denied = set()
        self.asked = []

    def run_for(self, duration_ms):
        """Advances time; the advice service answers in the next round."""
        for _ in range(0, duration_ms, TICK_MS):
            for command in self.test_bed.step(TICK_MS):
                if isinstance(command, AskAdvice):
                    self.answer(command)

    def answer(self, request):
        self.asked.append(request.backend_ids)
        lifetimes = zip(request.backend_ids, request.born_ms, strict=True)
        tickets = {b: f't{b}{born}' for b, born in lifetimes if b not in self.denied}
        self.test_bed.scheduler.advice_given(
            request, tickets, VALID_MS, self.test_bed.now_ms
        )

    def places(self):
        return sorted(ids[0] for ids in self.test_bed.running().values())

    def test_a_later_lifetime_is_asked_about_while_others_have_room(self):
        """Guards against a lost task that no server with a ticket may take.

        The others run one task of the step each, which is all that they may.
        """
        step = StepSpec(
            task_count=3, resources=SMALL, long_running=True, max_per_host=1
        )
        self.test_bed.submit(step)
        self.run_for(SOON_MS)
        self.assertEqual(self.places(), ['b0', 'b1', 'b2'])
        self.test_bed.lose(self.backends[1])
        self.run_for(RESTART_MS + 2 * SOON_MS)
        self.assertEqual(self.places(), ['b0', 'b1', 'b2'])
        self.assertEqual(self.asked[-1], ['b1'])

    def test_a_server_without_the_label_ends_no_search(self):
        """Guards against a ticket for a server that has lost the required label."""
        self.denied = {'b1', 'b2'}
        step = StepSpec(task_count=1, resources=SMALL, required_label='rare')
        self.test_bed.submit(step)
        self.run_for(SOON_MS)
        self.assertEqual(self.places(), ['b0'])
        self.backends[0].stop('j1.0.0.0', 1)
        self.backends[0].labels = ('r1-1',)
        self.backends.append(FakeBackend('b3', labels=('rare', 'r1-1')))
        self.test_bed.backends['b3'] = self.backends[3]
        for backend in (self.backends[0], self.backends[3]):
            self.test_bed.scheduler.set_backend(backend.report(), self.test_bed.now_ms)
        self.run_for(SOON_MS)
        self.assertEqual(self.places(), ['b3'])

    def test_only_servers_that_may_take_a_task_are_asked_about(self):
        """Guards against answers that take their time and are of no use."""
        self.backends[2].labels = ('r1-1',)
        self.test_bed.scheduler.set_backend(
            self.backends[2].report(), self.test_bed.now_ms
        )
        step = StepSpec(task_count=1, resources=SMALL, required_label='rare')
        self.test_bed.submit(step)
        self.run_for(SOON_MS)
        self.assertEqual(self.asked, [['b0', 'b1']])

    def test_a_gang_is_asked_about_until_all_members_have_a_place(self):
        """Guards against a gang of which some servers with tickets have room.

        It has as many members as there are servers, one on each.
        """
        self.test_bed.lose(self.backends[2])
        step = StepSpec(task_count=3, resources=SMALL, gang=True, max_per_host=1)
        self.test_bed.submit(step)
        self.run_for(RESTART_MS + 2 * SOON_MS)
        self.assertEqual(self.places(), ['b0', 'b1', 'b2'])

    def test_the_server_to_which_a_task_is_bound_is_asked_about(self):
        """Guards against a task that waits for a ticket until it is bound no more.

        Its start had no answer, so it runs on that server only, for a while.
        """
        self.denied = {'b2'}
        self.test_bed.submit(StepSpec(task_count=1, resources=SMALL))
        self.run_for(SOON_MS)
        [backend_id] = self.places()
        lost = self.test_bed.backends[backend_id]
        state = self.test_bed.scheduler.backends_by_id[backend_id]
        self.test_bed.scheduler.start_unanswered(
            state, 'j1.0.0.0', 1, self.test_bed.now_ms
        )
        self.run_for(10 * SOON_MS)
        self.test_bed.lose(lost)
        self.run_for(RESTART_MS + SOON_MS)
        self.assertEqual(self.places(), [backend_id])

    def test_a_suspected_task_is_asked_about_on_other_hosts(self):
        """Guards against a task that waits for the only host with a ticket.

        That host has crashed under it, and another one may run it.
        """
        for denied in (set(), {'b1', 'b2'}):
            with self.subTest(denied=denied):
                self.setUp()
                self.denied = denied
                self.test_bed.crash_after_ms_by_name['j1.0.0.0'] = 0
                self.test_bed.submit(StepSpec(task_count=1, resources=SMALL))
                self.run_for(4 * TICK_MS)
                self.assertEqual(len(self.test_bed.crashes), 1)
                self.test_bed.crash_after_ms_by_name.clear()
                self.run_for(RESTART_MS + 4 * SOON_MS)
                self.assertEqual(len(self.test_bed.running()), 1)


if __name__ == '__main__':
    unittest.main()
