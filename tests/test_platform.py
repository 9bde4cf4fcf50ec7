"""The adapter to the users' platform, tested against a stand-in of the platform."""

import asyncio
import unittest

import msgspec
from result import Err, Ok

from dandelionknot._http_client import new_http_client
from dandelionknot._http_connections import HttpConnections
from dandelionknot.jobs._generated import (
    HostOrder,
    HostOrderOutcome,
    ManagerSettings,
    OrderOutcome,
    StartOrder,
)
from dandelionknot.jobs._stored import (
    BackendFact,
    ConfigurationFact,
    WaveFact,
    ZoneFact,
)
from dandelionknot.manager.daemon import Manager
from dandelionknot.platform import _decode, _items
from dandelionknot.platform._backends import PlatformBackendClient
from dandelionknot.platform._hosts import PlatformHostClient
from dandelionknot.platform._store import PlatformStore
from dandelionknot.store import HistoryLost, Item, Precondition, Put, WriteOutcome
from emulator.fleet import TIMING
from standins.fleet import free_port
from standins.job_platform import JobPlatform
from standins.waiting import wait_until
from tests.virtual import VirtualTimeTestCase

TIMEOUT_MS = 300
# Local time that no test reaches.
FAR_MS = 10**15


class StoreTest(VirtualTimeTestCase):
    async def asyncSetUp(self):
        self.platform = JobPlatform()
        self.addCleanup(self.platform.stop)
        server = self.platform.store_server
        self.store = PlatformStore(HttpConnections(server.address))
        self.addCleanup(self.store.client.close)

    async def test_writes_reads_and_conditions(self):
        """Guards against field names and encodings that differ from the protocol."""
        put = Put('k/1', b'\x00value')
        first = (
            await self.store.write([Precondition('k/1', 0)], [put], [], 300)
        ).unwrap()
        self.assertIs(first.outcome, WriteOutcome.WRITTEN)
        again = (
            await self.store.write([Precondition('k/1', 0)], [put], [], 300)
        ).unwrap()
        self.assertIs(again.outcome, WriteOutcome.PRECONDITION_FAILED)
        self.assertEqual(again.items[0].value, b'\x00value')
        page = (await self.store.read_page('k/', '', TIMEOUT_MS)).unwrap()
        self.assertEqual([item.value for item in page.items], [b'\x00value'])

    async def test_changes_deletions_and_a_lost_history(self):
        """Guards against deletions and lost histories that are not reported."""
        revision = self.platform.put('k/1', {})
        self.platform.store.delete('k/1')
        changes = (await self.store.changes('', revision, 50, TIMEOUT_MS)).unwrap()
        self.assertEqual([item.deleted for item in changes.items], [True])
        self.platform.store.forget_history()
        self.platform.put('k/2', {})
        lost = (await self.store.changes('', revision, 50, TIMEOUT_MS)).unwrap()
        self.assertIsInstance(lost, HistoryLost)

    async def test_leases(self):
        """Guards against leases that count as renewed after their end."""
        lease = (await self.store.grant_lease(1000, TIMEOUT_MS)).unwrap()
        put = Put('k/1', b'', lease.lease_id)
        await self.store.write([], [put], [], TIMEOUT_MS)
        self.assertTrue((await self.store.renew_lease(lease.lease_id, 300)).unwrap())
        await self.store.end_lease(lease.lease_id, TIMEOUT_MS)
        self.assertFalse((await self.store.renew_lease(lease.lease_id, 300)).unwrap())
        written = (await self.store.write([], [put], [], TIMEOUT_MS)).unwrap()
        self.assertIs(written.outcome, WriteOutcome.LEASE_ENDED)

    async def test_errors_say_whether_a_write_may_have_happened(self):
        """Guards against 'not done' for a write that may have happened."""
        cases = {503: True, 429: True, 500: False, 0: False}
        for status, not_done in cases.items():
            with self.subTest(status=status):
                self.platform.store_server.faults.append(status)
                result = await self.store.write([], [Put('k', b'')], [], TIMEOUT_MS)
                self.assertIsInstance(result, Err)
                self.assertIs(result.err_value.not_done, not_done)


