"""Tests how often one start looks for a host and checks freshness."""

import unittest
import unittest.mock
from types import SimpleNamespace

from dandelionknot import decisions
from dandelionknot.configuration import Priority
from dandelionknot.entry import _starts
from dandelionknot.entry._requests import OPEN_QUEUE_TEAM


class StartCostTest(unittest.TestCase):
    def start_one(self, fresh: bool, excluded: bool = False) -> dict[str, int]:
        """Starts one queued request and returns how often each check was made."""
        queues = decisions.queueing.TeamQueues(capacity=4)
        item = decisions.queueing.QueuedRequest(
            request_id='request-1',
            team_id=OPEN_QUEUE_TEAM,
            priority=Priority.URGENT,
            arrival_ms=0,
            deadline_ms=1000,
        )
        self.assertTrue(decisions.queueing.offer(queues, item).is_ok())
        none_known = SimpleNamespace(teams_by_id={})
        waiting = SimpleNamespace(is_kept=False)
        state = SimpleNamespace(
            queues_by_service={'quotes': queues},
            routing=object(),
            excluded=excluded,
            configuration=none_known,
            grants=none_known,
            open_running=0,
            requests=SimpleNamespace(by_id={'request-1': waiting}),
        )
        with unittest.mock.patch.multiple(
            _starts,
            is_fresh=lambda state, now: fresh,
            may_start=unittest.mock.Mock(return_value=False),
            _has_room=unittest.mock.Mock(return_value=True),
            _has_valid_key=lambda state, entry: True,
            _start=unittest.mock.Mock(return_value=True),
        ):
            _starts.start_queued(state, 'quotes')  # type: ignore[arg-type]
            return {
                'checks': _starts.may_start.call_count,  # type: ignore[attr-defined]
                'hosts': _starts._has_room.call_count,  # type: ignore[attr-defined]
                'starts': _starts._start.call_count,  # type: ignore[attr-defined]
            }

    def test_a_start_looks_once_for_a_host_and_once_for_freshness(self) -> None:
        """Guards against a second search for a host when no request is queued."""
        self.assertEqual(self.start_one(True), {'checks': 0, 'hosts': 1, 'starts': 1})

    def test_nothing_starts_once_excluded(self) -> None:
        """Guards against a fresh member that starts requests after its exclusion."""
        counts = self.start_one(True, excluded=True)
        self.assertEqual(counts, {'checks': 0, 'hosts': 0, 'starts': 0})

    def test_nothing_starts_when_freshness_is_lost(self) -> None:
        """Guards against omitting the freshness check when the member is not fresh."""
        self.assertEqual(self.start_one(False), {'checks': 1, 'hosts': 0, 'starts': 0})
