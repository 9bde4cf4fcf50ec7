"""Guards configuration changes on a running fleet, through the operators' HTTP API.

An accepted change is in force at every entry host, and no change is made twice.
"""

import asyncio
from dataclasses import replace

from result import Err, Ok

from dandelionknot import codec
from dandelionknot.clock import now_ms
from dandelionknot.configuration import Configuration, Cooperative
from dandelionknot.entry._changes import Change, write_change
from dandelionknot.messages import WriteOutcome, WriteRequest
from dandelionknot.operators import ChangeOutcome, EditKind
from standins.fleet import (
    CONFIGURATION_KEY,
    SHORT_BOUNDS,
    FleetSettings,
    LocalFleet,
    start_fleet,
)
from standins.platform import platform_port, start_platform
from standins.waiting import wait_until
from tests.virtual import VirtualTimeTestCase

FIRST = 'zone-a-entry-0'
SECOND = 'zone-b-entry-0'
THIRD = 'zone-c-entry-0'
# Pause between two questions about a change.
POLL_S = 0.02
PROOF_MS = (
    SHORT_BOUNDS.freshness_bound_ms
    + SHORT_BOUNDS.start_token_ms
    + SHORT_BOUNDS.drift_margin_ms
    + SHORT_BOUNDS.isolation_bound_ms
)
FORCE_BOUND_MS = 7000  # a change must be in force everywhere within this time
TIMEOUT_S = 20
ZONE_OUT = {'kind': EditKind.ZONE_OUT, 'availability_zone': 'zone-c'}
WITHDRAWAL = {'kind': EditKind.WITHDRAW_KEY, 'team': 'night', 'key_id': 'key-1'}


def versions(fleet: LocalFleet) -> dict[str, int]:
    """Returns the version in force at each entry host."""
    return {
        member_id: entry.state.configuration.version
        for member_id, entry in fleet.entries_by_id.items()
    }


def records(fleet: LocalFleet) -> list[str]:
    """Returns the members that have a membership record on the platform."""
    prefix = 'fleet/members/'
    keys = fleet.platform.state.entries_by_key
    return [key.removeprefix(prefix) for key in keys if key.startswith(prefix)]


