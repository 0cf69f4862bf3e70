"""What clients sent and saw and what workers ran, and the rules that are judged from it alone. Pure.

A *try* is what a client sends once, with an `Attempt-Id` of its own; a *job* is what the client wants done, with one try or more.
"""
import dataclasses
import enum
import collections


class End(enum.Enum):
    """How a try ended, as its client saw it."""
    ANSWERED = "a complete answer"
    PARTIAL = "part of an answer, and then the end"
    RESET = "a reset, and no byte of an answer"
    CLOSED = "an orderly end, and no byte of an answer"
    SILENCE = "nothing until the client left"
    UNSENT = "no connection came up"


KILL_SEEN_WITHIN_S = 1.0
PROMISES = (408, 421, 429, 503)  # statuses that promise that nothing has run


@dataclasses.dataclass
class Try:
    attempt: str
    job: str
    repeatable: bool
    sent_at: float
    address: str = ""
    kept: bool = False  # on a connection that had carried an earlier request
    end: End = End.UNSENT
    status: int = 0
    ended_at: float = 0.0
    number: int = 1  # of the job's tries


@dataclasses.dataclass
class Run:
    at: float
    attempt: str
    instance: str


@dataclasses.dataclass
class Finding:
    rule: str
    text: str


def findings(tries, runs, kills=()):
    """All broken rules. `kills`: (address, time) of schedulers that were killed, whose clients can't have been told anything."""
    runs_of = collections.defaultdict(list)
    for run in runs:
        runs_of[run.attempt].append(run)
    by_attempt = {one.attempt: one for one in tries}
    out = []
    for attempt, its_runs in runs_of.items():
        one = by_attempt.get(attempt)
        where = ", ".join(f"{run.instance} at {run.at:.3f}" for run in its_runs)
        if one is None:
            out.append(Finding("UNASKED", f"{attempt} ran at {where}, and no client has sent it"))
        elif not one.repeatable and len(its_runs) > 1:
            out.append(Finding("TWICE", f"{attempt} of {one.job} ran at {where}; {describe(one)}"))
        elif not one.repeatable and one.end == End.ANSWERED and one.status in PROMISES:
            out.append(Finding("REFUSED", f"{attempt} ran at {where}; {describe(one)}"))
    jobs = collections.defaultdict(list)
    for one in tries:
        jobs[one.job].append(one)
    for job, its_tries in jobs.items():
        ran = [one for one in its_tries if runs_of.get(one.attempt)]
        if len(ran) > 1 and not its_tries[0].repeatable:
            out.append(Finding("TWICE", f"{job} ran by {len(ran)} of its tries: " + "; ".join(describe(one) for one in its_tries)))
    for one in tries:
        if one.end in (End.RESET, End.CLOSED) and not one.repeatable and runs_of.get(one.attempt):
            if one.end == End.RESET:
                out.append(Finding("RESET", f"the connection was reset, but {one.attempt} ran: {describe(one)}"))
            elif not any(address == one.address and at <= one.ended_at <= at + KILL_SEEN_WITHIN_S for address, at in kills):
                out.append(Finding("CLOSED", f"closed without an answer by a scheduler that lived, but {one.attempt} ran: {describe(one)}"))
    return out


def describe(one):
    return (f"try {one.number} {one.attempt} at {one.address}, {'kept' if one.kept else 'new'} connection, sent {one.sent_at:.3f}, "
            f"{one.end.value}{' ' + str(one.status) if one.status else ''} at {one.ended_at:.3f}")
