#!/usr/bin/env python3
"""Rolls the whole system out and back on loopback, one zone at a time, through every mix of two versions in three zones, with
requests, streams and an operator's orders under way; then finishes the upgrade, and checks that the older version is refused.

usage: system_rollout.py OLDER_BUILD NEWER_BUILD [--same-protocol | --break NAME]

Each build folder holds willowrill-control and willowrill-data. --same-protocol: both builds are of this version; the steps that need
an older one are left out. --break: plays a deliberate break in place of the roll-out, which one of its checks must see: `kill` (a zone's
processes are killed while clients use them), `wipe` (all disks are emptied), `finish-early` (the upgrade is finished before an older
zone comes).
"""
import argparse
import http.client
import itertools
import json
import os
import pathlib
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
import time

import system_demo as demo

READY_WITHIN_S = 20
REQUEST_PERIOD_S = 0.05
OPERATOR_PERIOD_S = 0.4
ZONES = list(demo.ZONES)
# Every mix of three zones, one zone changed from each to the next, both ways for each zone.
MIXES = [(0, 0, 0), (0, 0, 1), (0, 1, 1), (0, 1, 0), (1, 1, 0), (1, 1, 1), (1, 0, 1), (1, 0, 0), (0, 0, 0)]


class Zone:
    """The two processes of a zone's machine, on its disk, of one of the builds."""

    def __init__(self, folder, name):
        self.folder, self.name, self.ip = pathlib.Path(folder), name, demo.MACHINES[name]
        self.boot = demo.settings(folder, name, self.ip)
        self.processes, self.lives = [], 0

    def settings_after_the_first_start(self):
        values = json.loads(self.boot.read_text())
        values["initialStart"] = False
        self.boot.write_text(json.dumps(values))

    def start(self, build):
        self.lives += 1
        for program in ("willowrill-control", "willowrill-data"):
            log = open(self.folder / f"{self.name}-{self.lives}-{program}.log", "w", encoding="utf-8")
            self.processes.append(subprocess.Popen([pathlib.Path(build, program)], stderr=log, stdout=log,
                                                   env={**os.environ, "WILLOWRILL_BOOT": str(self.boot)}))

    def stop(self):
        for process in self.processes:
            process.send_signal(signal.SIGTERM)
        codes = [process.wait(15) for process in self.processes]
        self.processes = []
        if any(codes):
            raise SystemExit(f"system_rollout: {self.name} ended with {codes}")

    def kill(self):
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()

    def wipe(self):
        shutil.rmtree(json.loads(self.boot.read_text())["dataPath"], ignore_errors=True)

    def log(self):
        return "".join(path.read_text() for path in sorted(self.folder.glob(f"{self.name}-{self.lives}-*.log")))

    def is_ready(self):
        return demo.call(self.ip, demo.PORTS["readiness"], "GET", "/-/readiness")[0] == 200


class Clients(threading.Thread):
    """Sends whole requests and streams to the schedulers of zones that are not being replaced, and counts what is lost."""

    def __init__(self):
        super().__init__(daemon=True)
        self.zones, self.served, self.problems, self.over = set(ZONES), 0, [], False
        self.lock = threading.Lock()

    def set_zones(self, zones):
        with self.lock:
            self.zones = set(zones)

    def run(self):
        for number in itertools.count(1):
            if self.over:
                return
            with self.lock:
                zones = sorted(self.zones)
            self.send(demo.MACHINES[zones[number % len(zones)]], number, "/stream/x" if number % 2 else "/whole/x")
            time.sleep(REQUEST_PERIOD_S)

    def send(self, ip, number, path):
        head = {"Host": "demo.example", "Attempt-Id": f"{number + 10**9:016x}", "Time-Remaining": "3000", "Model": "m",
                "Token-Count": "10,5", "Prompt-Prefix": "a:5,b:5"}
        try:
            status, _, text = demo.call(ip, demo.PORTS["front"], "POST", path, b"work", head)
        except (OSError, http.client.HTTPException) as error:
            return self.problems.append(f"{ip} {path}: {error}")
        wanted = b"".join(f"id: {n}\ndata: piece {n}\n\n".encode() for n in range(1, 6)) if "stream" in path else b"ran work"
        if status != 200 or text != wanted:
            return self.problems.append(f"{ip} {path}: {status} {text!r}")
        self.served += 1


