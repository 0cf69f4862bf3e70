#!/usr/bin/env python3
"""Plays both programs as real processes in surroundings that plain machines have and the bench doesn't: logs that nobody reads or that
cannot be written, addresses that are in use still, folders that are missing, limits of the platform. Judges whether a process ended by
itself, whether one was alive but gave no answer, and whether the system served.

usage: surroundings_case.py BUILD [CASE...] [--seconds S] [--list]

A case fails where a process ended by itself, was mute, held more than its limit, or where the system didn't start. All cases without
CASE. Ends with 1 where one failed.
"""
import argparse
import asyncio
import contextlib
import dataclasses
import fcntl
import json
import os
import pathlib
import resource
import signal
import socket
import subprocess
import sys
import tempfile
import time

import soak as soaks
from soak import harness, resident_mb

START_S = 15.0
CHANGE_PERIOD_S = 0.3
PIPE_BYTES = 4096
LOG_ROOM_BYTES = 1024  # left in a pipe that nobody reads, as after a while
SMALL_FILE_BYTES = 65536
FEW_DESCRIPTORS = 64
IDLE_CONNECTIONS = 40  # at each of the three doors of a machine
MACHINE_CORE_SHARE = 0.25  # of the small sites' machines, for both programs
BODY_BYTES = 4_000_000
BODY_CLIENTS = 150
ADDRESS_KEPT_S = 0.6
LISTENING_PERIOD_S = 0.05
SERVED_PERIOD_S = 0.15


@dataclasses.dataclass
class Surroundings:
    """How a process is started, and what is done while it runs. A log that is `unread` is a pipe without anybody who reads it."""

    log: str = "file"
    limits: dict = dataclasses.field(default_factory=dict)
    data_folder: bool = True
    memory_mb: int = harness.MEMORY_MB
    serves: bool = True  # the system is expected to serve here
    disturb: object = None  # a coroutine function of the play, beside the clients

    def open_log(self, path):
        """The descriptors to write to and to keep open; -1 for a closed one."""
        if self.log == "file":
            return os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND), None
        if self.log == "full device":
            return os.open("/dev/full", os.O_WRONLY), None
        if self.log == "closed":
            return -1, None
        reader, writer = os.pipe()
        fcntl.fcntl(writer, fcntl.F_SETPIPE_SZ, PIPE_BYTES)
        if self.log == "reader gone":
            os.close(reader)
            return writer, None
        os.set_blocking(writer, False)
        os.write(writer, b"x" * (PIPE_BYTES - LOG_ROOM_BYTES))
        os.set_blocking(writer, self.log != "unread, does not block")
        return writer, reader

    def prepare(self):
        """In the new process, before the program."""
        for what, bound in self.limits.items():
            resource.setrlimit(what, (bound, bound))
        if self.log == "closed":
            os.close(2)


class SurroundedMachine(soaks.SoakMachine):
    surroundings = Surroundings()

    def write_settings(self, initial):
        super().write_settings(initial)
        if not self.surroundings.data_folder and initial:
            (self.folder / "data").rmdir()
        for role in self.roles:
            path = self.folder / f"{role}.json"
            settings = json.loads(path.read_text())
            settings["limits"]["memoryMb"] = self.surroundings.memory_mb
            path.write_text(json.dumps(settings))

    def start(self, role):
        log, reader = self.surroundings.open_log(self.folder / f"{role}.log")
        self.deployment.kept_open += [] if reader is None else [reader]
        environment = {"PATH": os.environ.get("PATH", ""), "LANG": "C.UTF-8", "WILLOWRILL_BOOT": str(self.folder / f"{role}.json")}
        self.processes[role] = subprocess.Popen(
            [str(self.deployment.build / f"willowrill-{role}")], cwd=self.folder, env=environment, stdin=subprocess.DEVNULL,
            stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL if log < 0 else log, preexec_fn=self.surroundings.prepare)
        if log >= 0:
            os.close(log)
        self.started[role] = time.monotonic()


async def listens(address):
    try:
        _, writer = await asyncio.open_connection(*address.split(":"))
    except OSError:
        return False
    writer.close()
    return True


