#!/usr/bin/env python3
"""Plays both programs as real processes while bytes without end come in: from a worker in place of an answer, from clients in place of a
request, from the platform, and at the ports between processes. A process over the memory of its machine is killed, as the platform does.
Judges whether a process ended by itself, was mute, went over its memory, and whether the callers of the sound workers were served.

usage: flood_case.py BUILD [CASE...] [--seconds S]

Ends with 1 where a case failed. All cases without CASE.
"""
import asyncio
import collections
import contextlib
import signal
import sys
import time

import floods
import soak as soaks
import surroundings_case
from soak import harness, resident_mb
from surroundings_case import SurroundedSoak, Surroundings

SAMPLE_PERIOD_S = 0.02
CALLERS = 40  # of the first machine, without a pause between their requests
LONG = "/long/"  # a route whose requests have much time, so that many of them hold something
MANY_CALLERS = 200
SMALL_MEMORY_MB = 160  # of the machines of the grown sites
KINDS = (soaks.ONCE, soaks.SAFE, soaks.RESUME)
FLOODED_CONNECTIONS = 16  # of clients
FLOODED_FRAMES = 40  # at each internal port
FRAME_BYTES = 16 << 20
MIN_SERVED = 0.8  # five of six workers are sound
MIN_HEALTH_SERVED = 0.9  # all workers serve; one of them floods its health answers


