"""Votes of the co-operatives on the upper limits of teams and on their voters."""

from collections.abc import Mapping
from dataclasses import dataclass, replace
from enum import StrEnum

from result import Err, Ok, Result

from dandelionknot._generated_classes import (
    Configuration,
    Cooperative,
    LimitProposal,
    VotersProposal,
)
from dandelionknot.configuration._crosschecks import find_faults

COOPERATIVES_FIELD = 'cooperatives_by_id'

Proposal = LimitProposal | VotersProposal


class VoteErrorKind(StrEnum):
    """Why a proposal or a vote is refused."""

    TEAM_NOT_FOUND = 'team_not_found'
    PROPOSAL_NOT_FOUND = 'proposal_not_found'
    PROPOSAL_EXISTS = 'proposal_exists'
    NOT_A_VOTER = 'not_a_voter'
    BASE_CHANGED = 'base_changed'
    NO_CHANGE = 'no_change'
    NO_VOTERS = 'no_voters'
    COOPERATIVES_NOT_VALID = 'cooperatives_not_valid'


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
    """Records a proposal for a limit, which counts as the vote of its proposer."""
    team = configuration.teams_by_id.get(team_id)
    if team is None:
        message = f'team {team_id!r} does not exist'
        return _refuse(VoteErrorKind.TEAM_NOT_FOUND, message)
    refused = _proposer_refusal(configuration, proposal_id, proposer)
    if refused:
        return refused
    proposal = LimitProposal(
        team=team_id,
        base_limit=team.upper_limit,
        new_limit=new_limit,
        proposer=proposer,
        approvals=[proposer],
    )
    return Ok(_with_limit_proposal(configuration, proposal_id, proposal))


def propose_voters(
    configuration: Configuration,
    proposal_id: str,
    cooperatives_by_id: Mapping[str, Cooperative],
    proposer: str,
) -> Result[Configuration, VoteError]:
    """Records a proposal for the co-operatives' voters, with its proposer's vote.

    A voter has at most one open proposal on voters, which a new one replaces. This
    bounds the number of proposals, and no voter can block the proposals of others.
    """
    refused = _proposer_refusal(configuration, proposal_id, proposer)
    if refused:
        return refused
    proposed = replace(configuration, cooperatives_by_id=dict(cooperatives_by_id))
    if not has_voters(proposed):
        message = (
            'the proposal has no voters; without voters, any operator who may apply '
            'configuration files could set new ones'
        )
        return _refuse(VoteErrorKind.NO_VOTERS, message)
    faults = [
        fault
        for fault in find_faults(proposed)
        if fault.field.startswith(COOPERATIVES_FIELD)
    ]
    if faults:
        message = f'{faults[0].field}: {faults[0].problem}'
        return _refuse(VoteErrorKind.COOPERATIVES_NOT_VALID, message)
    if not voters_changed_without_vote(configuration, proposed):
        message = 'the proposal changes nothing: the co-operatives have these voters'
        return _refuse(VoteErrorKind.NO_CHANGE, message)
    proposal = VotersProposal(
        base_cooperatives_by_id=configuration.cooperatives_by_id,
        new_cooperatives_by_id=proposed.cooperatives_by_id,
        proposer=proposer,
        approvals=[proposer],
    )
    return Ok(_with_voters_proposal(configuration, proposal_id, proposal))


def _proposer_refusal(
    configuration: Configuration, proposal_id: str, proposer: str
) -> Err[VoteError] | None:
    if not _is_voter(configuration, proposer):
        message = f'{proposer!r} votes for no co-operative'
        return _refuse(VoteErrorKind.NOT_A_VOTER, message)
    if _find_proposal(configuration, proposal_id) is not None:
        message = f'proposal {proposal_id!r} already exists'
        return _refuse(VoteErrorKind.PROPOSAL_EXISTS, message)
    return None


def _find_proposal(configuration: Configuration, proposal_id: str) -> Proposal | None:
    """Returns the proposal with an id; limit and voter proposals share their ids."""
    limit = configuration.limit_proposals_by_id.get(proposal_id)
    return limit or configuration.voters_proposals_by_id.get(proposal_id)


def cast_vote(
    configuration: Configuration, proposal_id: str, voter: str
) -> Result[Configuration, VoteError]:
    """Adds a vote, and makes the proposed change once a majority has approved it.

    The vote is refused if the limit or the voters have changed since the proposal
    was made, because the earlier votes were for a different change.
    """
    proposal = _find_proposal(configuration, proposal_id)
    if proposal is None:
        message = f'proposal {proposal_id!r} does not exist'
        return _refuse(VoteErrorKind.PROPOSAL_NOT_FOUND, message)
    if not _is_voter(configuration, voter):
        message = f'{voter!r} votes for no co-operative'
        return _refuse(VoteErrorKind.NOT_A_VOTER, message)
    subject = _changed_since_proposal(configuration, proposal)
    if subject:
        message = f'{subject} changed since proposal {proposal_id!r} was made'
        return _refuse(VoteErrorKind.BASE_CHANGED, message)
    approvals = list(dict.fromkeys([*proposal.approvals, voter]))
    if isinstance(proposal, LimitProposal):
        limit = replace(proposal, approvals=approvals)
        return Ok(_with_limit_proposal(configuration, proposal_id, limit))
    voters = replace(proposal, approvals=approvals)
    return Ok(_with_voters_proposal(configuration, proposal_id, voters))