class BackendTest(VirtualTimeTestCase):
    async def asyncSetUp(self):
        self.platform = JobPlatform()
        self.addCleanup(self.platform.stop)
        self.backend = self.platform.add_backend('i-1', 'desk')
        self.site = self.platform.backend_servers_by_id['i-1']
        self.backend_client = self.new_backend_client('i-1', 7)

    def new_backend_client(self, backend_id, token):
        backend_client = PlatformBackendClient(
            HttpConnections(self.site.address), backend_id, token
        )
        self.addCleanup(backend_client.close)
        return backend_client

    async def test_start_hold_and_stop(self):
        """Guards against orders that differ from the protocol."""
        order = StartOrder(task_name='j.0.0.0', run=1, payload='p')
        started = await self.backend_client.start(
            order, self.backend.clock() + 5000, 300
        )
        self.assertIs(started.outcome, OrderOutcome.ACCEPTED)
        self.assertEqual(started.clock_ms, self.backend.clock())
        report = (await self.backend_client.hold(0, 0, 0, TIMEOUT_MS)).unwrap()
        self.assertEqual([row.task_name for row in report.running], ['j.0.0.0'])
        self.assertIs(
            await self.backend_client.stop('j.0.0.0', 1, 300), OrderOutcome.ACCEPTED
        )
        report = (await self.backend_client.hold(0, 0, 1000, TIMEOUT_MS)).unwrap()
        self.assertEqual([end.task_name for end in report.ended], ['j.0.0.0'])

    async def test_outcomes(self):
        """Guards against answers that are decoded as the wrong outcome."""
        order = StartOrder(task_name='j.0.0.0', run=1, payload='p')
        late = await self.backend_client.start(order, 0, TIMEOUT_MS)
        self.assertIs(late.outcome, OrderOutcome.TOO_LATE)
        self.assertEqual(late.clock_ms, self.backend.clock())
        other = self.new_backend_client('i-2', 7)
        self.assertIs(await other.stop('t', 1, 300), OrderOutcome.OTHER_LIFETIME)
        older = self.new_backend_client('i-1', 6)
        self.assertIs(await older.stop('t', 1, 300), OrderOutcome.FENCED)
        for status, outcome in (
            (503, OrderOutcome.UNHEALTHY),
            (429, OrderOutcome.UNHEALTHY),
            (400, OrderOutcome.REFUSED),
            (0, OrderOutcome.NO_ANSWER),
        ):
            with self.subTest(status=status):
                self.site.faults.append(status)
                self.assertIs(await self.backend_client.stop('t', 1, 300), outcome)
        self.site.server.stop()
        closed = self.new_backend_client('i-1', 7)
        self.assertIs(await closed.stop('t', 1, 300), OrderOutcome.NOT_SENT)


class HostsTest(VirtualTimeTestCase):
    async def test_list_and_orders(self):
        """Guards against orders about hosts without member or fencing token."""
        platform = JobPlatform()
        self.addCleanup(platform.stop)
        platform.hosts.append(
            {'machine': 'm-1', 'pool': 'desk', 'state': 'up', 'zone': 'a', 'id': 'i-1'}
        )
        client = HttpConnections(platform.host_server.address)
        self.addCleanup(client.close)
        hosts = PlatformHostClient(client, 'edge-1')
        listed = (await hosts.list_hosts()).unwrap()
        self.assertTrue(listed.complete)
        [host] = listed.hosts
        self.assertEqual((host.host_id, host.backend_id), ('m-1', 'i-1'))
        maintenance = HostOrder(host_id='m-1', wave_number=3)
        move = HostOrder(host_id='m-1', pool='night')
        for order in (maintenance, move):
            self.assertIs(
                await hosts.order(order, 9, FAR_MS), HostOrderOutcome.ACCEPTED
            )
        self.assertEqual(
            platform.host_orders,
            [
                ('/machine-upkeep', {'machine': 'm-1', 'wave': 3}, '9'),
                ('/machine-move', {'machine': 'm-1', 'pool': 'night'}, '9'),
            ],
        )
        for status, outcome in (
            (503, HostOrderOutcome.NOT_DONE),
            (400, HostOrderOutcome.UNKNOWN_HOST),
            (0, HostOrderOutcome.NO_ANSWER),
        ):
            platform.host_server.faults.append(status)
            self.assertIs(await hosts.order(maintenance, 9, FAR_MS), outcome)


