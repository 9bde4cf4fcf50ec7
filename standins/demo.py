"""Demo: runs a small fleet on loopback for a few seconds and prints what it does."""

import asyncio
import dataclasses
import logging
import os
from pathlib import Path

from dandelionknot import decisions
from dandelionknot.clock import now_ms
from dandelionknot.configuration import (
    Configuration,
    load_base,
    load_overlay,
    merge,
)
from dandelionknot.operators import EditKind
from standins.backend import BackendState, start_backend
from standins.fleet import FleetSettings, LocalFleet, Response
from standins.platform import start_platform
from standins.relay import start_relay
from standins.waiting import wait_until

EXAMPLE_DIRECTORY = Path(__file__).resolve().parent.parent / 'examples' / 'remansito'
ZONES = ('dock', 'lagoon')
# Limit for the other entry host to refuse a withdrawn key.
WITHDRAWAL_TIMEOUT_S = 10


def load_example() -> Configuration:
    """Returns the example's base file merged with its overlays, as operators do it."""
    base = load_base(EXAMPLE_DIRECTORY / 'base.yaml').unwrap()
    paths = sorted((EXAMPLE_DIRECTORY / 'overlays').glob('*.yaml'))
    overlays = [load_overlay(path).unwrap() for path in paths]
    return merge(base, overlays).unwrap()


async def start_backends(configuration: Configuration) -> tuple[Configuration, dict]:
    """Starts a backend server for each host of a configuration.

    Returns the configuration with the addresses of the backend servers, and the
    backend servers by host id.
    """
    backends = {
        host_id: await start_backend(state=BackendState(slots=host.slots))
        for host_id, host in configuration.hosts_by_id.items()
    }
    hosts_by_id = {
        host_id: dataclasses.replace(host, address=backends[host_id].address)
        for host_id, host in configuration.hosts_by_id.items()
    }
    return dataclasses.replace(configuration, hosts_by_id=hosts_by_id), backends


def show(title: str, response: Response) -> None:
    """Prints one answer to a caller."""
    body = response.body
    summary = body.get('result') or f'{body.get("code")}: {body.get("message")}'
    print(f'  {title:34} HTTP {response.status}  {body.get("run_state"):8} {summary}')


async def give_key(fleet: LocalFleet, member_id: str, team: str) -> str:
    """Gives a team a new key, as an operator, and returns the key."""
    issued = decisions.keys.issue_key(
        team, 'demo-2', os.urandom(decisions.keys.KEY_RANDOM_BYTES)
    ).unwrap()
    report = await fleet.change(
        member_id,
        EditKind.GIVE_KEY,
        team=team,
        key_id='demo-2',
        key_record=issued.record,
    )
    print(f'  give key to {team:22} {report.outcome}, version {report.version}')
    return issued.key


async def send_requests(
    fleet: LocalFleet, members: list[str], keys: dict[str, str]
) -> None:
    """Sends requests with keys to two services through each entry host."""
    cases = [
        ('river-guides', 'guided-tours', 'two canoes at ten', False),
        ('partner-hostels', 'hostel-booking', 'six beds booked', False),
        ('river-guides', 'guided-tours', 'price list of the week', True),
    ]
    for member_id in members:
        for team, service, text, idempotent in cases:
            response = await fleet.submit(
                member_id,
                key=keys[team],
                service=service,
                idempotent=idempotent,
                task={'text': text, 'run_ms': 20},
            )
            show(f'{member_id} {service}', response)


async def withdraw_key(fleet: LocalFleet, members: list[str], key: str) -> None:
    """Withdraws a key and waits until the other entry host refuses it."""
    started_ms = now_ms()
    report = await fleet.change(
        members[0], EditKind.WITHDRAW_KEY, team='river-guides', key_id='demo-2'
    )
    print(f'  withdraw key: {report.outcome} after {now_ms() - started_ms} ms')

    async def is_refused() -> bool:
        response = await fleet.submit(members[1], key=key, service='guided-tours')
        return response.status == 401

    await wait_until(is_refused, WITHDRAWAL_TIMEOUT_S)
    response = await fleet.submit(members[1], key=key, service='guided-tours')
    show(f'{members[1]} with it', response)


def print_counts(fleet: LocalFleet) -> None:
    """Prints the counts of each entry host and the number of platform calls."""
    print('\n  entry host      requests  forwarded  starts  answers  refusals')
    for member_id, entry in fleet.entries_by_id.items():
        counts = entry.context.metrics.counts_by_name
        numbers = [
            counts.get(name, 0)
            for name in ('requests', 'forwarded', 'starts', 'answers', 'refusals')
        ]
        print(f'  {member_id:14}' + ''.join(f'{number:10}' for number in numbers))
    calls = sum(fleet.platform.state.calls_by_kind.values())
    print(f'\n  platform calls in all: {calls}')


async def run() -> None:
    """Starts the fleet, sends requests, withdraws a key and stops the fleet."""
    platform = await start_platform()
    configuration, backends = await start_backends(load_example())
    fleet_settings = FleetSettings(zones=ZONES)
    relay = await start_relay(platform.address)
    fleet = LocalFleet(
        fleet_settings, platform, relay, backends, configuration, keys_by_team={}
    )
    members = [f'{zone}-entry' for zone in ZONES]
    try:
        for member_id, zone in zip(members, ZONES, strict=True):
            await fleet.start_entry(member_id, zone)
        print(f'\nStarted 2 entry hosts and {len(backends)} backend servers.\n')
        print('Operators apply the base file and its overlays:')
        report = await fleet.change(
            members[0], EditKind.APPLY_CONFIGURATION, configuration=configuration
        )
        print(f'  apply: {report.outcome}, version {report.version}')
        await fleet.wait_until_ready()
        keys = {
            team: await give_key(fleet, members[0], team)
            for team in ('river-guides', 'partner-hostels')
        }
        print('\nCallers send work:')
        await send_requests(fleet, members, keys)
        print('\nOperators withdraw a key:')
        await withdraw_key(fleet, members, keys['river-guides'])
        print('\nEntry hosts stop gracefully.')
        print_counts(fleet)
        for entry in list(fleet.entries_by_id.values()):
            await entry.stop()
    finally:
        await fleet.stop()


if __name__ == '__main__':
    logging.disable(logging.WARNING)
    asyncio.run(run())
