"""Tests the fleet as separate processes over TCP, with one of them killed."""

import json
import os
import signal
import tempfile
import unittest
from pathlib import Path

from dandelionknot import codec, decisions
from dandelionknot.configuration import (
    AvailabilityZone,
    Configuration,
    Host,
    Pool,
    Service,
    Team,
)
from standins.fleet import CONFIGURATION_KEY, new_request_id
from tests.processes import STOP_TIMEOUT_S, Processes, http

ZONES = ('zone-a', 'zone-b', 'zone-c')


class ProcessTest(unittest.TestCase):
    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.processes = Processes(Path(directory.name))
        self.addCleanup(self.processes.stop_all)
        self.platform = self.processes.start_standin('platform', 'platform')
        self.backends = {
            f'{zone}-host': self.processes.start_standin(f'{zone}-host', 'backend')
            for zone in ZONES
        }
        issued = decisions.keys.issue_key('desk', 'key-1', os.urandom(48)).unwrap()
        self.key = issued.key
        configuration = Configuration(
            version=1,
            availability_zones_by_id={
                zone: AvailabilityZone(region='region-1') for zone in ZONES
            },
            pools_by_id={'quotes': Pool()},
            hosts_by_id={
                host_id: Host(
                    availability_zone=host_id.removesuffix('-host'),
                    rack=f'{host_id}-rack',
                    pool='quotes',
                    address=address,
                )
                for host_id, address in self.backends.items()
            },
            services_by_id={'quotes': Service(pool='quotes')},
            teams_by_id={
                'desk': Team(upper_limit=20, keys_by_id={'key-1': issued.record})
            },
        )
        write = {
            'key': CONFIGURATION_KEY,
            'expected_revision': 0,
            'value': codec.encode_json(configuration).decode(),
        }
        http(f'http://{self.platform}/v1/values', write)
        for zone in ZONES:
            self.processes.start_entry(f'{zone}-entry', zone, self.platform)
        for zone in ZONES:
            self.processes.wait_until_ready(f'{zone}-entry')

    def submit(self, name: str, **fields: object) -> tuple[int, dict]:
        body = {
            'request_id': new_request_id(),
            'service': 'quotes',
            'deadline_ms': 10000,
            'idempotent': False,
            'payload': json.dumps({'text': f'from {name}'}),
        }
        address = self.processes.addresses_by_name[name]
        return http(f'http://{address}/v1/requests', body | fields, self.key)

    def runs_by_request(self) -> dict[str, int]:
        totals: dict[str, int] = {}
        for address in self.backends.values():
            _, runs = http(f'http://{address}/v1/runs')
            for request_id, count in runs.items():
                totals[request_id] = totals.get(request_id, 0) + count
        return totals

    def test_kill_of_one_entry_host_leaves_the_others_serving(self):
        """Guards against a crash that stops other entry hosts or repeats a run."""
        for zone in ZONES:
            status, body = self.submit(f'{zone}-entry')
            self.assertEqual((status, body.get('result')), (200, f'from {zone}-entry'))
        killed = self.processes.by_name['zone-a-entry']
        os.kill(killed.pid, signal.SIGKILL)
        killed.wait(STOP_TIMEOUT_S)
        for zone in ZONES[1:]:
            name = f'{zone}-entry'
            status, body = self.submit(name, idempotent=True)
            self.assertEqual((status, body.get('result')), (200, f'from {name}'), body)
        for _ in range(30):
            status, body = self.submit('zone-b-entry')
            outcome = body.get('run_state'), body.get('code')
            self.assertIn(status, (200, 503, 504), outcome)
        self.assertEqual(set(self.runs_by_request().values()), {1})

    def test_sigterm_is_a_graceful_stop(self):
        """Guards against a process that ignores SIGTERM or exits with an error."""
        process = self.processes.by_name['zone-c-entry']
        process.send_signal(signal.SIGTERM)
        self.assertEqual(process.wait(STOP_TIMEOUT_S), 0)
        status, body = self.submit('zone-a-entry', idempotent=True)
        self.assertEqual((status, body.get('result')), (200, 'from zone-a-entry'))