class DecodeTest(unittest.TestCase):
    def test_items_are_decoded_into_facts(self):
        """Guards against items that are decoded as facts of another kind."""
        server = b'{"service":"s","addr":"1.2.3.4:5","zone":"z","state":"ready"}'
        wave = b'{"wave":1,"machines":["m"],"within_s":20,"cap":2}'
        cases = [
            ('op/config', b'{"version":1,"routes":[]}', ConfigurationFact),
            ('servers/i-1', server, BackendFact),
            ('op/evacuate/z', b'{}', ZoneFact),
            ('op/wave/1', wave, WaveFact),
        ]
        for key, value, kind in cases:
            with self.subTest(key):
                fact = _items.decode_fact(Item(key, value, 5)).unwrap()
                self.assertIsInstance(fact, kind)
        self.assertEqual(_items.decode_fact(Item('other/key', b'{', 5)), Ok(None))

    def test_entries_of_other_writers_are_errors(self):
        """Guards against malformed registry entries that are used like valid ones."""
        for value in (
            b'',
            b'\xff\xfe',
            b'[]',
            b'{"service":"s"}',
            b'{"service":"s","addr":"1.2.3.4:5","zone":"z","state":"asleep"}',
            b'{"service":1,"addr":"1.2.3.4:5","zone":"z","state":"ready"}',
        ):
            with self.subTest(value=value):
                result = _items.decode_fact(Item('servers/i-1', value, 5))
                self.assertIsInstance(result, Err)

    def test_malformed_submissions_are_refused(self):
        """Guards against accepted jobs whose steps can never run."""
        for value in (
            b'',
            b'{}',
            b'{"spec":"x","steps":[]}',
            b'{"spec":"x","steps":[{"count":0}]}',
            b'{"spec":"x","steps":[{"count":1,"after":[0]}]}',
            b'{"spec":"x","steps":[{"count":1,"after":[-1]}]}',
        ):
            with self.subTest(value=value):
                self.assertIsInstance(_decode.decode_job_spec(value), Err)


