"""A manager process with stand-ins of the platform, as a base of tests."""

import asyncio
import sys
import tempfile
import unittest
from pathlib import Path

import msgspec
import yaml

from dandelionknot import codec
from dandelionknot._http_client import new_http_client
from emulator.fleet import TIMING
from standins.fleet import free_port
from standins.job_platform import JobPlatform
from standins.waiting import wait_until

# Bounds the wait for an event that never happens; no result depends on its length.
MAX_WAIT_S = 60
JOB = {'spec': 'work', 'steps': [{'count': 1, 'cpu': 500, 'est_ms': 100}]}


class ManagerProcessCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.directory = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.platform = JobPlatform()
        self.addCleanup(self.platform.stop)
        self.platform.configure(1)
        self.client = new_http_client(8)
        self.addCleanup(self.client.close)
        self.callers: dict[str, str] = {}
        self.metrics: dict[str, str] = {}
        self.processes: dict[str, asyncio.subprocess.Process] = {}

    def settings(self, member_id):
        addresses = [f'127.0.0.1:{free_port()}' for _ in range(3)]
        self.callers[member_id], readiness, self.metrics[member_id] = addresses
        return {
            'member_id': member_id,
            'availability_zone': 'zone-a',
            'caller_address': addresses[0],
            'readiness_address': readiness,
            'metrics_address': addresses[2],
            'store_address': self.platform.store_server.address,
            'timing': codec.to_data(TIMING),
        }

    async def start(self, member_id):
        path = self.directory / f'{member_id}.yaml'
        path.write_text(yaml.safe_dump(self.settings(member_id)))
        with (self.directory / f'{member_id}.log').open('wb') as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable, '-m', 'dandelionknot.manager', str(path), stdout=log
            )
        self.processes[member_id] = process
        self.addAsyncCleanup(self.end, process)
        await wait_until(lambda: self.answers(member_id), MAX_WAIT_S)

    async def end(self, process):
        if process.returncode is None:
            process.kill()
            await process.wait()

    async def answers(self, member_id):
        status, _ = await self.call(member_id, 'GET', '/quotes/')
        return status == 200

    async def call(self, member_id, method, path, body=None):
        connections = self.client.connections(self.callers[member_id], None, 1000)
        data = None if body is None else msgspec.json.encode(body)
        headers = {'Host': 'desk.example', 'X-Api-Key': 'key-1'}
        fetched = await self.client.call(connections, method, path, data, 5000, headers)
        return fetched.code, fetched.body

    async def has_ended(self, member_id, path, state=b'done'):
        _, body = await self.call(member_id, 'GET', path)
        return state in body
