"""Guards against documentation that differs from the commands or the schema."""

import contextlib
import glob
import io
import re
import shlex
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from result import Ok

from dandelionknot import cli
from dandelionknot.cli import _commands
from dandelionknot.configuration import load_base, load_overlay, merge

DOCS = Path(__file__).resolve().parent.parent / 'docs'
PAGE = (DOCS / 'cli.md').read_text()


def run_documented(line):
    """Runs a documented command; returns its output and its exit code if not 0."""
    words = [
        found for w in shlex.split(line)[1:] for found in sorted(glob.glob(w)) or [w]
    ]
    out = io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(out):
        status = cli.main(words)
    return out.getvalue() + (f'exit code {int(status)}\n' if status else '')


class CommandPageTest(unittest.TestCase):
    def test_offline_commands_print_what_the_page_shows(self):
        """Guards against documented output that differs from what a command prints."""
        blocks = re.findall(r'```console\n(.*?)```', PAGE, re.DOTALL)
        shown = re.findall(r'\$ (.*)\n((?:(?!\$ ).*\n)*)', ''.join(blocks))
        self.assertGreater(len(shown), 5)
        for line, text in shown:
            with self.subTest(line=line):
                self.assertEqual(run_documented(line), text)

    def test_every_command_is_documented_and_parses(self):
        """Guards against commands without an example and examples that do not parse."""
        examples = re.findall(r'[`(]dandelionknot (.*?)[`)]', PAGE)
        examples += re.findall(r'^    dandelionknot (.*)', PAGE, re.MULTILINE)
        examples = [line for line in examples if not line.endswith('--help')]
        for line in examples:
            with self.subTest(line=line):
                parsed = _commands.parse(shlex.split(line))
                self.assertIsInstance(parsed, Ok, parsed)
        shown = [*examples, *re.findall(r'^\$ dandelionknot (.*)', PAGE, re.MULTILINE)]
        for name, _ in _commands.leaves(_commands.COMMANDS):
            with self.subTest(name=name):
                matching = [line for line in shown if f'{line} '.startswith(f'{name} ')]
                self.assertTrue(matching, f'{name} has no example')


class ConfigurationPageTest(unittest.TestCase):
    def test_merge_example_gives_what_the_page_says(self):
        """Guards against documented example files that do not merge as described."""
        page = (DOCS / 'configuration.md').read_text()
        texts = re.findall(r'```yaml\n(.*?)```', page, re.DOTALL)
        with tempfile.TemporaryDirectory() as directory:
            paths = [Path(directory) / name for name in ('base.yaml', 'sofia.yaml')]
            for path, text in zip(paths, texts, strict=True):
                path.write_text(text)
            overlay = load_overlay(paths[1]).unwrap()
            merged = merge(load_base(paths[0]).unwrap(), [overlay]).unwrap()
        self.assertEqual(sorted(merged.hosts_by_id), ['quotes-1', 'quotes-3'])
        self.assertEqual(merged.hosts_by_id['quotes-1'].slots, 16)
        self.assertEqual(merged.hosts_by_id['quotes-1'].rack, 'r1')

    def test_field_reference_is_that_of_the_schema(self):
        """Guards against a schema change without a regenerated field reference."""
        tool = DOCS.parent / 'tools' / 'generate_docs.py'
        command = [sys.executable, str(tool), '--check']
        done = subprocess.run(command, capture_output=True, text=True, check=False)
        self.assertEqual((done.returncode, done.stdout), (0, ''))
