"""Guards against operators who can do more than their role allows."""

import json
import unittest
import unittest.mock

from result import Err
from tornado.httpclient import HTTPRequest

from dandelionknot.decisions import _roles
from dandelionknot.events import Event
from dandelionknot.messages import ErrorCode, RunState
from dandelionknot.operators import ChangeRequest, Edit, EditKind
from dandelionknot.settings import OperatorRole
from standins.fleet import OPERATORS_BY_ID, FleetSettings, start_fleet

ENTRY = 'zone-a-entry-0'
HOST = 'zone-a-host-0'
KEY = {'team': 'desk', 'key_id': 'key-1'}
RECORD = {'salt': '0' * 32, 'digest': 'a' * 64}
PLAN = {'plan_id': 'spring'}
PROPOSAL = {'proposal_id': 'p-1'}
ZONE = {'availability_zone': 'zone-a'}
# Each kind of edit with its lowest allowed role, from section 5.8 of the design page,
# and with valid fields.
CASES = [
    ('move_host', 'maintainer', {'host_id': HOST, 'to_pool': 'quotes'}),
    ('cancel_move', 'maintainer', {'host_id': HOST}),
    ('zone_out', 'maintainer', ZONE),
    ('zone_out', 'administrator', {**ZONE, 'force': True}),
    ('zone_back', 'maintainer', ZONE),
    ('drain_host', 'maintainer', {'host_id': HOST}),
    ('undrain_host', 'maintainer', {'host_id': HOST}),
    ('plan_create', 'maintainer', {**PLAN, 'hosts': [HOST]}),
    ('plan_pause', 'maintainer', PLAN),
    ('plan_resume', 'maintainer', PLAN),
    ('apply_configuration', 'administrator', {'configuration': {'version': 0}}),
    ('give_key', 'administrator', {**KEY, 'key_record': RECORD}),
    ('withdraw_key', 'administrator', KEY),
    ('propose_limit', 'administrator', {**PROPOSAL, 'team': 'desk', 'new_limit': 3}),
    ('propose_voters', 'administrator', {**PROPOSAL, 'cooperatives_by_id': {}}),
    ('vote', 'administrator', PROPOSAL),
    ('member_gone', 'administrator', {'member_id': 'entry-9'}),
]
CHANGE = {'change_id': 'change-1', 'expected_version': 1, 'dry_run': True}
OPERATORS_BY_ROLE = {
    'viewer': 'viewer-1',
    'maintainer': 'maintainer-1',
    'administrator': 'operator-1',
}
ROLES = list(OPERATORS_BY_ROLE)
QUERIES = ['configuration', 'status', 'histograms', 'why/host/' + HOST, 'changes/c-1']


def allowed(role, needed):
    return ROLES.index(role) >= ROLES.index(needed)


class RoleTest(unittest.TestCase):
    def test_every_kind_against_every_role(self):
        """Guards against a kind of edit that a lower role may send."""
        self.assertEqual({kind for kind, *_ in CASES}, {str(kind) for kind in EditKind})
        for kind, needed, fields in CASES:
            force = fields.get('force', False)
            for role in ROLES:
                with self.subTest(kind=kind, force=force, role=role):
                    edit = Edit(kind=EditKind(kind), force=force)
                    least = _roles.role_needed(edit)
                    found = _roles.is_sufficient(OperatorRole(role), least)
                    self.assertEqual(found, allowed(role, needed))


class FleetRoleTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.fleet = await start_fleet(
            FleetSettings.with_short_bounds(zones=('zone-a',))
        )
        self.addAsyncCleanup(self.fleet.stop)
        settings = self.fleet.entries_by_id[ENTRY].context.settings
        self.url = f'http://{settings.operator_address}/v1/'

    async def call(self, path, token, body=None):
        """Sends one call; returns the HTTP status and the decoded answer."""
        request = HTTPRequest(
            self.url + path,
            method='GET' if body is None else 'POST',
            body=None if body is None else json.dumps(body),
            headers={'Authorization': f'Bearer {token}'},
        )
        response = await self.fleet.client.fetch(request, raise_error=False)
        return response.code, json.loads(response.body)

    async def test_commands_outside_a_role_are_refused(self):
        """Guards against an operator API that does not check the role."""
        for kind, needed, fields in CASES:
            for role, operator_id in OPERATORS_BY_ROLE.items():
                with self.subTest(kind=kind, role=role):
                    change = CHANGE | {'edit': {'kind': kind, **fields}}
                    token = OPERATORS_BY_ID[operator_id]['token']
                    status, body = await self.call('changes', token, change)
                    if allowed(role, needed):
                        self.assertIn('outcome', body)
                        self.assertNotEqual(status, 403)
                        continue
                    self.assertEqual(status, 403)
                    self.assertEqual(body['code'], ErrorCode.ROLE_NOT_SUFFICIENT)
                    self.assertEqual(body['run_state'], RunState.NOT_RUN)
                    self.assertIn(f'needs the role {needed}', body['message'])

    async def test_every_role_may_send_queries(self):
        """Guards against refused queries of viewers and answers to unknown tokens."""
        for path in QUERIES:
            for operator_id in OPERATORS_BY_ROLE.values():
                token = OPERATORS_BY_ID[operator_id]['token']
                status, body = await self.call(path, token)
                self.assertNotIn(status, (401, 403), (path, operator_id, body))
            for token in ('', 'loopback-viewer-toke', 'operator-1'):
                status, body = await self.call(path, token)
                self.assertEqual(status, 401, (path, token))

    async def test_token_of_another_operator(self):
        """Guards against a refused change that is made, or logged for someone else."""
        drain = Edit(kind=EditKind.DRAIN_HOST, host_id=HOST)
        change = ChangeRequest(change_id='drain-1', expected_version=1, edit=drain)
        viewer = self.fleet.operator(ENTRY, 'viewer-1')
        logged = 'dandelionknot.entry._operator_server.log_event'
        with unittest.mock.patch(logged) as log_event:
            refused = await viewer.change(change)
        self.assertIsInstance(refused, Err)
        self.assertEqual(refused.err_value.code, ErrorCode.ROLE_NOT_SUFFICIENT)
        log_event.assert_called_once_with(
            Event.OPERATOR_REFUSED,
            operator_id='viewer-1',
            edit='drain_host',
            change_id='drain-1',
            role='viewer',
            needed_role='maintainer',
        )
        state = self.fleet.entries_by_id[ENTRY].state
        self.assertEqual(state.configuration.version, 1)
        maintainer = self.fleet.operator(ENTRY, 'maintainer-1')
        report = (await maintainer.change(change)).unwrap()
        self.assertEqual((report.outcome, report.version), ('accepted', 2))
