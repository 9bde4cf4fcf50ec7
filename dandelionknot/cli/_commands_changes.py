"""Commands that send one edit: keys, moves, zones, drains, limits, plans, members."""

import asyncio
import os
from pathlib import Path

from result import Err, Ok, Result

from dandelionknot import codec
from dandelionknot.cli._command_options import (
    CHANGE_OPTIONS,
    CommandCall,
    command,
    endpoint,
    parse_whole_number,
)
from dandelionknot.cli._command_outcomes import (
    Outcome,
    change_outcome,
    failed_call,
    failed_change,
    failure,
)
from dandelionknot.cli._operator_client import Endpoint, http_operator_port
from dandelionknot.decisions._keys import KEY_RANDOM_BYTES, issue_key
from dandelionknot.exit_status import ExitStatus
from dandelionknot.operators import ChangeRequest, Edit, EditKind

OWNER_ONLY_MODE = 0o600
CHANGE_ID_BYTES = 10


def send_change(call: CommandCall, edit: Edit) -> Outcome:
    """Sends an edit of the configuration version that is in force now.

    `--change_id` repeats a change whose outcome is unknown. The entry host recognises
    the id and makes the change at most once.
    """
    checked = codec.check_fields(codec.to_data(edit), Edit)
    if isinstance(checked, Err):
        problem = checked.err_value
        return failure(ExitStatus.INVALID_INPUT, f'{problem.field} {problem.problem}')
    target = endpoint(call)
    if isinstance(target, Err):
        return failure(ExitStatus.USAGE, target.err_value)
    return asyncio.run(_send(call, edit, target.ok_value))


async def _send(call: CommandCall, edit: Edit, target: Endpoint) -> Outcome:
    port = http_operator_port(target)
    running = await port.configuration()
    if isinstance(running, Err):
        return failed_call(running.err_value)
    change_id = call.change_id or _new_change_id(call)
    request = ChangeRequest(
        change_id=change_id,
        expected_version=running.ok_value.version,
        edit=edit,
        dry_run=call.dry_run,
    )
    checked = codec.check_fields(codec.to_data(request), ChangeRequest)
    if isinstance(checked, Err):
        problem = checked.err_value
        return failure(ExitStatus.INVALID_INPUT, f'{problem.field} {problem.problem}')
    answer = await port.change(request)
    if isinstance(answer, Err):
        remedy = f'check it with: confirmed {change_id}'
        return failed_change(answer.err_value, remedy)
    return change_outcome(answer.ok_value)


def _new_change_id(call: CommandCall) -> str:
    return f'change-{call.environment.random_bytes(CHANGE_ID_BYTES).hex()}'


# Has no --change_id: a repetition would write a new key to the file, while the key of
# the first change stays in force.
@command({k: v for k, v in CHANGE_OPTIONS.items() if k != 'change_id'})
def key_give(call: CommandCall, team: str, key_id: str, *, key_file: str) -> Outcome:
    """Creates a key for a team and writes it only to the new file KEY_FILE."""
    random_bytes = call.environment.random_bytes(KEY_RANDOM_BYTES)
    issued = issue_key(team, key_id, random_bytes)
    if isinstance(issued, Err):
        return failure(ExitStatus.INVALID_INPUT, issued.err_value.message)
    issued_key = issued.ok_value
    edit = Edit(
        kind=EditKind.GIVE_KEY, team=team, key_id=key_id, key_record=issued_key.record
    )
    if call.dry_run:
        return send_change(call, edit)
    # The file is written first. If writing failed after the change, nobody would have
    # the key that is in force.
    written = _write_secret(Path(key_file), issued_key.key)
    if isinstance(written, Err):
        return failure(ExitStatus.INVALID_INPUT, written.err_value)
    outcome = send_change(call, edit)
    statuses_keeping_key_file = (
        ExitStatus.SUCCESS,
        ExitStatus.PENDING,
        ExitStatus.UNKNOWN_OUTCOME,
    )
    if outcome.status not in statuses_keeping_key_file:
        Path(key_file).unlink()
    return outcome


def _write_secret(path: Path, text: str) -> Result[None, str]:
    flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL
    try:
        with os.fdopen(os.open(path, flags, OWNER_ONLY_MODE), 'w') as file:
            file.write(text + '\n')
    except OSError as error:
        return Err(f'{path}: {error.strerror}')
    return Ok(None)


