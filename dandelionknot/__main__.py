"""Runs the command line with `python -m dandelionknot`."""

import os
import sys

from dandelionknot import cli
from dandelionknot.exit_status import ExitStatus


def main() -> int:
    """Returns the exit status of the process."""
    try:
        status = cli.main()
        sys.stdout.flush()
    except BrokenPipeError:
        # Without this, the interpreter reports the closed pipe once more at exit.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        status = ExitStatus.ERROR
    return int(status)


if __name__ == '__main__':
    sys.exit(main())
