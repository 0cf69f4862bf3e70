#!/usr/bin/env python3
"""Writes days for `fleetbench run SITE DAY.toml`, together over every kind of trouble that `fleetbench kinds` lists, with
the variants of each and each closing. The same files every time.

usage: make_days.py FOLDER
"""
import pathlib
import random
import sys

AFTER = ["", " meet", " race", " hard", " drain", " race drain", " meet drain", " race hard", " meet hard drain"]
FAULTS = [
    ("srv_crash", "share = 0.2", ["", "dark", "gone", "across", "dark across"]),
    ("cold_return", "", ["", "dark"]), ("answer_lost", "share = 0.5, x = 0.05", ["", "reset"]),
    ("garble", "share = 0.5, x = 0.03", ["", "extra", "extra late"]), ("retry_abuse", "share = 0.2, x = 3.0", [""]),
    ("srv_slow", "share = 0.2, x = 4.0", [""]), ("srv_grey", "share = 0.2, x = 0.4",
                                                ["errors", "shed", "busy", "hang", "reset", "mute", "slow"]),
    ("replace_with_reuse", "share = 0.2", ["", "drain", "dark"]), ("burst", "x = 2.0", [""]),
    ("shift", "share = 0.5", [""]),
    ("node_kill", 'on = "core", count = 1', [h + a for h in ("", "power", "leader", "power leader", "reader")
                                             for a in AFTER]),
    ("node_kill", "share = 0.2", ["", "power"]),
    ("node_freeze", 'on = "core", count = 1', [h + a for h in ("", "leader", "seed") for a in AFTER]),
    ("node_slow", 'on = "core", count = 1, x = 5.0', ["", "leader"]), ("herd_kill", "", ["", "power"]),
    ("herd_kill", 'on = "core"', ["", "power"]), ("after_ack_kill", "", ["", "kill", "timed"]),
    ("after_ack_wipe", "", ["", "timed"]), ("replace_core", "x = 1.0", ["", "planned"]),
    ("clock_step", "share = 0.4, x = 3000.0", ["", "back", "ahead", "leader"]),
    ("core_cut", "count = 1", [h + a for h in ("", "one_way", "leader", "reset", "refuse", "seeds", "both", "reader")
                               for a in AFTER[:6]]),
    ("region_loss", "", [a.strip() for a in AFTER]), ("zone_loss", "", [""]),
    ("region_cut", "", ["", "one_way", "one_way race hard"]), ("zone_cut", "", ["", "one_way"]),
    ("node_cut", "share = 0.2", ["", "servers"]), ("disk_slow", "count = 1, x = 30.0", ["", "leader"]),
    ("disk_full", "count = 1", ["", "leader"]), ("disk_stall", "count = 1", ["", "leader"]),
    ("reset_conns", "share = 0.3, x = 0.5", [""]), ("ack_lost", "x = 0.7", [""]),
]
PLAN = [
    ("release", "share = 0.5, gap_s = 0.8", [""]), ("scale_in", "share = 0.15", ["", "spot"]),
    ("scale_out", "share = 0.3, gap_s = 0.5", [""]),
    ("roll_term", "share = 0.5, gap_s = 1.3", ["", "busy", "remove"]), ("seed_turnover", "", [""]),
    ("hup", "share = 0.5, gap_s = 0.3", [""]),
    ("config_change", "", ["route", "weights", "timeout", "idle"]), ("config_race", "count = 3, gap_s = 1.0", [""]),
    ("bad_config", "count = 2, gap_s = 0.8", ["cut_short", "unknown_service", "same_place", "no_weight", "no_timeout",
                                              "old_version", "same_version", "stale_match", "shared_key"]),
    ("big_config", "count = 350", [""]), ("evacuate", "for_s = 6.0", ["", "warm"]),
]
CLOSINGS = ['{ kind = "power_off_all", down_s = 1.2 }', '{ kind = "kill_all", down_s = 1.2 }',
            '{ kind = "wipe_after_ack", down_s = 1.0 }', '{ kind = "wipe_after_ack", down_s = 1.0, how = "timed" }',
            '{ kind = "power_off_all", down_s = 1.0, how = "timed" }', ""]


def cases(table):
    return [(kind, rest, how) for kind, rest, hows in table for how in hows]


def entry(case, at, duration):
    kind, rest, how = case
    fields = [f"at = {at:.1f}", f'kind = "{kind}"'] + ([rest] if rest else []) + ([f'how = "{how}"'] if how else [])
    if "for_s" not in rest and duration:
        fields.append(f"for_s = {duration:.1f}")
    return "  { " + ", ".join(fields) + " },"


def main():
    folder = pathlib.Path(sys.argv[1])
    folder.mkdir(parents=True, exist_ok=True)
    random.seed(1)
    faults, plan = cases(FAULTS), cases(PLAN)
    random.shuffle(faults)
    random.shuffle(plan)
    number = 0
    while faults:
        taken, faults = faults[:4], faults[4:]
        planned = [plan[(number * 2 + i) % len(plan)] for i in range(2)]
        lines = [f'name = "own-{number}"', 'slot = "trouble"', f"seed = {1000 + number}", "faults = ["]
        lines += [entry(case, 4 + 7 * i, random.uniform(2, 6)) for i, case in enumerate(taken)]
        lines += ["]", "plan = ["] + [entry(case, 2 + 11 * i, 0) for i, case in enumerate(planned)]
        lines += [f"  {{ at = {at}, kind = \"config_change\", how = \"idle\" }}," for at in (9.0, 17.0, 25.0)] + ["]"]
        closing = CLOSINGS[number % len(CLOSINGS)]
        if closing:
            lines.append(f"closing = {closing}")
        (folder / f"own-{number:02d}.toml").write_text("\n".join(lines) + "\n")
        number += 1


if __name__ == "__main__":
    main()
