#!/usr/bin/env python3
"""Plays both programs as real processes while sound workers pause under requests that may be sent to another one, and the other workers
refuse, pause too or are not there; the retry budget is used up on the way. Schedulers are told to end, read their seeds again and get new
configurations meanwhile. Judges what clients got: whatever a worker has begun is answered whole, its events once and in order.

usage: silence_case.py BUILD [--seed N] [--seeds COUNT]

Ends with 1 where a play failed.
"""
import argparse
import asyncio
import collections
import dataclasses
import signal
import sys
import tempfile

import soak as soaks
import worker
from soak import harness

CALLS = 90
CALL_PERIOD_S = 0.02
CLIENT_TIMEOUT_S = 7.0
ROUTE_TIMEOUT_MS = 6000
MAX_CONNECTIONS = 400
START_S = 15.0
KINDS = (soaks.SAFE, soaks.RESUME)


@dataclasses.dataclass
class Call:
    attempt: str
    kind: str
    address: str
    answer: object = None


class SilenceSoak(soaks.Soak):
    """What differs between plays is drawn from the seed."""

    def __init__(self, record, build, seed):
        super().__init__(record, build, seed, workers=1)
        count = self.random.choice([1, 2, 3, 6])
        self.workers += [soaks.WorkerProcess(self, number, list(harness.ZONES)[number % 3]) for number in range(1, count)]
        self.pause = {"pause": self.random.uniform(0.4, 1.0), "pause_s": self.random.uniform(1.0, 2.0),
                      "max_connections": MAX_CONNECTIONS}
        self.rejecting = {"reject": 1.0} if self.random.random() < 0.5 else self.pause
        self.signals = self.random.sample([signal.SIGTERM, signal.SIGHUP, signal.SIGHUP], self.random.randint(0, 2))
        self.changes = self.random.random() < 0.5

    def configuration(self, version):
        out = super().configuration(version)
        for route in out["routes"]:
            route["timeoutMs"] = max(route["timeoutMs"], ROUTE_TIMEOUT_MS)
        out["services"][0]["maxConnections"] = MAX_CONNECTIONS
        return out

    async def call(self, number):
        machine = self.machines[0 if number % 3 else 1]
        call = Call(f"{self.random.getrandbits(64):016x}", KINDS[number % len(KINDS)], machine.address("front"))
        headers = harness.client_headers(call.attempt, remaining=ROUTE_TIMEOUT_MS)
        call.answer = await harness.call(call.address, "POST", f"{call.kind}x", headers, b"body", CLIENT_TIMEOUT_S)
        return call

    async def disturb(self):
        """What is planned, once all calls are under way."""
        for number in self.signals:
            self.send(self.machines[0], "data", number)
            await asyncio.sleep(self.random.uniform(0.0, 0.5))
        if self.changes:
            await self.fault_change()

    async def play_silence(self):
        await asyncio.wait_for(self.start(), START_S)
        alive = [asyncio.ensure_future(self.keep_alive(m, role)) for m in self.machines for role in m.roles]
        first, *others = self.workers
        first.set_faults(self.pause)
        for other in others:
            other.set_faults(self.rejecting)
        await asyncio.sleep(2 * worker.RELOAD_PERIOD_S)
        calls = []
        for number in range(CALLS):
            calls.append(asyncio.ensure_future(self.call(number)))
            await asyncio.sleep(CALL_PERIOD_S)
        disturbance = asyncio.ensure_future(self.disturb())
        out = await asyncio.gather(*calls)
        await disturbance
        self.stopping = True
        for task in alive:
            task.cancel()
        await asyncio.gather(*alive, return_exceptions=True)
        return out


def is_whole(call):
    answer = call.answer
    if not answer.complete or answer.status != 200:
        return False
    if call.kind == soaks.SAFE:
        return answer.body == f"whole {call.attempt}".encode()
    events = [f"id: {number}\ndata: piece {number}\n\n" for number in range(1, worker.EVENTS[call.kind] + 1)]
    return answer.body == "".join(events).encode()


def play(build, seed):
    """Returns what went wrong."""
    soak = SilenceSoak(harness.Record(tempfile.mkdtemp(prefix="willowrill-silence-")), build, seed)
    try:
        calls = asyncio.run(soak.play_silence())
    finally:
        soak.end_processes()
    runs = collections.defaultdict(list)
    for run in soak.seen_by_workers()[0]:
        runs[run.attempt].append(run.instance)
    cut = [one for one in calls if runs[one.attempt] and not is_whole(one)]
    twice = sum(len(runs[one.attempt]) > 1 for one in calls)
    whole = sum(is_whole(one) for one in calls)
    print(f"seed {seed}: {len(soak.workers)} workers, others {soak.rejecting}, {[one.name for one in soak.signals]}: {whole} of {len(calls)} "
          f"whole, {twice} run at two workers or more, {len(cut)} begun and not whole", flush=True)
    for one in cut[:5]:
        print(f"  {one.attempt} at {one.address}, ran at {runs[one.attempt]}: {one.answer.status}, complete: {one.answer.complete}, "
              f"{one.answer.body[:80]}")
    return cut + soak.own_ends + ([] if whole else ["nothing was served"])


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("build")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    options = parser.parse_args()
    failed = sum(bool(play(options.build, seed)) for seed in range(options.seed, options.seed + options.seeds))
    print(f"{options.seeds - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
