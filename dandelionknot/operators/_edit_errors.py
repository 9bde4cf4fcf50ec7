"""Errors of an operator's edit that is refused."""

from dataclasses import dataclass
from enum import StrEnum

from result import Err


class EditErrorKind(StrEnum):
    """Why an edit is refused."""

    MALFORMED = 'malformed'
    NOT_FOUND = 'not_found'
    ALREADY_EXISTS = 'already_exists'
    WRONG_STATE = 'wrong_state'
    NOT_ALLOWED = 'not_allowed'
    INCONSISTENT = 'inconsistent'
    NEEDS_VOTE = 'needs_vote'
    NOT_A_CONFIGURATION_EDIT = 'not_a_configuration_edit'


@dataclass(frozen=True, slots=True, kw_only=True)
class EditError:
    """The reason and the message of a refused edit."""

    kind: EditErrorKind
    message: str

    def __str__(self) -> str:
        """Returns the message."""
        return self.message


def refuse(kind: EditErrorKind, message: str) -> Err[EditError]:
    """Returns an `Err` with the reason and the message."""
    return Err(EditError(kind=kind, message=message))
