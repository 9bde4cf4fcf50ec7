"""Runs the measurements of the decision code: `python -m measure [JSON_FILE]`.

Prints tables, and writes all results as JSON to the file or prints them after the
tables. The measurements run in parallel, each in a separate process. Measurements of
running entry hosts, such as `measure.control_cost`, take minutes and are started
separately.
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
    """Runs the measurements, prints the results and returns the exit status."""
    started = time.monotonic()
    with ProcessPoolExecutor(PROCESSES, mp_context=get_context('spawn')) as pool:
        table_runs = [pool.submit(module.measure) for module in (cost, shares, grants)]
        report_runs = {
            module.__name__: pool.submit(module.run)
            for module in (planning, routing, zone_exit)
        }
        rows = [row for table in table_runs for row in table.result()]
        report_by_name = {name: run.result() for name, run in report_runs.items()}
    print(format_rows(rows))
    print(f'\ntook {time.monotonic() - started:.0f} s')
    results = {'tables': json.loads(encode_rows(rows)), **report_by_name}
    text = json.dumps(results, indent=1)
    if json_file:
        Path(json_file).write_text(text)
    else:
        print(text)
    return 0


if __name__ == '__main__':
    sys.exit(main(*sys.argv[1:2]))