class Operator(threading.Thread):
    """Changes the configuration again and again; each change is acknowledged, and the newest one is there in the end."""

    def __init__(self, version):
        super().__init__(daemon=True)
        self.version, self.acknowledged, self.problems, self.over = version, 0, [], False
        self.body = None

    def run(self):
        while not self.over:
            based_on, self.version = self.version, self.version + 2
            self.body = json.dumps({**demo.CONFIGURATION, "configVersion": self.version})
            try:
                status, text = demo.operator("PUT", "/-/configuration", self.body, {"If-Match": str(based_on)})
            except SystemExit as error:
                return self.problems.append(str(error))
            if status != 200:
                return self.problems.append(f"{self.version} on {based_on}: {status} {text}")
            self.acknowledged += 1
            time.sleep(OPERATOR_PERIOD_S)


def upgrade_status():
    """What the primary says of the upgrade; none where the primary is of a version that knows of none."""
    status, text = demo.operator("GET", "/-/upgrade")
    return json.loads(text) if status == 200 else None


def all_ready(zones):
    for zone in zones:
        demo.until(f"{zone.name} ready", READY_WITHIN_S, zone.is_ready)


def replace(zone, build, clients):
    clients.set_zones(set(ZONES) - {zone.name})
    zone.stop()
    zone.start(build)
    all_ready([zone])
    clients.set_zones(ZONES)


def walk(zones, builds, clients):
    """Through all mixes; each step is a stop and a start of one zone on its disk."""
    for before, mix in itertools.pairwise(MIXES):
        changed = next(i for i in range(len(ZONES)) if before[i] != mix[i])
        replace(zones[changed], builds[mix[changed]], clients)
        check_quiet(clients, "mix " + " ".join("newer" if newer else "older" for newer in mix))


def check_quiet(clients, what):
    served = clients.served
    demo.until("requests go on", 10, lambda: clients.served > served + 6 or clients.problems)
    demo.check(f"{what}: {clients.served} requests served, {len(clients.problems)} lost {clients.problems[:3]}", not clients.problems)


def check_upgrade(zones, builds, clients, has_older):
    if has_older:
        for zone in zones[:2]:
            replace(zone, builds[1], clients)
        check_upgrade_is_blocked(zones[2], builds, clients)
    for zone in zones[2 if has_older else 0:]:
        replace(zone, builds[1], clients)
    demo.check("the upgrade is finished", demo.until("finish", 20, lambda: demo.operator("POST", "/-/upgrade/finish")[0] == 200))
    demo.check("finished again, acknowledged again", demo.operator("POST", "/-/upgrade/finish")[0] == 200)
    state = upgrade_status()
    demo.check(f"the cluster version is shown: {state['clusterVersion']}", state["finished"] and not state["blockedBy"])
    check_quiet(clients, "after the upgrade")
    for zone in zones:
        replace(zone, builds[1], clients)
    demo.check("each zone started anew on its disk, the upgrade is still finished", upgrade_status()["finished"])


def check_upgrade_is_blocked(older_zone, builds, clients):
    """An older primary knows of no upgrades: its zone is started anew, which hands its role to a newer member."""
    while upgrade_status() is None:
        replace(older_zone, builds[0], clients)
    status, text = demo.operator("POST", "/-/upgrade/finish")
    named = older_zone.ip in text.decode()
    demo.check(f"the upgrade is not finished beside an older zone, which is named: {status}", status == 409 and named)
    demo.check("the status names who stands in the way", any(older_zone.ip in blocker["process"] for blocker in upgrade_status()["blockedBy"]))