class SurroundedSoak(soaks.Soak):
    machine_type = SurroundedMachine
    started_within_s = 0.0  # it is looked at from when the system serves
    mute_s = 2.0

    def __init__(self, record, build, surroundings):
        self.kept_open, self.surroundings, self.problems, self.served = [], surroundings, [], 0
        SurroundedMachine.surroundings = surroundings
        super().__init__(record, build, 1, workers=6)

    async def start_workers(self):
        """Waits until all listen, beside whatever else is played: the schedulers then find them at their first look."""
        await super().start_workers()
        for worker in self.workers:
            while not await listens(worker.address):
                await asyncio.sleep(LISTENING_PERIOD_S)

    async def until_served(self):
        """Each machine knows sound workers: what it answers from now on is theirs."""
        for machine in self.machines:
            while (await self.ask_for_work(machine)).status != 200:
                await asyncio.sleep(SERVED_PERIOD_S)

    async def ask_for_work(self, machine):
        headers = harness.client_headers(f"{self.random.getrandbits(64):016x}", remaining=4000)
        return await harness.call(machine.address("front"), "POST", f"{soaks.SAFE}x", headers, b"", 6.0)

    async def change_on(self):
        while not self.stopping:
            await self.fault_change()
            await asyncio.sleep(CHANGE_PERIOD_S)

    async def start_in_surroundings(self):
        try:
            await asyncio.wait_for(self.start(), START_S)
        except (harness.CannotRun, asyncio.TimeoutError, TimeoutError):
            if self.surroundings.serves:
                self.problems.append(f"the system didn't start within {START_S} s")

    async def play_surroundings(self, seconds):
        alive = []
        starting = asyncio.ensure_future(self.start_in_surroundings())
        while not starting.done():
            alive += self.newly_started(len(alive))
            await asyncio.sleep(0.02)
        tasks = [asyncio.ensure_future(self.client(number)) for number in range(10)]
        tasks += [asyncio.ensure_future(self.change_on())] if self.surroundings.serves else []
        tasks += await self.start_watch(self.machines) if self.surroundings.serves else []
        tasks += [asyncio.ensure_future(self.surroundings.disturb(self))] if self.surroundings.disturb else []
        await self.until_end(seconds)
        self.stopping = True
        for task in [*tasks, *alive]:
            task.cancel()
        for result in await asyncio.gather(*tasks, *alive, return_exceptions=True):
            if isinstance(result, Exception) and not isinstance(result, asyncio.CancelledError):
                raise result

    async def until_end(self, seconds):
        await asyncio.sleep(seconds)

    def newly_started(self, known):
        """Keeps the machines' processes alive from their first start on, so that one that ends while it starts counts."""
        if known or not all(role in m.processes for m in self.machines for role in m.roles):
            return []
        return [asyncio.ensure_future(self.keep_alive(m, role)) for m in self.machines for role in m.roles]

    def judge(self):
        answered = sum(one.end == soaks.End.ANSWERED and one.status == 200 for one in self.tries)
        if self.surroundings.serves and not answered:
            self.problems.append("no request was served")
        self.problems += self.mute
        return answered


# ---- What is done while the processes run ------------------------------------------------------------------------------------------------

async def start_beside(soak):
    """The platform starts a process while the one before it, which stands still, has its addresses; then that one is killed."""
    for machine in soak.machines:
        for role in machine.roles:
            process = machine.processes[role]
            process.send_signal(signal.SIGSTOP)
            machine.write_settings(initial=False)
            machine.start(role)
            await asyncio.sleep(ADDRESS_KEPT_S)
            process.kill()
            process.wait()
            await asyncio.sleep(1.0)


