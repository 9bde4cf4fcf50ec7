"""Entries of other writers among those of the backend servers."""

import asyncio
import json
import signal
import sys
import tempfile
import unittest
from pathlib import Path

import msgspec
import yaml
from result import Err

from dandelionknot import codec
from dandelionknot._http_client import new_http_client
from dandelionknot._http_connections import HttpConnections
from dandelionknot.errors import PortErrorKind
from dandelionknot.platform._decode import decode_job_spec
from dandelionknot.platform._items import decode_fact
from dandelionknot.store import Item
from emulator.fleet import TIMING
from standins.fleet import free_port
from standins.job_platform import JobPlatform
from standins.waiting import wait_until

MAX_WAIT_S = 60
JOB = {'spec': 'work', 'steps': [{'count': 3, 'cpu': 500, 'est_ms': 100}]}
VALID = {
    'service': 'desk',
    'addr': '127.0.0.1:9',
    'zone': 'zone-a',
    'state': 'ready',
    'room': {'cpu': 64_000, 'mem_mb': 64_000},
    'labels': ['std', 'r1-1'],
    'born': 1_700_000_000_000,
}
DEPTH = 50_000
HUGE = 10**400


def entry(**fields):
    """Returns the bytes of an entry with some other fields."""
    return json.dumps(VALID | fields).encode()


def entry_with(text):
    """Returns the bytes of an entry that ends with a further field."""
    return entry()[:-1] + b',' + text + b'}'


ODD_VALUES = {
    'nested arrays': b'[' * DEPTH,
    'nested objects': b'{"a":' * DEPTH + b'1' + b'}' * DEPTH,
    'nested unknown field': entry_with(b'"x":' + b'[' * DEPTH + b']' * DEPTH),
    'nested room': entry_with(b'"room":' + b'{"cpu":' * DEPTH + b'1' + b'}' * DEPTH),
    'nested labels': entry_with(b'"labels":' + b'[' * DEPTH + b']' * DEPTH),
    'huge start time': entry(born=10**30),
    'start time of 5000 digits': entry_with(b'"born":' + b'9' * 5000),
    'negative start time': entry(born=-1),
    'entry number of another type': entry(seq='7'),
    'huge entry number': entry(seq=HUGE),
    'huge room': entry(room={'cpu': HUGE, 'mem_mb': 1000}),
    'huge memory': entry(room={'cpu': 1000, 'mem_mb': HUGE}),
    'huge accelerators': entry(room={'cpu': 1000, 'mem_mb': 1000, 'gpu': HUGE}),
    'negative room': entry(room={'cpu': -1, 'mem_mb': 1000}),
    'float out of range': entry_with(b'"cold_left_ms":1e400'),
    'huge float': entry_with(b'"cold_left_ms":1e308'),
    'huge remaining time': entry_with(b'"remaining_ms":1e300'),
    'negative remaining time': entry(remaining_ms=-1),
    'port above the range': entry(addr='127.0.0.1:99999'),
    'port of 400 digits': entry(addr=f'127.0.0.1:{HUGE}'),
    'negative port': entry(addr='127.0.0.1:-1'),
    'port 0': entry(addr='127.0.0.1:0'),
    'no port': entry(addr='127.0.0.1:'),
    'port with letters': entry(addr='127.0.0.1:http'),
    'port in other digits': entry(addr='127.0.0.1:８０'),
    'port with an underscore': entry(addr='127.0.0.1:8_0'),
    'port with a space': entry(addr='127.0.0.1: 80'),
    'host name': entry(addr='localhost:80'),
    'no host': entry(addr=':80'),
    'address of the other family': entry(addr='[::1]:80'),
    'address with a null byte': entry(addr='127.0.0.1\0:80'),
    'short address': entry(addr='127.1:80'),
    'address of no number': entry(addr='1.2.3.4.5:80'),
    'number as state': entry(state=7),
    'unknown state': entry(state='asleep'),
    'bytes': b'\xff\xfe\x00',
    'nothing': b'',
}
ODD_KEYS = {
    'no id': 'servers/',
    'space': 'servers/a b',
    'line break': 'servers/a\r\nX-Other: 1',
    'not ASCII': 'servers/é',
    'path': 'servers/a/b',
}


class DecodingTest(unittest.TestCase):
    def test_a_plain_entry_is_decoded(self):
        """Guards against checks that no entry passes."""
        self.assertFalse(isinstance(decode_fact(Item('servers/i-1', entry(), 3)), Err))

    def test_the_number_of_an_entry_is_decoded(self):
        """Guards against entries of one lifetime that are ordered by arrival."""
        for fields, number in (({}, 0), ({'seq': 7}, 7)):
            fact = decode_fact(Item('servers/i-1', entry(**fields), 3)).ok_value
            self.assertEqual(fact.report.entry_number, number)

    def test_odd_entries_name_no_backend_server(self):
        """Guards against values that fail later, where they affect other entries."""
        for what, value in ODD_VALUES.items():
            with self.subTest(what):
                decoded = decode_fact(Item('servers/i-1', value, 3))
                self.assertIsInstance(decoded, Err)
        for what, key in ODD_KEYS.items():
            with self.subTest(what):
                self.assertIsInstance(decode_fact(Item(key, entry(), 3)), Err)


