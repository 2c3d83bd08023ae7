#!/usr/bin/env python3
"""The capacity page may only show figures that a finished sweep produced.

Guards against this fault: the page showed a day at 300 boxes that no run could reproduce. The journal entry of its
sweep had been committed while the sweep was running and said that the run did not finish, and nothing checked it.
"""
import json
import os
import sys
import tempfile
import unittest

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../../scripts"))
import sweep

DAYS = [{"name": "sweep-30", "G": 0.8421, "served": 0.932, "rules": {}},
        {"name": "sweep-300", "G": 0.537, "served": 0.723, "rules": {}}]
HEAD = {"deployment": "any", "journal": "a1b2c3d4",
        "days": [{"boxes": 30, "worth": 0.842, "served": 0.932, "broken": False},
                 {"boxes": 300, "worth": 0.537, "served": 0.723, "broken": False}]}


class SweepTest(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.write_entry(ok=True, error=None)

    def tearDown(self):
        self.folder.cleanup()

    def write_entry(self, **entry):
        with open(os.path.join(self.folder.name, "20260101T000000-a1b2c3d4.json"), "w", encoding="utf-8") as out:
            json.dump({"id": "a1b2c3d4", "days": DAYS, **entry}, out)

    def check_error(self, head):
        """Asserts that the check of a sweep's heading fails, and returns its message."""
        with self.assertRaises(sweep.SweepError) as caught:
            sweep.check(head, self.folder.name)
        return str(caught.exception)

    def test_finished(self):
        sweep.check(HEAD, self.folder.name)

    def test_unfinished(self):
        self.write_entry(ok=False, error="the run did not finish", days=[])
        self.assertIn("not finished: the run did not finish", self.check_error(HEAD))

    def test_no_result(self):
        self.write_entry(ok=False, error=None)
        self.assertIn("not finished", self.check_error(HEAD))

    def test_missing(self):
        self.assertIn("no journal entry", self.check_error({**HEAD, "journal": "ffffffff"}))
        self.assertIn("no journal entry", self.check_error({k: v for k, v in HEAD.items() if k != "journal"}))

    def test_written_by_hand(self):
        better = [HEAD["days"][0], {**HEAD["days"][1], "worth": 0.655}]
        self.assertIn("worth at 300 boxes is 0.655, its journal entry says 0.537",
                      self.check_error({**HEAD, "days": better}))

    def test_day_that_was_not_played(self):
        other = [HEAD["days"][0], {**HEAD["days"][1], "boxes": 100}]
        self.assertIn("no day of 100 boxes", self.check_error({**HEAD, "days": other}))
        self.assertIn("1 days, 2", self.check_error({**HEAD, "days": HEAD["days"][:1]}))

    def test_broken_rule(self):
        broken = [HEAD["days"][0], {**HEAD["days"][1], "broken": True}]
        self.assertIn("rules at 300 boxes", self.check_error({**HEAD, "days": broken}))

    def test_output_without_an_end(self):
        self.assertEqual(sweep.snapshot("sweep-30 x y 0.9 0.9\n"), "")
        self.assertEqual(sweep.snapshot("sweep-30 x y 0.9 0.9\nsnapshot a1b2c3d4\n"), "a1b2c3d4")

    def test_page_rests_on_finished_sweeps(self):
        for head in sweep.read():
            if "days" in head:
                sweep.check(head)


if __name__ == "__main__":
    unittest.main()
