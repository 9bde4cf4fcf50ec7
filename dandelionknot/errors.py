"""Error values for data that does not decode and for failed calls."""

from dataclasses import dataclass
from enum import StrEnum


@dataclass(frozen=True, slots=True, kw_only=True)
class DecodeError:
    """Data that could not be decoded: its location and the problem."""

    where: str
    problem: str
    line: int | None = None

    def __str__(self) -> str:
        """Returns the location and the problem on one line."""
        return f'{self.where}: {self.problem}'


class PortErrorKind(StrEnum):
    """How far a call got before it failed.

    With `NOT_SENT` the request cannot have reached the other side. With `NO_ANSWER`
    it may have taken effect.
    """

    NOT_SENT = 'not_sent'
    NO_ANSWER = 'no_answer'
    REJECTED = 'rejected'
    MALFORMED = 'malformed'


@dataclass(frozen=True, slots=True, kw_only=True)
class PortError:
    """A call that returned no usable answer."""

    kind: PortErrorKind
    message: str