class ChangeTest(VirtualTimeTestCase):
    fleet: LocalFleet

    async def asyncSetUp(self):
        self.fleet = await start_fleet(
            FleetSettings.with_short_bounds(max_unavailable=2)
        )
        self.addAsyncCleanup(self.fleet.stop)

    def member_id(self, name: str) -> str:
        return self.fleet.entries_by_id[name].state.member_id

    async def test_accepted_change_is_in_force_everywhere(self):
        """Guards against `accepted` while an entry host acts on an older version.

        The platform connections of one zone are frozen, so its entry host gets the
        change from its peers and confirms it late.
        """
        for name in self.fleet.entries_by_id:
            with self.subTest(name):
                self.fleet.platform_relay.freeze_open(self.fleet.source_ip('zone-c'))
                kind = EditKind.ZONE_BACK if name == SECOND else EditKind.ZONE_OUT
                asked_ms = now_ms()
                report = await self.fleet.change(name, kind, availability_zone='zone-c')
                in_force = versions(self.fleet)
                self.assertEqual(report.outcome, ChangeOutcome.ACCEPTED)
                self.assertLessEqual(now_ms() - asked_ms, FORCE_BOUND_MS)
                self.assertEqual(set(in_force.values()), {report.version})

    async def test_cut_off_zone_is_named_until_its_bound_has_passed(self):
        """Guards against `accepted` while a cut-off member may still start requests."""
        await wait_until(self.all_fresh, TIMEOUT_S)
        self.fleet.cut_zone('zone-c')
        asked_ms = now_ms()
        change_task = asyncio.create_task(
            self.fleet.change(FIRST, change_id='withdraw-1', **WITHDRAWAL)
        )
        port = self.fleet.operator(SECOND)
        while True:
            found = (await port.change_report('withdraw-1')).unwrap()
            if now_ms() - asked_ms >= PROOF_MS or change_task.done():
                break
            self.assertNotEqual(found.outcome, ChangeOutcome.ACCEPTED)
            if found.outcome is ChangeOutcome.PENDING and found.unconfirmed:
                self.assertIn(self.member_id(THIRD), found.unconfirmed)
            await asyncio.sleep(POLL_S)
        report = await change_task
        self.assertEqual(report.outcome, ChangeOutcome.ACCEPTED)
        self.assertGreaterEqual(now_ms() - asked_ms, PROOF_MS)
        self.assertFalse(self.fleet.entries_by_id[THIRD].state.was_fresh)
        self.fleet.heal()

    def all_fresh(self) -> bool:
        """Returns whether every entry host is fresh and knows the same members."""
        return all(
            entry.state.was_fresh
            and len(entry.state.members_by_id) == len(self.fleet.entries_by_id)
            for entry in self.fleet.entries_by_id.values()
        )

    async def test_lost_answer_to_the_write(self):
        """Guards against a change made twice because the write's answer was lost."""
        faults = self.fleet.platform.state.faults
        port = self.fleet.operator(FIRST)
        before = versions(self.fleet)[FIRST]
        faults.lost_write_prefix = CONFIGURATION_KEY
        faults.lost_write_answers = 1
        report = await self.fleet.change(FIRST, change_id='withdraw-1', **WITHDRAWAL)
        self.assertEqual(report.outcome, ChangeOutcome.ACCEPTED)
        self.assertEqual(report.version, before + 1)
        for name in (FIRST, SECOND):
            again = await self.fleet.change(
                name, change_id='withdraw-1', expected_version=before, **WITHDRAWAL
            )
            self.assertEqual(again.outcome, ChangeOutcome.ACCEPTED)
        self.assertEqual(set(versions(self.fleet).values()), {before + 1})
        found = (await port.change_report('withdraw-1')).unwrap()
        self.assertEqual(found.outcome, ChangeOutcome.ACCEPTED)

    async def test_two_operators_race(self):
        """Guards against two changes of the same version that both take effect."""
        before = versions(self.fleet)[FIRST]
        reports = await asyncio.gather(
            self.fleet.change(FIRST, change_id='out-1', **ZONE_OUT),
            self.fleet.change(SECOND, change_id='withdraw-1', **WITHDRAWAL),
        )
        won = [each for each in reports if each.outcome is ChangeOutcome.ACCEPTED]
        lost = [each for each in reports if each.outcome is ChangeOutcome.CONFLICT]
        self.assertEqual((len(won), len(lost)), (1, 1))
        self.assertEqual(won[0].version, before + 1)
        self.assertEqual(lost[0].version, before + 1)
        stored = self.fleet.entries_by_id[FIRST].state.configuration
        self.assertIn(won[0].change_id, stored.change_ids)
        self.assertNotIn(lost[0].change_id, stored.change_ids)

    async def test_restored_older_value_is_written_over(self):
        """Guards against a return to an older version after a platform restore."""
        platform = self.fleet.platform.state
        old = platform.entries_by_key[CONFIGURATION_KEY].value
        report = await self.fleet.change(FIRST, **WITHDRAWAL)
        self.assertEqual(report.outcome, ChangeOutcome.ACCEPTED)
        key = self.fleet.keys_by_team['night']
        newest = platform.entries_by_key[CONFIGURATION_KEY].value
        platform.put(CONFIGURATION_KEY, old)

        def is_written_over() -> bool:
            self.assertEqual(set(versions(self.fleet).values()), {report.version})
            return platform.entries_by_key[CONFIGURATION_KEY].value == newest

        await wait_until(is_written_over, TIMEOUT_S)
        for name in self.fleet.entries_by_id:
            refused = await self.fleet.submit(name, key=key)
            self.assertEqual(refused.body['code'], 'key_not_valid')


