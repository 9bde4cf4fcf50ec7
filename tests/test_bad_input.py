"""Malformed messages and unexpected errors: what is affected, and what goes on."""

import asyncio
import unittest
from unittest import mock

import hypothesis
import msgspec
from hypothesis import strategies
from result import Err, Ok

from dandelionknot._http_connections import HttpConnections
from dandelionknot._request_limits import RequestLimits, RequestTable
from dandelionknot.clock import now_ms
from dandelionknot.events import Event
from dandelionknot.jobs import _demand
from dandelionknot.jobs._generated import (
    CallerReply,
    CallerVerdict,
    HostOrder,
    HostOrderFinished,
    HostOrderOutcome,
    JobConfiguration,
    StartFinished,
)
from dandelionknot.manager import _leadership, _watch
from dandelionknot.manager._hosts import HostTask
from dandelionknot.manager._leader import Leader
from dandelionknot.manager._view import JobEntry, View
from dandelionknot.platform import _decode, _items
from dandelionknot.platform._backends import PlatformBackendClient
from dandelionknot.platform._callers import CallerPort, CallerServer
from dandelionknot.platform._generated import WireLists
from dandelionknot.platform._hosts import PlatformHostClient
from dandelionknot.store import Item, Page
from emulator import virtual_time
from standins.fleet import free_port
from standins.job_platform import JobPlatform
from standins.waiting import wait_until
from tests.job_test_bed import FakeBackend, JobTestBed
from tests.test_manager_link import EXPECTED, START, FakeBackendClient, run_link
from tests.virtual import VirtualTimeTestCase

# Values as a faulty peer might send them in place of any other.
JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats(allow_nan=False, allow_infinity=False)
    | strategies.text(max_size=4),
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(strategies.text(max_size=4), inner, max_size=3)
    ),
    max_leaves=8,
)
ROWS = strategies.lists(strategies.lists(JSON, max_size=6), max_size=5)
GOOD_RUN = ['00000000000000aa.0.0.0', 1, '', 40]
GOOD_END = [3, '00000000000000aa.0.0.1', 1, 'done', '']


def step(**fields):
    """Returns the JSON of a job with one step."""
    return msgspec.json.encode({'spec': 'x', 'steps': [{'count': 1, **fields}]})


class ReportTest(unittest.TestCase):
    @hypothesis.given(running=ROWS, finished=ROWS)
    def test_malformed_rows_do_not_hide_the_others(self, running, finished):
        """Guards against a report that is lost because of one row of it."""
        lists = WireLists(
            clock_ms=1,
            running=[*running, GOOD_RUN],
            finished=[*finished, GOOD_END],
        )
        report, _ = _decode.convert_hold_report(lists)
        self.assertIn(GOOD_RUN[0], [row.task_name for row in report.running])
        self.assertIn(GOOD_END[1], [row.task_name for row in report.ended])

    @hypothesis.given(running=ROWS, finished=ROWS)
    def test_any_report_can_be_applied(self, running, finished):
        """Guards against a scheduler that ends because of one malformed report."""
        backend = FakeBackend('b1')
        test_bed = JobTestBed(backend)
        lists = WireLists(clock_ms=1, born=1, running=running, finished=finished)
        report, _ = _decode.convert_hold_report(lists)
        state = test_bed.scheduler.backends_by_id['b1']
        now = test_bed.now_ms
        test_bed.scheduler.hold_answered(state, report, now, now, now)
        test_bed.scheduler.plan(now, now)

    def test_a_task_whose_row_is_malformed_is_not_started_again(self):
        """Guards against a second run of a task that runs, or has done its work."""
        backend = FakeBackend('b1')
        test_bed = JobTestBed(backend, FakeBackend('b2'))
        test_bed.submit(_decode.decode_job_spec(step(cpu=500)).unwrap().steps[0])
        for _ in range(3):
            test_bed.step()
        [name] = test_bed.running()
        [place] = test_bed.running()[name]
        state = test_bed.scheduler.backends_by_id[place]
        lists = WireLists(clock_ms=1, born=1, running=[[name, 'one', '', 40]])
        malformed, _ = _decode.convert_hold_report(lists)
        empty = msgspec.structs.replace(malformed, complete=True)
        for report in (malformed, malformed, empty, empty, empty):
            now = test_bed.now_ms = test_bed.now_ms + 1000
            test_bed.scheduler.hold_answered(state, report, now, now, now)
            test_bed.scheduler.plan(now, now)
        self.assertEqual(state.tasks_by_name[name].run, 1)

    def test_a_malformed_row_is_named(self):
        """Guards against a backend server whose faulty rows nobody learns of."""
        lists = WireLists(clock_ms=1, running=[['a.0.0.0', 'one', '', 40]])
        report, problems = _decode.convert_hold_report(lists)
        self.assertEqual((report.running, len(problems)), ([], 1))

    def test_an_entry_without_its_start_time_restarts_nothing(self):
        """Guards against a second run of tasks after another writer's entry.

        An entry of an unknown lifetime was taken for a restart, so that the tasks of
        the running lifetime were started elsewhere.
        """
        test_bed = JobTestBed(FakeBackend('b1'))
        test_bed.submit(_decode.decode_job_spec(step(cpu=500)).unwrap().steps[0])
        for _ in range(3):
            test_bed.step()
        before = test_bed.running()
        unknown = msgspec.structs.replace(
            test_bed.backends['b1'].report(), born_ms=0, address='10.0.0.9:1'
        )
        test_bed.scheduler.set_backend(unknown, test_bed.now_ms)
        test_bed.step()
        test_bed.step()
        self.assertEqual(test_bed.running(), before)
        self.assertEqual(test_bed.backends['b1'].started, [('j1.0.0.0', 1)])
        state = test_bed.scheduler.backends_by_id['b1']
        self.assertEqual(len(state.tasks_by_name), 1)
        self.assertEqual(state.report.address, '10.0.0.1:1')