@command(CHANGE_OPTIONS)
def key_withdraw(call: CommandCall, team: str, key_id: str) -> Outcome:
    """Withdraws a key of a team, so that it is no longer accepted."""
    return send_change(call, Edit(kind=EditKind.WITHDRAW_KEY, team=team, key_id=key_id))


@command(CHANGE_OPTIONS)
def move(call: CommandCall, host_id: str, to_pool: str) -> Outcome:
    """Moves a host to another pool once it has drained."""
    return send_change(
        call, Edit(kind=EditKind.MOVE_HOST, host_id=host_id, to_pool=to_pool)
    )


@command(CHANGE_OPTIONS)
def cancel_move(call: CommandCall, host_id: str) -> Outcome:
    """Cancels an unfinished move of a host."""
    return send_change(call, Edit(kind=EditKind.CANCEL_MOVE, host_id=host_id))


@command(CHANGE_OPTIONS)
def zone_out(
    call: CommandCall, availability_zone: str, *, force: str = 'False'
) -> Outcome:
    """Takes a zone out of service; --force ignores the availability budgets."""
    if force not in ('True', 'False'):
        return failure(ExitStatus.INVALID_INPUT, '--force takes no value')
    edit = Edit(
        kind=EditKind.ZONE_OUT,
        availability_zone=availability_zone,
        force=force == 'True',
    )
    return send_change(call, edit)


@command(CHANGE_OPTIONS)
def zone_back(call: CommandCall, availability_zone: str) -> Outcome:
    """Puts an availability zone back into service."""
    edit = Edit(kind=EditKind.ZONE_BACK, availability_zone=availability_zone)
    return send_change(call, edit)


@command(CHANGE_OPTIONS)
def drain(call: CommandCall, host_id: str) -> Outcome:
    """Drains a host: its running tasks finish and no new task starts."""
    return send_change(call, Edit(kind=EditKind.DRAIN_HOST, host_id=host_id))


@command(CHANGE_OPTIONS)
def undrain(call: CommandCall, host_id: str) -> Outcome:
    """Ends the draining of a host, so that tasks start on it again."""
    return send_change(call, Edit(kind=EditKind.UNDRAIN_HOST, host_id=host_id))


@command(CHANGE_OPTIONS)
def limit_propose(
    call: CommandCall, proposal_id: str, team: str, new_limit: str
) -> Outcome:
    """Proposes a new upper limit for a team, on which the co-operatives vote."""
    number = parse_whole_number('new_limit', new_limit)
    if isinstance(number, Err):
        return failure(ExitStatus.INVALID_INPUT, number.err_value)
    edit = Edit(
        kind=EditKind.PROPOSE_LIMIT,
        proposal_id=proposal_id,
        team=team,
        new_limit=number.ok_value,
    )
    return send_change(call, edit)


@command(CHANGE_OPTIONS)
def vote(call: CommandCall, proposal_id: str) -> Outcome:
    """Approves a proposal as the operator whose token is used."""
    return send_change(call, Edit(kind=EditKind.VOTE, proposal_id=proposal_id))


@command(CHANGE_OPTIONS)
def plan_create(call: CommandCall, plan_id: str, *hosts: str) -> Outcome:
    """Creates a maintenance plan for hosts; `plan resume` starts it."""
    if not hosts:
        return failure(ExitStatus.USAGE, 'plan create needs at least one host')
    edit = Edit(kind=EditKind.PLAN_CREATE, plan_id=plan_id, hosts=list(hosts))
    return send_change(call, edit)


@command(CHANGE_OPTIONS)
def plan_pause(call: CommandCall, plan_id: str) -> Outcome:
    """Pauses a maintenance plan; maintenance that has begun is finished."""
    return send_change(call, Edit(kind=EditKind.PLAN_PAUSE, plan_id=plan_id))


@command(CHANGE_OPTIONS)
def plan_resume(call: CommandCall, plan_id: str) -> Outcome:
    """Starts a maintenance plan or continues a paused one."""
    return send_change(call, Edit(kind=EditKind.PLAN_RESUME, plan_id=plan_id))


@command(CHANGE_OPTIONS)
def member_gone(call: CommandCall, member_id: str) -> Outcome:
    """Declares a stopped entry host gone, so that changes do not wait for it."""
    return send_change(call, Edit(kind=EditKind.MEMBER_GONE, member_id=member_id))
