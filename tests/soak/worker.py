#!/usr/bin/env python3
"""A worker of the soak, as a process of its own, so that it can be stopped, killed and started again.

usage: worker.py ADDRESS INSTANCE SEED RUNS_FILE CONTROL_FILE

Behaves as the operators' pages say. Each arrival of a request and each run is written to RUNS_FILE, unbuffered, before anything else is
done with it: what ran is known also where the process is killed. CONTROL_FILE holds the faults of the moment as JSON, read again twenty times a second: shares
of requests by the names of `FAULTS`.
"""
import asyncio
import json
import os
import random
import sys
import time

import broken_answers
import floods

SLOTS = 64
QUEUE = 24
RELOAD_PERIOD_S = 0.05
LINGER_S = 0.5  # a run goes on for so long after its connection has closed
WORK_S = {"/once/": 0.03, "/safe/": 0.03}
EVENTS = {"/stream/": 100, "/resume/": 4, "/digest/": 100}
EVENT_GAP_S = 0.08
MAX_CONNECTIONS = 60
PAUSE_S = 1.5

# Each is a share of requests, from 0 to 1; besides, there are `max_connections`, `slow_s`: what a run takes longer, `pause_s`: for how
# long a run that pauses says nothing, once, before its answer or after any event, `flood_shape`: one
# of `floods.SHAPES`, any without it, `flood_health`: a share of the questions for its health, and `broken`: one of
# `broken_answers.SHAPES`, in place of every answer.
FAULTS = ("reset_after_run", "close_after_run", "mute", "answer_twice", "late_copy", "stray_promise", "garbage", "reject",
          "reject_twice", "early_reject", "reset_before_run", "cut_short", "close_header", "flood", "pause")
ENDINGS = ("reset_after_run", "close_after_run", "mute")  # of a run that has no answer


