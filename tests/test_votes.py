"""Guards against an upper limit that changes without the co-operatives' vote."""

import unittest
from dataclasses import replace

from dandelionknot import decisions as d
from dandelionknot.configuration import Configuration, Cooperative, LimitProposal, Team
from dandelionknot.messages import ErrorCode

CONFIGURATION = Configuration(
    version=1,
    teams_by_id={'t': Team(upper_limit=10), 'u': Team(upper_limit=5)},
    cooperatives_by_id={
        'east': Cooperative(voters=['a', 'b', 'c', 'd']),
        'west': Cooperative(voters=['d', 'e']),
    },
)
PROPOSED = d.propose_limit(CONFIGURATION, 'p', 't', 10, 20, 'a').unwrap()


def vote(configuration, *voters):
    for voter in voters:
        configuration = d.cast_vote(configuration, 'p', voter, 10, 20).unwrap()
    return configuration


def limit_edit(team_id, limit):
    team = Team(upper_limit=limit)
    return {'teams_by_id': CONFIGURATION.teams_by_id | {team_id: team}}


class VotesTest(unittest.TestCase):
    def test_more_than_half_of_each_cooperative_decides(self):
        """Guards against a limit set by half, by one co-operative or by one voter."""
        cases = [('', 10), ('aaa', 10), ('bc', 10), ('bde', 20), ('de', 10)]
        for voters, limit in [*cases, ('ebd', 20), ('bed', 20)]:
            voted = vote(PROPOSED, *voters)
            limits = [d.limit_in_force(voted, team) for team in ('t', 'u', 'nobody')]
            self.assertEqual(limits, [limit, 5, 0], voters)
            approvals = [p.approvals for p in voted.limit_proposals_by_id.values()]
            still_open = [sorted({'a', *voters})] if limit == 10 else []
            self.assertEqual(approvals, still_open, voters)
        empty = {'east': Cooperative(voters=['a']), 'west': Cooperative(voters=[])}
        alone = replace(CONFIGURATION, cooperatives_by_id=empty)
        proposed = d.propose_limit(alone, 'p', 't', 10, 20, 'a').unwrap()
        self.assertEqual(d.limit_in_force(proposed, 't'), 10)

    def test_a_decision_closes_the_other_proposals_of_the_team(self):
        """Guards against old votes that count again once the base value returns."""
        rival = d.propose_limit(PROPOSED, 'q', 't', 10, 30, 'b').unwrap()
        rival = d.propose_limit(rival, 'r', 'u', 5, 6, 'b').unwrap()
        self.assertEqual([*vote(rival, *'bde').limit_proposals_by_id], ['r'])

    def test_votes_and_proposals_that_do_not_fit_are_refused(self):
        """Guards against votes on other values, by strangers, or on an old base."""
        moved = replace(PROPOSED, teams_by_id={'t': Team(upper_limit=11)})
        lost = LimitProposal(team='gone', base_limit=0, new_limit=20, proposer='a')
        gone = replace(PROPOSED, limit_proposals_by_id={'p': lost})
        conflict, stranger = ErrorCode.CONFLICT, ErrorCode.NOT_AUTHORIZED
        votes = [
            (PROPOSED, 'p', 'x', 10, 20, stranger),
            (PROPOSED, 'q', 'b', 10, 20, conflict),
            (PROPOSED, 'p', 'b', 10, 21, conflict),
            (PROPOSED, 'p', 'b', 11, 20, conflict),
            (moved, 'p', 'b', 10, 20, conflict),
            (gone, 'p', 'b', 0, 20, conflict),
        ]
        for *arguments, code in votes:
            self.assertEqual(d.cast_vote(*arguments).unwrap_err().code, code)
        proposals = [
            ('p', 't', 10, 20, 'a', conflict),
            ('q', 'nobody', 0, 20, 'a', conflict),
            ('q', 't', 9, 20, 'a', conflict),
            ('q', 't', 10, 20, 'x', stranger),
            ('q', 't', 10, -1, 'a', ErrorCode.MALFORMED_REQUEST),
            ('q', 't', 10, 1_000_001, 'a', ErrorCode.MALFORMED_REQUEST),
        ]
        for *arguments, code in proposals:
            refusal = d.propose_limit(PROPOSED, *arguments).unwrap_err()
            self.assertEqual(refusal.code, code)

    def test_an_edit_cannot_stand_in_for_a_vote(self):
        """Guards against a base file edit that sets limits or forges votes."""
        forged = LimitProposal(team='u', base_limit=5, new_limit=9, proposer='a')
        proposals = PROPOSED.limit_proposals_by_id
        shrunk = {'east': Cooperative(voters=['a'])}
        passed = replace(PROPOSED, cooperatives_by_id=shrunk)
        raised = limit_edit('t', 20)
        cases = [
            (PROPOSED, {}, []),
            (PROPOSED, raised, ['t']),
            (PROPOSED, limit_edit('n', 0), []),
            (PROPOSED, limit_edit('n', 1), ['n']),
            (PROPOSED, {'limit_proposals_by_id': proposals | {'f': forged}}, ['f']),
            (PROPOSED, {'limit_proposals_by_id': {}}, ['p']),
            (PROPOSED, {'teams_by_id': {}, 'limit_proposals_by_id': {}}, []),
            (PROPOSED, {'cooperatives_by_id': {}}, ['east']),
            (passed, raised, []),
            (replace(PROPOSED, cooperatives_by_id={}), raised, []),
        ]
        for old, edit, names in cases:
            changes = d.limits_changed_without_vote(old, replace(old, **edit))
            self.assertEqual([change.name for change in changes], names, edit)