class SubmissionTest(unittest.TestCase):
    def test_jobs_that_no_leader_could_hold_are_refused(self):
        """Guards against a job that takes down every leader in turn.

        Each leader creates the state of all tasks of all accepted jobs, and each record
        has to fit into one value of the store.
        """
        most = _decode.MAX_TASKS
        cases = [
            step(count=most + 1),
            step(count=10**12),
            msgspec.json.encode({'spec': 'x', 'steps': [{'count': most}] * 2}),
            msgspec.json.encode(
                {'spec': 'x', 'steps': [{'count': 10}], 'times': most, 'interval_ms': 1}
            ),
            msgspec.json.encode({'spec': 'x', 'steps': [{'count': 1}], 'times': -1}),
            msgspec.json.encode(
                {'spec': 'x', 'steps': [{'count': 1}], 'times': 2, 'interval_ms': -5}
            ),
        ]
        for value in cases:
            with self.subTest(value=value[:80]):
                self.assertIsInstance(_decode.decode_job_spec(value), Err)
        self.assertIsInstance(_decode.decode_job_spec(step(count=most)), Ok)

    def test_negative_amounts_are_refused(self):
        """Guards against a job that raises the limit of its client account."""
        for name in (
            'cpu', 'mem_mb', 'gpu', 'est_ms', 'max_per_server', 'may_miss',
            'latency_slo_ms',
        ):  # fmt: skip
            with self.subTest(name):
                self.assertIsInstance(_decode.decode_job_spec(step(**{name: -1})), Err)

    @hypothesis.given(JSON, strategies.binary(max_size=40))
    def test_any_item_and_any_job_is_decoded_or_refused(self, value, data):
        """Guards against an exception that a stored value or a body causes."""
        for content in (msgspec.json.encode(value), data):
            self.assertIsInstance(_decode.decode_job_spec(content), Ok | Err)
            for key in ('op/config', 'servers/i', 'op/wave/1', 'op/evacuate/z'):
                found = _items.decode_fact(Item(key, content, 1))
                self.assertIsInstance(found, Ok | Err)


