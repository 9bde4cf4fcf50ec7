"""Manager processes as the platform starts them, and the contents of their logs."""

import asyncio
import contextlib
import io
import re
import signal
import sys
import unittest

import msgspec
import yaml

from dandelionknot import cli
from dandelionknot.exit_status import ExitStatus
from dandelionknot.manager.settings import load_manager_settings
from standins.waiting import wait_until
from tests.manager_processes import JOB, MAX_WAIT_S, ManagerProcessCase


class ProcessTest(ManagerProcessCase):
    def explain(self, subject):
        logs = [str(path) for path in sorted(self.directory.glob('*.log'))]
        out = io.StringIO()
        with contextlib.redirect_stdout(out):
            status = cli.main(['explain', subject, *logs])
        self.assertIs(status, ExitStatus.SUCCESS)
        return out.getvalue()

    async def test_timeline_of_a_job_that_lost_its_host(self):
        """Guards against logs that do not show why a job ran twice and ended late."""
        backend = self.platform.add_backend('i-1', 'desk')
        backend.is_stalled = True
        await self.start('edge-1')
        path = '/quotes/00000000000000ba'
        await self.call('edge-1', 'POST', path, JOB)
        await wait_until(lambda: bool(backend.runs_by_name), MAX_WAIT_S)
        backend.crash()
        backend.restart()
        backend.is_stalled = False
        self.platform.register('i-1')
        await wait_until(lambda: self.has_ended('edge-1', path), MAX_WAIT_S)
        await asyncio.sleep(0.2)
        timeline = self.explain('00000000000000ba')
        expected = (
            r'job accepted: .*configuration_version=1.*\n'
            r'(.*\n)*.*task started: .*run=1.*\n'
            r'(.*\n)*.*task requeued: .*backend_id=i-1.*run=1.*\n'
            r'(.*\n)*.*task started: .*run=2.*\n'
            r'(.*\n)*.*job ended: .*phase=done'
        )
        self.assertRegex(timeline, expected)
        self.assertNotIn('missing', timeline)

    async def test_timeline_of_a_job_that_crashes_its_hosts(self):
        """Guards against a failed job of which caller and operator see no cause."""
        backends = [self.platform.add_backend(i, 'desk') for i in ('i-1', 'i-2')]
        for backend in backends:
            backend.deadly_task_names.add('00000000000000bc.0.0.0')

        def crashing():
            return next((b for b in backends if b.crashing), None)

        await self.start('edge-1')
        path = '/quotes/00000000000000bc'
        await self.call('edge-1', 'POST', path, JOB)
        for _ in range(3):
            await wait_until(lambda: crashing() is not None, MAX_WAIT_S)
            backend = crashing()
            backend.crash()
            await asyncio.sleep(0.1)
            backend.restart()
            self.platform.register(backend.backend_id)
        await wait_until(lambda: self.has_ended('edge-1', path, b'failed'), MAX_WAIT_S)
        _, body = await self.call('edge-1', 'GET', path)
        self.assertRegex(msgspec.json.decode(body)['reason'], r'\.0\.0\.0 .* crashed')
        self.assertEqual(sum(len(backend.starts) for backend in backends), 3)
        await asyncio.sleep(0.2)
        expected = (
            r'backend lost: .*recent_tasks=.*\n'
            r'(.*\n)*.*task suspected: .*crashes=1 crashes_alone=0.*\n'
            r'(.*\n)*.*task isolated: .*beside_tasks=0.*\n'
            r'(.*\n)*.*task suspected: .*crashes_alone=2.*\n'
            r'(.*\n)*.*job ended: .*phase=failed.*reason=task .* given up.*'
        )
        self.assertRegex(self.explain('00000000000000bc'), expected)
        metrics = await self.fetch_metrics('edge-1')
        self.assertIn(
            'dandelionknot_decisions_total{event="task_given_up"} 1.0', metrics
        )

    async def fetch_metrics(self, member_id):
        connections = self.client.connections(self.metrics[member_id], None, 1000)
        fetched = await self.client.call(connections, 'GET', '/metrics', None, 5000, {})
        return fetched.body.decode()

    async def test_timeline_of_a_refused_job(self):
        """Guards against logged refusals without the reason or the age of the view."""
        self.platform.add_backend('i-1', 'desk')
        await self.start('edge-1')
        self.platform.store_server.faults = [503] * 2000
        status, _ = await self.call('edge-1', 'POST', '/quotes/00000000000000bb', JOB)
        self.assertEqual(status, 503)
        await asyncio.sleep(0.2)
        timeline = self.explain('00000000000000bb')
        self.assertRegex(timeline, r'job refused: .*reason=.*503.*view_age_ms=\d+')

    async def test_the_leader_is_asked_where_a_job_would_go(self):
        """Guards against processes that do not know whom to ask, or answer nothing."""
        self.platform.add_backend('i-1', 'desk')
        for member_id in ('edge-1', 'edge-2'):
            await self.start(member_id)
        job = self.directory / 'job.json'
        job.write_bytes(msgspec.json.encode(JOB))
        texts = []

        async def answers(address):
            words = ['where', 'desk.example/quotes/', str(job), '--account', 'sofia']
            out = io.StringIO()
            with contextlib.redirect_stdout(out), contextlib.redirect_stderr(out):
                status = await asyncio.to_thread(
                    cli.main, [*words, '--manager', address]
                )
            texts.append(out.getvalue())
            return status is ExitStatus.SUCCESS

        for address in self.metrics.values():
            await wait_until(lambda address=address: answers(address), MAX_WAIT_S)
            self.assertRegex(
                texts[-1], r'i-1: 1 task, .*\nanswered by the leader edge-'
            )

    async def test_a_stopped_leader_hands_over_and_a_killed_one_is_replaced(self):
        """Guards against a fleet that starts no tasks after its leader has ended."""
        backend = self.platform.add_backend('i-1', 'desk')
        for member_id in ('edge-1', 'edge-2', 'edge-3'):
            await self.start(member_id)
        for number, how in enumerate((signal.SIGTERM, signal.SIGKILL)):
            leader = await self.leader()
            self.processes[leader].send_signal(how)
            status = await self.processes.pop(leader).wait()
            self.assertEqual(status, 0 if how is signal.SIGTERM else -how)
            other = sorted(self.processes)[0]
            path = f'/quotes/00000000000000c{number}'
            await self.call(other, 'POST', path, JOB)
            await wait_until(lambda o=other, p=path: self.has_ended(o, p), MAX_WAIT_S)
        names = [name for _, name, _ in backend.starts]
        self.assertEqual(len(names), len(set(names)))

    async def leader(self):
        for _ in range(MAX_WAIT_S * 10):
            for member_id in self.processes:
                connections = self.client.connections(
                    self.metrics[member_id], None, 1000
                )
                fetched = await self.client.call(
                    connections, 'GET', '/metrics', None, 5000, {}
                )
                if re.search(rb'^dandelionknot_leading 1', fetched.body, re.M):
                    return member_id
            await asyncio.sleep(0.1)
        raise AssertionError('no process became leader in time')

    async def test_empty_fields_have_their_defaults(self):
        """Guards against a process that cannot start where some limits are not set."""
        path = self.directory / 'sparse.yaml'
        settings = self.settings('edge-1') | {'timing': {'revoke_ms': None}}
        path.write_text(yaml.safe_dump(settings | {'min_lease_ms': None}))
        loaded = load_manager_settings(path).unwrap()
        self.assertEqual((loaded.min_lease_ms, loaded.timing.revoke_ms), (1000, 5000))

    async def test_settings_with_a_fault_are_refused_by_name(self):
        """Guards against a process that starts with incomplete settings."""
        path = self.directory / 'bad.yaml'
        path.write_text('member_id: edge-1\navailability_zone: 7\n')
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'dandelionknot.manager',
            str(path),
            stdout=asyncio.subprocess.PIPE,
        )
        errors, _ = await process.communicate()
        self.assertEqual(process.returncode, ExitStatus.INVALID_INPUT)
        self.assertIn(b'availability_zone', errors)


if __name__ == '__main__':
    unittest.main()
