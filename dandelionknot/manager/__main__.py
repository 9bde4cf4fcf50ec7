"""Runs a manager process with `python -m dandelionknot.manager [SETTINGS]`."""

import os
import sys
from pathlib import Path

from dandelionknot.manager.daemon import run_manager

# Environment variable in which the platform passes the path of the settings file.
SETTINGS_VARIABLE = 'DANDELIONKNOT_NODE_FILE'
DEFAULT_SETTINGS = '/etc/dandelionknot/local.conf'


def main() -> int:
    """Runs the manager until it stops; returns the exit status."""
    path = os.environ.get(SETTINGS_VARIABLE, DEFAULT_SETTINGS)
    if len(sys.argv) > 1:
        path = sys.argv[1]
    return int(run_manager(Path(path)))


if __name__ == '__main__':
    sys.exit(main())
