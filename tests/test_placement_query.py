"""Tests of the placement query, from the decision to the command `where`."""

import asyncio
import contextlib
import io
import json
import pickle
import re
import tempfile
import unittest
from pathlib import Path

import msgspec
from msgspec.structs import replace

from dandelionknot import cli
from dandelionknot._mailbox import Mailbox
from dandelionknot._request_limits import RequestTable
from dandelionknot.clock import now_ms
from dandelionknot.exit_status import ExitStatus
from dandelionknot.jobs import _placement_query
from dandelionknot.jobs._generated import (
    ClientAccount,
    ExpectedWait,
    JobSpec,
    ManagerLimits,
    PlacementQuery,
    Queue,
    QueueForecast,
    Resources,
    StepSpec,
)
from dandelionknot.jobs._load_shedding import MAX_FORECAST_AGE_MS
from dandelionknot.jobs._placement_query import PlacementQuestion
from dandelionknot.jobs._stored import LEADER_PRESENCE_KEY
from dandelionknot.manager._commit import presence_value
from dandelionknot.manager._limits import (
    MAX_QUERY_BYTES,
    add_ports,
    request_limits,
)
from dandelionknot.manager._metrics import ManagerMetrics, MetricsServer
from dandelionknot.manager._queries import PlacementQueries
from dandelionknot.manager._view import View
from dandelionknot.platform import decode_job_spec
from dandelionknot.store import Item
from standins.fleet import free_port
from tests.job_test_bed import SERVICE, FakeBackend, JobTestBed

PAGE = Path(__file__).resolve().parent.parent / 'docs' / 'cli.md'
SUBMISSION = {'spec': 'w', 'steps': [{'count': 3, 'cpu': 12000, 'est_ms': 400}]}


def step(count=1, cpu_millicores=8000, **fields) -> StepSpec:
    needed = Resources(cpu_millicores=cpu_millicores, memory_mb=1000)
    return StepSpec(
        task_count=count, resources=needed, **{'estimated_ms': 400, **fields}
    )


def fleet() -> JobTestBed:
    """Returns a fleet with a drained, a small, an excluded and a labelled host."""
    test_bed = JobTestBed(
        FakeBackend('b1'),
        FakeBackend('b2', labels=('std', 'r1-2')),
        FakeBackend('b3', draining=True),
        FakeBackend('b4', room=Resources(cpu_millicores=4000, memory_mb=9000)),
        FakeBackend('b5', zone='z'),
        FakeBackend('b6', labels=('gpu', 'r2-1')),
    )
    test_bed.scheduler.excluded_zones = frozenset({'z'})
    test_bed.submit(step(2, 2000, long_running=True), job_id='a0')
    test_bed.submit(step(2, 6000, image='shop', latency_objective_ms=50), job_id='a1')
    for _ in range(3):
        test_bed.step()
    return test_bed


def ask(test_bed: JobTestBed, *steps: StepSpec, **query):
    """Returns the answer of the scheduler of a test bed."""
    query = {'queue': 'desk', 'client_account': 'sofia', 'submission': '', **query}
    question = PlacementQuestion(
        PlacementQuery(**query), JobSpec(payload='p', steps=list(steps)), 'edge-1'
    )
    now = test_bed.now_ms
    return _placement_query.answer(test_bed.scheduler, question, now, now)


def tasks_by_host(placement) -> dict[str, int]:
    return {row.backend_id: row.tasks for row in placement.hosts if row.tasks}


