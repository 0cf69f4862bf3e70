#!/usr/bin/env python3
"""Each rule of the soak is seen to catch a deliberate break, and lets through what is allowed."""
import unittest

from history import End, Run, Try, findings


def once(attempt, end=End.ANSWERED, status=200, **more):
    return Try(attempt, more.pop("job", attempt), False, 1.0, "a:1", end=end, status=status, ended_at=2.0, **more)


def rules(tries, runs, kills=()):
    return [one.rule for one in findings(tries, [Run(1.5, attempt, "i") for attempt in runs], kills)]


class Findings(unittest.TestCase):
    def test_what_is_allowed(self):
        self.assertEqual(rules([once("x")], ["x"]), [])
        self.assertEqual(rules([once("x", status=503), once("y", job="x")], ["y"]), [])
        self.assertEqual(rules([once("x", End.RESET, 0), once("y", job="x")], ["y"]), [])
        repeatable = Try("x", "x", True, 1.0, "a:1", end=End.CLOSED, ended_at=2.0)
        self.assertEqual(rules([repeatable], ["x", "x"]), [])

    def test_one_attempt_run_twice(self):
        self.assertEqual(rules([once("x")], ["x", "x"]), ["TWICE"])

    def test_two_tries_of_a_job_run(self):
        self.assertIn("TWICE", rules([once("x", End.RESET, 0), once("y", job="x")], ["x", "y"]))

    def test_a_promise_for_what_ran(self):
        for status in (408, 421, 429, 503):
            self.assertEqual(rules([once("x", status=status)], ["x"]), ["REFUSED"])

    def test_a_run_that_nobody_sent(self):
        self.assertEqual(rules([], ["x"]), ["UNASKED"])

    def test_a_reset_of_what_ran(self):
        self.assertEqual(rules([once("x", End.RESET, 0)], ["x"]), ["RESET"])

    def test_a_close_of_what_ran(self):
        closed = once("x", End.CLOSED, 0)
        self.assertEqual(rules([closed], ["x"]), ["CLOSED"])
        self.assertEqual(rules([closed], ["x"], [("a:1", 1.9)]), [], "its scheduler was killed")
        self.assertEqual(rules([closed], ["x"], [("b:1", 1.9), ("a:1", 0.5)]), ["CLOSED"])


if __name__ == "__main__":
    unittest.main()
