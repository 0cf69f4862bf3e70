#!/usr/bin/env python3
"""Plays both programs as real processes while all workers answer with what is no answer, or with one that only looks odd. Judges what the
clients got: of a broken answer nothing but a failure of the system's own or a connection that is cut, of an honest one all.

usage: broken_answer_case.py BUILD [CASE...] [--seconds S]

Ends with 1 where a case failed. All cases without CASE. A case ends when its shapes were played, or fails after S seconds.
"""
import asyncio
import collections
import sys
import time

import broken_answers
import soak as soaks
import surroundings_case
from soak import harness
from surroundings_case import SurroundedSoak, Surroundings

CALLS = 30  # of each shape
CONCURRENT_CALLS = 6
UPLOAD_BYTES = 3_900_000
SMALL_BYTES = 10
RELOAD_S = 0.15  # until the workers have read what they do next
OWN_FAILURES = (502, 503, 504)
STREAM = "/stream/"
HONEST_GROUPS = ("honest", "any-status")


class BrokenAnswerSoak(SurroundedSoak):
    played = False

    async def until_end(self, seconds):
        end = time.monotonic() + seconds
        while not self.played and time.monotonic() < end:
            await asyncio.sleep(0.1)

    def judge(self):
        if not self.played:
            self.problems.append("the shapes were not all played in time")
        return super().judge()

    async def client(self, number):
        """The calls of the play are all that there are, so that each shape is judged by its own."""

    async def call(self, number, path, body):
        machine = self.machines[number % len(self.machines)]
        headers = harness.client_headers(f"{self.random.getrandbits(64):016x}", remaining=4000)
        one = soaks.Try(headers["Attempt-Id"], headers["Attempt-Id"], False, 0.0, machine.address("front"))
        self.tries.append(one)
        answer = await harness.call(machine.address("front"), "POST", f"{path}x", headers, body, 6.0)
        if answer.complete:
            one.end, one.status = soaks.End.ANSWERED, answer.status
        return answer


def is_broken_answer_passed_on(answer):
    return answer.complete and (answer.status not in OWN_FAILURES or "server-seal" in answer.headers)


def is_honest_answer(answer, group):
    if not answer.complete or "attempt-id" not in answer.headers:
        return False
    status = broken_answers.any_status(answer.headers["attempt-id"]) if group == "any-status" else 200
    return answer.status == status and "server-seal" in answer.headers and answer.body == broken_answers.BODY.encode()


async def play_shape(soak, name, shape, group):
    for worker in soak.workers:
        worker.set_faults({"broken": name})
    await asyncio.sleep(RELOAD_S)
    paths = [STREAM] if shape.stream else [soaks.ONCE, soaks.SAFE]
    body = b"b" * (SMALL_BYTES if shape.read else UPLOAD_BYTES)
    answers = []
    for first in range(0, CALLS, CONCURRENT_CALLS):
        numbers = range(first, first + CONCURRENT_CALLS)
        answers += await asyncio.gather(*(soak.call(number, paths[number // 3 % len(paths)], body) for number in numbers))
    counts = collections.Counter(f"{one.status}{'' if one.complete else ' cut'}" for one in answers)
    print(f"  {name}: {dict(counts)}")
    passed_on = [one for one in answers if is_broken_answer_passed_on(one)]
    honest = group in HONEST_GROUPS
    if honest and not all(is_honest_answer(one, group) for one in answers):
        soak.problems.append(f"{name}: an honest answer was not passed on: {dict(counts)}")
    if not honest and passed_on:
        soak.problems.append(f"{name}: {len(passed_on)} of {len(answers)} callers got it as an answer")


def shapes(group):
    """The shapes one after the other, once workers are known; then workers are sound, and a call is served."""
    async def disturb(soak):
        await soak.until_served()
        for name, shape in broken_answers.GROUPS[group].items():
            await play_shape(soak, name, shape, group)
        for worker in soak.workers:
            worker.set_faults({})
        await asyncio.sleep(RELOAD_S)
        await soak.call(0, soaks.SAFE, b"")
        soak.played = True
    return Surroundings(disturb=disturb)


CASES = {group: shapes(group) for group in broken_answers.GROUPS}

if __name__ == "__main__":
    sys.exit(surroundings_case.main(CASES, __doc__, BrokenAnswerSoak))
