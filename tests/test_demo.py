"""The demo, which is the first command that a new user runs."""

import asyncio
import contextlib
import io
import unittest

from standins import demo


class DemoTest(unittest.TestCase):
    def test_demo_answers_and_refuses(self):
        """Guards against a demo that stops half-way or shows no refused request."""
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            asyncio.run(asyncio.wait_for(demo.run(), 30))
        text = output.getvalue()
        self.assertIn('apply: accepted, version 1', text)
        self.assertEqual(text.count('HTTP 200  ran'), 6)
        self.assertIn('HTTP 401  not_run  key_not_valid', text)
        self.assertIn('platform calls in all', text)
