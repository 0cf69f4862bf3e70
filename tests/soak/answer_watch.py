#!/usr/bin/env python3
"""Asks processes over and over whether they answer, as a process of its own: what its caller's loop carries doesn't hold up the questions.

usage: answer_watch.py FILE ADDRESS PATH [ADDRESS PATH]...

FILE holds the monotonic time from when on they are asked, and then of the latest answer of each, in that order, 0 before the first one.
Runs until it is ended, or its caller is.
"""
import asyncio
import os
import pathlib
import struct
import subprocess
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent.parent / "review"))
import harness  # noqa: E402  a call over HTTP

ANSWER_TIMEOUT_S = 1.0
PERIOD_S = 0.2
TIME = struct.Struct("d")
ASKED_SINCE, FIRST_TARGET = 0, 1  # places in the file


class AnswerWatch:
    """The caller's end."""

    def __init__(self, folder, targets):
        self.order = {target: number for number, target in enumerate(targets, FIRST_TARGET)}
        path = folder / "answers"
        path.write_bytes(bytes(TIME.size * (FIRST_TARGET + len(targets))))
        self.file = os.open(path, os.O_RDONLY)
        arguments = [part for target in targets for part in target]
        self.process = subprocess.Popen([sys.executable, __file__, str(path), *arguments], stdin=subprocess.DEVNULL)

    def asked_since(self):
        return self.read_time(ASKED_SINCE)

    def latest(self, target):
        return self.read_time(self.order[target])

    def read_time(self, number):
        return TIME.unpack(os.pread(self.file, TIME.size, TIME.size * number))[0]

    def end(self):
        self.process.kill()
        self.process.wait()
        os.close(self.file)


def write_now(file, number):
    os.pwrite(file, TIME.pack(time.monotonic()), TIME.size * number)


async def ask(file, number, address, path, parent):
    while os.getppid() == parent:
        answer = await harness.call(address, "GET", path, timeout=ANSWER_TIMEOUT_S)
        if answer.status:
            write_now(file, number)
        await asyncio.sleep(PERIOD_S)


async def main(path, targets):
    file = os.open(path, os.O_WRONLY)
    parent = os.getppid()
    write_now(file, ASKED_SINCE)
    await asyncio.gather(*(ask(file, number, *target, parent) for number, target in enumerate(targets, FIRST_TARGET)))


if __name__ == "__main__":
    if len(sys.argv) < 4 or len(sys.argv) % 2:
        sys.exit(__doc__)
    asyncio.run(main(sys.argv[1], list(zip(sys.argv[2::2], sys.argv[3::2]))))
