"""Case 2: a stream whose worker is silent for a moment is cut, where its service's budget of repeats is used up.

Clients read streams of a resumable route through one scheduler, each on a connection that it has kept. The scheduler gets
SIGTERM (planned work). The workers are sound and short of memory: they preempt every second request once in the middle of
its stream, for less time than clients bear. The disruption is that silence.
"""
import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
import harness  # noqa: E402

STREAMS, EVENTS, GAP = 80, 24, 0.1
EVERY = 0.02             # seconds between two clients' requests
SILENCE = 1.5            # clients give up after 4 s: four times the objective, or eight times the pause that is in time
GRACE_S = harness.TIMERS["graceS"]


def preempted(attempt):
    return harness.trouble() and int(attempt, 16) % 2 == 0


async def behave(run, writer):
    if "/warm" in run.path:
        return await harness.stream(run, writer, 1, 0.0)
    # Once a request: it isn't preempted again where it is taken up.
    before = 10 + int(run.attempt, 16) // 2 % 8 if preempted(run.attempt) and "last-event-id" not in run.headers else None
    await harness.stream(run, writer, EVENTS, GAP, before, SILENCE)


async def play(system, record):
    route = harness.route("summary", "/summary/", resumable=True, maxAttempts=2)
    await system.configure(harness.json.dumps(harness.configuration(3, [route])), 0)
    machine, answers, sent, ended = system.machines[0], {}, {}, {}
    connections = [harness.Connection(machine.address("front")) for _ in range(STREAMS)]
    for number, connection in enumerate(connections):
        answer = await connection.request("POST", "/summary/warm", harness.client_headers(f"{0xa000 + number:016x}"), b"p")
        if answer.status != 200 or not answer.complete:
            raise harness.CannotRun(f"before the disruption: {answer}")
    # Until the budget's window holds none of these; clients may leave a connection at rest for 12 s.
    await asyncio.sleep(harness.TIMERS["retryWindowS"] + 0.2)

    async def client(number):
        await asyncio.sleep(EVERY * number)
        attempt = f"{number:016x}"
        sent[attempt] = record.now()
        record(f"client {number} sends {attempt} on its kept connection")
        answers[attempt] = await connections[number].request("POST", "/summary/x", harness.client_headers(attempt), b"prompt")
        ended[attempt] = record.now()
        record(f"client {number} has {answers[attempt]}")

    tasks = [asyncio.ensure_future(client(number)) for number in range(STREAMS)]
    await asyncio.sleep(EVERY * STREAMS + 0.1)
    machine.signal("data", harness.signal.SIGTERM)
    stopped = record.now()
    await asyncio.gather(*tasks)
    await asyncio.sleep(0.5)  # until the workers have seen the ends of their connections

    lost = []
    for attempt, answer in answers.items():
        if answer.complete:
            if answer.body != harness.whole_stream(EVENTS):
                record.say(f"{attempt}: complete, but other bytes than the worker's")
            continue
        runs = [run for worker in system.workers for run in worker.runs if run.attempt == attempt]
        last = max(runs, key=lambda run: run.at, default=None)
        # Counted: handed on to a worker, which did not break off itself, and not in the last sixth of the grace.
        excused = last is None or last.state != "left" or ended[attempt] >= stopped + GRACE_S * 5 / 6
        record(f"{attempt}: sent {sent[attempt] - stopped:+.2f} s and cut {ended[attempt] - stopped:+.2f} s from SIGTERM, "
               f"{last.events if last else 0} of {EVENTS} events" + (" (excused)" if excused else ""))
        if not excused:
            lost.append(attempt)
    whole = sum(answer.complete and answer.status == 200 for answer in answers.values())
    record.say(f"{len(answers)} streams: {whole} whole, {len(lost)} cut by the scheduler while their worker was sound")
    return bool(lost)

if __name__ == "__main__":
    harness.main(HERE, play, behave=behave, workers_per_zone=2)
