"""Checks the contracts of the platform port and the backend port over HTTP."""

import asyncio
import json
import unittest

from result import Err

from dandelionknot._http_client import ConnectionHealth, HttpTarget, new_http_client
from dandelionknot.entry._backend_http import http_backend_port
from dandelionknot.entry._platform_http import http_platform_port
from dandelionknot.messages import (
    LeaseRenewal,
    ListedHostState,
    StartRefusal,
    TaskStart,
    TaskState,
    WriteOutcome,
    WriteRequest,
)
from dandelionknot.ports import PortErrorKind
from standins.backend import start_backend
from standins.platform import start_platform
from standins.relay import start_relay
from standins.waiting import wait_until

LEASE_MS = 300


class PortTest(unittest.IsolatedAsyncioTestCase):
    async def target(self, address: str) -> HttpTarget:
        client = new_http_client(8)
        self.addCleanup(client.close)
        return HttpTarget(
            client=client,
            address=address,
            connect_timeout_ms=200,
            read_timeout_ms=400,
            source_ip=None,
            health=ConnectionHealth(),
        )


class PlatformPortTest(PortTest):
    async def asyncSetUp(self):
        self.platform = await start_platform()
        self.addAsyncCleanup(self.platform.stop)
        self.relay = await start_relay(self.platform.address)
        self.addAsyncCleanup(self.relay.stop)
        self.port = http_platform_port(await self.target(self.relay.address))

    def write(self, key: str, expected: int, value: str | None, lease=None):
        request = WriteRequest(
            key=key, expected_revision=expected, value=value, lease_id=lease
        )
        return self.port.compare_and_swap(request)

    async def test_compare_and_swap(self):
        """Guards against a write that overwrites a value changed in the meantime."""
        first = (await self.write('a', 0, '1')).unwrap()
        self.assertEqual(first.outcome, WriteOutcome.WRITTEN)
        stale = (await self.write('a', 0, '2')).unwrap()
        self.assertEqual(stale.outcome, WriteOutcome.CONFLICT)
        self.assertEqual(stale.revision, first.revision)
        await self.write('a', first.revision, None)
        self.assertEqual((await self.port.read('a')).unwrap().revision, 0)

    async def test_watch_returns_only_newer_values(self):
        """Guards against changes and deletions that a watch misses."""
        kept = (await self.write('fleet/kept', 0, '1')).unwrap()
        gone = (await self.write('fleet/gone', 0, '1')).unwrap()
        waiting = asyncio.create_task(self.port.watch('fleet/', gone.revision, 5000))
        await self.write('other', 0, '1')
        await self.write('fleet/gone', gone.revision, None)
        found = (await waiting).unwrap()
        self.assertEqual(found.deleted_keys, ['fleet/gone'])
        self.assertEqual(found.values, [])
        unchanged = (await self.port.watch('fleet/', found.revision, 50)).unwrap()
        self.assertEqual((unchanged.values, unchanged.deleted_keys), ([], []))
        everything = (await self.port.list('fleet/')).unwrap()
        self.assertEqual([each.revision for each in everything.values], [kept.revision])

    async def test_a_lease_that_is_not_renewed_deletes_its_value(self):
        """Guards against stopped members that stay listed as alive."""
        lease = (await self.port.grant_lease(LEASE_MS)).unwrap()
        await self.write('alive', 0, '1', lease.lease_id)
        self.assertTrue((await self.port.renew_lease(lease.lease_id)).is_ok())

        async def is_gone() -> bool:
            return (await self.port.read('alive')).unwrap().revision == 0

        await wait_until(is_gone, 5)
        self.assertIsInstance(await self.port.renew_lease(lease.lease_id), Err)

    async def test_faults_are_values(self):
        """Guards against exceptions and against `NOT_SENT` for a call that was sent."""
        faults = self.platform.state.faults
        faults.lost_write_answers = 1
        lost = await self.write('lost', 0, '1')
        self.assertEqual(lost.err_value.kind, PortErrorKind.NO_ANSWER)
        self.assertEqual((await self.port.read('lost')).unwrap().value, '1')
        faults.delay_ms = 2000
        slow = await self.port.read('lost')
        self.assertEqual(slow.err_value.kind, PortErrorKind.NO_ANSWER)
        faults.delay_ms = 0
        self.assertTrue((await self.port.read('lost')).is_ok())
        self.relay.freeze_open()
        unanswered = await self.port.read('lost')
        self.assertEqual(unanswered.err_value.kind, PortErrorKind.NO_ANSWER)
        self.assertTrue((await self.port.read('lost')).is_ok(), 'no fresh connection')
        await self.relay.stop()
        refused = await self.port.read('lost')
        self.assertIsInstance(refused, Err)

    async def test_host_list_is_sent_only_after_a_change(self):
        """Guards against a host list that is read in full at every poll."""
        self.platform.state.set_listed_state('host-1', ListedHostState.LIVE)
        listed = (await self.port.list_hosts()).unwrap()
        again = (await self.port.list_hosts()).unwrap()
        self.assertIs(again, listed)
        self.platform.state.set_listed_state('host-1', ListedHostState.LEAVING)
        changed = (await self.port.list_hosts()).unwrap()
        self.assertEqual(changed.states_by_host['host-1'], ListedHostState.LEAVING)