class PathTest(VirtualTimeTestCase):
    """A complete manager on loopback addresses: submit, run, query and cancel jobs."""

    async def asyncSetUp(self):
        self.platform = JobPlatform()
        self.addCleanup(self.platform.stop)
        self.platform.configure(1)
        self.platform.add_backend('i-1', 'desk')
        self.caller = f'127.0.0.1:{free_port()}'
        self.readiness = f'127.0.0.1:{free_port()}'
        settings = ManagerSettings(
            member_id='edge-1',
            availability_zone='zone-a',
            caller_address=self.caller,
            readiness_address=self.readiness,
            store_address=self.platform.store_server.address,
            hosts_address=self.platform.host_server.address,
            timing=TIMING,
        )
        self.manager = Manager(settings)
        self.manager.start()
        self.addAsyncCleanup(self.manager.stop)
        self.client = new_http_client(8)
        self.addCleanup(self.client.close)
        await self.until_ready()

    async def until_ready(self):
        await wait_until(self.manager.core.call_handler.ready, 10)

    async def call(self, method, path, body=None, key='key-1', host='desk.example'):
        connections = self.client.connections(self.caller, None, 500)
        data = None if body is None else msgspec.json.encode(body)
        headers = {'Host': host, 'X-Api-Key': key}
        fetched = await self.client.call(connections, method, path, data, 4000, headers)
        body = msgspec.json.decode(fetched.body) if fetched.body else {}
        return fetched.code, body

    JOB = {'spec': 'work', 'steps': [{'count': 2, 'cpu': 500, 'est_ms': 100}]}

    async def test_a_job_is_accepted_runs_and_is_done(self):
        """Guards against a fault anywhere between submission and the end of a job."""
        path = '/quotes/00000000000000aa'
        self.assertEqual((await self.call('POST', path, self.JOB))[0], 202)
        self.assertEqual((await self.call('POST', path, self.JOB))[0], 202)
        for _ in range(100):
            status, body = await self.call('GET', path)
            if status == 200 and body['state'] == 'done':
                break
            await asyncio.sleep(0.1)
        self.assertEqual(body, {'state': 'done'})
        starts = self.platform.backends_by_id['i-1'].starts
        self.assertEqual(len(starts), 2)

    async def test_calls_that_are_refused(self):
        """Guards against calls that are accepted with an unknown queue or key."""
        path = '/quotes/00000000000000ab'
        cases = [
            (('POST', path, self.JOB, 'wrong'), 401),
            (('POST', '/other/00000000000000ab', self.JOB), 404),
            (('POST', path, self.JOB, 'key-1', 'other.example'), 404),
            (('POST', path, {'spec': 'x'}), 400),
            (('GET', path), 410),
            (('DELETE', path), 410),
            (('GET', '/quotes/'), 200),
        ]
        for arguments, status in cases:
            with self.subTest(arguments=arguments):
                self.assertEqual((await self.call(*arguments))[0], status)

    async def test_a_withdrawn_key_and_a_dropped_queue_count_at_once(self):
        """Guards against a job that is accepted under an old configuration."""
        path = '/quotes/00000000000000ac'
        for version, fields, status in (
            (2, {'tenants': []}, 401),
            (3, {}, None),
            (4, {'routes': []}, 404),
        ):
            with self.subTest(version=version):
                self.platform.configure(version, **fields)
                if status is None:
                    await asyncio.sleep(2)
                    continue
                self.assertEqual((await self.call('POST', path, self.JOB))[0], status)

    async def test_refusals_are_correct_while_the_store_is_unavailable(self):
        """Guards against 'not accepted' for a job that may have been stored."""
        path = '/quotes/00000000000000ad'
        server = self.platform.store_server
        server.faults = [503] * 400
        self.assertEqual((await self.call('POST', path, self.JOB))[0], 503)
        server.faults = []
        await self.until_ready()
        server.faults = [0] * 400
        self.assertEqual((await self.call('POST', path, self.JOB))[0], 504)
        server.faults = []

    async def test_a_job_is_cancelled_right_after_its_acceptance(self):
        """Guards against 'no such job' for one that the view does not show yet."""
        path = '/quotes/00000000000000af'
        slow = {'spec': 'work', 'steps': [{'count': 1, 'cpu': 500, 'daemon': True}]}
        self.assertEqual((await self.call('POST', path, slow))[0], 202)
        self.assertEqual((await self.call('DELETE', path))[0], 200)
        await asyncio.sleep(2)
        _, body = await self.call('GET', path)
        self.assertEqual(body, {'state': 'canceled'})
        self.assertEqual(self.platform.backends_by_id['i-1'].runs_by_name, {})

    async def test_a_cancelled_job_is_shown_as_such(self):
        """Guards against a cancellation that is acknowledged but not stored."""
        path = '/quotes/00000000000000ae'
        slow = {'spec': 'work', 'steps': [{'count': 1, 'cpu': 500, 'daemon': True}]}
        await self.call('POST', path, slow)
        await asyncio.sleep(0.5)
        self.assertEqual((await self.call('DELETE', path))[0], 200)
        await asyncio.sleep(1)
        status, body = await self.call('GET', path)
        self.assertEqual((status, body), (200, {'state': 'canceled'}))
        self.assertEqual(self.platform.backends_by_id['i-1'].runs_by_name, {})


if __name__ == '__main__':
    unittest.main()
