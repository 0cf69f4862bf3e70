#!/usr/bin/env python3
"""Rule EVAC is seen to catch a deliberate break, and lets through what is allowed."""
import unittest

from evacuations import Arrival, Disruption, Evacuation, late_arrivals
from history import Try


def rules(arrived_at, evacuations, disruptions=(), zone="z"):
    one = Try("x", "x", True, 1.0, "a:1")
    return [found.rule for found in late_arrivals([one], [Arrival(arrived_at, "x", "i", zone)], evacuations, disruptions, 3)]


class LateArrivals(unittest.TestCase):
    evacuated = [Evacuation("z", 10.0, 30.0)]

    def test_past_the_bound(self):
        self.assertEqual(rules(15.1, self.evacuated), ["EVAC"])
        self.assertEqual(rules(29.9, self.evacuated), ["EVAC"])
        self.assertEqual(rules(90.0, [Evacuation("z", 10.0)]), ["EVAC"])

    def test_what_is_allowed(self):
        self.assertEqual(rules(9.0, self.evacuated), [])
        self.assertEqual(rules(14.9, self.evacuated), [])
        self.assertEqual(rules(30.1, self.evacuated), [])
        self.assertEqual(rules(20.0, self.evacuated, zone="y"), [])

    def test_a_zone_evacuated_again_has_its_bound_anew(self):
        twice = [Evacuation("z", 10.0, 20.0), Evacuation("z", 21.0, 40.0)]
        self.assertEqual(rules(25.9, twice), [])
        self.assertEqual(rules(26.1, twice), ["EVAC"])

    def test_the_scheduler_is_out_of_touch(self):
        self.assertEqual(rules(20.0, self.evacuated, [Disruption("a:1", False, 16.1, 16.2)]), [])
        self.assertEqual(rules(20.0, self.evacuated, [Disruption("a:1", False, 5.0)]), [], "it has not run since")
        self.assertEqual(rules(20.0, self.evacuated, [Disruption("a:1", False, 15.0, 15.9)]), ["EVAC"])
        self.assertEqual(rules(20.0, self.evacuated, [Disruption("b:1", False, 19.0, 19.9)]), ["EVAC"])

    def test_the_core_is_disrupted(self):
        self.assertEqual(rules(20.0, self.evacuated, [Disruption("b:1", True, 15.0, 15.5)]), [])
        self.assertEqual(rules(21.1, self.evacuated, [Disruption("b:1", True, 15.0, 15.5)]), ["EVAC"])
        without_majority = [Disruption("b:1", True, 15.0, 16.0), Disruption("c:1", True, 15.5, 15.7)]
        self.assertEqual(rules(21.1, self.evacuated, without_majority), [])
        one_after_the_other = [Disruption("b:1", True, 15.0, 15.2), Disruption("c:1", True, 15.5, 15.7)]
        self.assertEqual(rules(21.1, self.evacuated, one_after_the_other), ["EVAC"])


if __name__ == "__main__":
    unittest.main()
