"""Guards the time after which a stopped member may be replaced."""

import unittest
from types import SimpleNamespace
from unittest.mock import patch

from dandelionknot.configuration import Configuration
from dandelionknot.entry import _duties, _fleet_view
from dandelionknot.entry._state import DutyState
from dandelionknot.messages import Member

EXCLUDING_VERSION = 2
LAST_VERSION = 40


def member(member_id, confirmed_version):
    return Member(
        member_id=member_id,
        incarnation='1',
        availability_zone='zone-a',
        peer_address='',
        confirmed_version=confirmed_version,
        joined_revision=1,
        members_revision=1,
    )


class StoppedSinceTest(unittest.TestCase):
    def test_later_versions_do_not_restart_the_proof(self):
        """Guards against slices and grants that stay unassigned during a roll-out.

        A roll-out writes more versions during one proof time than the number of
        versions whose confirmations are retained.
        """
        state = SimpleNamespace(
            duties=DutyState(excluded_in_version={'dead': EXCLUDING_VERSION}),
            confirmed_since_by_version={},
            accepted_since_by_version={},
            view=object(),
        )
        for version in range(EXCLUDING_VERSION, LAST_VERSION):
            state.configuration = Configuration(
                version=version, excluded_members=['dead']
            )
            state.members_by_id = {
                'alive': member('alive', version),
                'dead': member('dead', EXCLUDING_VERSION - 1),
            }
            with (
                patch.object(_fleet_view, 'now_ms', return_value=version * 1000),
                patch.object(_duties, 'now_ms', return_value=version * 1000),
            ):
                _fleet_view._record_confirmations(state)
                since_ms = _duties.stopped_since_ms(state, 'dead')
            self.assertEqual(since_ms, EXCLUDING_VERSION * 1000)
        retained = _fleet_view.MAX_RETAINED_VERSIONS + 1
        self.assertEqual(len(state.confirmed_since_by_version), retained)
        del state.members_by_id['dead']
        _fleet_view._record_confirmations(state)
        self.assertEqual(len(state.confirmed_since_by_version), retained - 1)
