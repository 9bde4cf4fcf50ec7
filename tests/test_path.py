"""Tests the path of a request from caller to backend server and back."""

import asyncio
import unittest

from standins.fleet import (
    FleetSettings,
    LocalFleet,
    Response,
    new_request_id,
    start_fleet,
)
from standins.waiting import wait_until

ENTRY = 'zone-a-entry-0'


def refusal(response: Response) -> tuple[int, str, str]:
    """Returns the status, error code and run state of a refusal."""
    return response.status, response.body['code'], response.body['run_state']


class PathTest(unittest.IsolatedAsyncioTestCase):
    fleet: LocalFleet

    async def asyncSetUp(self):
        fleet_settings = FleetSettings(settings={'max_body_bytes': 4096})
        self.fleet = await start_fleet(fleet_settings)
        self.addAsyncCleanup(self.fleet.stop)

    async def test_each_entry_host_answers_with_the_whole_result(self):
        """Guards against truncated results through any entry host."""
        for member_id in self.fleet.entries_by_id:
            text = f'quote from {member_id} ' * 50
            response = await self.fleet.submit(member_id, task={'text': text})
            self.assertEqual(response.status, 200)
            self.assertEqual(response.body['result'], text)
            self.assertEqual(response.body['run_state'], 'ran')

    async def test_answers_are_not_crossed_between_callers(self):
        """Guards against an answer that reaches the caller of another request."""

        async def ask(number: int) -> bool:
            task = {'text': f'answer {number}', 'run_ms': number % 7}
            response = await self.fleet.submit(ENTRY, task=task, deadline_ms=20000)
            return response.body.get('result') == f'answer {number}'

        matches = await asyncio.gather(*(ask(number) for number in range(100)))
        self.assertEqual(matches.count(True), 100)

    async def test_bad_input_is_refused_with_a_typed_error(self):
        """Guards against bad input that is run or refused without its error code."""
        ask = self.fleet.submit
        other = self.fleet.keys_by_team['desk'][:-1] + 'g'
        cases = [
            ('unknown service', {'service': 'rentals'}, (404, 'service_not_found')),
            ('no key', {'key': ''}, (401, 'key_missing')),
            ('wrong key', {'key': other}, (401, 'key_not_valid')),
            ('past deadline', {'deadline_ms': -5}, (504, 'deadline_passed')),
            ('bad id', {'request_id': 'quote-7'}, (400, 'malformed_request')),
            ('unknown field', {'colour': 'red'}, (400, 'malformed_request')),
            ('wrong type', {'idempotent': 'yes'}, (400, 'malformed_request')),
            ('large body', {'task': {'text': 'x' * 5000}}, (413, 'body_too_large')),
        ]
        for name, fields, expected in cases:
            with self.subTest(name):
                response = await ask(ENTRY, **fields)
                self.assertEqual(refusal(response), (*expected, 'not_run'))

    async def test_malformed_json_names_the_problem(self):
        """Guards against a missing JSON body that is refused without its error code."""
        body = await self.fleet.call(ENTRY, 'POST', '/v1/requests', None, None)
        self.assertEqual(refusal(body), (400, 'malformed_request', 'not_run'))

    async def test_reused_id_with_another_body_is_refused(self):
        """Guards against answering a request with the result of another one."""
        request_id = new_request_id()
        first = await self.fleet.submit(ENTRY, request_id=request_id)
        again = await self.fleet.submit(ENTRY, request_id=request_id)
        other = await self.fleet.submit(
            ENTRY, request_id=request_id, task={'text': 'other'}
        )
        self.assertEqual(first.body, again.body)
        self.assertEqual(other.status, 409)
        self.assertEqual(other.body['code'], 'request_id_reused')
        self.assertEqual(self.fleet.count_starts(request_id), 1)

    async def test_async_request_is_fetched_later_and_only_by_its_team(self):
        """Guards against losing an asynchronous result or showing it to others."""
        request_id = new_request_id()
        accepted = await self.fleet.submit(
            ENTRY,
            request_id=request_id,
            mode='async',
            task={'text': 'late', 'run_ms': 50},
        )
        self.assertEqual(accepted.status, 202)
        path = f'/v1/requests/{request_id}?wait_ms=5000'
        key = self.fleet.keys_by_team['desk']
        fetched = await self.fleet.call(ENTRY, 'GET', path, key)
        self.assertEqual(fetched.body['result'], 'late')
        stranger = self.fleet.keys_by_team['night']
        hidden = await self.fleet.call(ENTRY, 'GET', path, stranger)
        self.assertEqual(hidden.status, 404)

    async def test_cancel_stops_a_running_task(self):
        """Guards against a cancelled request whose task continues to run."""
        request_id = new_request_id()
        await self.fleet.submit(
            ENTRY,
            request_id=request_id,
            mode='async',
            task={'run_ms': 60000},
            deadline_ms=70000,
        )
        key = self.fleet.keys_by_team['desk']
        path = f'/v1/requests/{request_id}'
        cancelled = await self.fleet.call(ENTRY, 'DELETE', path, key)
        self.assertEqual(cancelled.status, 410)
        self.assertEqual(cancelled.body['code'], 'cancelled')
        running = [
            task
            for backend in self.fleet.backends_by_host.values()
            for task in backend.state.running()
        ]
        self.assertEqual(running, [])

    async def test_graceful_stop_cuts_no_request(self):
        """Guards against a graceful stop that aborts a running request."""
        asked = asyncio.create_task(
            self.fleet.submit(ENTRY, task={'text': 'kept', 'run_ms': 400})
        )
        entry = self.fleet.entries_by_id[ENTRY]
        await wait_until(lambda: bool(entry.state.requests.by_id), 5)
        stopping = asyncio.create_task(entry.stop())
        response = await asked
        await stopping
        self.assertEqual(response.body['result'], 'kept')