class AnswerTest(unittest.TestCase):
    def test_the_answer_is_what_a_planning_round_does(self):
        """Guards against answers by other rules than those of placement."""
        cases = {
            'fits': [step(5)],
            'fits in part': [step(20)],
            'too large': [step(1, 90_000)],
            'label': [step(2, required_label='gpu')],
            'no label': [step(2, required_label='none')],
            'rack': [step(2, preferred_rack='r1-2')],
            'one per host': [step(9, max_per_host=1)],
            'gang': [step(4, gang=True, same_rack=True)],
            'large gang': [step(40, gang=True)],
            'long-running': [step(4, long_running=True)],
            'fills': [step(4, uses_idle_capacity=True, image='batch')],
            'proven neighbour': [step(2, image='loud')],
            'steps': [step(2), step(1, after=[0])],
        }
        for limit in (0, 30_000):
            for waiting in (0, 14):
                for name, steps in cases.items():
                    with self.subTest(name, limit=limit, waiting=waiting):
                        self.compare(steps, limit, waiting)

    def compare(self, steps, limit, waiting):
        test_bed = fleet()
        test_bed.accounts = [
            ClientAccount(
                name='sofia', keys=['k'], limit=Resources(cpu_millicores=limit)
            )
        ]
        test_bed.configure()
        test_bed.scheduler.interference.effect_by_pair['shop', 'loud'] = 0.7
        for number in range(waiting):
            test_bed.submit(step(1, 30_000), job_id=f'c{number}')
        test_bed.step()
        answer = ask(test_bed, *steps)
        test_bed.submit(*steps, job_id='ff')
        test_bed.scheduler.plan(test_bed.now_ms, test_bed.now_ms)
        state = test_bed.scheduler.jobs_by_id['ff']
        for placement, placed in zip(
            answer.steps, state.steps_by_occurrence[0], strict=True
        ):
            self.assertEqual(tasks_by_host(placement), placed.tasks_by_backend_id)
            is_complete = placement.starts_now == placement.tasks
            self.assertEqual(placement.waits_for == '', is_complete)

    def test_a_query_changes_nothing(self):
        """Guards against a trial that leaves traces in the scheduler."""
        test_bed = fleet()
        test_bed.submit(step(30), job_id='c1')
        test_bed.submit(step(1), job_id='c2')
        task = test_bed.scheduler.jobs_by_id['c2'].steps_by_occurrence[0][0].tasks[0]
        task.suspected = True
        test_bed.scheduler.suspects_by_name[task.name] = task
        before = pickle.dumps(test_bed.scheduler)
        for steps in ([step(9)], [step(3, gang=True)], [step(1, 90_000)]):
            ask(test_bed, *steps)
        self.assertEqual(pickle.dumps(test_bed.scheduler), before)

    def test_each_host_has_a_reason(self):
        """Guards against hosts that are passed over without the true reason."""
        test_bed = fleet()
        [placement] = ask(test_bed, step(required_label='std')).steps
        reasons = {row.backend_id: row.passed_over for row in placement.hosts}
        self.assertEqual(
            reasons,
            {
                'b1': '',
                'b2': '',
                'b3': 'draining',
                'b4': 'room',
                'b5': 'zone excluded',
                'b6': 'label',
            },
        )
        test_bed.scheduler.interference.effect_by_pair['shop', 'loud'] = 0.7
        [placement] = ask(test_bed, step(image='loud')).steps
        rows = [row for row in placement.hosts if row.neighbours == ['shop']]
        self.assertEqual(sum(row.tasks for row in rows), 0)
        self.assertEqual({row.passed_over for row in rows}, {''})

    def test_each_wait_has_a_reason(self):
        """Guards against a wait that is explained by the wrong cause."""
        test_bed = fleet()
        cases = {
            'room': step(1, 90_000),
            'a host with its label': step(required_label='none'),
            'a host that its rules allow': step(9, max_per_host=1),
        }
        for expected, one in cases.items():
            self.assertEqual(ask(test_bed, one).steps[0].waits_for, expected)
        answer = ask(test_bed, *[step()] * 10)
        self.assertEqual((len(answer.steps), answer.steps_left_out), (8, 2))
        test_bed.queue = msgspec.structs.replace(test_bed.queue, needs_advice=True)
        test_bed.configure()
        [placement] = ask(test_bed, step()).steps
        self.assertEqual(placement.waits_for, 'advice')
        self.assertEqual(placement.hosts_by_reason['advice unknown'], 3)
        self.assertEqual(test_bed.scheduler.take_commands(), [])

    def test_the_queue_is_found_and_the_account_is_checked(self):
        """Guards against an answer about another queue, or for a refused call."""
        test_bed = fleet()
        cases = (
            ({}, True, ''),
            ({'queue': '', 'host': 'h', 'path': '/q/00ff'}, True, ''),
            ({'client_account': 'vera'}, False, 'unknown client account vera'),
            ({'client_account': ''}, False, 'the queue needs a client account'),
        )
        for query, accepted, reason in cases:
            answer = ask(test_bed, step(), **query)
            self.assertEqual((answer.accepted, answer.reason), (accepted, reason))
        self.assertEqual(ask(test_bed, step(), queue='none').outcome, 'not_found')

    def test_a_job_that_entry_hosts_refuse_for_load_is_shown_as_refused(self):
        """Guards against a place for a job that would not be accepted."""
        test_bed = fleet()
        queue = replace(test_bed.queue, objective_ms=600)
        test_bed.queue = queue
        test_bed.configure()
        wait = ExpectedWait(span_ms=0, wait_ms=90_000, shortest_wait_ms=60_000)
        forecasts = test_bed.scheduler.forecasts
        forecasts.enabled = True
        forecasts.by_queue[queue.name] = QueueForecast(
            waits=[wait], millicores=64_000, demand_millicores=64_000
        )
        forecasts.computed_ms = forecasts.computed_unix_ms = test_bed.now_ms
        answer = ask(test_bed, step())
        self.assertEqual((answer.accepted, answer.steps), (False, []))
        self.assertIn('a start is expected in 90000 ms', answer.reason)
        test_bed.now_ms += MAX_FORECAST_AGE_MS + 1
        self.assertTrue(ask(test_bed, step()).accepted)

    def test_the_wait_lasts_until_a_short_task_ends(self):
        """Guards against waits that ignore what runs, and jobs that are ahead."""
        test_bed = JobTestBed(FakeBackend('b1'))
        test_bed.submit(step(4, estimated_ms=1000), job_id='a1')
        test_bed.step()
        test_bed.step()
        [placement] = ask(test_bed, step()).steps
        self.assertAlmostEqual(placement.expected_wait_ms, 1000, delta=30)
        test_bed.submit(step(8, estimated_ms=500), job_id='a2')
        [placement] = ask(test_bed, step(estimated_ms=1000)).steps
        self.assertAlmostEqual(placement.expected_wait_ms, 2000, delta=30)