class Worker:
    def __init__(self, instance, seed, runs_file, control_file):
        self.instance, self.random = instance, random.Random(seed)
        self.runs = os.open(runs_file, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o644)
        self.control_file, self.faults = control_file, {}
        self.active = self.queued = 0
        self.slots = asyncio.Semaphore(SLOTS)
        self.connections = 0

    def note(self, what, attempt):
        os.write(self.runs, f"{time.monotonic():.4f} {what} {attempt} {self.instance}\n".encode())

    def strikes(self, fault):
        return self.random.random() < self.faults.get(fault, 0.0)

    async def reload(self):
        while True:
            try:
                with open(self.control_file, encoding="utf-8") as file:
                    self.faults = json.load(file)
            except (OSError, ValueError):
                pass  # as it is being written; the next look finds it whole
            await asyncio.sleep(RELOAD_PERIOD_S)

    async def serve(self, reader, writer):
        if self.connections >= self.faults.get("max_connections", MAX_CONNECTIONS):
            return writer.transport.abort()
        self.connections += 1
        try:
            while await self.serve_request(reader, writer):
                pass
        except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ConnectionError, OSError):
            pass
        finally:
            self.connections -= 1
            writer.close()

    async def serve_request(self, reader, writer):
        """Returns whether the connection may carry another request."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        method, path, _ = head[0].split(" ", 2)
        headers = dict(line.split(": ", 1) for line in head[1:] if ": " in line)
        headers = {name.lower(): value for name, value in headers.items()}
        if method == "GET" and not path.startswith(tuple((*WORK_S, *EVENTS))):
            return await self.answer_get(writer, path)
        length = int(headers.get("content-length", 0))
        attempt = headers.get("attempt-id", "")
        if broken := self.faults.get("broken"):
            seal = f"seal.{self.instance}.{attempt}"
            return await broken_answers.SHAPES[broken].send(reader, writer, length, attempt, seal)
        if length > 2000 and self.strikes("early_reject"):
            writer.write(self.rejection(attempt, 503))
            await writer.drain()
            await reader.readexactly(length)
            return True
        await reader.readexactly(length)
        return await self.take(reader, writer, path, headers, attempt)

    def flood_shape(self):
        return self.faults.get("flood_shape") or self.random.choice(floods.SHAPES)

    def draw_flood(self):
        """The shape of the flood that this answer is, or nothing."""
        return self.flood_shape() if self.strikes("flood") else None

    @staticmethod
    async def pour(writer, shape, head):
        """`head`: of a refusal where that is the shape."""
        await floods.pour(writer, *floods.answer(shape, head))
        return False

    async def answer_get(self, writer, path):
        if self.strikes("flood_health"):
            head = f"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nServing-Instance: {self.instance}\r\n".encode()
            return await self.pour(writer, self.flood_shape(), head)
        body = b""
        if path == "/-/report":
            body = json.dumps({"phase": "bidirectional", "models": [{"name": "m", "configVersion": 1, "adapters": []}],
                               "occupied": False, "sequence": 1, "queued": self.queued, "active": self.active, "cacheUsed": 0,
                               "cacheTotal": 490000, "sessions": 0}).encode()
        writer.write(f"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nServing-Instance: {self.instance}\r\n"
                     f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
        await writer.drain()
        return True

    @staticmethod
    def rejection_head(attempt, status):
        return f"HTTP/1.1 {status} Rejected\r\nAttempt-Id: {attempt}\r\nNot-Executed: 1\r\n".encode()

    def rejection(self, attempt, status):
        return self.rejection_head(attempt, status) + b"Content-Length: 0\r\n\r\n"

    async def take(self, reader, writer, path, headers, attempt):
        if headers.get("target-instance", self.instance) != self.instance:
            writer.write(self.rejection(attempt, 421) * (2 if self.strikes("reject_twice") else 1))
            await writer.drain()
            return True
        self.note("arrival", attempt)
        if self.strikes("reset_before_run"):
            writer.transport.abort()
            return False
        if self.queued >= QUEUE or self.strikes("reject") or self.strikes("reject_twice"):
            writer.write(self.rejection(attempt, 503) * (2 if self.strikes("reject_twice") else 1))
            await writer.drain()
            return True
        self.queued += 1
        try:
            await self.slots.acquire()
        finally:
            self.queued -= 1
        self.active += 1
        try:
            return await self.run(reader, writer, path, headers, attempt)
        finally:
            self.active -= 1
            self.slots.release()

    async def run(self, reader, writer, path, headers, attempt):
        ending = next((fault for fault in ENDINGS if self.strikes(fault)), None)
        last = ending is None and self.strikes("close_header")
        flood = self.draw_flood() if ending is None else None
        if flood == floods.REFUSAL:  # it says that it did not run
            return await self.pour(writer, flood, self.rejection_head(attempt, 503))
        self.note("run", attempt)
        kind = "/" + path.split("/")[1] + "/"
        if ending == "reset_after_run":
            writer.transport.abort()
        if ending == "mute":
            await asyncio.sleep(10)
        if ending:
            return False
        head = f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Seal: seal.{self.instance}.{attempt}\r\nVersions: 1\r\n"
        if last:
            head += "Connection: close\r\n"
        if flood:
            return await self.pour(writer, flood, head.encode())
        if kind in EVENTS:
            return await self.stream(writer, head, headers, EVENTS[kind]) and not last
        await asyncio.sleep(WORK_S.get(kind, 0.03) * self.random.uniform(0.3, 3) + self.faults.get("slow_s", 0.0))
        if self.strikes("pause"):
            await self.pause()
        body = f"whole {attempt}".encode()
        answer = (head + f"Content-Length: {len(body)}\r\n\r\n").encode() + body
        if self.strikes("cut_short"):
            writer.write(answer[:-3])
            return False
        if self.strikes("garbage"):
            answer += b"no answer at all\r\n\r\n"
        if self.strikes("answer_twice"):
            answer += answer
        writer.write(answer)
        await writer.drain()
        if self.strikes("late_copy"):
            asyncio.get_running_loop().call_later(self.random.uniform(0, 0.1), self.write_late, writer, answer)
        if self.strikes("stray_promise"):  # surplus bytes that belong to no request
            promise = b"HTTP/1.1 503 Rejected\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            asyncio.get_running_loop().call_later(self.random.uniform(0, 0.1), self.write_late, writer, promise)
        return not last

    @staticmethod
    def write_late(writer, answer):
        if not writer.transport.is_closing():
            writer.write(answer)

    async def pause(self):
        await asyncio.sleep(self.faults.get("pause_s", PAUSE_S))

    async def stream(self, writer, head, headers, last):
        first = int(headers.get("last-event-id", 0)) + 1
        paused_after = self.random.randint(first - 1, last) if self.strikes("pause") else None
        if paused_after == first - 1:
            await self.pause()
        writer.write((head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n").encode())
        for number in range(first, last + 1):
            await asyncio.sleep(EVENT_GAP_S * self.random.uniform(0.2, 2))
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            if self.strikes("cut_short"):
                return False
            if number == paused_after:
                await self.pause()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


async def main(address, instance, seed, runs_file, control_file):
    worker = Worker(instance, int(seed), runs_file, control_file)
    host, _, port = address.rpartition(":")
    server = await asyncio.start_server(worker.serve, host, int(port), limit=1 << 20, backlog=512, reuse_address=True)
    asyncio.ensure_future(worker.reload())
    async with server:
        await server.serve_forever()


if __name__ == "__main__":
    if len(sys.argv) != 6:
        sys.exit(__doc__)
    asyncio.run(main(*sys.argv[1:]))