class RawServerTest(VirtualTimeTestCase):
    """Answers that are not HTTP, incomplete, or of another content."""

    async def serve(self, answer):
        """Starts a server that sends the same bytes to every connection."""

        async def accept(reader, writer):
            await reader.read(1)
            writer.write(answer)
            await writer.drain()
            writer.close()

        server = await asyncio.start_server(accept, '127.0.0.1', 0)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        connections = HttpConnections(f'{host}:{port}')
        self.addCleanup(connections.close)
        return connections

    async def test_malformed_answers_are_errors(self):
        """Guards against an exception in a task that calls a faulty server."""
        for answer in (
            b'',
            b'\xff\xfe\x00garbage\r\n\r\n',
            b'HTTP/1.1 abc OK\r\n\r\n',
            b'HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n',
            b'HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\n',
            b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort',
            b'HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n',
            b'HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab',
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n',
            b'HTTP/1.1 200 OK\r\nno colon\r\n\r\n',
            b'HTTP/1.1 200 OK\r\n' + b'a: b\r\n' * 20000,
        ):
            with self.subTest(answer=answer[:60]):
                connections = await self.serve(answer)
                result = await connections.call('GET', '/x', None, 300)
                self.assertIsInstance(result, Err)

    async def test_a_report_of_another_content_is_logged(self):
        """Guards against a backend server that is given up without a reason."""
        body = b'{"clock_ms":"soon"}'
        head = f'HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n'.encode()
        client = PlatformBackendClient(await self.serve(head + body), 'i-1', 1)
        with mock.patch('dandelionknot.platform._backends.log_event') as log:
            self.assertIsInstance(await client.hold(0, 0, 0, 300), Err)
        self.assertEqual(log.call_args.args, (Event.BACKEND_ANSWER_MALFORMED,))
        self.assertEqual(log.call_args.kwargs['backend_id'], 'i-1')


class HostListTest(VirtualTimeTestCase):
    async def test_one_malformed_host_does_not_hide_the_others(self):
        """Guards against moves and maintenance that stop for all hosts."""
        platform = JobPlatform()
        self.addCleanup(platform.stop)
        good = {'machine': 'm-1', 'pool': 'desk', 'state': 'up', 'zone': 'a', 'id': 'i'}
        platform.hosts += [{'machine': 5}, good, {'machine': 'm-2', 'pool': None}]
        client = HttpConnections(platform.host_server.address)
        self.addCleanup(client.close)
        listed = (await PlatformHostClient(client, 'edge-1').list_hosts()).unwrap()
        self.assertEqual([host.host_id for host in listed.hosts], ['m-1'])
        self.assertFalse(listed.complete)

    async def test_an_order_is_not_sent_after_the_term(self):
        """Guards against an order about a host by a leader that was paused.

        The platform does not compare fencing tokens, so that the order would be
        carried out beside those of the next leader.
        """
        platform = JobPlatform()
        self.addCleanup(platform.stop)
        client = HttpConnections(platform.host_server.address)
        self.addCleanup(client.close)
        hosts = PlatformHostClient(client, 'edge-1')
        order = HostOrder(host_id='m-1', pool='night')
        opened = client._open

        async def pause_while_connecting(timeout_ms):
            stream = await opened(timeout_ms)
            await asyncio.sleep(6)
            return stream

        with mock.patch.object(
            HttpConnections, '_open', side_effect=pause_while_connecting
        ):
            outcome = await hosts.order(order, 9, now_ms() + 1000)
        self.assertIs(outcome, HostOrderOutcome.NOT_DONE)
        self.assertEqual(platform.host_orders, [])


