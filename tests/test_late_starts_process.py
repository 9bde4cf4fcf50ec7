"""Backend servers that carry out calls late, after a restart, and a real manager."""

import asyncio
import sys
import tempfile
import unittest
from functools import partial
from pathlib import Path

import msgspec
import yaml

from dandelionknot import codec
from dandelionknot._http_client import new_http_client
from dandelionknot.clock import now_ms, seconds
from emulator.backends import LASTING_PAYLOAD
from emulator.fleet import TIMING
from standins.fleet import free_port
from standins.job_platform import JobPlatform
from standins.relay import start_relay
from standins.waiting import wait_until

# Bounds the wait for an event that never happens; no result depends on its length.
MAX_WAIT_S = 30
# Age of the backend servers at the begin. The deadlines in orders to them lie this far
# ahead for a later lifetime.
AGE_MS = 100_000
# Time from a restart until the start is carried out, unless the leader is slower.
LATE_MS = 2000
# Time from a crash to the restart, and from a cut until a hold is carried out late.
DARK_MS = 300
AFTER_CUT_MS = 1000
# Tries that a link makes of one start.
TRIES = 3
JOB_ID = '00000000000000d1'
TASK = f'{JOB_ID}.0.0.0'
JOB = {'spec': LASTING_PAYLOAD, 'steps': [{'count': 1, 'cpu': 500, 'est_ms': 100_000}]}


class LateCallTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.directory = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.platform = JobPlatform()
        self.addCleanup(self.platform.stop)
        self.platform.configure(1)
        self.client = new_http_client(8)
        self.addCleanup(self.client.close)
        self.release = asyncio.Event()
        self.held = 0
        self.doubles: list[str] = []
        self.first = self.add_backend('i-1')
        server = self.platform.backend_servers_by_id['i-1']
        self.relay = await start_relay(server.address)
        self.addAsyncCleanup(self.relay.stop)
        self.platform.advertised_addresses_by_id['i-1'] = self.relay.address
        self.platform.register('i-1')
        self.late_calls = self.platform.late_calls_by_backend_id['i-1']
        await self.start_manager()

    def add_backend(self, backend_id):
        born_ms = max(1, now_ms() - AGE_MS)
        backend = self.platform.add_backend(backend_id, 'desk', born_ms=born_ms)
        backend.on_start = partial(self.check_start, backend)
        return backend

    def check_start(self, backend, task_name, run):
        for other in self.platform.backends_by_id.values():
            other.advance()
            if other is not backend and other.up and task_name in other.runs_by_name:
                self.doubles.append(
                    f'run {run} starts on {backend.backend_id} while run '
                    f'{other.runs_by_name[task_name].run} is on {other.backend_id}'
                )

    async def start_manager(self):
        addresses = [f'127.0.0.1:{free_port()}' for _ in range(2)]
        self.caller_address = addresses[0]
        settings = {
            'member_id': 'edge-1',
            'availability_zone': 'zone-a',
            'caller_address': addresses[0],
            'readiness_address': addresses[1],
            'store_address': self.platform.store_server.address,
            'timing': codec.to_data(TIMING),
        }
        path = self.directory / 'edge-1.yaml'
        path.write_text(yaml.safe_dump(settings))
        with (self.directory / 'edge-1.log').open('wb') as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable, '-m', 'dandelionknot.manager', str(path), stdout=log
            )
        self.addAsyncCleanup(self.end, process)
        await wait_until(self.accepts_job, MAX_WAIT_S)

    async def end(self, process):
        process.kill()
        await process.wait()

    async def accepts_job(self):
        connections = self.client.connections(self.caller_address, None, 1000)
        headers = {'Host': 'desk.example', 'X-Api-Key': 'key-1'}
        fetched = await self.client.call(
            connections, 'GET', '/quotes/', None, 5000, headers
        )
        return fetched.code == 200

    async def submit(self):
        connections = self.client.connections(self.caller_address, None, 1000)
        headers = {'Host': 'desk.example', 'X-Api-Key': 'key-1'}
        fetched = await self.client.call(
            connections,
            'POST',
            f'/quotes/{JOB_ID}',
            msgspec.json.encode(JOB),
            5000,
            headers,
        )
        self.assertIn(fetched.code, (200, 201, 202))

    def hold_back(self, path, count):
        """Leaves the next calls to a path without an answer until they are released."""

        def hold_back(called_path):
            if called_path != path or self.held >= count:
                return None
            self.held += 1
            return self.release.wait()

        self.late_calls.hold_back = hold_back

    async def restart(self, **fields):
        """Starts a later lifetime of the first server and waits until it is called."""
        self.first.crash()
        await asyncio.sleep(seconds(DARK_MS))
        self.first.restart()
        self.platform.register('i-1', **fields)
        await self.wait_for_hold('i-1')

    async def wait_for_hold(self, backend_id):
        calls = self.platform.backend_servers_by_id[backend_id].calls
        before = len(calls)
        await wait_until(lambda: 'POST /hold' in calls[before:], MAX_WAIT_S)

    async def release_late(self):
        """Lets the later lifetime carry out the held calls."""
        self.release.set()
        await wait_until(
            lambda: len(self.late_calls.carried_out) == self.held, MAX_WAIT_S
        )
        late = {call.born_ms for call in self.late_calls.carried_out}
        self.assertEqual(late, {self.first.born_ms})

    async def assert_late_start_runs_nothing_twice(self, second):
        """Restarts the first server, which then carries out a start late.

        It does so after the leader has reached the later lifetime, and while the task
        runs on the second server.
        """
        await self.restart(state='draining')
        due_ms = self.first.born_ms + LATE_MS
        await wait_until(lambda: TASK in second.runs_by_name, MAX_WAIT_S)
        await asyncio.sleep(seconds(max(0, due_ms - now_ms())))
        await self.release_late()
        self.assertEqual(self.doubles, [])

    async def test_a_start_without_an_answer_that_a_later_lifetime_carries_out(self):
        """Guards against a second run by a start that a former lifetime had barred."""
        self.hold_back('/run-start', TRIES)
        await self.submit()
        await wait_until(lambda: self.held == TRIES, MAX_WAIT_S)
        self.platform.register('i-1', state='draining')
        second = self.add_backend('i-2')
        await wait_until(lambda: TASK in second.runs_by_name, MAX_WAIT_S)
        await self.assert_late_start_runs_nothing_twice(second)

    async def test_an_earlier_try_of_an_answered_start_that_comes_late(self):
        """Guards against a second run by a start of which another try was answered."""
        self.hold_back('/run-start', 1)
        await self.submit()
        await wait_until(lambda: TASK in self.first.runs_by_name, MAX_WAIT_S)
        self.platform.register('i-1', state='draining')
        second = self.add_backend('i-2')
        await self.assert_late_start_runs_nothing_twice(second)

    async def test_a_late_hold_prolongs_the_lease_of_a_server_that_is_cut_off(self):
        """Guards against a second run beside one that a former hold keeps alive."""
        await self.submit()
        await wait_until(lambda: TASK in self.first.runs_by_name, MAX_WAIT_S)
        await self.wait_for_hold('i-1')
        self.hold_back('/hold', 1)
        await wait_until(lambda: self.held == 1, MAX_WAIT_S)
        await self.restart()
        await wait_until(lambda: TASK in self.first.runs_by_name, MAX_WAIT_S)
        second = self.add_backend('i-2')
        await self.wait_for_hold('i-2')
        self.relay.faults.silent = True
        await asyncio.sleep(seconds(AFTER_CUT_MS))
        await self.release_late()

        def has_ended_or_runs_elsewhere():
            self.first.advance()
            return TASK not in self.first.runs_by_name or TASK in second.runs_by_name

        await wait_until(has_ended_or_runs_elsewhere, MAX_WAIT_S)
        self.assertEqual(self.doubles, [])


if __name__ == '__main__':
    unittest.main()
