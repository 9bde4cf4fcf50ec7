"""Votes of the co-operatives on upper limits."""

from dataclasses import dataclass, replace
from enum import StrEnum

from result import Err, Ok, Result

from dandelionknot.configuration import Configuration, LimitProposal


class VoteErrorKind(StrEnum):
    """Why a proposal or a vote is refused."""

    TEAM_NOT_FOUND = 'team_not_found'
    PROPOSAL_NOT_FOUND = 'proposal_not_found'
    PROPOSAL_EXISTS = 'proposal_exists'
    NOT_A_VOTER = 'not_a_voter'
    BASE_CHANGED = 'base_changed'


@dataclass(frozen=True, slots=True, kw_only=True)
class VoteError:
    """A refused proposal or vote."""

    kind: VoteErrorKind
    message: str


def _refuse(kind: VoteErrorKind, message: str) -> Err[VoteError]:
    return Err(VoteError(kind=kind, message=message))


def propose_limit(
    configuration: Configuration,
    proposal_id: str,
    team_id: str,
    new_limit: int,
    proposer: str,
) -> Result[Configuration, VoteError]:
    """Records a proposal, which counts as the vote of its proposer."""
    team = configuration.teams_by_id.get(team_id)
    if team is None:
        message = f'team {team_id!r} does not exist'
        return _refuse(VoteErrorKind.TEAM_NOT_FOUND, message)
    if not _is_voter(configuration, proposer):
        message = f'{proposer!r} votes for no co-operative'
        return _refuse(VoteErrorKind.NOT_A_VOTER, message)
    proposal = LimitProposal(
        team=team_id,
        base_limit=team.upper_limit,
        new_limit=new_limit,
        proposer=proposer,
        approvals=[proposer],
    )
    known = configuration.limit_proposals_by_id.get(proposal_id)
    if known is not None:
        message = f'proposal {proposal_id!r} already exists'
        return _refuse(VoteErrorKind.PROPOSAL_EXISTS, message)
    return Ok(_with_proposal(configuration, proposal_id, proposal))


def cast_vote(
    configuration: Configuration, proposal_id: str, voter: str
) -> Result[Configuration, VoteError]:
    """Adds a vote; the limit changes with the vote that completes a majority.

    A limit that changed after the proposal was made is a conflict: the others
    voted on another change than the one that would be made.
    """
    proposal = configuration.limit_proposals_by_id.get(proposal_id)
    if proposal is None:
        message = f'proposal {proposal_id!r} does not exist'
        return _refuse(VoteErrorKind.PROPOSAL_NOT_FOUND, message)
    if not _is_voter(configuration, voter):
        message = f'{voter!r} votes for no co-operative'
        return _refuse(VoteErrorKind.NOT_A_VOTER, message)
    team = configuration.teams_by_id.get(proposal.team)
    if team is None or team.upper_limit != proposal.base_limit:
        message = (
            f'the limit of team {proposal.team!r} changed since proposal '
            f'{proposal_id!r} was made'
        )
        return _refuse(VoteErrorKind.BASE_CHANGED, message)
    approvals = list(dict.fromkeys([*proposal.approvals, voter]))
    voted = replace(proposal, approvals=approvals)
    return Ok(_with_proposal(configuration, proposal_id, voted))


def _is_voter(configuration: Configuration, operator_id: str) -> bool:
    return any(
        operator_id in cooperative.voters
        for cooperative in configuration.cooperatives_by_id.values()
    )


def has_passed(configuration: Configuration, proposal: LimitProposal) -> bool:
    """Tells whether more than half of the voters of each co-operative agreed.

    Approvals of operators who no longer vote do not count.
    """
    approvals = set(proposal.approvals)
    cooperatives = configuration.cooperatives_by_id.values()
    return bool(cooperatives) and all(
        2 * len(approvals & set(cooperative.voters)) > len(set(cooperative.voters))
        for cooperative in cooperatives
    )


def _with_proposal(
    configuration: Configuration, proposal_id: str, proposal: LimitProposal
) -> Configuration:
    """Keeps a proposal that is open, and carries out one that has passed."""
    proposals = dict(configuration.limit_proposals_by_id)
    if not has_passed(configuration, proposal):
        proposals[proposal_id] = proposal
        return replace(configuration, limit_proposals_by_id=proposals)
    proposals.pop(proposal_id, None)
    team = configuration.teams_by_id[proposal.team]
    lowered = proposal.new_limit < team.upper_limit
    changed = replace(
        team,
        upper_limit=proposal.new_limit,
        limit_lowered_version=configuration.version + 1
        if lowered
        else team.limit_lowered_version,
    )
    teams = {**configuration.teams_by_id, proposal.team: changed}
    return replace(configuration, limit_proposals_by_id=proposals, teams_by_id=teams)


def limits_changed_without_vote(old: Configuration, new: Configuration) -> list[str]:
    """Returns the teams whose upper limit an edit would change without a vote.

    A new team starts with limit 0. The first configuration, before there are
    co-operatives, may set any limit.
    """
    if not old.cooperatives_by_id:
        return []
    changed = []
    for team_id, team in new.teams_by_id.items():
        known = old.teams_by_id.get(team_id)
        limit = known.upper_limit if known else 0
        if team.upper_limit != limit:
            changed.append(team_id)
    return sorted(changed)