def _changed_since_proposal(configuration: Configuration, proposal: Proposal) -> str:
    """Returns what has changed since a proposal was made, or an empty string."""
    if isinstance(proposal, VotersProposal):
        base = replace(
            configuration, cooperatives_by_id=proposal.base_cooperatives_by_id
        )
        changed = voters_changed_without_vote(base, configuration)
        return 'the voters' if changed else ''
    team = configuration.teams_by_id.get(proposal.team)
    is_unchanged = team is not None and team.upper_limit == proposal.base_limit
    return '' if is_unchanged else f'the limit of team {proposal.team!r}'


def _is_voter(configuration: Configuration, operator_id: str) -> bool:
    return any(
        operator_id in cooperative.voters
        for cooperative in configuration.cooperatives_by_id.values()
    )


def has_voters(configuration: Configuration) -> bool:
    """Returns whether at least one co-operative has a voter."""
    cooperatives = configuration.cooperatives_by_id.values()
    return any(cooperative.voters for cooperative in cooperatives)


def has_passed(configuration: Configuration, proposal: Proposal) -> bool:
    """Returns whether more than half of the voters of each co-operative approved.

    Approvals of operators who are no longer voters do not count.
    """
    approvals = set(proposal.approvals)
    cooperatives = configuration.cooperatives_by_id.values()
    return bool(cooperatives) and all(
        2 * len(approvals & set(cooperative.voters)) > len(set(cooperative.voters))
        for cooperative in cooperatives
    )


def _with_limit_proposal(
    configuration: Configuration, proposal_id: str, proposal: LimitProposal
) -> Configuration:
    """Stores an open proposal, or applies a proposal that has passed."""
    proposals = dict(configuration.limit_proposals_by_id)
    if not has_passed(configuration, proposal):
        proposals[proposal_id] = proposal
        return replace(configuration, limit_proposals_by_id=proposals)
    proposals.pop(proposal_id, None)
    team = configuration.teams_by_id[proposal.team]
    is_lowered = proposal.new_limit < team.upper_limit
    changed = replace(
        team,
        upper_limit=proposal.new_limit,
        limit_lowered_version=configuration.version + 1
        if is_lowered
        else team.limit_lowered_version,
    )
    teams = {**configuration.teams_by_id, proposal.team: changed}
    return replace(configuration, limit_proposals_by_id=proposals, teams_by_id=teams)


def _with_voters_proposal(
    configuration: Configuration, proposal_id: str, proposal: VotersProposal
) -> Configuration:
    """Stores an open proposal, or applies a proposal that has passed.

    When one has passed, all other proposals on voters are removed, because they were
    made for the former voters.
    """
    if has_passed(configuration, proposal):
        return replace(
            configuration,
            cooperatives_by_id=proposal.new_cooperatives_by_id,
            voters_proposals_by_id={},
        )
    proposals = {
        other_id: other
        for other_id, other in configuration.voters_proposals_by_id.items()
        if other.proposer != proposal.proposer
    }
    proposals[proposal_id] = proposal
    return replace(configuration, voters_proposals_by_id=proposals)


def limits_changed_without_vote(old: Configuration, new: Configuration) -> list[str]:
    """Returns the teams whose upper limit an edit would change without a vote.

    A new team must have the limit 0. As long as there are no co-operatives, an edit
    may set any limit.
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


def voters_changed_without_vote(old: Configuration, new: Configuration) -> list[str]:
    """Returns the fields of co-operatives that an edit would change without a vote.

    A different order of voters is not a change. As long as there are no voters, an
    edit may set any.
    """
    if not has_voters(old):
        return []
    fields = []
    for name in sorted(old.cooperatives_by_id.keys() | new.cooperatives_by_id.keys()):
        before = old.cooperatives_by_id.get(name)
        after = new.cooperatives_by_id.get(name)
        if before is None or after is None:
            fields.append(f'{COOPERATIVES_FIELD}.{name}')
        elif set(before.voters) != set(after.voters):
            fields.append(f'{COOPERATIVES_FIELD}.{name}.voters')
    return fields


def vote_required_message(fields: list[str]) -> str:
    """Returns the message that fields of co-operatives cannot change with an edit."""
    return f'{", ".join(fields)}: changes only with a vote; use voters propose'
