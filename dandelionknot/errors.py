"""Errors as values: data that does not decode and calls without an answer."""

from dataclasses import dataclass
from enum import StrEnum


@dataclass(frozen=True, slots=True, kw_only=True)
class DecodeError:
    """Data that does not match the schema: the place and the problem."""

    where: str
    problem: str
    line: int | None = None

    def __str__(self) -> str:
        """Formats the error as one line."""
        return f'{self.where}: {self.problem}'


class PortErrorKind(StrEnum):
    """How far a call got before it failed.

    `NOT_SENT` means that the other side cannot have seen the request;
    with `NO_ANSWER` it may have taken effect.
    """

    NOT_SENT = 'not_sent'
    NO_ANSWER = 'no_answer'
    REJECTED = 'rejected'
    MALFORMED = 'malformed'


@dataclass(frozen=True, slots=True, kw_only=True)
class PortError:
    """A call that gave no usable answer."""

    kind: PortErrorKind
    message: str
