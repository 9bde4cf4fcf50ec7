"""Runs the command line with `python -m dandelionknot`."""

import sys

from dandelionknot import cli


def main() -> int:
    """Returns the exit status of the process."""
    return int(cli.main())


if __name__ == '__main__':
    sys.exit(main())
