#!/usr/bin/env python3
"""Writes days for `fleetbench run SITE DAY.toml` of two kinds: many processes that end at the same moment, in each variant, and rushes of
clients beside planned work, by which it is seen whether urgent requests are served as well as less urgent ones. The same files every time.

usage: rush_days.py FOLDER [DAYS_OF_EACH_KIND]
"""
import pathlib
import random
import sys

from make_days import CLOSINGS, entry

HERDS = [("herd_kill", "share = 0.6", how) for how in ("", "power")] + [("herd_kill", 'on = "core"', how) for how in ("", "power", "off", "taken")]
RUSHES = [("burst", "x = 2.0", ""), ("burst", "x = 3.0", ""), ("shift", "share = 0.6", ""), ("retry_abuse", "share = 0.2, x = 3.0", "")]
BESIDE = [("roll_term", "share = 0.4, gap_s = 1.3", ""), ("release", "share = 0.4, gap_s = 0.8", ""), ("config_change", "", "timeout")]


def day(name, number, faults):
    lines = [f'name = "{name}-{number}"', 'slot = "trouble"', f"seed = {9000 + number}", "faults = ["]
    at = random.uniform(4, 7)
    for fault in faults:
        lines.append(entry(fault, at, random.uniform(2, 6)))
        at += random.uniform(6, 10)
    lines += ["]", "plan = [", entry(random.choice(BESIDE), random.uniform(2, 24), 0), "]"]
    closing = CLOSINGS[number % len(CLOSINGS)]
    return "\n".join(lines + ([f"closing = {closing}"] if closing else [])) + "\n"


def main():
    folder = pathlib.Path(sys.argv[1])
    count = int(sys.argv[2]) if len(sys.argv) > 2 else 10
    folder.mkdir(parents=True, exist_ok=True)
    random.seed(24)
    for number in range(count):
        (folder / f"herd-{number:02d}.toml").write_text(day("herd", number, random.sample(HERDS, 2)))
        (folder / f"rush-{number:02d}.toml").write_text(day("rush", number, random.sample(RUSHES, 2)))


if __name__ == "__main__":
    main()
