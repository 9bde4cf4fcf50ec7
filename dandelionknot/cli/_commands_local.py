"""Commands without the operator API: entry, manager, explain, submit, completion."""

import asyncio
import sys
from pathlib import Path

import fire
from result import Err, Ok, Result

from dandelionknot import codec
from dandelionknot.addresses import address_problem
from dandelionknot.cli._command_options import (
    OUTPUT_OPTIONS,
    CommandCall,
    command,
    parse_whole_number,
    read_secret,
)
from dandelionknot.cli._command_outcomes import Outcome, failed_change, failure
from dandelionknot.cli._explain import build_timeline, timeline_lines
from dandelionknot.cli._operator_client import Endpoint, submit_request
from dandelionknot.decisions._slices import RANDOM_BYTES, new_request_id
from dandelionknot.exit_status import ExitStatus
from dandelionknot.messages import RequestBody, RequestPhase
from dandelionknot.settings import load_entry_settings

# Time beyond the request's deadline to wait for the answer, since an answer that is
# sent at the deadline still has to cross the network.
ANSWER_MARGIN_MS = 2000
# File name that stands for standard input.
STANDARD_INPUT = '-'
SHELLS = ('bash', 'fish')
STATUSES_BY_PHASE = {
    RequestPhase.QUEUED: ExitStatus.PENDING,
    RequestPhase.RUNNING: ExitStatus.PENDING,
    RequestPhase.FINISHED: ExitStatus.SUCCESS,
    RequestPhase.FAILED: ExitStatus.ERROR,
    RequestPhase.REFUSED: ExitStatus.REFUSED,
    RequestPhase.CANCELLED: ExitStatus.REFUSED,
    RequestPhase.UNKNOWN: ExitStatus.UNKNOWN_OUTCOME,
}


@command(OUTPUT_OPTIONS)
def entry(call: CommandCall, *, settings: str) -> Outcome:
    """Runs an entry host until it receives SIGTERM or SIGINT."""
    loaded = load_entry_settings(Path(settings))
    if isinstance(loaded, Err):
        return failure(ExitStatus.INVALID_INPUT, str(loaded.err_value))
    # Imported here so that operators' commands start without loading the servers.
    from dandelionknot.core import run_entry

    return Outcome(status=ExitStatus(run_entry(loaded.ok_value)))


@command(OUTPUT_OPTIONS)
def manager(call: CommandCall, *, settings: str) -> Outcome:
    """Runs a manager of jobs on the platform until it receives SIGTERM or SIGINT."""
    # Imported here so that operators' commands start without loading the servers.
    from dandelionknot.manager.daemon import run_manager

    return Outcome(status=run_manager(Path(settings)))


@command(OUTPUT_OPTIONS)
def explain(call: CommandCall, subject: str, *files: str) -> Outcome:
    """Shows the timeline of a job, task, host or wave from log files."""
    texts: list[str] = []
    for name in files or (STANDARD_INPUT,):
        try:
            source = sys.stdin if name == STANDARD_INPUT else open(name)  # noqa: SIM115
            with source:
                texts.extend(source)
        except (OSError, UnicodeDecodeError) as error:
            return failure(ExitStatus.INVALID_INPUT, f'{name}: {error}')
    timeline = build_timeline(subject, texts)
    lines = timeline_lines(timeline)
    if not timeline.lines:
        return failure(ExitStatus.INVALID_INPUT, lines[0])
    return Outcome(lines=lines, data=lines)


@command(OUTPUT_OPTIONS | {'entry': '', 'dry_run': 'False'})
def submit(
    call: CommandCall,
    service: str,
    payload: str = '',
    *,
    key_file: str = '',
    deadline_ms: str = '10000',
    idempotent: str = 'False',
    request_id: str = '',
    priority: str = 'urgent',
    mode: str = 'wait',
) -> Outcome:
    """Sends a caller's request, by default with a new request id; shows the answer."""
    if idempotent not in ('True', 'False'):
        return failure(ExitStatus.INVALID_INPUT, '--idempotent takes no value')
    deadline = parse_whole_number('--deadline_ms', deadline_ms)
    if isinstance(deadline, Err):
        return failure(ExitStatus.INVALID_INPUT, deadline.err_value)
    fields = {
        'request_id': request_id or _new_request_id(call),
        'service': service,
        'deadline_ms': deadline.ok_value,
        'idempotent': idempotent == 'True',
        'mode': mode,
        'priority': priority,
        'payload': payload,
    }
    checked = codec.check_fields(fields, RequestBody)
    if isinstance(checked, Err):
        problem = checked.err_value
        return failure(ExitStatus.INVALID_INPUT, f'{problem.field} {problem.problem}')
    request = codec.from_data(fields, RequestBody, 'request').unwrap()
    if call.dry_run:
        return Outcome(lines=[f'valid: request {request.request_id}'], data=request)
    target = _caller_endpoint(call, key_file, request)
    if isinstance(target, Err):
        return target.err_value
    return _submit(target.ok_value, request)


def _new_request_id(call: CommandCall) -> str:
    random_bytes = call.environment.random_bytes(RANDOM_BYTES)
    return new_request_id(call.environment.unix_ms(), random_bytes)


def _caller_endpoint(
    call: CommandCall, key_file: str, request: RequestBody
) -> Result[Endpoint, Outcome]:
    """Returns the entry host and the team key for a request, or a failed outcome."""
    if not call.entry:
        return Err(failure(ExitStatus.USAGE, '--entry IP:PORT is missing'))
    problem = address_problem(call.entry)
    if problem:
        return Err(failure(ExitStatus.USAGE, f'--entry: {problem}'))
    key: Result[str, str] = read_secret(key_file) if key_file else Ok('')
    if isinstance(key, Err):
        return Err(failure(ExitStatus.INVALID_INPUT, key.err_value))
    timeout_ms = request.deadline_ms + ANSWER_MARGIN_MS
    return Ok(Endpoint(address=call.entry, token=key.ok_value, timeout_ms=timeout_ms))


def _submit(target: Endpoint, request: RequestBody) -> Outcome:
    answer = asyncio.run(submit_request(target, request))
    if isinstance(answer, Err):
        remedy = f'repeat with: --request_id {request.request_id}'
        return failed_change(answer.err_value, remedy)
    body = answer.ok_value
    status = STATUSES_BY_PHASE[body.phase]
    lines = [f'request id: {body.request_id}', f'phase: {body.phase.value}']
    lines.append(f'run state: {body.run_state.value}')
    if body.result is not None:
        lines.append(f'result: {body.result}')
    error = ''
    if status not in (ExitStatus.SUCCESS, ExitStatus.PENDING):
        error = f'request {body.phase.value}: {body.message or "no reason was given"}'
    return Outcome(status=status, lines=lines, data=body, error=error)


def completion_for(commands: dict) -> object:
    """Returns the command that prints shell completion for a tree of commands."""

    @command(OUTPUT_OPTIONS)
    def completion(call: CommandCall, shell: str = 'bash') -> Outcome:
        """Prints the completion script for bash or fish."""
        if shell not in SHELLS:
            return failure(ExitStatus.USAGE, f'shells are: {", ".join(SHELLS)}')
        script = fire.completion.Script('dandelionknot', commands, shell=shell)
        return Outcome(lines=[script], data=script)

    return completion
