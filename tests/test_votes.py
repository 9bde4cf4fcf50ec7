"""Guards against changes of limits and voters that the co-operatives did not approve.

Also guards against configuration versions that go back or changes that count twice.
"""

import unittest
from dataclasses import replace

from result import Err

from dandelionknot.configuration import Configuration, Cooperative, Team
from dandelionknot.decisions import _versions, _votes

VOTERS = {
    'balkanfit': Cooperative(voters=['ana', 'boris', 'vera']),
    'remansito': Cooperative(voters=['lucia', 'mateo']),
}
START = Configuration(
    version=5,
    cooperatives_by_id=VOTERS,
    teams_by_id={'desk': Team(upper_limit=10), 'night': Team(upper_limit=4)},
)


def limit_after(votes: list[str], new_limit: int = 3) -> int:
    """Returns the limit after a proposal by the first and votes of the rest."""
    current = _votes.propose_limit(START, 'p-1', 'desk', new_limit, votes[0]).unwrap()
    for voter in votes[1:]:
        current = _votes.cast_vote(current, 'p-1', voter).unwrap()
    return current.teams_by_id['desk'].upper_limit


class VoteTest(unittest.TestCase):
    def test_a_limit_needs_a_majority_of_each_cooperative(self):
        """Guards against a limit change without a majority in each co-operative."""
        cases = [
            (['ana'], 10),
            (['ana', 'boris', 'vera'], 10),
            (['ana', 'boris', 'lucia'], 10),
            (['ana', 'ana', 'lucia', 'mateo'], 10),
            (['ana', 'boris', 'lucia', 'mateo'], 3),
            (['lucia', 'mateo', 'vera', 'ana'], 3),
        ]
        for votes, limit in cases:
            with self.subTest(votes=votes):
                self.assertEqual(limit_after(votes), limit)

    def test_a_lowered_limit_names_its_version(self):
        """Guards against holders that skip versions and miss a lowered limit."""
        current = START
        current = _votes.propose_limit(current, 'p-1', 'desk', 3, 'ana').unwrap()
        for voter in ('boris', 'lucia', 'mateo'):
            current = _votes.cast_vote(current, 'p-1', voter).unwrap()
        self.assertEqual(current.teams_by_id['desk'].limit_lowered_version, 6)
        self.assertEqual(current.limit_proposals_by_id, {})

    def test_refusals(self):
        """Guards against votes of operators who are not voters or on changed limits."""
        proposed = _votes.propose_limit(START, 'p-1', 'desk', 3, 'ana').unwrap()
        teams = {**proposed.teams_by_id, 'desk': Team(upper_limit=11)}
        moved = replace(proposed, teams_by_id=teams)
        cases = [
            (_votes.propose_limit(START, 'p-2', 'desk', 3, 'eve'), 'not_a_voter'),
            (_votes.propose_limit(START, 'p-2', 'none', 3, 'ana'), 'team_not_found'),
            (
                _votes.propose_limit(proposed, 'p-1', 'desk', 9, 'ana'),
                'proposal_exists',
            ),
            (_votes.cast_vote(proposed, 'p-1', 'eve'), 'not_a_voter'),
            (_votes.cast_vote(proposed, 'p-9', 'ana'), 'proposal_not_found'),
            (_votes.cast_vote(moved, 'p-1', 'boris'), 'base_changed'),
        ]
        for outcome, kind in cases:
            with self.subTest(kind):
                self.assertIsInstance(outcome, Err)
                self.assertEqual(outcome.err_value.kind, kind)

    def test_an_edit_changes_no_limit(self):
        """Guards against a configuration file that changes limits without a vote."""
        new = replace(
            START,
            teams_by_id={
                'desk': Team(upper_limit=99),
                'night': Team(upper_limit=4),
                'guides': Team(upper_limit=1),
            },
        )
        found = _votes.limits_changed_without_vote(START, new)
        self.assertEqual(found, ['desk', 'guides'])
        first = Configuration(version=0)
        self.assertEqual(_votes.limits_changed_without_vote(first, new), [])


WITH_EVE = {**VOTERS, 'remansito': Cooperative(voters=['lucia', 'eve'])}


def voters_after(votes, proposed=WITH_EVE):
    """Returns the configuration after a proposal by the first and votes of the rest."""
    current = _votes.propose_voters(START, 'v-1', proposed, votes[0]).unwrap()
    for voter in votes[1:]:
        current = _votes.cast_vote(current, 'v-1', voter).unwrap()
    return current