class BackendPortTest(PortTest):
    async def asyncSetUp(self):
        self.backend = await start_backend()
        self.addAsyncCleanup(self.backend.stop)
        self.port = http_backend_port(await self.target(self.backend.address))

    async def start(self, task_id: str, run_ms: int = 0, **fields):
        token = (await self.port.usage()).unwrap().start_token
        values = {
            'task_id': task_id,
            'request_id': task_id,
            'attempt': 1,
            'service': 'quotes',
            'team': 'desk',
            'pool_epoch': 0,
            'start_token': token,
            'lease_ms': 60000,
            'payload': json.dumps({'text': 'answer', 'run_ms': run_ms}),
        }
        return (await self.port.start(TaskStart(**values | fields))).unwrap()

    async def test_a_task_starts_once(self):
        """Guards against a task that runs again when its start is repeated."""
        for _ in range(3):
            report = await self.start('task')
            self.assertEqual(report.result, 'answer')
        self.assertEqual(self.backend.state.runs_by_request['task'], 1)

    async def test_refusals_have_not_run(self):
        """Guards against a refused start whose task runs nevertheless."""
        await self.port.stop('barred')
        await self.start('holder', 60000)
        state = self.backend.state
        cases = [
            (StartRefusal.BARRED, 'barred', {}, {}),
            (StartRefusal.STALE_TOKEN, 'stale', {'start_token': '1.1'}, {}),
            (StartRefusal.CANNOT_FIT, 'large', {'cores': 100_000}, {}),
            (StartRefusal.BUSY, 'busy', {}, {'slots': 1}),
            (StartRefusal.DRAINING, 'draining', {}, {'draining': True}),
        ]
        for refusal, task_id, fields, condition in cases:
            with self.subTest(refusal):
                for name, value in condition.items():
                    setattr(state, name, value)
                report = await self.start(task_id, **fields)
                self.assertEqual(report.refusal, refusal)
                self.assertEqual(report.state, TaskState.NEVER_STARTED)
                self.assertNotIn(task_id, state.runs_by_request)
                state.slots, state.draining = 8, False

    async def test_a_lease_ends_unless_renewed(self):
        """Guards against tasks that keep running after their entry host has stopped."""
        await self.start('kept', 60000, lease_ms=LEASE_MS)
        await self.start('left', 60000, lease_ms=LEASE_MS)
        renewal = LeaseRenewal(task_ids=['kept', 'none'], lease_ms=60000)
        report = (await self.port.renew(renewal)).unwrap()
        self.assertEqual((report.renewed, report.missing), (['kept'], ['none']))
        expired = (await self.port.status('left', 5000)).unwrap()
        self.assertEqual(expired.state, TaskState.EXPIRED)
        kept = (await self.port.status('kept', 0)).unwrap()
        self.assertEqual(kept.state, TaskState.RUNNING)

    async def test_throttle_checkpoint_drain_and_reboot(self):
        """Guards against faults of calls that no other test of the port covers."""
        await self.start('slow', 60000)
        before = self.backend.state.tasks_by_id['slow'].ends_ms
        await self.port.throttle('slow', 50)
        self.assertGreater(self.backend.state.tasks_by_id['slow'].ends_ms, before)
        reported = (await self.port.checkpoint('slow')).unwrap()
        self.assertIn('checkpoint', reported.message or '')
        self.assertTrue((await self.port.drain(True)).unwrap().draining)
        self.assertFalse((await self.port.reboot()).unwrap().draining)
        unknown = (await self.port.status('slow', 0)).unwrap()
        self.assertEqual(unknown.state, TaskState.NEVER_STARTED)