def check_older_is_refused(zone, builds, clients, zones):
    clients.set_zones(set(ZONES) - {zone.name})
    zone.stop()
    zone.start(builds[0])
    others = [other for other in zones if other is not zone]
    demo.until("a refusal in the log", 10, lambda: any("event=peer-refused" in other.log() for other in others))
    time.sleep(2)
    ready = True
    try:
        ready = zone.is_ready()
    except OSError:
        ready = False
    demo.check("an older process is refused by name, and does not become ready", not ready)
    check_quiet(clients, "beside a refused zone")
    for process in zone.processes:
        process.kill()
        process.wait()
    zone.processes = []
    zone.start(builds[1])
    all_ready([zone])
    clients.set_zones(ZONES)
    demo.check("the newer program takes over the same disk", True)


def play(folder, builds, has_older):
    zones = [Zone(folder, name) for name in ZONES]
    try:
        start_all(zones, builds[0])
        clients, operator = Clients(), Operator(demo.CONFIGURATION["configVersion"])
        clients.start()
        operator.start()
        check_quiet(clients, "mix older older older")
        if has_older:
            walk(zones, builds, clients)
        check_upgrade(zones, builds, clients, has_older)
        if has_older:
            check_older_is_refused(zones[2], builds, clients, zones)
        operator.over = True
        operator.join(30)
        demo.check(f"{operator.acknowledged} orders acknowledged, problems {operator.problems[:3]}", not operator.problems)
        check_read_back(operator)
        check_quiet(clients, "at the end")
        clients.over = True
        clients.join(10)
        for zone in zones:
            zone.stop()
    except BaseException:
        for log in sorted(pathlib.Path(folder).glob("*.log")):
            sys.stderr.write(f"--- {log.name}\n{log.read_text()[-3000:]}")
        raise
    finally:
        for zone in zones:
            zone.kill()


def check_read_back(operator):
    demo.check("the newest configuration is read back", demo.operator("GET", "/-/configuration")[1].decode() == operator.body)


def start_all(zones, build):
    for zone in zones:
        zone.start(build)
    body = json.dumps(demo.CONFIGURATION)
    demo.check("first configuration acknowledged", demo.operator("PUT", "/-/configuration", body, {"If-Match": "0"})[0] == 200)
    all_ready(zones)
    for zone in zones:
        zone.settings_after_the_first_start()


def break_by_killing(zones, builds):
    clients = Clients()
    clients.start()
    check_quiet(clients, "before")
    zones[0].kill()
    check_quiet(clients, "with a zone killed under its clients")


def break_by_wiping(zones, builds):
    operator = Operator(demo.CONFIGURATION["configVersion"])
    operator.start()
    demo.until("orders are taken", 20, lambda: operator.acknowledged > 2)
    operator.over = True
    operator.join(30)
    for zone in zones:
        zone.kill()
        zone.wipe()
    for zone in zones:
        zone.start(builds[1])
    check_read_back(operator)


def break_by_finishing_early(zones, builds):
    demo.until("finish", 20, lambda: demo.operator("POST", "/-/upgrade/finish")[0] == 200)
    replace(zones[0], builds[0], Clients())


BREAKS = {"kill": break_by_killing, "wipe": break_by_wiping, "finish-early": break_by_finishing_early}


def play_break(folder, builds, name):
    """True where a check of the roll-out has seen the break."""
    zones = [Zone(folder, zone) for zone in ZONES]
    try:
        start_all(zones, builds[1])
        BREAKS[name](zones, builds)
    except SystemExit as seen:
        print(f"seen  the break {name}: {seen}")
        return True
    finally:
        for zone in zones:
            zone.kill()
    return False


def main():
    arguments = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    arguments.add_argument("older")
    arguments.add_argument("newer")
    arguments.add_argument("--same-protocol", action="store_true")
    arguments.add_argument("--break", dest="deliberate_break", choices=BREAKS)
    options = arguments.parse_args()
    platform = demo.serve(demo.QuietServer(demo.PLATFORM, demo.Platform))
    platform.workers = demo.make_workers()
    with tempfile.TemporaryDirectory() as folder:
        if options.deliberate_break:
            if not play_break(folder, [options.older, options.newer], options.deliberate_break):
                raise SystemExit(f"system_rollout: no check has seen the break {options.deliberate_break}")
            return
        play(folder, [options.older, options.newer], not options.same_protocol)


if __name__ == "__main__":
    main()