class VotersTest(unittest.TestCase):
    def test_voters_need_a_majority_of_the_present_voters(self):
        """Guards against voters that replace others without a majority's votes."""
        cases = [
            (['ana', 'boris', 'vera'], False),
            (['lucia', 'mateo', 'ana'], False),
            (['mateo', 'lucia', 'ana', 'boris'], True),
        ]
        for votes, accepted in cases:
            with self.subTest(votes=votes):
                after = voters_after(votes)
                expected = WITH_EVE if accepted else VOTERS
                self.assertEqual(after.cooperatives_by_id, expected)
                self.assertEqual(bool(after.voters_proposals_by_id), not accepted)

    def test_who_votes_afterwards(self):
        """Guards against counting votes of former voters or proposals made for them."""
        current = _votes.propose_limit(START, 'p-1', 'desk', 3, 'mateo').unwrap()
        current = _votes.propose_voters(current, 'v-2', WITH_EVE, 'vera').unwrap()
        current = _votes.propose_voters(current, 'v-1', WITH_EVE, 'ana').unwrap()
        for voter in ('boris', 'lucia', 'mateo'):
            current = _votes.cast_vote(current, 'v-1', voter).unwrap()
        self.assertEqual(current.voters_proposals_by_id, {})
        refused = _votes.cast_vote(current, 'p-1', 'mateo')
        self.assertEqual(refused.err_value.kind, 'not_a_voter')
        for voter in ('ana', 'boris', 'lucia'):
            current = _votes.cast_vote(current, 'p-1', voter).unwrap()
        # The approval of the proposer `mateo` does not count, as he no longer votes.
        self.assertEqual(current.teams_by_id['desk'].upper_limit, 10)
        current = _votes.cast_vote(current, 'p-1', 'eve').unwrap()
        self.assertEqual(current.teams_by_id['desk'].upper_limit, 3)

    def test_a_voter_has_one_open_proposal(self):
        """Guards against an unlimited number of proposals in the stored document."""
        current = voters_after(['ana', 'boris'])
        again = _votes.propose_voters(current, 'v-2', WITH_EVE, 'ana').unwrap()
        approvals = {k: v.approvals for k, v in again.voters_proposals_by_id.items()}
        self.assertEqual(approvals, {'v-2': ['ana']})
        both = _votes.propose_voters(current, 'v-2', WITH_EVE, 'vera').unwrap()
        self.assertEqual(list(both.voters_proposals_by_id), ['v-1', 'v-2'])

    def test_voters_that_are_refused(self):
        """Guards against voters who can pass no vote, or whom any file can replace."""
        limit = _votes.propose_limit(START, 'p-1', 'desk', 3, 'ana').unwrap()
        moved = replace(voters_after(['ana']), cooperatives_by_id=WITH_EVE)
        none = {'balkanfit': Cooperative(voters=[])}
        twice = {**VOTERS, 'remansito': Cooperative(voters=['lucia', 'ana'])}
        order = {**VOTERS, 'remansito': Cooperative(voters=['mateo', 'lucia'])}
        cases = [
            (START, WITH_EVE, 'eve', 'not_a_voter'),
            (limit, WITH_EVE, 'ana', 'proposal_exists'),
            (START, {}, 'ana', 'no_voters'),
            (START, none, 'ana', 'no_voters'),
            (START, VOTERS | none, 'ana', 'cooperatives_not_valid'),
            (START, twice, 'ana', 'cooperatives_not_valid'),
            (START, order, 'ana', 'no_change'),
        ]
        for current, proposed, proposer, kind in cases:
            with self.subTest(kind=kind, proposed=proposed):
                outcome = _votes.propose_voters(current, 'p-1', proposed, proposer)
                self.assertIsInstance(outcome, Err)
                self.assertEqual(outcome.err_value.kind, kind)
        reordered = replace(voters_after(['ana']), cooperatives_by_id=order)
        _votes.cast_vote(reordered, 'v-1', 'boris').unwrap()
        late = _votes.cast_vote(moved, 'v-1', 'boris')
        self.assertEqual(late.err_value.kind, 'base_changed')


class VersionTest(unittest.TestCase):
    def test_a_version_never_goes_back(self):
        """Guards against adopting an old version from a restored platform."""
        older = replace(START, version=4)
        newer = replace(START, version=6)
        other = replace(START, teams_by_id={})
        cases = [
            (None, START, _versions.Adopt(version=5)),
            (START, newer, _versions.Adopt(version=6)),
            (START, older, _versions.Republish(version=5)),
            (START, START, _versions.KeepCurrent(version=5)),
            (START, other, _versions.KeepCurrent(version=5, differs=True)),
        ]
        for known, offered, expected in cases:
            with self.subTest(expected):
                self.assertEqual(_versions.adopt(known, offered), expected)

    def test_a_change_counts_once(self):
        """Guards against a change that is made twice after a lost answer."""
        once = _versions.next_version(START, 'c-1', lambda current: current).unwrap()
        self.assertEqual((once.version, once.change_ids), (6, ['c-1']))
        again = _versions.next_version(once, 'c-1', lambda current: current)
        self.assertIsInstance(again, Err)
        for number in range(_versions.MAX_CHANGE_IDS):
            once = _versions.next_version(
                once, f'd-{number}', lambda current: current
            ).unwrap()
        self.assertFalse(_versions.already_applied(once, 'c-1'))
        self.assertEqual(len(once.change_ids), _versions.MAX_CHANGE_IDS)
