"""Outcome of a command: lines, data for `--json`, one error line, exit status."""

from dataclasses import dataclass, field
from typing import Any

from dandelionknot.cli._operator_client import OperatorError
from dandelionknot.exit_status import ExitStatus
from dandelionknot.messages import ErrorCode, RunState
from dandelionknot.operators import ChangeOutcome, ChangeReport
from dandelionknot.ports import PortErrorKind

STATUSES_BY_OUTCOME = {
    ChangeOutcome.ACCEPTED: ExitStatus.SUCCESS,
    ChangeOutcome.DRY_RUN: ExitStatus.SUCCESS,
    ChangeOutcome.PENDING: ExitStatus.PENDING,
    ChangeOutcome.CONFLICT: ExitStatus.CONFLICT,
    ChangeOutcome.REFUSED: ExitStatus.REFUSED,
}
STATUSES_BY_ERROR_KIND = {
    PortErrorKind.NOT_SENT: ExitStatus.UNREACHABLE,
    PortErrorKind.NO_ANSWER: ExitStatus.UNREACHABLE,
    PortErrorKind.REJECTED: ExitStatus.REFUSED,
    PortErrorKind.MALFORMED: ExitStatus.ERROR,
}


@dataclass(frozen=True, slots=True, kw_only=True)
class Outcome:
    """The result of a command.

    `lines` are printed to standard output, or `data` as JSON with `--json`. `error` is
    one line for standard error, or empty.
    """

    status: ExitStatus = ExitStatus.SUCCESS
    lines: list[str] = field(default_factory=list)
    data: Any = None
    error: str = ''


def failure(status: ExitStatus, error: str) -> Outcome:
    """Returns a failed outcome; line breaks in the error are replaced by spaces."""
    return Outcome(status=status, error=' '.join(error.split()))


def failed_call(error: OperatorError) -> Outcome:
    """Returns the outcome of a failed call that could not have changed anything."""
    status = STATUSES_BY_ERROR_KIND[error.kind]
    if error.code is ErrorCode.CONFLICT:
        status = ExitStatus.CONFLICT
    return failure(status, error.message)


def failed_change(error: OperatorError, remedy: str) -> Outcome:
    """Returns the outcome of a change whose call failed.

    If no usable answer arrived, the change may have been made. The error line then
    ends with `remedy`, which says how to find out.
    """
    answer_lost = error.kind in (PortErrorKind.NO_ANSWER, PortErrorKind.MALFORMED)
    if answer_lost or error.run_state is RunState.UNKNOWN:
        message = f'{error.message}; the outcome is unknown, {remedy}'
        return failure(ExitStatus.UNKNOWN_OUTCOME, message)
    if error.run_state is RunState.RAN:
        return failure(ExitStatus.ERROR, error.message)
    return failed_call(error)


def change_outcome(report: ChangeReport) -> Outcome:
    """Returns the outcome of a change that the entry host answered with a report."""
    status = STATUSES_BY_OUTCOME[report.outcome]
    lines = [*report.changes]
    error = ''
    if report.outcome is ChangeOutcome.ACCEPTED:
        lines.append(f'accepted: version {report.version} is in force everywhere')
    elif report.outcome is ChangeOutcome.DRY_RUN:
        lines.append(f'dry run: nothing was changed at version {report.version}')
    elif report.outcome is ChangeOutcome.PENDING:
        names = ', '.join(report.unconfirmed)
        lines.append(f'pending: version {report.version} is not confirmed by {names}')
        lines.append(f'change id: {report.change_id}')
    else:
        details = report.message or f'the current version is {report.version}'
        error = f'{report.outcome.value}: {details}'
    return Outcome(status=status, lines=lines, data=report, error=error)
