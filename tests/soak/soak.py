#!/usr/bin/env python3
"""Plays both programs as real processes on loopback while signals, restarts and configuration changes come in series and overlap, and
judges from what clients saw and workers ran whether anything that must run once ran twice, and whether anything reached a zone that was
evacuated.

usage: soak.py BUILD [--seed N] [--seeds COUNT] [--seconds S] [--clients N] [--workers N] [--schedulers N]
               [--faults NAME,...] [--think S] [--worker-faults JSON] [--keep]

Clients use open connections until the process at the other end is gone, and send again as the operators' pages say: what may not run
twice after a promise (408, 421, 429, 503), or where its connection was reset before a byte of an answer.
"""
import argparse
import asyncio
import collections
import contextlib
import fcntl
import json
import math
import os
import pathlib
import random
import select
import signal
import subprocess
import sys
import tempfile
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent.parent / "review"))
import harness  # noqa: E402  stand-ins of the platform and of machines
from answer_watch import AnswerWatch  # noqa: E402
from evacuations import Arrival, Disruption, Evacuation, late_arrivals  # noqa: E402
from history import End, PROMISES, Run, Try, describe, findings  # noqa: E402
from worker import FAULTS as WORKER_FAULTS  # noqa: E402

ONCE, SAFE, STREAM, RESUME, DIGEST = "/once/", "/safe/", "/stream/", "/resume/", "/digest/"
DEADLINE_S = {ONCE: 1.5, SAFE: 1.5, STREAM: 15.0, RESUME: 3.0, DIGEST: 15.0}
REPEATABLE = {ONCE: False, SAFE: True, STREAM: False, RESUME: True, DIGEST: True}
MIX = {ONCE: 5, SAFE: 1, STREAM: 3, RESUME: 1, DIGEST: 2}
MAX_TRIES = 3
LIST_LAG_S = 0.5
FIRST_FURTHER_HOST = 10  # of the network, for machines without a core member; workers begin at 100
EVACUATION_ORDER_S = 10.0  # until an operator gives it up
EVACUATED_S = (8.0, 12.0)
GRACE_S = harness.TIMERS["graceS"]
LOG_READ_PERIOD_S = 0.05
WATCH_STARTED_WITHIN_S = 15.0
LOADED_WITHIN_S = 0.05  # before a program's own code runs, a signal ends it whatever it does


def resident_mb(pid):
    text = pathlib.Path(f"/proc/{pid}/status").read_text()
    return int(next(line.split()[1] for line in text.splitlines() if line.startswith("VmRSS"))) // 1024


def claim_network():
    """A network that is free, and that no other play of this machine takes meanwhile."""
    while True:
        net = find_free_network()
        lock = open(pathlib.Path(tempfile.gettempdir(), f"willowrill-network-{net}"), "w", encoding="utf-8")
        with contextlib.suppress(BlockingIOError):
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            claimed_networks.append(lock)  # until this process ends
            return net


find_free_network, harness.free_network = harness.free_network, claim_network
claimed_networks = []


class WorkerProcess:
    """A worker's machine: one process at a time at its address, each a new instance."""

    def __init__(self, soak, number, zone):
        self.soak, self.number, self.zone = soak, number, zone
        self.address = f"{soak.net}.{100 + number}:8080"
        self.control_file = soak.folder / f"worker-{number}.json"
        self.lives, self.process, self.listed = 0, None, None
        self.processes = []  # of all its lives: faults that overlap may start one beside another

    def instance(self):
        return f"i-{self.number}-{self.lives}"

    async def start(self):
        self.lives += 1
        runs = self.soak.folder / f"runs-{self.number}-{self.lives}.log"
        self.process = subprocess.Popen(
            [sys.executable, str(HERE / "worker.py"), self.address, self.instance(), str(self.soak.random.randrange(1 << 30)),
             str(runs), str(self.control_file)], stdin=subprocess.DEVNULL, stdout=subprocess.DEVNULL,
            stderr=open(self.soak.folder / f"worker-{self.number}.err", "ab"))
        self.processes.append(self.process)
        asyncio.get_running_loop().call_later(LIST_LAG_S if self.lives > 1 else 0, self.list_as, self.instance())

    def list_as(self, instance):
        self.listed = instance

    def set_faults(self, faults):
        self.control_file.write_text(json.dumps(faults))

    def entry(self):
        return {"instanceId": self.listed or self.instance(), "service": "model", "address": self.address, "zone": self.zone,
                "configVersion": "v1", "capacity": 6, "state": "in_service", "coldRemainingMs": 0, "phase": "bidirectional",
                "models": [{"name": "m", "configVersion": 1, "adapters": []}]}