async def use_up_descriptors(soak):
    """Connections that say nothing, at a machine's three doors, and what the programs then use of a core."""
    machine, held = soak.machines[0], []
    before, began = cpu_seconds(machine), time.monotonic()
    with contextlib.ExitStack() as stack:
        while time.monotonic() - began < 4:
            for door in ("front", "directory", "control"):
                for _ in range(IDLE_CONNECTIONS if len(held) < 3 * IDLE_CONNECTIONS else 0):
                    one = stack.enter_context(socket.socket())
                    one.setblocking(False)
                    one.connect_ex((machine.ip, harness.PORTS[door]))
                    held.append(one)
            await asyncio.sleep(0.5)
        for role, seconds in cpu_seconds(machine).items():
            used = (seconds - before[role]) / (time.monotonic() - began)
            soak.record(f"{role} uses {used:.2f} of a core without descriptors")
            if used > MACHINE_CORE_SHARE / 2:
                soak.problems.append(f"{role} uses {used:.2f} of a core while it has no descriptors left")


def cpu_seconds(machine):
    seconds = {}
    for role, process in machine.processes.items():
        fields = pathlib.Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
        seconds[role] = (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
    return seconds


async def send_large_bodies(soak):
    """Many clients with long bodies at one scheduler, whose platform kills it above its limit."""
    machine, held = soak.machines[0], []
    process = machine.processes["data"]
    clients = [asyncio.ensure_future(large_body(soak, machine, number)) for number in range(BODY_CLIENTS)]
    while not all(one.done() for one in clients):
        with contextlib.suppress(FileNotFoundError, ProcessLookupError):
            held.append(resident_mb(process.pid))
        await asyncio.sleep(0.02)
    peak = max(held)
    statuses = [one.result() for one in clients]
    soak.record(f"peak {peak} MB; statuses {statuses}")
    print(f"  peak {peak} MB; answers {dict((s, statuses.count(s)) for s in sorted(set(statuses)))}")
    if peak > harness.MEMORY_MB:
        soak.problems.append(f"data held {peak} MB, and the platform kills it at {harness.MEMORY_MB}")
    if 200 not in statuses:
        soak.problems.append("no request with a long body was served")


async def large_body(soak, machine, number):
    headers = harness.client_headers(f"{number:016x}")
    answer = await harness.call(machine.address("front"), "POST", f"{soaks.SAFE}x", headers, b"b" * BODY_BYTES, 12.0)
    return answer.status


CASES = {
    "log-reader-gone": Surroundings(log="reader gone"),
    "log-device-full": Surroundings(log="full device"),
    "log-closed": Surroundings(log="closed"),
    "log-unread-nonblocking": Surroundings(log="unread, does not block"),
    "log-unread": Surroundings(log="unread"),
    "address-in-use": Surroundings(disturb=start_beside),
    "no-data-folder": Surroundings(data_folder=False),
    "small-files": Surroundings(limits={resource.RLIMIT_FSIZE: SMALL_FILE_BYTES}, serves=False),
    "few-descriptors": Surroundings(limits={resource.RLIMIT_NOFILE: FEW_DESCRIPTORS}, disturb=use_up_descriptors),
    "large-bodies": Surroundings(disturb=send_large_bodies),
}


def play(name, surroundings, options, soak_type):
    folder = tempfile.mkdtemp(prefix="willowrill-surroundings-")
    soak = soak_type(harness.Record(folder), options.build, surroundings)
    try:
        asyncio.run(soak.play_surroundings(options.seconds))
    finally:
        soak.end_processes()
        for descriptor in soak.kept_open:
            os.close(descriptor)
    answered = soak.judge()
    print(f"{name}: {answered} of {len(soak.tries)} tries served; ended by themselves: {len(soak.own_ends)}; logs: {soak.folder}, {folder}")
    for text in [*soak.own_ends[:4], *soak.problems]:
        print(f"  {text}")
    sys.stdout.flush()
    return not soak.own_ends and not soak.problems


def main(cases, description, soak_type=SurroundedSoak):
    parser = argparse.ArgumentParser(description=description, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("build")
    parser.add_argument("cases", nargs="*", metavar="CASE", help=", ".join(cases))
    parser.add_argument("--seconds", type=float, default=8)
    options = parser.parse_args()
    names = options.cases or list(cases)
    failed = sum(not play(name, cases[name], options, soak_type) for name in names)
    print(f"{len(names) - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(CASES, __doc__))
