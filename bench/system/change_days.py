#!/usr/bin/env python3
"""Writes days for `fleetbench run SITE DAY.toml` on which the configuration changes much: several large ones, storms and
races, beside pairs of faults that are 0 to 8 s apart, over every kind and each closing. The same files every time.

usage: change_days.py FOLDER [DAYS]
"""
import pathlib
import random
import sys

from make_days import CLOSINGS, FAULTS, PLAN, cases, entry

FURTHER = [
    ("srv_flap", "share = 0.1, gap_s = 1.4", ["", "across"]), ("srv_lying_health", "share = 0.1", ["", "bad", "hang"]),
    ("give_up", "share = 0.2, x = 400.0", [""]), ("srv_cut", "share = 0.2", ["", "some", "one_way", "reset"]),
    ("idle_race", "share = 0.5, x = 300.0", [""]),
    ("core_cut", "count = 1", ["behind", "split", "all", "near", "oldest", "lure", "relieve"]),
    ("region_cut", "", ["pair", "all"]), ("after_ack_kill", "", ["timed", "taken"]), ("herd_kill", "", ["taken all"]),
]
CHANGES = [
    ("big_config", "count = 1400", [""]), ("big_config", "count = 700", [""]),
    ("config_storm", "for_s = 4.0, gap_s = 0.1", [""]), ("config_storm", "for_s = 6.0, gap_s = 0.4", [""]),
    ("config_race", "count = 4, gap_s = 0.7", [""]), ("config_race", "count = 2, gap_s = 2.0", [""]),
]


def write_day(folder, number, faults, changes, planned):
    lines = [f'name = "change-{number}"', 'slot = "trouble"', f"seed = {7000 + number}", "faults = ["]
    at = 0.0
    for i, case in enumerate(faults):
        at = 4 + 12 * (i // 2) if i % 2 == 0 else at + random.uniform(0, 8)
        lines.append(entry(case, at, random.uniform(2, 6)))
    lines += ["]", "plan = ["]
    lines += [entry(case, 1.0 + 8 * i + random.uniform(0, 4), 0) for i, case in enumerate(changes)]
    lines += [entry(planned, random.uniform(3, 20), 0)]
    lines += ['  { at = 26.0, kind = "config_change", how = "idle" },', "]"]
    closing = CLOSINGS[number % len(CLOSINGS)]
    if closing:
        lines.append(f"closing = {closing}")
    (folder / f"change-{number:03d}.toml").write_text("\n".join(lines) + "\n")


def main():
    folder, days = pathlib.Path(sys.argv[1]), int(sys.argv[2]) if len(sys.argv) > 2 else 100
    folder.mkdir(parents=True, exist_ok=True)
    random.seed(47)
    faults, changes, plan = cases(FAULTS + FURTHER), cases(CHANGES), cases(PLAN)
    random.shuffle(faults)
    for number in range(days):
        taken = [faults[(4 * number + i) % len(faults)] for i in range(4)]
        write_day(folder, number, taken, random.sample(changes, 3), plan[number % len(plan)])


if __name__ == "__main__":
    main()