class LostAnswerTest(unittest.IsolatedAsyncioTestCase):
    """Tests requests whose calls to the backend server are lost or damaged."""

    async def asyncSetUp(self):
        fleet_settings = FleetSettings(zones=('zone-a',), hosts_per_zone=1)
        self.fleet = await start_fleet(fleet_settings)
        self.addAsyncCleanup(self.fleet.stop)
        self.faults = self.fleet.backends_by_host['zone-a-host-0'].state.faults

    async def test_faults_of_one_call_are_resolved(self):
        """Guards against a second run or a wrong result after one faulty call."""
        for fault in (
            'lost_start_answers',
            'lost_starts',
            'truncated_results',
            'crossed_results',
        ):
            with self.subTest(fault):
                setattr(self.faults, fault, 1)
                request_id = new_request_id()
                response = await self.fleet.submit(
                    ENTRY, request_id=request_id, idempotent=False
                )
                self.assertEqual(response.body.get('result'), 'answer')
                self.assertEqual(self.fleet.count_starts(request_id), 1)

    async def test_deadline_after_an_attempt_that_may_have_run(self):
        """Guards against "not run" for a task that ran before its host failed."""
        request_id = new_request_id()
        asked = asyncio.create_task(
            self.fleet.submit(
                ENTRY, request_id=request_id, deadline_ms=3000, task={'run_ms': 500}
            )
        )
        await wait_until(lambda: self.fleet.count_starts(request_id) == 1, 5)
        self.faults.down = True
        response = await asked
        self.assertEqual(self.fleet.count_starts(request_id), 1)
        self.assertNotEqual(response.body['run_state'], 'not_run')


class NotAllowedTest(unittest.IsolatedAsyncioTestCase):
    """Tests requests that arrive while starts are not allowed."""

    async def test_a_burst_in_a_moment_without_freshness_is_answered(self):
        """Guards against refusing requests that wait until starts are allowed."""
        self.fleet = await start_fleet(FleetSettings(zones=('zone-a',)))
        self.addAsyncCleanup(self.fleet.stop)
        state = self.fleet.entries_by_id[ENTRY].state
        state.excluded = True
        asked = [asyncio.create_task(self.fleet.submit(ENTRY)) for _ in range(60)]
        await wait_until(lambda: len(state.requests.by_id) == 60, 5)
        state.excluded = False
        responses = await asyncio.gather(*asked)
        results = [response.body.get('result') for response in responses]
        self.assertEqual(results, ['answer'] * 60)
