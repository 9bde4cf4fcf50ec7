"""Runs all measurements: `python -m measure [JSON_FILE]`.

Prints tables, and the same figures as JSON to the file or after the tables.
"""

import sys
import time
from pathlib import Path

from measure import cost, grants, shares
from measure.table import encode_rows, format_rows


def main(json_file: str = '') -> int:
    """Runs every measurement and returns the exit status."""
    started = time.monotonic()
    rows = [*cost.measure(), *shares.measure(), *grants.measure()]
    print(format_rows(rows))
    print(f'\ntook {time.monotonic() - started:.0f} s')
    if json_file:
        Path(json_file).write_bytes(encode_rows(rows))
    else:
        print(encode_rows(rows).decode())
    return 0


if __name__ == '__main__':
    sys.exit(main(*sys.argv[1:2]))