class FloodingPlatform(harness.Platform):
    """Answers in order, until it has a flood to answer with."""

    flood = None  # what begins it, and what is repeated

    def __init__(self, address, workers):
        super().__init__(address, workers)
        self.writers = set()

    def begin(self, flood):
        self.flood = flood
        for writer in self.writers:
            writer.transport.abort()

    async def serve(self, reader, writer):
        if self.flood is None:
            self.writers.add(writer)
            return await super().serve(reader, writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await harness.read_head(reader)
            await floods.pour(writer, *self.flood)


class FloodSoak(SurroundedSoak):
    def __init__(self, record, build, surroundings):
        super().__init__(record, build, surroundings)
        self.platform = FloodingPlatform(self.platform.address, self.workers)

    async def start_in_surroundings(self):
        """The time of the play begins once each machine has served a call."""
        await super().start_in_surroundings()
        try:
            await asyncio.wait_for(self.until_served(), surroundings_case.START_S)
        except (asyncio.TimeoutError, TimeoutError):
            self.problems.append(f"a machine served no call within {surroundings_case.START_S} s")

    def configuration(self, version):
        configuration = super().configuration(version)
        configuration["routes"].append(harness.route("long", LONG, routeClass="non_idempotent", affinity=False))
        for service in configuration["services"]:
            service["maxConnections"] = MANY_CALLERS
        return configuration


class Watch:
    """The memory of the processes of a machine; one that is over it is killed."""

    def __init__(self, soak, machine):
        self.soak, self.machine, self.peak = soak, machine, {"data": 0, "control": 0}
        self.bound_mb = soak.surroundings.memory_mb
        self.longest_gap_s = 0.0  # between two looks: for how long this play itself stood still

    async def run(self):
        looked_at = time.monotonic()
        while True:
            self.longest_gap_s = max(self.longest_gap_s, time.monotonic() - looked_at)
            looked_at = time.monotonic()
            for role, process in list(self.machine.processes.items()):
                with contextlib.suppress(FileNotFoundError, ProcessLookupError, StopIteration):
                    held = resident_mb(process.pid)
                    self.peak[role] = max(self.peak[role], held)
                    if held > self.bound_mb and process.poll() is None:
                        self.soak.record(f"{role} holds {held} MB and is killed")
                        process.send_signal(signal.SIGKILL)
            await asyncio.sleep(SAMPLE_PERIOD_S)

    def judge(self):
        print(f"  peak {self.peak} MB; longest time between two looks {self.longest_gap_s:.2f} s")
        for role, held in self.peak.items():
            if held > self.bound_mb:
                self.soak.problems.append(f"{role} held {held} MB, and the platform kills it at {self.bound_mb}")


async def watched(soak, *parts):
    """Plays the parts to the end of the play, while the memory of the first machine is watched."""
    watch = Watch(soak, soak.machines[0])
    tasks = [asyncio.ensure_future(part) for part in (watch.run(), *parts)]
    try:
        await asyncio.gather(*tasks)
    finally:
        for task in tasks:
            task.cancel()
        watch.judge()


async def call_first_machine(soak, number, kinds=KINDS):
    """A caller of the first machine, which sends the next request when the one before has ended."""
    machine, job = soak.machines[0], 0
    while not soak.stopping:
        job += 1
        kind = kinds[(number + job) % len(kinds)]
        one = soaks.Try(f"{soak.random.getrandbits(64):016x}", f"f{number}-{job}", soaks.REPEATABLE[kind], time.monotonic(),
                        machine.address("front"))
        soak.tries.append(one)
        await soak.one_try(one, kind, soak.random, {}, time.monotonic() + soaks.DEADLINE_S[kind])
        one.ended_at = time.monotonic()
        await asyncio.sleep(0.01)


async def call_for_long_answers(soak, number):
    """A caller of the first machine that keeps nothing of what it reads; otherwise the play would stand still for its copies."""
    machine = soak.machines[0]
    while not soak.stopping:
        headers = harness.client_headers(f"{soak.random.getrandbits(64):016x}")
        head = f"POST {LONG}x HTTP/1.1\r\n" + "".join(f"{n}: {v}\r\n" for n, v in headers.items())
        with contextlib.suppress(OSError):
            reader, writer = await floods.connect(machine.ip, harness.PORTS["front"])
            try:
                writer.write(f"{head}Content-Length: 0\r\n\r\n".encode())
                while await reader.read(floods.PIECE_BYTES):
                    pass
            finally:
                writer.transport.abort()
        await asyncio.sleep(0.01)


def judge_served(soak, at_least):
    ended = [one for one in soak.tries if one.ended_at]
    served = sum(one.end == soaks.End.ANSWERED and one.status == 200 for one in ended)
    waits = [one.ended_at - one.sent_at for one in ended if one.sent_at and one.end == soaks.End.ANSWERED]
    ends = collections.Counter(str(one.status) if one.end == soaks.End.ANSWERED else one.end.name for one in ended)
    print(f"  {served} of {len(ended)} ended tries served, {dict(ends)}; longest wait {max(waits, default=0):.2f} s")
    if not ended or served < at_least * len(ended):
        soak.problems.append(f"{served} of {len(ended)} tries were served, fewer than {at_least:.2f} of them")


def worker_flood(shape, kinds=KINDS):
    """One worker of six pours bytes in place of its answers."""
    async def disturb(soak):
        soak.workers[0].set_faults({"flood": 1.0, "flood_shape": shape})
        try:
            await watched(soak, *(call_first_machine(soak, number, kinds) for number in range(CALLERS)))
        finally:
            judge_served(soak, MIN_SERVED)
    return Surroundings(disturb=disturb)


def most_workers_flood(shape):
    """Five workers of six pour, for many callers at once: what counts is what the machine holds of all of them together."""
    async def disturb(soak):
        for worker in soak.workers[1:]:
            worker.set_faults({"flood": 1.0, "flood_shape": shape, "max_connections": MANY_CALLERS})
        await watched(soak, *(call_for_long_answers(soak, number) for number in range(MANY_CALLERS)))
    return Surroundings(disturb=disturb, memory_mb=SMALL_MEMORY_MB)


def health_flood(shape):
    """One worker of six pours bytes in place of what it says of its health."""
    async def disturb(soak):
        soak.workers[0].set_faults({"flood_health": 1.0, "flood_shape": shape})
        try:
            await watched(soak, call_first_machine(soak, 0))
        finally:
            judge_served(soak, MIN_HEALTH_SERVED)
    return Surroundings(disturb=disturb)


async def flood_port(machine, port, begin, piece, most_bytes=None):
    """Connects again whenever it is closed. Connections whose bytes have all gone stay open."""
    while True:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await floods.connect(machine.ip, port)
            try:
                await floods.pour(writer, begin, piece, most_bytes)
                await reader.read()
            finally:
                writer.transport.abort()
        await asyncio.sleep(0.05)


def client_flood(shape, port, head):
    """Clients pour bytes in place of their requests."""
    async def disturb(soak):
        begin, piece = floods.behind_head(shape, head)
        parts = [flood_port(soak.machines[0], harness.PORTS[port], begin, piece) for _ in range(FLOODED_CONNECTIONS)]
        await watched(soak, *parts)
    return Surroundings(disturb=disturb)


FRONT_HEAD = f"POST {soaks.SAFE}x HTTP/1.1\r\nHost: demo.example\r\nAttempt-Id: 00000000000000f1\r\n".encode()
CONTROL_HEAD = b"PUT /-/configuration HTTP/1.1\r\nHost: control\r\n"


async def unfinished_frames(soak):
    """Frames at both internal ports whose last byte never comes, without a greeting before."""
    machine = soak.machines[0]
    parts = [flood_port(machine, port, floods.frame_start(FRAME_BYTES), floods.JUNK, FRAME_BYTES - floods.PIECE_BYTES)
             for port in harness.INTERNAL[:1] + [harness.INTERNAL[0] + 1] for _ in range(FLOODED_FRAMES)]
    await watched(soak, *parts)


def platform_flood(shape):
    """The platform's list has no end."""
    head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"

    async def disturb(soak):
        soak.platform.begin(floods.behind_head(shape, head))
        await watched(soak)
    return Surroundings(disturb=disturb)


CASES = {f"worker-{shape}": worker_flood(shape) for shape in floods.SHAPES}
CASES["worker-stream-chunk-header"] = worker_flood("chunk-header", (soaks.RESUME,))
CASES["worker-stream-chunks"] = worker_flood("chunks", (soaks.RESUME,))
CASES["most-workers-chunks"] = most_workers_flood("chunks")
CASES |= {f"health-{shape}": health_flood(shape) for shape in ("chunk-header", "length", floods.ALIGNED)}
CASES |= {f"client-{shape}": client_flood(shape, "front", FRONT_HEAD) for shape in floods.REQUESTS}
CASES |= {f"control-{shape}": client_flood(shape, "control", CONTROL_HEAD) for shape in floods.REQUESTS}
CASES["unfinished-frames"] = Surroundings(disturb=unfinished_frames)
CASES |= {f"platform-{shape}": platform_flood(shape) for shape in ("chunk-header", "length", floods.ALIGNED)}

if __name__ == "__main__":
    sys.exit(surroundings_case.main(CASES, __doc__, FloodSoak))
