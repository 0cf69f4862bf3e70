#!/usr/bin/env python3
"""Records what the simulator's adapter answers to a made-up day: its input and its output, a line each.

Usage: record.py ADAPTER FOLDER   (writes FOLDER/input.jsonl and FOLDER/output.jsonl)

Workers answer the adapter's own decisions, so that the recorded input fits the recorded output; the test only replays
the input. Run it only for a new kind of event, never to make the test pass.
"""
import json
import random
import subprocess
import sys
from pathlib import Path

DISPATCHERS = (1, 2)
WORKERS = [f"10.0.0.{number}:80" for number in range(1, 7)]
STATUSES = [100] * 12 + [301, 302, 303, 304, 305, 306, 307]
TICK_NS = 5_000_000
ROUNDS = 160

SETTINGS = {
    "balancers": len(DISPATCHERS),
    "classes": [
        {"name": "look", "effect": "read_like", "aim_ns": 400_000_000, "hard_limit_ns": 5_000_000_000},
        {"name": "keyed", "effect": "idempotency_key", "dedup_scope": "zone", "window_ns": 900_000_000,
         "aim_ns": 400_000_000, "hard_limit_ns": 5_000_000_000, "worth": 3, "late_share": 0.5},
        {"name": "file", "effect": "non_idempotent", "aim_ns": 200_000_000, "hard_limit_ns": 2_000_000_000}],
    "tenants": [{"name": "t1", "share": 0.7, "quota_rps": 50}, {"name": "t2", "share": 0.3, "quota_rps": 20}],
    "kinds": ["std"], "zones": ["hall", "yard"], "zone": "hall", "discovery": "push", "tick_ns": TICK_NS,
    "limits": {"cancel": True, "max_attempts": 3, "second_copies": True, "probes": True, "retry_after": True,
               "max_retry_after_ns": 2_000_000_000, "connect_timeout_ns": 300_000_000},
    "safety": {"answer_slack_ns": 50_000_000, "stop_sending_within_ns": 500_000_000, "cold_ns": 400_000_000,
               "start_capacity": 0.3},
    "prices": {"cross_zone": 0.1, "handshake": 0.01, "probe": 0.001},
    "clients": {"marks_retry": True},
    "reporting": {"fields": ["load_share", "x0", "depth"], "via": "piggyback"}}


class Day:
    def __init__(self, adapter):
        self.random = random.Random(20261202)
        self.adapter = adapter
        self.input, self.output = [], []
        self.open = {dispatcher: [] for dispatcher in DISPATCHERS}  # (job, attempt, worker)
        self.attempts = {}
        self.clock = 1000
        self.number = 0

    def exchange(self, events):
        batch = {"clock_ns": self.clock,
                 "dispatchers": [{"dispatcher_id": one, "news": news} for one, news in events.items() if news]}
        line = json.dumps(batch, separators=(",", ":"))
        self.adapter.stdin.write(line + "\n")
        self.adapter.stdin.flush()
        answer = self.adapter.stdout.readline().rstrip("\n")
        self.input.append(line)
        self.output.append(answer)
        for group in json.loads(answer)["dispatchers"]:
            for decision in group["decisions"]:
                self.note(group["dispatcher_id"], decision)

    def note(self, dispatcher, decision):
        if decision["m"] != "hand_off":
            return
        job = decision["job"]
        attempt = self.attempts.get(job, -1) + 1
        self.attempts[job] = attempt
        self.open[dispatcher].append((job, attempt, decision["runner"]))

    def feedback(self):
        return [round(self.random.random(), 3), self.random.randrange(8), self.random.randrange(4)]

    def listing(self):
        entries = [{"runner": worker, "model": "std", "az": self.random.choice(["hall", "yard"]), "scale": 1,
                    "condition": self.random.choice(["ready"] * 8 + ["draining", "gone"]), "cell": 0}
                   for worker in WORKERS]
        return {"m": "discovery", "how": self.random.choice(["whole", "stale_copy", "patch"]), "gen": self.number,
                "entries": entries}

    def arrivals(self):
        out = []
        for _ in range(self.random.randrange(4)):
            self.number += 1
            job = {"m": "job_in", "job": f"c:{self.number}", "profile": self.random.choice(["look", "keyed", "file"]),
                   "org": self.random.choice(["t1", "t2"]), "left_ns": self.random.randrange(1, 50) * 100_000_000,
                   "needs": self.random.choice([1, 1, 2]), "again_by_client": self.random.random() < 0.1}
            if job["profile"] == "keyed":
                job["affinity"] = self.random.randrange(10)
            out.append(job)
        return out

    def answers(self, dispatcher):
        out, left = [], []
        for job, attempt, worker in self.open[dispatcher]:
            chance = self.random.random()
            known = {"job": job, "try": attempt, "runner": worker}
            if chance < 0.4:
                status = self.random.choice(STATUSES)
                out.append({"m": "verdict", **known, "status": status, "no_more": status == 100,
                            "latency_ns": self.random.randrange(1, 500) * 1_000_000, "feedback": self.feedback()})
            elif chance < 0.5:
                out.append({"m": "head_received", **known, "latency_ns": 2_000_000})
                left.append((job, attempt, worker))
            elif chance < 0.55:
                out.append({"m": "heartbeat", **known, "what": self.random.choice([1, 2]), "x": 0.5})
                left.append((job, attempt, worker))
            elif chance < 0.58:
                out.append({"m": "withdrawn", "job": job})
            else:
                left.append((job, attempt, worker))
        self.open[dispatcher] = left
        return out

    def play(self):
        self.exchange({one: [{"m": "new_instance", "init_seed": one, "settings": {**SETTINGS, "slot_no": one - 1}},
                             {"m": "discovery", "how": "whole", "gen": 0, "entries": [
                                 {"runner": worker, "model": "std", "az": "hall", "condition": "ready", "scale": 1}
                                 for worker in WORKERS]}] for one in DISPATCHERS})
        for turn in range(ROUNDS):
            self.clock += self.random.randrange(1, 20) * TICK_NS
            events = {}
            for one in DISPATCHERS:
                events[one] = self.answers(one) + self.arrivals() + [{"m": "bell", "mark": 0}]
                if turn % 25 == 24:
                    events[one].append(self.listing())
                if turn % 7 == 3:
                    events[one].append({"m": "pong", "runner": self.random.choice(WORKERS), "status": 100,
                                        "latency_ns": 5, "feedback": self.feedback()})
            self.exchange(events)
        self.exchange({one: [{"m": "teardown"}] for one in DISPATCHERS})


def main(adapter, folder):
    with subprocess.Popen([adapter], stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True) as process:
        day = Day(process)
        day.play()
        process.stdin.close()
    Path(folder, "input.jsonl").write_text("\n".join(day.input) + "\n")
    Path(folder, "output.jsonl").write_text("\n".join(day.output) + "\n")


if __name__ == "__main__":
    if len(sys.argv) != 3:
        sys.exit(__doc__)
    main(sys.argv[1], sys.argv[2])
