"""Guards against acceptance of a change while a member acts on an older version."""

import unittest
from dataclasses import replace

from dandelionknot import configuration as c
from dandelionknot import decisions as d
from dandelionknot.messages import Member

BOUNDS = c.FleetBounds()
# Times after which an unresponsive member with the default bounds no longer starts
# keyed requests, and those of open queues, which continue for the isolation bound.
KEYED_WAIT_MS = 7_500
OPEN_WAIT_MS = 127_500


def member(name, confirmed, joined=1, listed=9, zone='zone-1'):
    place = {'incarnation': '1', 'availability_zone': zone, 'peer_address': ''}
    record = Member(member_id=name, confirmed_version=confirmed, **place)
    return replace(record, joined_revision=joined, members_revision=listed)


def by_id(*members):
    return {each.member_id: each for each in members}


UNRESPONSIVE = by_id(member('a', 6), member('b', 5))


def observation(members, now_ms):
    return d.acceptance.Observation(
        version=6,
        members_by_id=members,
        first_seen_confirmed_ms_by_member={'a': 0},
        bounds=BOUNDS,
        now_ms=now_ms,
    )


class AcceptanceTest(unittest.TestCase):
    def test_members_that_may_act_on_an_older_version_are_named(self):
        """Guards against an early `accepted` and against an endless `pending`."""
        all_confirmed = by_id(member('a', 6), member('b', 7))
        witness_not_listed = by_id(member('a', 6, joined=4), member('b', 5, listed=3))
        list_unread = by_id(member('a', 6, joined=0), member('b', 5, listed=0))
        unconfirmed = by_id(member('a', 5), member('b', 5))
        longer = c.FleetBounds(freshness_bound_ms=5_001)
        with_longer_bounds = by_id(
            UNRESPONSIVE['a'], replace(UNRESPONSIVE['b'], confirmed_bounds=longer)
        )
        in_other_zone = by_id(member('a', 6), member('b', 5, zone='zone-2'))
        none, zone, accepted = (
            frozenset(),
            frozenset({'zone-1'}),
            d.acceptance.Accepted(version=6),
        )
        cases = [
            ('all confirmed', all_confirmed, none, 0, accepted),
            ('wait not over', UNRESPONSIVE, none, KEYED_WAIT_MS - 1, ('b',)),
            ('wait over', UNRESPONSIVE, none, KEYED_WAIT_MS, accepted),
            ('longer bounds', with_longer_bounds, none, KEYED_WAIT_MS, ('b',)),
            ('zone affected', UNRESPONSIVE, zone, OPEN_WAIT_MS - 1, ('b',)),
            ('zone affected, wait over', UNRESPONSIVE, zone, OPEN_WAIT_MS, accepted),
            ('zones not known', UNRESPONSIVE, None, OPEN_WAIT_MS - 1, ('b',)),
            ('other zone affected', in_other_zone, zone, KEYED_WAIT_MS, accepted),
            ('witness not in its list', witness_not_listed, none, 10**9, ('b',)),
            ('list never read', list_unread, none, 10**9, ('b',)),
            ('confirmation gone again', unconfirmed, none, 10**9, ('a', 'b')),
            ('no record at all', {}, none, 10**9, ()),
        ]
        for name, members, zones, now_ms, expected in cases:
            outcome = d.acceptance.acceptance(observation(members, now_ms), zones)
            if expected is not accepted:
                expected = d.acceptance.Pending(version=6, names=expected)
            self.assertEqual(outcome, expected, name)

    def test_time_counts_from_the_first_observation_of_a_confirmation(self):
        """Guards against a wait that is restarted by every read."""
        seen = d.acceptance.observe_confirmations({}, 6, UNRESPONSIVE, 100)
        self.assertEqual(
            d.acceptance.observe_confirmations(seen, 6, UNRESPONSIVE, 900), {'a': 100}
        )

    def test_record_is_deleted_only_of_a_stopped_member_without_duties(self):
        """Guards against a deleted member that continues to start requests."""
        cases = [
            ('b', OPEN_WAIT_MS, False, False, ''),
            ('b', OPEN_WAIT_MS - 1, False, False, 'may still act'),
            ('b', OPEN_WAIT_MS, True, False, 'grants'),
            ('b', OPEN_WAIT_MS, False, True, 'slices'),
            ('a', OPEN_WAIT_MS, False, False, 'confirmed version 6'),
            ('c', OPEN_WAIT_MS, False, False, 'no record'),
        ]
        for name, now_ms, holds_grants, owns_slices, reason in cases:
            outcome = d.acceptance.may_delete_record(
                observation(UNRESPONSIVE, now_ms),
                name,
                holds_grants=holds_grants,
                owns_slices=owns_slices,
            )
            self.assertEqual(outcome.is_ok(), not reason)
            self.assertIn(reason, str(outcome.err()))

    def test_zones_in_which_a_change_affects_open_queues(self):
        """Guards against a zone exit accepted while a disconnected zone still runs."""
        host = c.Host(availability_zone='z1', rack='r', pool='p', address='127.0.0.1:1')
        zone = c.AvailabilityZone(region='r')
        zones = {'z1': zone, 'z2': zone}
        old = c.Configuration(version=1, availability_zones_by_id=zones)
        old = replace(old, hosts_by_id={'h': host})
        out = replace(zone, state=c.ZoneState.OUT_OF_SERVICE)
        cases = [
            ({'teams_by_id': {'t': c.Team(upper_limit=0)}}, set()),
            ({'availability_zones_by_id': zones | {'z2': out}}, {'z2'}),
            ({'hosts_by_id': {'h': replace(host, pool='q')}}, {'z1'}),
            ({'hosts_by_id': {}}, {'z1'}),
            ({'services_by_id': {'s': c.Service(pool='p')}}, {'z1', 'z2'}),
            ({'bounds': c.FleetBounds(ramp_ms=1)}, {'z1', 'z2'}),
        ]
        for change, expected in cases:
            affected = d.acceptance.affected_open_queue_zones(
                old, replace(old, **change)
            )
            self.assertEqual(affected, expected, change)

    def test_widest_bounds(self):
        """Guards against a wait that is too short for a member with longer bounds."""
        longer = c.FleetBounds(freshness_bound_ms=9_000, isolation_bound_ms=0)
        widest = d.acceptance.widest_bounds([BOUNDS, longer])
        self.assertEqual(widest, replace(BOUNDS, freshness_bound_ms=9_000))
