"""Runs all measurements: `python -m measure [JSON_FILE]`.

Prints tables, and the same figures as JSON to the file or after the tables.
The measurements run side by side in processes of their own; those of running
entry hosts (`measure.control_cost`) take minutes and are run by themselves.
"""

import json
import sys
import time
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context
from pathlib import Path

from measure import cost, grants, planning, routing, shares, zone_exit
from measure.table import encode_rows, format_rows

PROCESSES = 6


def main(json_file: str = '') -> int:
    """Runs every measurement and returns the exit status."""
    started = time.monotonic()
    with ProcessPoolExecutor(PROCESSES, mp_context=get_context('spawn')) as pool:
        tables = [pool.submit(module.measure) for module in (cost, shares, grants)]
        reports = {
            module.__name__: pool.submit(module.run)
            for module in (planning, routing, zone_exit)
        }
        rows = [row for table in tables for row in table.result()]
        report_by_name = {name: run.result() for name, run in reports.items()}
    print(format_rows(rows))
    print(f'\ntook {time.monotonic() - started:.0f} s')
    figures = {'tables': json.loads(encode_rows(rows)), **report_by_name}
    text = json.dumps(figures, indent=1)
    if json_file:
        Path(json_file).write_text(text)
    else:
        print(text)
    return 0


if __name__ == '__main__':
    sys.exit(main(*sys.argv[1:2]))