class SubmissionTest(unittest.TestCase):
    def test_amounts_out_of_range_are_refused(self):
        """Guards against a job that ends the planning of each leader with an error."""
        for field in ('cpu', 'mem_mb', 'gpu', 'est_ms', 'max_per_server', 'may_miss'):
            for amount in (2**53 + 2, 10**308):
                with self.subTest(field=field):
                    step = {'count': 1, 'cpu': 1} | {field: amount}
                    body = json.dumps({'spec': 'x', 'steps': [step]}).encode()
                    self.assertIsInstance(decode_job_spec(body), Err)
        for field in ('times', 'first_ms', 'interval_ms'):
            body = {'spec': 'x', 'steps': [{'count': 1}], field: 10**300}
            decoded = decode_job_spec(json.dumps(body).encode())
            self.assertIsInstance(decoded, Err)


class AddressTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_connection_to_no_address_is_an_error(self):
        """Guards against exceptions where callers expect a value."""
        for address in ('127.0.0.1:99999', '127.0.0.1:x', '', 'é:1', 'a\0:1'):
            with self.subTest(address):
                answer = await HttpConnections(address).call('GET', '/', None, 500)
                self.assertIsInstance(answer, Err)
                self.assertIs(answer.err_value.kind, PortErrorKind.NOT_SENT)


class ProcessTest(unittest.IsolatedAsyncioTestCase):
    """Manager processes that read odd entries in a list, in a watch, or both."""

    async def asyncSetUp(self):
        self.directory = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.platform = JobPlatform()
        self.addCleanup(self.platform.stop)
        self.platform.configure(1)
        self.platform.add_backend('i-1', 'desk')
        self.platform.add_backend('i-2', 'desk')
        self.client = new_http_client(8)
        self.addCleanup(self.client.close)
        self.callers = {}
        self.processes = {}

    async def start(self, member_id):
        addresses = [f'127.0.0.1:{free_port()}' for _ in range(3)]
        self.callers[member_id] = addresses[0]
        path = self.directory / f'{member_id}.yaml'
        settings = {
            'member_id': member_id,
            'availability_zone': 'zone-a',
            'caller_address': addresses[0],
            'readiness_address': addresses[1],
            'metrics_address': addresses[2],
            'store_address': self.platform.store_server.address,
            'timing': codec.to_data(TIMING),
        }
        path.write_text(yaml.safe_dump(settings))
        with (self.directory / f'{member_id}.log').open('ab') as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable, '-m', 'dandelionknot.manager', str(path), stdout=log
            )
        self.processes[member_id] = process
        self.addAsyncCleanup(self.end, process)

    async def end(self, process):
        if process.returncode is None:
            process.kill()
            await process.wait()

    def put_odd_entries(self):
        for number, value in enumerate(ODD_VALUES.values()):
            self.platform.store.put(f'servers/odd-{number:02}', value)
        for key in ODD_KEYS.values():
            self.platform.store.put(key, entry())
        self.platform.store.put('servers/i-2', ODD_VALUES['nested objects'])

    async def call(self, member_id, method, path, body=None):
        connections = self.client.connections(self.callers[member_id], None, 1000)
        data = None if body is None else msgspec.json.encode(body)
        headers = {'Host': 'desk.example', 'X-Api-Key': 'key-1'}
        fetched = await self.client.call(connections, method, path, data, 5000, headers)
        return fetched.code, fetched.body

    async def has_ended(self, path):
        for member_id in self.callers:
            _, body = await self.call(member_id, 'GET', path)
            if b'done' not in body:
                return False
        return True

    async def assert_serves(self, job_id):
        """Checks that a job is done, and that each process shows it."""
        path = f'/quotes/{job_id}'

        async def is_accepted():
            status, _ = await self.call('edge-1', 'POST', path, JOB)
            return status == 202

        await wait_until(is_accepted, MAX_WAIT_S)
        await wait_until(lambda: self.has_ended(path), MAX_WAIT_S)

    def log_lines(self, *messages):
        """Returns the log lines of all processes with one of some messages."""
        lines = []
        for path in sorted(self.directory.glob('*.log')):
            for line in path.read_text().splitlines():
                if json.loads(line)['message'] in messages:
                    lines.append(line)
        return lines

    async def test_processes_serve_on_beside_odd_entries(self):
        """Guards against processes that end again and again, or follow no changes."""
        self.put_odd_entries()
        for member_id in ('edge-1', 'edge-2', 'edge-3'):
            await self.start(member_id)
        await self.assert_serves('00000000000000d1')
        self.put_odd_entries()
        await self.assert_serves('00000000000000d2')
        self.platform.register('i-2')
        self.processes['edge-2'].send_signal(signal.SIGKILL)
        await self.processes['edge-2'].wait()
        await self.start('edge-2')
        await self.assert_serves('00000000000000d3')
        for process in self.processes.values():
            self.assertIsNone(process.returncode)
        self.assertEqual(self.log_lines('unexpected error', 'term ended'), [])
        malformed = self.log_lines('platform value malformed')
        self.assertTrue(any('servers/odd-00' in line for line in malformed))


if __name__ == '__main__':
    unittest.main()
