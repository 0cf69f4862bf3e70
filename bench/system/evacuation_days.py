#!/usr/bin/env python3
"""Writes long days for `fleetbench run SITE DAY.toml` on which zones are evacuated one after the other, for longer than the bound, while
workers crash under streams and the configuration changes each few seconds; on every second day a fault of machines comes beside each
evacuation. The zones are those of the site. The same files every time.

usage: evacuation_days.py SITE FOLDER [DAYS]
"""
import pathlib
import random
import sys
import tomllib

from make_days import entry

LENGTH_S = 90.0
EVACUATED_S = (9.0, 20.0)
PAUSE_S = (1.0, 5.0)  # between the end of an evacuation and the next one
CHANGE_GAP_S = 2.5
CHANGES = ["idle", "timeout", "weights", "route"]
LOSSES = [("srv_crash", "share = 0.25", ""), ("srv_crash", "share = 0.25", "dark"), ("srv_crash", "share = 0.2", "across"),
          ("srv_flap", "share = 0.2, gap_s = 1.4", ""), ("srv_grey", "share = 0.2, x = 0.4", "hang"),
          ("srv_grey", "share = 0.2, x = 0.4", "reset"), ("answer_lost", "share = 0.5, x = 0.1", "reset")]
MACHINE_FAULTS = [("node_kill", 'on = "core", count = 1', "leader"), ("core_cut", "count = 1", "leader"), ("node_kill", "share = 0.2", ""),
                  ("node_freeze", "share = 0.1", ""), ("region_cut", "", ""), ("reset_conns", "share = 0.3, x = 0.5", "")]


def evacuations(zones):
    at, out = random.uniform(1, 5), []
    while at < LENGTH_S - EVACUATED_S[0]:
        for_s = random.uniform(*EVACUATED_S)
        out.append((at, for_s, random.choice(zones)))
        at += for_s + random.uniform(*PAUSE_S)
    return out


def day(number, zones):
    planned, faults = [], []
    for at, for_s, zone in evacuations(zones):
        planned.append(entry(("evacuate", f'for_s = {for_s:.1f}, zone = "{zone}"', random.choice(["", "warm"])), at, 0))
        # Streams that were taken just before the evacuation lose their workers past the bound.
        faults.append(entry(random.choice(LOSSES), at + random.uniform(5.2, 8.0), random.uniform(2, 4)))
        if number % 2:
            faults.append(entry(random.choice(MACHINE_FAULTS), at + random.uniform(-2, 4), random.uniform(1, 4)))
    changes = int(LENGTH_S / CHANGE_GAP_S)
    planned += [entry(("config_change", "", random.choice(CHANGES)), 2.0 + i * CHANGE_GAP_S, 0) for i in range(changes - 1)]
    return "\n".join([f'name = "evacuation-{number}"', 'slot = "trouble"', f"seed = {9000 + number}", f"length_s = {LENGTH_S}", "faults = [",
                      *faults, "]", "plan = [", *planned, "]", ""])


def main():
    site, folder = tomllib.loads(pathlib.Path(sys.argv[1]).read_text()), pathlib.Path(sys.argv[2])
    zones = [zone["name"] for zone in site["zones"]]
    folder.mkdir(parents=True, exist_ok=True)
    random.seed(69)
    for number in range(int(sys.argv[3]) if len(sys.argv) > 3 else 8):
        (folder / f"evacuation-{number:02d}.toml").write_text(day(number, zones))


if __name__ == "__main__":
    main()
