"""Writes generated files or compares them with the committed ones."""

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent


def write_or_check(text_by_path: dict[Path, str], command: str) -> int:
    """Writes the files, or with `--check` only prints which of them are out of date.

    Returns the exit status: 1 if a file is out of date. `command` regenerates the files
    and is printed for each file that is out of date.
    """
    if '--check' not in sys.argv[1:]:
        for path, text in text_by_path.items():
            path.write_text(text)
        return 0
    stale = [
        path.relative_to(ROOT)
        for path, text in text_by_path.items()
        if not path.exists() or path.read_text() != text
    ]
    for path in stale:
        print(f'{path} is out of date; run {command}')
    return 1 if stale else 0