class LogReader:
    """Reads a process's log from a pipe into a file, as the operators' machines may; it stops, goes on and goes away."""

    def __init__(self, path):
        self.path, self.stopped, self.gone = path, threading.Event(), threading.Event()
        self.reader, self.writer = os.pipe()
        threading.Thread(target=self.read, daemon=True).start()

    def read(self):
        with open(self.path, "ab") as log:
            while not self.gone.is_set():
                if self.stopped.is_set() or not select.select([self.reader], [], [], LOG_READ_PERIOD_S)[0]:
                    time.sleep(LOG_READ_PERIOD_S)
                    continue
                text = os.read(self.reader, 1 << 16)
                if not text:
                    break
                log.write(text)
                log.flush()
        os.close(self.reader)


class SoakMachine(harness.Machine):
    """A machine of a zone: the first one runs both programs, further ones a scheduler alone."""

    def __init__(self, deployment, zone, ip, number=1):
        super().__init__(deployment, zone, ip)
        self.name, self.folder = f"edge-{zone}-{number}", pathlib.Path(deployment.folder, f"{zone}-{number}")
        self.roles = ("control", "data") if number == 1 else ("data",)
        self.started, self.ending = {}, {}
        self.logs = {}  # the readers of the processes that run

    def start(self, role):
        if role in self.logs:
            self.logs[role].stopped.clear()  # reads what is left, to its end
        self.logs[role] = LogReader(self.folder / f"{role}.log")
        log = self.logs[role].writer
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": str(self.folder), "LANG": "C.UTF-8",
                       "WILLOWRILL_BOOT": str(self.folder / f"{role}.json")}
        self.processes[role] = subprocess.Popen([str(self.deployment.build / f"willowrill-{role}")], cwd=self.folder,
                                                env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        os.close(log)
        self.started[role] = time.monotonic()


class Soak(harness.Deployment):
    machine_type = SoakMachine
    started_within_s = 4.0  # a process answers, beside whatever else is played
    mute_s = 5.0  # without an answer, of a process that runs and is not disturbed

    def __init__(self, record, build, seed, workers, schedulers_per_zone=1):
        super().__init__(record, None, workers_per_zone=0)
        self.build, self.random = pathlib.Path(build).resolve(), random.Random(seed)
        self.folder = pathlib.Path(self.folder)
        self.workers = [WorkerProcess(self, number, list(harness.ZONES)[number % 3]) for number in range(workers)]
        self.platform.workers = self.workers
        self.machines = [self.machine_type(self, zone, f"{self.net}.{index + 1}") for index, zone in enumerate(harness.ZONES)]
        self.schedulers = [*self.machines]  # all machines; those of the list above have a core member too
        for number in range(2, schedulers_per_zone + 1):
            for zone in harness.ZONES:
                ip = f"{self.net}.{FIRST_FURTHER_HOST + len(self.schedulers)}"
                self.schedulers.append(self.machine_type(self, zone, ip, number))
        self.tries, self.kills, self.own_ends = [], [], []
        self.mute = []  # or too large
        self.answers = None  # until the play has started
        self.evacuations, self.disruptions = [], []
        self.ending = collections.defaultdict(list)  # disruptions that last until their process runs again, by machine and role
        self.clients = []
        self.version = self.applied = 1
        self.think_s, self.worker_faults = 0.05, {}
        self.stopping = self.evacuating = False

    # ---- Processes -----------------------------------------------------------------------------------------------------

    async def keep_alive(self, machine, role):
        """Starts the process again whenever it has ended, as the platform does."""
        while not self.stopping:
            process = machine.processes[role]
            if process.poll() is not None:
                if not machine.ending.pop(role, False):
                    self.own_ends.append(f"{role} of {machine.name} ended by itself with {process.returncode}")
                    self.record(self.own_ends[-1])
                await asyncio.sleep(self.random.uniform(0.1, 0.6))
                if self.stopping:
                    return
                machine.write_settings(initial=False)
                machine.start(role)
                for disruption in self.ending.pop((machine.name, role), []):
                    disruption.ended_at = time.monotonic()
            await asyncio.sleep(0.02)

    @staticmethod
    def question(machine, role):
        """Where and what to ask a process to see that it answers."""
        port, path = ("readiness", "/-/readiness") if role == "data" else ("control", "/-/configuration")
        return machine.address(port), path

    async def start_watch(self, machines):
        """The tasks that note processes which answer nothing, once these are asked: a process of its own asks them."""
        watched = [(machine, role) for machine in machines for role in machine.roles]
        self.answers = AnswerWatch(self.folder, [self.question(*one) for one in watched])
        end = time.monotonic() + WATCH_STARTED_WITHIN_S
        while not self.answers.asked_since() and time.monotonic() < end:
            await asyncio.sleep(0.02)
        if not self.answers.asked_since():
            self.mute.append(f"nobody asked the processes whether they answer within {WATCH_STARTED_WITHIN_S} s")
        return [asyncio.ensure_future(self.watch(*one)) for one in watched]

    async def watch(self, machine, role):
        """Notes a process that runs, is not disturbed, and answers nothing."""
        process, answered = None, 0.0
        while not self.stopping:
            self.watch_memory(machine, role)
            disturbed = any(one.address == machine.address("front") and one.ended_at == math.inf for one in self.disruptions)
            if disturbed or machine.processes[role] is not process or process.poll() is not None:
                process, answered = machine.processes[role], time.monotonic() + self.started_within_s
            now = time.monotonic()
            answered = max(answered, self.answers.latest(self.question(machine, role)))
            if now - answered > self.mute_s:
                self.mute.append(f"{role} of {machine.name} runs and gave no answer for {self.mute_s} s")
                self.record(self.mute[-1])
                answered = now
            await asyncio.sleep(0.2)

    def watch_memory(self, machine, role):
        """Notes a process that the platform would end for its memory."""
        with contextlib.suppress(FileNotFoundError, ProcessLookupError, StopIteration):
            held = resident_mb(machine.processes[role].pid)
            if held > harness.MEMORY_MB:
                self.mute.append(f"{role} of {machine.name} holds {held} MB, and the platform ends it at {harness.MEMORY_MB}")
                self.record(self.mute[-1])

    def send(self, machine, role, number):
        if machine.processes[role].poll() is None and time.monotonic() > machine.started[role] + LOADED_WITHIN_S:
            if number in (signal.SIGKILL, signal.SIGTERM):
                machine.ending[role] = True
                self.ending[machine.name, role].append(self.note_disruption(machine))
            if number == signal.SIGKILL and role == "data":
                self.kills.append((machine.address("front"), time.monotonic()))
            machine.signal(role, number)

    async def term(self, machine, role):
        process = machine.processes[role]
        self.send(machine, role, signal.SIGTERM)
        end = time.monotonic() + GRACE_S
        while time.monotonic() < end and process.poll() is None:
            await asyncio.sleep(0.02)
        if process.poll() is None and process is machine.processes[role]:
            self.send(machine, role, signal.SIGKILL)

    def note_disruption(self, machine):
        disruption = Disruption(machine.address("front"), "control" in machine.roles, time.monotonic())
        self.disruptions.append(disruption)
        return disruption

    async def freeze(self, process, seconds, what):
        self.record(f"{what} stands still for {seconds:.2f} s")
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(signal.SIGCONT)

    # ---- Faults --------------------------------------------------------------------------------------------------------

    async def fault_term(self, role="data"):
        machine = self.random.choice(self.machines if role == "control" else self.schedulers)
        tasks = [self.term(machine, role)]
        if self.random.random() < 0.4:  # signals in series
            tasks.append(self.series(machine, role, [signal.SIGHUP, signal.SIGTERM, signal.SIGHUP]))
        await asyncio.gather(*tasks)

    async def series(self, machine, role, numbers):
        for number in numbers:
            await asyncio.sleep(self.random.uniform(0.0, 1.5))
            self.send(machine, role, number)

    async def fault_kill(self, role="data"):
        self.send(self.random.choice(self.machines if role == "control" else self.schedulers), role, signal.SIGKILL)

    async def fault_freeze(self, role="data"):
        machine = self.random.choice(self.machines if role == "control" else self.schedulers)
        if machine.processes[role].poll() is None:
            disruption = self.note_disruption(machine)
            await self.freeze(machine.processes[role], self.random.choice([0.2, 0.7, 1.6, 3.0, 6.0]), f"{role} of {machine.name}")
            disruption.ended_at = time.monotonic()

    async def fault_term_control(self):
        await self.fault_term("control")

    async def fault_kill_control(self):
        await self.fault_kill("control")

    async def fault_freeze_control(self):
        await self.fault_freeze("control")

    async def fault_start_beside(self):
        """The platform starts a process while the one before it, which stands still, has its addresses."""
        machine = self.random.choice(self.schedulers)
        role = self.random.choice(machine.roles)
        process = machine.processes[role]
        if process.poll() is not None or machine.ending.get(role):
            return
        disruption = self.note_disruption(machine)
        self.record(f"{role} of {machine.name} stands still, and another one is started")
        process.send_signal(signal.SIGSTOP)
        machine.write_settings(initial=False)
        machine.start(role)
        await asyncio.sleep(self.random.uniform(0.1, 1.5))
        if role == "data":
            self.kills.append((machine.address("front"), time.monotonic()))
        process.kill()
        process.wait()
        disruption.ended_at = time.monotonic()

    async def fault_log_stops(self):
        readers = [machine.logs[role] for machine in self.schedulers for role in machine.roles]
        self.record("nobody reads logs")
        for reader in readers:
            reader.stopped.set()
        await asyncio.sleep(self.random.uniform(1.0, 6.0))
        for reader in readers:
            reader.stopped.clear()

    async def fault_log_goes(self):
        machine = self.random.choice(self.schedulers)
        role = self.random.choice(machine.roles)
        self.record(f"the reader of the log of {role} of {machine.name} goes away")
        machine.logs[role].gone.set()

    async def fault_hup(self):
        for machine in self.schedulers:
            self.send(machine, self.random.choice(machine.roles), signal.SIGHUP)

    async def fault_worker_kill(self):
        worker = self.random.choice(self.workers)
        self.record(f"worker {worker.instance()} is killed")
        worker.process.kill()
        worker.process.wait()
        await asyncio.sleep(self.random.choice([0.0, 0.1, 0.5, 2.0]))
        if not self.stopping:
            await worker.start()

    async def fault_worker_freeze(self):
        worker = self.random.choice(self.workers)
        await self.freeze(worker.process, self.random.choice([0.3, 1.2, 2.0, 4.0]), f"worker {worker.instance()}")

    async def fault_worker_trouble(self):
        worker = self.random.choice(self.workers)
        struck = self.random.sample(WORKER_FAULTS, self.random.randint(1, 4))
        faults = {name: self.random.choice([0.03, 0.1, 0.3]) for name in struck}
        if self.random.random() < 0.2:
            faults["max_connections"] = self.random.randint(1, 5)
        self.record(f"worker {worker.instance()}: {faults}")
        worker.set_faults(faults)
        await asyncio.sleep(self.random.uniform(1, 5))
        worker.set_faults(self.worker_faults)

    async def fault_evacuate(self):
        """Zones one after the other, each for longer than the bound; never all, so that some worker is always eligible."""
        if self.evacuating:
            return
        self.evacuating = True
        zone, first = self.random.choice(list(harness.ZONES)), self.random.randrange(3)
        answer = await self.operator("POST", f"/-/evacuation/{zone}", b"", {}, EVACUATION_ORDER_S, first)
        if answer.status // 100 == 2:
            self.evacuations.append(Evacuation(zone, time.monotonic()))
            await asyncio.sleep(self.random.uniform(*EVACUATED_S))
            self.evacuations[-1].taken_back_at = time.monotonic()
        await self.operator("DELETE", f"/-/evacuation/{zone}", b"", {}, EVACUATION_ORDER_S, first)
        self.evacuating = False

    async def fault_change(self):
        self.version += self.random.randint(1, 3)
        body = json.dumps(self.configuration(self.version))
        based_on = self.applied
        answer = await self.operator("PUT", "/-/configuration", body, {"If-Match": str(based_on)}, 6, self.random.randrange(3))
        if answer.status == 200:
            self.applied = self.version

    def configuration(self, version):
        draw = self.random.random
        routes = [harness.route("once", ONCE, routeClass="non_idempotent", timeoutMs=1500, targetMs=250, maxAttempts=3, affinity=False),
                  harness.route("safe", SAFE, routeClass="safe", timeoutMs=1500, targetMs=250, maxAttempts=2, affinity=False),
                  harness.route("stream", STREAM, timeoutMs=15000, maxAttempts=3),
                  harness.route("resume", RESUME, timeoutMs=3000, targetMs=500, maxAttempts=2, resumable=True),
                  harness.route("digest", DIGEST, timeoutMs=15000, maxAttempts=3, resumable=True)]
        routes += [harness.route(f"extra-{n}", f"/extra{n}/") for n in range(8) if draw() < 0.5]
        service = {"name": "model", "healthPath": "/health", "maxConnections": 60, "protocol": "h1", "tls": False,
                   "coldStartS": 0.0, "coldRateS": 0.0}
        return {"configVersion": version, "routes": routes, "services": [service], "limits": harness.LIMITS}

    # ---- Clients -------------------------------------------------------------------------------------------------------

    async def client(self, number):
        chance = random.Random(self.random.randrange(1 << 30))
        connections = {}
        job = 0
        while not self.stopping:
            job += 1
            kind = chance.choices(list(MIX), MIX.values())[0]
            await self.job(f"c{number}-{job}", kind, chance, connections)
            await asyncio.sleep(chance.expovariate(1 / self.think_s))
        for connection in connections.values():
            connection.close()

    async def job(self, job, kind, chance, connections):
        deadline = time.monotonic() + DEADLINE_S[kind]
        avoided = set()
        for number in range(1, MAX_TRIES + 1):
            addresses = [m.address("front") for m in self.schedulers if m.address("front") not in avoided]
            address = chance.choice(addresses or [m.address("front") for m in self.schedulers])
            one = Try(f"{chance.getrandbits(64):016x}", job, REPEATABLE[kind], time.monotonic(), address, number=number)
            self.tries.append(one)
            pause = await self.one_try(one, kind, chance, connections if chance.random() < 0.8 and number == 1 else {}, deadline)
            one.ended_at = time.monotonic()
            if one.end == End.ANSWERED and one.status not in PROMISES and (one.status < 500 or not one.repeatable):
                return
            if one.end != End.ANSWERED:
                avoided.add(address)
            again = one.repeatable or one.status in PROMISES or one.end in (End.RESET, End.UNSENT)
            if not again or time.monotonic() + pause >= deadline:
                return
            await asyncio.sleep(pause)

    async def one_try(self, one, kind, chance, connections, deadline):
        """Fills the try in; returns for how long its answer asks the client to wait."""
        connection = connections.get(one.address)
        if connection is not None and connection.reader.at_eof():  # it ended while nothing was under way
            connections.pop(one.address).close()
            connection = None
        one.kept = connection is not None
        left = lambda: max(0.01, deadline - time.monotonic())  # noqa: E731
        try:
            if connection is None:
                connection = harness.Connection(one.address)
                await connection.open(min(1.0, left()))
        except (OSError, asyncio.TimeoutError, TimeoutError):
            return 0.05
        connections[one.address] = connection
        size = chance.choice([0, 300, 600, 600, 3000, 200_000 if chance.random() < 0.2 else 600])
        headers = harness.client_headers(one.attempt, int(left() * 1000))
        one.sent_at = time.monotonic()
        keep, retry_after = await self.exchange(one, connection, f"{kind}x", headers, b"b" * size, left())
        if not keep:
            connection.close()
            connections.pop(one.address, None)
        return retry_after

    async def exchange(self, one, connection, path, headers, body, timeout):
        """Returns whether the connection may be kept, and for how long the answer asks the client to wait."""
        head = f"POST {path} HTTP/1.1\r\n" + "".join(f"{n}: {v}\r\n" for n, v in headers.items())
        got_bytes = False

        async def talk():
            nonlocal got_bytes
            connection.writer.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
            first = await connection.reader.read(1)
            if not first:
                one.end = End.CLOSED
                return False, 0.0
            got_bytes = True
            line, answer_headers = await harness.read_head(connection.reader)
            _, complete = await harness.read_body(connection.reader, answer_headers)
            one.status = int((first.decode() + line).split()[1])
            one.end = End.ANSWERED if complete else End.PARTIAL
            keep = complete and answer_headers.get("connection", "").lower() != "close"
            return keep, float(answer_headers.get("retry-after", 0))
        try:
            return await asyncio.wait_for(talk(), timeout)
        except (asyncio.TimeoutError, TimeoutError):
            one.end = End.PARTIAL if got_bytes else End.SILENCE
        except ConnectionError:
            one.end = End.PARTIAL if got_bytes else End.RESET
        except (asyncio.IncompleteReadError, OSError):
            one.end = End.PARTIAL if got_bytes else End.CLOSED
        return False, 0.0

    async def start_workers(self):
        for worker in self.workers:
            worker.set_faults(self.worker_faults)
            await worker.start()

    async def start(self):
        await self.start_workers()
        await self.platform.start()
        for machine in self.schedulers:
            machine.write_settings(initial=True)
            for role in machine.roles:
                machine.start(role)
        await self.configure(json.dumps(self.configuration(1)), 0)

    # ---- The play ------------------------------------------------------------------------------------------------------

    async def play(self, seconds, clients, fault_names):
        await self.start()
        tasks = [asyncio.ensure_future(self.keep_alive(m, role)) for m in self.schedulers for role in m.roles]
        tasks += await self.start_watch(self.schedulers)
        tasks += [asyncio.ensure_future(self.client(number)) for number in range(clients)]
        end = time.monotonic() + seconds
        faults = set()
        while time.monotonic() < end:
            name = self.random.choice(fault_names)
            faults.add(asyncio.ensure_future(getattr(self, f"fault_{name}")()))
            await asyncio.sleep(self.random.choice([0.0, 0.05, 0.3, 0.8, 1.5]))
        await asyncio.sleep(2)
        self.stopping = True
        for task in [*faults, *tasks]:
            task.cancel()
        results = await asyncio.gather(*faults, *tasks, return_exceptions=True)
        for result in results:
            if isinstance(result, Exception) and not isinstance(result, asyncio.CancelledError):
                self.record(f"a part of the soak failed: {result!r}")

    def end_processes(self):
        if self.answers:
            self.answers.end()
        for machine in self.schedulers:
            for process in machine.processes.values():
                if process.poll() is None:
                    process.kill()
                process.wait()
        for worker in self.workers:
            for process in worker.processes:
                if process.poll() is None:
                    process.kill()
                process.wait()

    def seen_by_workers(self):
        """Runs, and arrivals of requests."""
        runs, arrivals = [], []
        for path in sorted(self.folder.glob("runs-*.log")):
            for line in path.read_text().splitlines():
                at, what, attempt, instance = line.split()
                if what == "run":
                    runs.append(Run(float(at), attempt, instance))
                else:
                    arrivals.append(Arrival(float(at), attempt, instance, self.workers[int(instance.split("-")[1])].zone))
        return runs, arrivals


def fault_names():
    return [name.removeprefix("fault_") for name in dir(Soak) if name.startswith("fault_")]


def play(seed, options):
    """Returns the findings, and prints a line on what was played."""
    folder = pathlib.Path(options.folder, str(seed))
    folder.mkdir(parents=True, exist_ok=True)
    record = harness.Record(folder)
    soak = Soak(record, options.build, seed, options.workers, options.schedulers)
    soak.think_s = options.think
    soak.worker_faults = json.loads(options.worker_faults or "{}")
    try:
        asyncio.run(soak.play(options.seconds, options.clients, options.faults.split(",") if options.faults else fault_names()))
    finally:
        soak.end_processes()
    runs, arrivals = soak.seen_by_workers()
    found = findings(soak.tries, runs, soak.kills)
    found += late_arrivals(soak.tries, arrivals, soak.evacuations, soak.disruptions, len(soak.machines))
    ends = collections.Counter(one.end.name if one.end != End.ANSWERED else str(one.status) for one in soak.tries)
    ran = {run.attempt for run in runs}
    ended_ran = collections.Counter(one.end.name for one in soak.tries if not one.repeatable and one.attempt in ran
                                    and one.end in (End.RESET, End.CLOSED))
    print(f"seed {seed}: {len(soak.tries)} tries, {len(runs)} runs, {dict(sorted(ends.items()))}; ran without an answer: "
          f"{dict(ended_ran)}; kills {len(soak.kills)}; evacuations {len(soak.evacuations)}; ended by themselves: {len(soak.own_ends)}; findings "
          f"{dict(collections.Counter(one.rule for one in found))}", flush=True)
    for one in found[:options.show]:
        print(f"  {one.rule}: {one.text}", flush=True)
    for text in soak.own_ends:
        print(f"  ENDED: {text}", flush=True)
    for text in soak.mute:
        print(f"  MUTE: {text}", flush=True)
    print(f"  logs: {soak.folder}, {folder}") if options.keep or found else None
    return len(found) + len(soak.own_ends) + len(soak.mute)


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("build")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=45)
    parser.add_argument("--clients", type=int, default=40)
    parser.add_argument("--workers", type=int, default=6)
    parser.add_argument("--think", type=float, default=0.05, help="mean pause of a client between jobs, in seconds")
    parser.add_argument("--faults")
    parser.add_argument("--schedulers", type=int, default=1, help="in each zone, the one beside the core member included")
    parser.add_argument("--worker-faults", help="of all workers all the time, as JSON")
    parser.add_argument("--folder", default="/tmp/willowrill-soak")
    parser.add_argument("--show", type=int, default=8)
    parser.add_argument("--keep", action="store_true")
    options = parser.parse_args()
    broken = sum(play(seed, options) > 0 for seed in range(options.seed, options.seed + options.seeds))
    print(f"{options.seeds - broken} passed, {broken} failed")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
