"""Exit status of the command line."""

from enum import IntEnum


class ExitStatus(IntEnum):
    """What a process tells its shell when it ends."""

    SUCCESS = 0
    ERROR = 1
    USAGE = 2
    INVALID_INPUT = 3
    UNREACHABLE = 4
    REFUSED = 5
    CONFLICT = 6
    PENDING = 7
    UNKNOWN_OUTCOME = 8
    INTERRUPTED = 130
