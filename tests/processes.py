"""Runs stand-ins and entry hosts as separate processes for tests."""

import json
import subprocess
import sys
import urllib.error
import urllib.request
from dataclasses import dataclass, field
from pathlib import Path

from dandelionknot import codec
from dandelionknot.clock import now_ms
from standins.fleet import OPERATOR_TOKEN, PEER_SECRET, free_port

START_TIMEOUT_MS = 20_000
STOP_TIMEOUT_S = 20


@dataclass(slots=True)
class Processes:
    """Processes started by a test, by name; each is killed by its own process id."""

    directory: Path
    by_name: dict[str, subprocess.Popen] = field(default_factory=dict)
    addresses_by_name: dict[str, str] = field(default_factory=dict)

    def start_standin(self, name: str, kind: str) -> str:
        """Starts a stand-in and returns its address."""
        process = subprocess.Popen(
            [sys.executable, '-m', 'standins', kind, '127.0.0.1:0'],
            stdout=subprocess.PIPE,
            text=True,
        )
        self.by_name[name] = process
        assert process.stdout is not None
        address = process.stdout.readline().split()[-1]
        self.addresses_by_name[name] = address
        return address

    def start_entry(self, name: str, zone: str, platform_address: str) -> str:
        """Starts an entry host and returns its caller address."""
        addresses = {
            key: f'127.0.0.1:{free_port()}'
            for key in ('caller_address', 'operator_address', 'peer_address')
        }
        settings = {
            'member_id': name,
            'availability_zone': zone,
            'region': 'region-1',
            'platform_address': platform_address,
            'peer_secret': PEER_SECRET,
            'operator_tokens_by_id': {'operator-1': OPERATOR_TOKEN},
            **addresses,
        }
        path = self.directory / f'{name}.yaml'
        path.write_text(codec.pretty_json(settings))
        self.by_name[name] = subprocess.Popen(
            [sys.executable, '-m', 'dandelionknot', 'entry', '--settings', str(path)],
            stdout=subprocess.DEVNULL,
            stderr=(self.directory / f'{name}.log').open('w'),
        )
        self.addresses_by_name[name] = addresses['caller_address']
        return addresses['caller_address']

    def wait_until_ready(self, name: str) -> None:
        """Polls the readiness endpoint as the load balancer does."""
        deadline_ms = now_ms() + START_TIMEOUT_MS
        while now_ms() < deadline_ms:
            status, _ = http(f'http://{self.addresses_by_name[name]}/readyz')
            if status == 200:
                return
        log = (self.directory / f'{name}.log').read_text()
        raise TimeoutError(f'{name} did not become ready:\n{log[-2000:]}')

    def stop_all(self) -> None:
        """Kills every process that still runs and waits for its exit."""
        for process in self.by_name.values():
            if process.poll() is None:
                process.kill()
            process.wait(STOP_TIMEOUT_S)
            if process.stdout is not None:
                process.stdout.close()


def http(
    url: str, body: dict | None = None, key: str = '', method: str | None = None
) -> tuple[int, dict]:
    """Makes one HTTP call; status 0 means that there was no answer."""
    request = urllib.request.Request(
        url, json.dumps(body).encode() if body is not None else None, method=method
    )
    if key:
        request.add_header('Authorization', f'Bearer {key}')
    try:
        with urllib.request.urlopen(request, timeout=30) as response:
            return response.status, json.loads(response.read() or b'{}')
    except urllib.error.HTTPError as error:
        with error:
            return error.code, json.loads(error.read() or b'{}')
    except OSError:
        return 0, {}