class LostWriteTest(VirtualTimeTestCase):
    async def test_write_is_not_sent_again_by_the_http_client(self):
        """Guards against a successful write that is reported as a conflict.

        The HTTP client must not repeat a write whose answer was lost: the second one
        would conflict with the first.
        """
        platform = await start_platform()
        self.addAsyncCleanup(platform.stop)
        port = platform_port(platform.address)
        await port.read('fleet/first')  # leaves a connection that is reused
        platform.state.faults.lost_write_answers = 1
        request = WriteRequest(key='fleet/a', expected_revision=0, value='1')
        written = await port.compare_and_swap(request)
        self.assertIsInstance(written, Err)
        self.assertEqual(platform.state.calls_by_kind['write'], 1)
        again = await port.compare_and_swap(request)
        self.assertEqual(again.unwrap().outcome, WriteOutcome.CONFLICT)


class RestoredPlatformTest(VirtualTimeTestCase):
    async def test_change_to_a_restored_older_value(self):
        """Guards against a second change with a version number that was used before.

        A platform restored from a backup stores an older version than is in force.
        """
        platform = await start_platform()
        self.addAsyncCleanup(platform.stop)
        port = platform_port(platform.address)
        text = codec.encode_json(Configuration(version=1)).decode()
        cases = [(1, ChangeOutcome.PENDING, 2), (2, ChangeOutcome.CONFLICT, 2)]
        for known_version, outcome, version in cases:
            with self.subTest(known_version=known_version):
                platform.state.put(CONFIGURATION_KEY, text)
                change = Change('change-1', 1, Ok, known_version=known_version)
                report = await write_change(port, change)
                self.assertEqual((report.outcome, report.version), (outcome, version))


class UnreadableChangeTest(VirtualTimeTestCase):
    async def test_change_that_no_entry_host_could_read(self):
        """Guards against a written change that makes every later one impossible.

        Entry hosts refuse a configuration whose fields are outside of their limits.
        """
        platform = await start_platform()
        self.addAsyncCleanup(platform.stop)
        first = codec.encode_json(Configuration(version=1)).decode()
        platform.state.put(CONFIGURATION_KEY, first)
        too_many = {'shared': Cooperative(voters=['ana'] * 101)}

        def edit(now: Configuration) -> Ok[Configuration]:
            return Ok(replace(now, cooperatives_by_id=too_many))

        port = platform_port(platform.address)
        report = await write_change(port, Change('change-1', 1, edit))
        self.assertEqual(report.outcome, ChangeOutcome.REFUSED)
        self.assertIn('cooperatives_by_id.shared.voters must', report.message)
        self.assertEqual(platform.state.entries_by_key[CONFIGURATION_KEY].value, first)


class KilledMemberTest(VirtualTimeTestCase):
    async def test_killed_member_delays_acceptance_by_the_proof_time(self):
        """Guards against changes that stay pending because of a killed entry host."""
        fleet = await start_fleet(
            FleetSettings.with_short_bounds(entries_per_zone=2, max_unavailable=2)
        )
        self.addAsyncCleanup(fleet.stop)
        gone = fleet.entries_by_id[THIRD].state.member_id
        await fleet.kill(THIRD)
        asked_ms = now_ms()
        report = await fleet.change(FIRST, **WITHDRAWAL)
        took_ms = now_ms() - asked_ms
        self.assertEqual(report.outcome, ChangeOutcome.ACCEPTED)
        self.assertGreaterEqual(took_ms, PROOF_MS)
        # The confirmation and the end of the proof time are each noticed by work that
        # runs once a second, so each may be noticed up to one second late.
        self.assertLessEqual(took_ms, PROOF_MS + 2000)
        await wait_until(lambda: gone not in records(fleet), TIMEOUT_S)
        self.assertEqual(len(records(fleet)), len(fleet.entries_by_id))
        for entry in fleet.entries_by_id.values():
            self.assertIn(gone, entry.state.configuration.excluded_members)
        asked_ms = now_ms()
        report = await fleet.change(SECOND, **ZONE_OUT)
        self.assertEqual(report.outcome, ChangeOutcome.ACCEPTED)
        self.assertLess(now_ms() - asked_ms, PROOF_MS)
