"""Exit status of the processes."""

from enum import IntEnum


class ExitStatus(IntEnum):
    """Exit status of the command line and of the daemons."""

    SUCCESS = 0
    ERROR = 1
    USAGE = 2
    INVALID_INPUT = 3
    UNREACHABLE = 4
    REFUSED = 5
    CONFLICT = 6
    PENDING = 7
    UNKNOWN_OUTCOME = 8
    NO_LEADER = 9
    INTERRUPTED = 130
