"""The command `where`: asks the leader of the managers where a job would be placed."""

import asyncio
import sys
from pathlib import Path

from result import Err, Ok, Result

from dandelionknot.addresses import address_problem
from dandelionknot.cli._command_options import (
    DEFAULT_TIMEOUT_MS,
    OUTPUT_OPTIONS,
    CommandCall,
    command,
)
from dandelionknot.cli._command_outcomes import Outcome, failure
from dandelionknot.cli._operator_client import Endpoint, OperatorError, ask_placement
from dandelionknot.exit_status import ExitStatus
from dandelionknot.jobs._generated import (
    HostForStep,
    PlacementAnswer,
    PlacementOutcome,
    PlacementQuery,
    StepPlacement,
)

# File name that stands for standard input.
STANDARD_INPUT = '-'
# Most processes that one command asks, following from one to the next.
MAX_ASKED = 6
# Most hosts of a step that are printed as text.
MAX_HOSTS_PRINTED = 12
MILLISECONDS_PER_SECOND = 1000
STATUS_BY_OUTCOME = {
    PlacementOutcome.NOT_FOUND: ExitStatus.INVALID_INPUT,
    PlacementOutcome.MALFORMED: ExitStatus.INVALID_INPUT,
    PlacementOutcome.NOT_LEADING: ExitStatus.NO_LEADER,
    PlacementOutcome.NO_LEADER: ExitStatus.NO_LEADER,
    PlacementOutcome.BUSY: ExitStatus.CONFLICT,
}


@command(OUTPUT_OPTIONS | {'timeout_ms': str(DEFAULT_TIMEOUT_MS)})
def where(
    call: CommandCall, queue: str, job: str, *, manager: str, account: str = ''
) -> Outcome:
    """Shows where a job would be placed now, and why, without submitting it.

    QUEUE is the name of a queue, or HOST/PATH of a call. JOB is a file with the body of
    the call, or - for standard input. --manager is the metrics address of one or more
    managers, IP:PORT,IP:PORT; the leader is found from there.
    """
    addresses = manager.split(',')
    for address in addresses:
        problem = address_problem(address)
        if problem:
            return failure(ExitStatus.USAGE, f'--manager: {problem}')
    submission = _read(job)
    if isinstance(submission, Err):
        return failure(ExitStatus.INVALID_INPUT, submission.err_value)
    host, slash, path = queue.partition('/')
    query = PlacementQuery(
        queue='' if slash else queue,
        host=host if slash else '',
        path=slash + path,
        client_account=account,
        submission=submission.ok_value,
    )
    return asyncio.run(_ask_leader(query, addresses, call.timeout_ms))


def _read(name: str) -> Result[str, str]:
    try:
        if name == STANDARD_INPUT:
            return Ok(sys.stdin.read())
        return Ok(Path(name).read_text(encoding='utf-8'))
    except (OSError, UnicodeDecodeError) as error:
        return Err(f'{name}: {error}')


async def _ask_leader(
    query: PlacementQuery, addresses: list[str], timeout_ms: int
) -> Outcome:
    """Asks one process after the other, the one that is said to lead first."""
    left = list(addresses)
    asked: set[str] = set()
    answers: list[PlacementAnswer] = []
    error: OperatorError | None = None
    while left and len(asked) < MAX_ASKED:
        address = left.pop(0)
        if address in asked:
            continue
        asked.add(address)
        answered = await ask_placement(
            Endpoint(address=address, token='', timeout_ms=timeout_ms), query
        )
        if isinstance(answered, Err):
            error = answered.err_value
            continue
        answer = answered.ok_value
        if answer.outcome not in (
            PlacementOutcome.NOT_LEADING,
            PlacementOutcome.NO_LEADER,
        ):
            return _outcome(answer)
        answers.append(answer)
        if answer.leader_address:
            left.insert(0, answer.leader_address)
    if answers:
        return _without_leader(answers)
    message = error.message if error is not None else 'no manager was asked'
    return failure(ExitStatus.UNREACHABLE, message)


def _without_leader(answers: list[PlacementAnswer]) -> Outcome:
    """Returns the outcome if no leader answered: who leads by the latest knowledge."""
    known = [answer for answer in answers if answer.view_age_ms >= 0]
    best = min(known, key=lambda answer: answer.view_age_ms, default=answers[0])
    age = _age(best)
    if best.outcome is PlacementOutcome.NOT_LEADING:
        name = best.leader_id or 'another process'
        text = (
            f'{name} leads by what {best.member_id} knew {age} ago, but gave no answer'
        )
    elif best.view_age_ms < 0:
        text = f'{best.member_id} has read nothing from the store yet'
    else:
        text = (
            f'no process leads by what {best.member_id} knew {age} ago: {best.reason}'
        )
    return Outcome(status=ExitStatus.NO_LEADER, data=best, error=text)


def _age(answer: PlacementAnswer) -> str:
    return f'{max(0, answer.view_age_ms) / MILLISECONDS_PER_SECOND:.1f} s'


def _outcome(answer: PlacementAnswer) -> Outcome:
    """Returns the outcome of an answer of the leader."""
    status = STATUS_BY_OUTCOME.get(answer.outcome, ExitStatus.SUCCESS)
    if status is not ExitStatus.SUCCESS:
        return Outcome(status=status, data=answer, error=answer.reason)
    lines = [_admission_line(answer)]
    for index, step in enumerate(answer.steps):
        lines += _step_lines(index, step)
    if answer.steps_left_out:
        lines.append(f'{answer.steps_left_out} further steps are left out')
    lines.append(f'answered by the leader {answer.member_id}')
    if not answer.accepted:
        status = ExitStatus.REFUSED
    elif not answer.steps[0].starts_now:
        status = ExitStatus.PENDING
    return Outcome(status=status, lines=lines, data=answer)


def _admission_line(answer: PlacementAnswer) -> str:
    account = f', client account {answer.client_account}' * bool(answer.client_account)
    verdict = 'accepted' if answer.accepted else f'refused: {answer.reason}'
    return f'queue {answer.queue}, service {answer.service}{account}: {verdict}'


def _step_lines(index: int, step: StepPlacement) -> list[str]:
    line = f'step {index}: {step.starts_now} of {step.tasks} tasks would start now'
    if step.waits_for:
        line += f'; the others wait for {step.waits_for}'
    if step.expected_wait_ms > 0:
        seconds = step.expected_wait_ms / MILLISECONDS_PER_SECOND
        line += f', about {seconds:.1f} s'
    printed = [row for row in step.hosts if row.tasks or not row.passed_over]
    lines = [line, *map(_host_line, printed[:MAX_HOSTS_PRINTED])]
    more = len(printed) - MAX_HOSTS_PRINTED
    if more > 0:
        lines.append(f'  {more} more hosts have room')
    for reason, count in sorted(step.hosts_by_reason.items()):
        names = [row.backend_id for row in step.hosts if row.passed_over == reason]
        shown = ', '.join(names[:MAX_HOSTS_PRINTED])
        shown += ', ...' * (count > min(len(names), MAX_HOSTS_PRINTED))
        lines.append(f'  passed over for {reason}: {count} ({shown})')
    return lines


def _host_line(row: HostForStep) -> str:
    place = f'zone {row.availability_zone}' + f', rack {row.rack}' * bool(row.rack)
    tasks = f'{row.tasks} task' + 's' * (row.tasks != 1)
    line = f'  {row.backend_id}: {tasks}, cost {row.cost:g}, {place}'
    if row.neighbours:
        line += f', beside {", ".join(row.neighbours)}'
    return line