class UnexpectedErrorTest(unittest.TestCase):
    def test_a_failed_start_is_reported_and_the_link_continues(self):
        """Guards against a task that stays placed for ever after an error."""

        class FaultyClient(FakeBackendClient):
            async def start(self, order, deadline_ms, timeout_ms):
                raise ValueError('unexpected')

        reports = virtual_time.run(run_link(FaultyClient(), [EXPECTED, START], 6))
        finished = [report for report in reports if isinstance(report, StartFinished)]
        self.assertEqual(len(finished), 1)

    def test_leases_are_renewed_after_an_error(self):
        """Guards against tasks whose leases lapse because one report was faulty."""

        class FaultyClient(FakeBackendClient):
            async def hold(self, *arguments):
                answer = await super().hold(*arguments)
                if len(self.deadlines) == 2:
                    raise ValueError('unexpected')
                return answer

        client = FaultyClient()
        virtual_time.run(run_link(client, [EXPECTED], 6))
        self.assertGreater(len(client.deadlines), 4)

    def test_a_failed_order_about_a_host_is_reported(self):
        """Guards against a wave that waits for ever for the outcome of an order."""

        class FaultyHosts:
            async def order(self, order, fencing_token, valid_until_ms):
                raise ValueError('unexpected')

        reports = []

        async def run():
            task = HostTask(
                hosts=FaultyHosts(),
                fencing_token=1,
                report=reports.append,
                valid_until_ms=lambda: 10**15,
                list_wanted=lambda: False,
            )
            running = asyncio.create_task(task.run())
            task.inbox.send(HostOrder(host_id='m-1', pool='night'))
            await asyncio.sleep(1)
            running.cancel()

        virtual_time.run(run())
        [finished] = reports
        self.assertIsInstance(finished, HostOrderFinished)
        self.assertIs(finished.outcome, HostOrderOutcome.NO_ANSWER)

    def test_an_error_in_a_term_ends_the_term_alone(self):
        """Guards against a process that ends because its leader failed."""

        async def fail(term):
            raise ValueError('unexpected')

        class FakeStore:
            async def end_lease(self, lease_id, timeout_ms):
                return Ok(None)

        async def run():
            leadership = _leadership.Leadership(
                store=FakeStore(),
                view=View(decode_fact=lambda item: None),
                member_id='edge-1',
                lease_ms=1500,
                lead=fail,
                is_eligible=lambda: True,
            )
            await leadership._lead(_leadership.Term(1, 1, 1, now_ms() + 1000))
            return leadership

        self.assertIsNone(virtual_time.run(run()).term)

    def test_an_item_that_cannot_be_applied_does_not_hide_the_others(self):
        """Guards against a process that ends because of one item of the store."""

        class FakeStore:
            async def read_page(self, prefix, after, timeout_ms):
                items = [Item(f'servers/{n}', b'', n + 1) for n in range(300)]
                return Ok(Page(items, False, 300))

        def decode(item):
            if item.key == 'servers/7':
                raise ValueError('unexpected')

        view = View(decode_fact=decode)
        watcher = _watch.Watcher(FakeStore(), view)
        self.assertEqual(virtual_time.run(watcher._load()), Ok(True))
        self.assertEqual(len(view.revisions_by_key), 300)

    def test_a_job_that_cannot_be_restored_does_not_hide_the_others(self):
        """Guards against a stored job that prevents every leader from working."""
        test_bed = JobTestBed(FakeBackend('b1'))
        view = View(decode_fact=lambda item: None)
        ports = mock.Mock()
        ports.settings.timing.hold_max_ms = 6000
        ports.settings.timing.status_kept_s = 120
        ports.settings.timing.duty_handover_ms = 0
        leader = Leader.from_ports(ports, mock.Mock())
        leader.view = view
        view.configuration = JobConfiguration(version=1)
        spec = _decode.decode_job_spec(step()).unwrap()
        good = test_bed.submit(*spec.steps)
        bad = msgspec.structs.replace(good, job_id='bad', accepted_unix_ms=None)
        view.jobs_by_id = {job.job_id: JobEntry(job) for job in (bad, good)}
        leader._load_scheduler()
        self.assertEqual(list(leader.scheduler.open_jobs_by_id), [good.job_id])


class CallerErrorTest(VirtualTimeTestCase):
    async def test_a_call_that_fails_unexpectedly_is_answered(self):
        """Guards against a caller that waits in vain, or is told 'not run' falsely."""

        async def submit(*arguments):
            raise ValueError('unexpected')

        port = CallerPort(
            find_queue=lambda host, path: ('desk', path.rpartition('/')[2]),
            submit=submit,
            state=submit,
            cancel=submit,
            waiting=lambda queue, key: CallerReply(verdict=CallerVerdict.KNOWN),
            is_stopping=lambda: False,
        )
        table = RequestTable(RequestLimits(budget_bytes=1_000_000))
        server = CallerServer(port, table, table.add_port('callers', 8, 10_000))
        address = f'127.0.0.1:{free_port()}'
        server.listen(address)
        client = HttpConnections(address)
        self.addCleanup(client.close)
        path = '/quotes/00000000000000aa'
        for method, body in (('POST', step()), ('GET', None), ('DELETE', None)):
            with self.subTest(method):
                answer = (await client.call(method, path, body, 2000)).unwrap()
                self.assertEqual(answer.status, 504)
        await wait_until(lambda: not server.calls_in_progress, 5)
        await server.stop()
        await server.close()


class CapacityInputTest(unittest.TestCase):
    def test_a_pool_without_hosts_asks_for_a_few(self):
        """Guards against a division by zero for a pool without backend servers."""
        need = _demand.pool_need([], [mock.Mock()], 0.0, 0.0, 0)
        self.assertEqual((need.in_time, need.late), (2, 0))


if __name__ == '__main__':
    unittest.main()