class FakeManager:
    """The query endpoint of one process on a loopback address."""

    def __init__(self, test_bed: JobTestBed, name: str):
        self.test_bed = test_bed
        self.name = name
        self.mailbox: Mailbox = Mailbox(10)
        self.is_leading = False
        self.view = View(decode_fact=lambda item: None)
        self.view.current_as_of_ms = now_ms()
        queries = PlacementQueries(
            name,
            self.view,
            lambda: now_ms() - self.view.current_as_of_ms,
            lambda: self.mailbox if self.is_leading else None,
            decode_job_spec,
        )
        self.queries = queries
        limits = ManagerLimits()
        table = RequestTable(request_limits(limits))
        self.server = MetricsServer(
            ManagerMetrics(),
            lambda: None,
            table,
            add_ports(table, limits).metrics,
            queries.answer,
        )
        self.address = f'127.0.0.1:{free_port()}'
        self.server.listen(self.address)

    def knows(self, leader: 'FakeManager') -> None:
        value = presence_value(leader.name, leader.address)
        self.view.apply(Item(LEADER_PRESENCE_KEY, value, 7))

    async def run(self) -> None:
        """Answers like the task that owns the scheduler."""
        while True:
            call = await self.mailbox.receive()
            now = self.test_bed.now_ms
            call.answer(
                _placement_query.answer(self.test_bed.scheduler, call.message, now, now)
            )


class CommandTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        test_bed = JobTestBed(
            FakeBackend('i-1', labels=('r1-1',)),
            FakeBackend('i-2', labels=('r1-2',)),
            FakeBackend('i-3', draining=True),
            queue=Queue(
                name='quotes', host='desk.example', path_prefix='/q/', service=SERVICE
            ),
        )
        test_bed.step()
        self.leader = FakeManager(test_bed, 'edge-1')
        self.leader.is_leading = True
        self.other = FakeManager(test_bed, 'edge-2')
        self.task = asyncio.create_task(self.leader.run())
        self.addCleanup(self.task.cancel)
        for process in (self.leader, self.other):
            self.addCleanup(process.server._server.stop)
        directory = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.job = directory / 'job.json'
        self.job.write_text(json.dumps(SUBMISSION))

    async def where(self, *words) -> tuple[ExitStatus, str]:
        """Runs the command in a thread; returns its exit status and output."""
        out = io.StringIO()

        def run() -> ExitStatus:
            with contextlib.redirect_stdout(out), contextlib.redirect_stderr(out):
                return cli.main(['where', *words])

        return await asyncio.to_thread(run), out.getvalue()

    async def test_the_documented_example(self):
        """Guards against a page that shows another output than that of the command."""
        found = re.search(r'\$ dandelionknot (where .*)\n((?:.+\n)+)', PAGE.read_text())
        words = found[1].replace('job.json', str(self.job)).split()
        words[words.index('--manager') + 1] = self.leader.address
        status, text = await self.where(*words[1:])
        self.assertEqual(text, found[2].replace('```\n', ''))
        self.assertIs(status, ExitStatus.SUCCESS)

    async def test_the_command_follows_to_the_leader(self):
        """Guards against a question that ends at a process that does not lead."""
        self.other.knows(self.leader)
        words = ('desk.example/q/', str(self.job), '--account', 'sofia')
        status, text = await self.where(
            *words, '--manager', self.other.address, '--json'
        )
        self.assertIs(status, ExitStatus.SUCCESS, text)
        data = json.loads(text)
        self.assertEqual((data['member_id'], data['queue']), ('edge-1', 'quotes'))

    async def test_the_exit_code_tells_the_outcome(self):
        """Guards against scripts that take a wait or a refusal for a start."""
        self.job.write_text(
            json.dumps({'spec': '', 'steps': [{'count': 1, 'cpu': 99_000}]})
        )
        words = ('quotes', str(self.job), '--manager', self.leader.address)
        cases = (
            (('--account', 'sofia'), ExitStatus.PENDING),
            ((), ExitStatus.REFUSED),
        )
        for more, expected in cases:
            self.leader.queries._passed_on_ms = 0
            status, text = await self.where(*words, *more)
            self.assertIs(status, expected, text)
        self.job.write_text('{}')
        status, text = await self.where(*words)
        self.assertIs(status, ExitStatus.INVALID_INPUT, text)
        self.job.write_text('x' * 2 * MAX_QUERY_BYTES)
        status, text = await self.where(*words)
        self.assertNotEqual(status, ExitStatus.SUCCESS, text)

    async def test_while_the_leader_changes(self):
        """Guards against an answer without a leader, or without the age of a view."""
        self.leader.is_leading = False
        words = ('quotes', str(self.job), '--manager')
        both = f'{self.other.address},{self.leader.address}'
        status, text = await self.where(*words, both)
        self.assertIs(status, ExitStatus.NO_LEADER)
        self.assertIn('no process leads by what edge-', text)
        self.other.view.current_as_of_ms -= 4200
        self.other.knows(self.leader)
        status, text = await self.where(*words, self.other.address)
        self.assertIs(status, ExitStatus.NO_LEADER)
        status, text = await self.where(*words, '127.0.0.1:1')
        self.assertIs(status, ExitStatus.UNREACHABLE)

    async def test_a_process_that_is_cut_off_tells_the_age_of_its_knowledge(self):
        """Guards against old knowledge that is taken for current."""
        self.other.knows(self.leader)
        self.other.view.current_as_of_ms -= 4200
        self.task.cancel()
        self.leader.is_leading = False
        self.leader.view.current_as_of_ms = 0
        status, text = await self.where(
            'quotes', str(self.job), '--manager', self.other.address
        )
        self.assertIs(status, ExitStatus.NO_LEADER)
        self.assertRegex(text, r'edge-1 leads by what edge-2 knew 4\.\d s ago')

    async def test_queries_are_limited(self):
        """Guards against a leader that is kept busy by questions."""
        body = msgspec.json.encode(
            PlacementQuery(queue='quotes', submission=json.dumps(SUBMISSION))
        )
        statuses = [await self.leader.queries.answer(body) for _ in range(5)]
        self.assertEqual([status for status, _ in statuses], [200, *[429] * 4])


if __name__ == '__main__':
    unittest.main()
