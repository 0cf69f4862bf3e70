#!/usr/bin/env python3
"""Plays one request that is under way at a scheduler when that reaches the end of its grace period after SIGTERM. Its client knows only
what it sees: where the connection ends without a byte of an answer, it takes the request for not read and sends it again.

usage: shutdown_case.py BUILD [silent-worker | late-request]

silent-worker: a stream that may not run twice, sent before the SIGTERM, whose worker says nothing. late-request: a request that may not
run twice, sent on a connection that was idle since before the SIGTERM, just before the scheduler ends. Ends with 1 where it ran twice.
"""
import argparse
import asyncio
import random
import signal
import sys
import tempfile
import time

import soak as soaks
from history import End, findings

LATE_REQUEST_AFTER_S = soaks.GRACE_S - 0.9  # the end of the process comes 0.7 s before that of the grace period
WORK_LONGER_S = 0.5
FAULTS_READ_WITHIN_S = 0.15


async def send_until_answered(soak, job, kind, connections, deadline_s, addresses):
    """A client's job: one try at each address in turn while no byte of an answer comes."""
    deadline = time.monotonic() + deadline_s
    for number, address in enumerate(addresses, 1):
        one = soaks.Try(f"{random.getrandbits(64):016x}", job, False, time.monotonic(), address, number=number)
        soak.tries.append(one)
        await soak.one_try(one, kind, random.Random(1), connections, deadline)
        one.ended_at = time.monotonic()
        soak.record(f"client: {soaks.describe(one)}")
        if one.end in (End.CLOSED, End.RESET, End.UNSENT):
            for worker in soak.workers:
                worker.set_faults({})
            await asyncio.sleep(0.1)
            continue
        return


async def silent_worker(soak):
    await soak.start()
    leaving, other = soak.machines[0], soak.machines[1]
    for worker in soak.workers:
        worker.set_faults({"mute": 1.0})
    await asyncio.sleep(0.2)
    job = asyncio.ensure_future(send_until_answered(soak, "stream", soaks.STREAM, {}, 15.0,
                                                    [leaving.address("front"), other.address("front")]))
    await asyncio.sleep(0.3)
    leaving.signal("data", signal.SIGTERM)
    await asyncio.wait_for(job, 20)


async def late_request(soak):
    await soak.start()
    leaving, other = soak.machines[0], soak.machines[1]
    connections = {}
    await send_until_answered(soak, "early", soaks.ONCE, connections, 4.0, [leaving.address("front")])
    long_stream = asyncio.ensure_future(send_until_answered(soak, "long", soaks.STREAM, {}, 15.0, [leaving.address("front")]))
    await asyncio.sleep(0.3)
    leaving.signal("data", signal.SIGTERM)
    # On the idle connection of before; where the scheduler has closed that meanwhile, on a new one elsewhere.
    await asyncio.sleep(LATE_REQUEST_AFTER_S - FAULTS_READ_WITHIN_S)
    for worker in soak.workers:
        worker.set_faults({"slow_s": WORK_LONGER_S})
    await asyncio.sleep(FAULTS_READ_WITHIN_S)
    await send_until_answered(soak, "late", soaks.ONCE, connections, 4.0,
                              [leaving.address("front"), other.address("front")])
    long_stream.cancel()


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("build")
    parser.add_argument("case", nargs="?", choices=["silent-worker", "late-request"], default="silent-worker")
    options = parser.parse_args()
    folder = tempfile.mkdtemp(prefix="willowrill-shutdown-")
    soak = soaks.Soak(soaks.harness.Record(folder), options.build, 1, workers=3)
    try:
        asyncio.run({"silent-worker": silent_worker, "late-request": late_request}[options.case](soak))
    finally:
        soak.end_processes()
    twice = [one for one in findings(soak.tries, soak.seen_by_workers()[0]) if one.rule == "TWICE"]
    for one in soak.tries:
        print(soaks.describe(one))
    for one in twice:
        print(f"{one.rule}: {one.text}")
    return 1 if twice else 0


if __name__ == "__main__":
    sys.exit(main())
