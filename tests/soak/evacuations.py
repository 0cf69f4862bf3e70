"""Rule EVAC, judged from when requests reached workers, when operators had their acknowledgements, and what was done to machines. Pure.

A request reaches no worker in a zone more than `BOUND_S` after the evacuation of that zone was acknowledged and before it is taken back.
The bound holds for a scheduler whose machine was left alone for `CONTACT_S`. Disruptions of the core stretch it by `STRETCH_S`,
provided that more than half of the core has run all the while.
"""
import dataclasses
import math

from history import Finding

BOUND_S = 5.0
CONTACT_S = 4.0
STRETCH_S = 6.0


@dataclasses.dataclass
class Evacuation:
    zone: str
    acknowledged_at: float
    taken_back_at: float = math.inf


@dataclasses.dataclass
class Arrival:
    """A request reached a worker, whatever became of it; those meant for another instance don't count."""
    at: float
    attempt: str
    instance: str
    zone: str


@dataclasses.dataclass
class Disruption:
    """Something was done to the processes of a machine; they ran as ever again from `ended_at` on."""
    address: str
    core: bool
    began_at: float
    ended_at: float = math.inf

    def touches(self, begin, end):
        return self.began_at <= end and self.ended_at >= begin


def late_arrivals(tries, arrivals, evacuations, disruptions, core_members):
    by_attempt = {one.attempt: one for one in tries}
    out = []
    for arrival in arrivals:
        one = by_attempt.get(arrival.attempt)
        for evacuation in evacuations if one else ():
            if evacuation.zone == arrival.zone and evacuation.acknowledged_at < arrival.at < evacuation.taken_back_at:
                bound = bound_of(one.address, evacuation, arrival, disruptions, core_members)
                late = arrival.at - evacuation.acknowledged_at
                if late > bound:
                    out.append(Finding("EVAC", f"{arrival.attempt}, sent {one.sent_at:.3f} to {one.address}, reached {arrival.instance} in "
                                               f"{arrival.zone} at {arrival.at:.3f}, {late:.3f} s after its evacuation was acknowledged "
                                               f"(bound {bound:.1f} s)"))
    return out


def bound_of(address, evacuation, arrival, disruptions, core_members):
    """Seconds; infinite for a scheduler that is not in touch."""
    if any(one.address == address and one.touches(arrival.at - CONTACT_S, arrival.at) for one in disruptions):
        return math.inf
    core = [one for one in disruptions if one.core and one.touches(evacuation.acknowledged_at - CONTACT_S, arrival.at)]
    if not core:
        return BOUND_S
    return BOUND_S + STRETCH_S if majority_ran(core, core_members) else math.inf


def majority_ran(disruptions, core_members):
    """Whether more than half of the core was undisturbed at every moment."""
    for moment in [one.began_at for one in disruptions]:
        disturbed = {one.address for one in disruptions if one.touches(moment, moment)}
        if 2 * (core_members - len(disturbed)) <= core_members:
            return False
    return True
