"""Votes of the co-operatives on upper limits.

A proposal names a team, the limit it was based on and the new limit. It takes
effect, in the same version as the last vote it needed, once more than half of
the voters of each co-operative agreed. The limit then no longer depends on the
voter lists, so a later change of voters does not take it back.
"""

from dataclasses import dataclass, replace
from enum import StrEnum

from result import Err, Ok, Result

from dandelionknot.configuration import Configuration, LimitProposal
from dandelionknot.messages import ErrorCode, Refusal, RunState

MAX_UPPER_LIMIT = 1_000_000


class UnvotedKind(StrEnum):
    """What an edit may not change without a vote."""

    UPPER_LIMIT = 'upper_limit'
    PROPOSAL = 'proposal'
    LAST_COOPERATIVE = 'last_cooperative'


@dataclass(frozen=True, slots=True, kw_only=True)
class UnvotedChange:
    """One change that needs a vote: its kind and the team or proposal.

    The limits are set for upper limits only.
    """

    kind: UnvotedKind
    name: str
    old_limit: int | None = None
    new_limit: int | None = None


def propose_limit(
    configuration: Configuration,
    proposal_id: str,
    team_id: str,
    base_limit: int,
    new_limit: int,
    proposer: str,
) -> Result[Configuration, Refusal]:
    """Adds a proposal, which counts as the proposer's vote."""
    if proposal_id in configuration.limit_proposals_by_id:
        return _refuse(ErrorCode.CONFLICT, f'proposal {proposal_id!r} exists')
    if team_id not in configuration.teams_by_id:
        return _refuse(ErrorCode.CONFLICT, f'team {team_id!r} does not exist')
    if not 0 <= new_limit <= MAX_UPPER_LIMIT:
        message = f'limit {new_limit} is not between 0 and {MAX_UPPER_LIMIT}'
        return _refuse(ErrorCode.MALFORMED_REQUEST, message)
    proposal = LimitProposal(
        team=team_id, base_limit=base_limit, new_limit=new_limit, proposer=proposer
    )
    proposals = configuration.limit_proposals_by_id | {proposal_id: proposal}
    proposed = replace(configuration, limit_proposals_by_id=proposals)
    return cast_vote(proposed, proposal_id, proposer, base_limit, new_limit)


def cast_vote(
    configuration: Configuration,
    proposal_id: str,
    voter: str,
    base_limit: int,
    new_limit: int,
) -> Result[Configuration, Refusal]:
    """Adds a vote and sets the limit if the vote decides the proposal.

    The voter names the limits that they saw. Other limits in the proposal, or a
    base limit that changed meanwhile, are a conflict. A decided proposal is
    removed together with the team's other ones, whose base is no longer right;
    a second vote of the same voter has no effect.
    """
    proposal = configuration.limit_proposals_by_id.get(proposal_id)
    if proposal is None:
        return _refuse(ErrorCode.CONFLICT, f'proposal {proposal_id!r} does not exist')
    if not _is_voter(configuration, voter):
        return _refuse(ErrorCode.NOT_AUTHORIZED, f'{voter!r} is not a voter')
    if (proposal.base_limit, proposal.new_limit) != (base_limit, new_limit):
        limits = f'{proposal.base_limit} to {proposal.new_limit}'
        message = f'proposal {proposal_id!r} changes the limit from {limits}'
        return _refuse(ErrorCode.CONFLICT, message)
    limit = limit_in_force(configuration, proposal.team)
    if limit != base_limit or proposal.team not in configuration.teams_by_id:
        message = f'the limit of team {proposal.team!r} is now {limit}'
        return _refuse(ErrorCode.CONFLICT, message)
    approvals = sorted({*proposal.approvals, voter})
    approved = replace(proposal, approvals=approvals)
    if _has_passed(configuration, approved):
        return Ok(_set_limit(configuration, approved))
    proposals = configuration.limit_proposals_by_id | {proposal_id: approved}
    return Ok(replace(configuration, limit_proposals_by_id=proposals))


