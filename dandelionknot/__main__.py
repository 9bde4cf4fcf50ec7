"""Entry point of `python -m dandelionknot`: runs the command line."""

import os
import sys

from dandelionknot import cli
from dandelionknot.exit_status import ExitStatus


def main() -> int:
    """Runs the command line and returns the exit status of the process."""
    try:
        status = cli.main()
        sys.stdout.flush()
    except BrokenPipeError:
        # The reader of standard output has closed the pipe. The interpreter flushes
        # standard output at exit, which would report the same error again.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        status = ExitStatus.ERROR
    return int(status)


if __name__ == '__main__':
    sys.exit(main())
