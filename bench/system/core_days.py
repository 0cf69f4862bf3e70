#!/usr/bin/env python3
"""Writes days for `fleetbench run SITE DAY.toml` in which the core has its worst hours: two to four faults that overlap
or follow each other within 8 s, in every variant that `fleetbench kinds` lists, beside races of changes, lost
acknowledgements and planned work, each day with one of the closings. The same files for the same seed.

usage: core_days.py FOLDER [COUNT [SEED]]
"""
import pathlib
import random
import sys

AFTER = ["", " meet", " race", " hard", " drain", " race drain", " meet hard", " race hard", " meet hard drain"]
WHO = ["", "leader", "turn", "seed", "reader", "giver"]
CORE_FAULTS = [
    ("node_kill", 'on = "core", count = 1', [f"{p} {w}{a}" for p in ("", "power") for w in WHO for a in AFTER[:4]]),
    ("node_freeze", 'on = "core", count = 1', [w + a for w in WHO for a in AFTER]),
    ("node_slow", 'on = "core", count = 1, x = 5.0', WHO),
    ("core_cut", "count = 1", [f"{h} {w}{a}" for h in ("behind", "split", "all", "near", "oldest", "one_way", "seeds",
                                                      "both", "lure", "relieve", "reset", "refuse", "")
                               for w in ("", "leader") for a in AFTER[:6]]),
    ("herd_kill", 'on = "core"', ["", "off", "taken", "taken all", "power"]),
    ("after_ack_kill", "count = 1", ["", "kill", "timed", "taken", "taken gone"]),
    ("after_ack_wipe", "count = 1", ["", "timed", "taken", "oldest", "oldest timed"]),
    ("replace_core", "x = 1.0", ["", "oldest", "planned", "planned oldest"]),
    ("replace_core", "x = 0.2", ["", "planned"]), ("replace_core", "x = 4.0", ["", "oldest"]),
    ("disk_slow", "count = 1, x = 30.0", ["", "leader"]), ("disk_slow", "count = 1, x = 100.0", [""]),
    ("disk_full", "count = 1", ["", "leader"]), ("disk_stall", "count = 1", ["", "leader"]),
    ("disk_full", "count = 2", [""]), ("disk_stall", "count = 2", [""]),
    ("clock_step", "share = 0.4, x = 3000.0", ["", "back", "ahead"]),
    ("zone_loss", "", ["", "meet", "race"]), ("region_loss", "", ["", "race", "meet hard"]),
    ("region_cut", "", ["", "one_way", "pair", "all"]), ("zone_cut", "", ["", "one_way"]),
    ("reset_conns", "share = 0.5, x = 0.6", [""]), ("node_cut", "share = 0.3", ["", "all"]),
    ("herd_kill", "share = 0.6", ["", "power"]),
]
BESIDE = [
    ("roll_term", "share = 0.5, gap_s = 1.3", ["", "busy", "remove"]), ("seed_turnover", "", [""]),
    ("hup", "share = 0.5, gap_s = 0.3", [""]), ("config_race", "count = 20, gap_s = 0.6", [""]),
    ("config_race", "count = 30, gap_s = 0.4", [""]), ("big_config", "count = 350", [""]),
    ("bad_config", "count = 4, gap_s = 0.8", ["cut_short", "unknown_service", "same_place", "no_weight", "no_timeout",
                                              "old_version", "same_version", "stale_match"]),
    ("evacuate", "for_s = 6.0", ["", "warm"]), ("config_change", "", ["route", "weights", "timeout"]),
    ("release", "share = 0.5, gap_s = 0.8", [""]),
]
CLOSINGS = [f'{{ kind = "{kind}", down_s = {down}{how} }}' for kind, down in
            (("power_off_all", 1.2), ("kill_all", 1.2), ("wipe_after_ack", 1.0))
            for how in ("", ', how = "timed"', ', how = "oldest"', ', how = "taken"')]


def entry(table, at, duration):
    kind, rest, hows = random.choice(table)
    how = " ".join(random.choice(hows).split())
    fields = [f"at = {at:.1f}", f'kind = "{kind}"'] + ([rest] if rest else []) + ([f'how = "{how}"'] if how else [])
    if "for_s" not in rest and duration:
        fields.append(f"for_s = {duration:.1f}")
    return "  { " + ", ".join(fields) + " },"


def day(number, seed):
    lines = [f'name = "core-{number}"', 'slot = "trouble"', f"seed = {seed + number}", "faults = ["]
    at = random.uniform(3, 6)
    for burst in range(2):
        for _ in range(random.randint(2, 4)):
            lines.append(entry(CORE_FAULTS, at, 20.0 if random.random() < 0.2 else random.uniform(1, 7)))
            at += random.uniform(0, 8) if random.random() < 0.6 else random.uniform(0, 1)
        at = max(at, 20.0) if burst == 0 else at
    if random.random() < 0.6:
        lines.append('  { at = 1.0, kind = "ack_lost", x = 0.7, for_s = 34.0 },')
    lines += ["]", "plan = ["] + [entry(BESIDE, random.uniform(1, 26), 0) for _ in range(2)]
    lines += [f'  {{ at = {random.uniform(3, 30):.1f}, kind = "config_change", how = "idle" }},' for _ in range(3)]
    lines += ["]", f"closing = {CLOSINGS[number % len(CLOSINGS)]}"]
    return "\n".join(lines) + "\n"


def main():
    folder = pathlib.Path(sys.argv[1])
    count = int(sys.argv[2]) if len(sys.argv) > 2 else 150
    seed = int(sys.argv[3]) if len(sys.argv) > 3 else 5000
    folder.mkdir(parents=True, exist_ok=True)
    random.seed(seed)
    for number in range(count):
        (folder / f"core-{number:03d}.toml").write_text(day(number, seed))


if __name__ == "__main__":
    main()