def limit_in_force(configuration: Configuration, team_id: str) -> int:
    """Returns a team's upper limit; an unknown team may run nothing."""
    team = configuration.teams_by_id.get(team_id)
    return 0 if team is None else team.upper_limit


def limits_changed_without_vote(
    old: Configuration, new: Configuration
) -> list[UnvotedChange]:
    """Returns what an edit of a base file changes although it needs a vote.

    Votes do not pass through here, so proposals must stay as they are, but for
    those of a team that the edit removes. A limit may change only as a recorded
    proposal that has passed says, which happens when the list of voters shrank.
    Before the first co-operative exists, every limit may be set. The last
    co-operative cannot be removed, since that would lift the rule.
    """
    if not old.cooperatives_by_id:
        return []
    changes = _changed_limits(old, new) + _changed_proposals(old, new)
    if not new.cooperatives_by_id:
        name = min(old.cooperatives_by_id)
        changes.append(UnvotedChange(kind=UnvotedKind.LAST_COOPERATIVE, name=name))
    return changes


def _changed_limits(old: Configuration, new: Configuration) -> list[UnvotedChange]:
    changes = []
    for team_id, team in sorted(new.teams_by_id.items()):
        old_limit = limit_in_force(old, team_id)
        if team.upper_limit == old_limit:
            continue
        if not _is_agreed(old, team_id, team.upper_limit):
            change = UnvotedChange(
                kind=UnvotedKind.UPPER_LIMIT,
                name=team_id,
                old_limit=old_limit,
                new_limit=team.upper_limit,
            )
            changes.append(change)
    return changes


def _changed_proposals(old: Configuration, new: Configuration) -> list[UnvotedChange]:
    before, after = old.limit_proposals_by_id, new.limit_proposals_by_id
    return [
        UnvotedChange(kind=UnvotedKind.PROPOSAL, name=proposal_id)
        for proposal_id in sorted(before.keys() | after.keys())
        if before.get(proposal_id) != after.get(proposal_id)
        and not _is_closed_by_edit(old, new, proposal_id)
    ]


def _is_closed_by_edit(
    old: Configuration, new: Configuration, proposal_id: str
) -> bool:
    """Tells whether a proposal went away with its team or its base limit."""
    proposal = old.limit_proposals_by_id.get(proposal_id)
    if proposal is None or proposal_id in new.limit_proposals_by_id:
        return False
    team = new.teams_by_id.get(proposal.team)
    return team is None or team.upper_limit != proposal.base_limit


def _is_agreed(configuration: Configuration, team_id: str, new_limit: int) -> bool:
    limit = limit_in_force(configuration, team_id)
    return any(
        (proposal.team, proposal.base_limit, proposal.new_limit)
        == (team_id, limit, new_limit)
        and _has_passed(configuration, proposal)
        for proposal in configuration.limit_proposals_by_id.values()
    )


def _has_passed(configuration: Configuration, proposal: LimitProposal) -> bool:
    """Tells whether more than half of the voters of each co-operative agreed."""
    approvals = set(proposal.approvals)
    cooperatives = configuration.cooperatives_by_id.values()
    return bool(cooperatives) and all(
        2 * len(approvals & set(cooperative.voters)) > len(set(cooperative.voters))
        for cooperative in cooperatives
    )


def _is_voter(configuration: Configuration, name: str) -> bool:
    cooperatives = configuration.cooperatives_by_id.values()
    return any(name in cooperative.voters for cooperative in cooperatives)


def _set_limit(configuration: Configuration, passed: LimitProposal) -> Configuration:
    team = replace(configuration.teams_by_id[passed.team], upper_limit=passed.new_limit)
    proposals = {
        proposal_id: proposal
        for proposal_id, proposal in configuration.limit_proposals_by_id.items()
        if proposal.team != passed.team
    }
    return replace(
        configuration,
        teams_by_id=configuration.teams_by_id | {passed.team: team},
        limit_proposals_by_id=proposals,
    )


def _refuse(code: ErrorCode, message: str) -> Err[Refusal]:
    return Err(Refusal(code=code, message=message, run_state=RunState.NOT_RUN))
