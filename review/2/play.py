"""Case 2: a configuration whose text isn't UTF-8 is acknowledged, and another one is kept in its place.

An operator's configuration has a route's name in the Windows code page of its region (the disruption). Once it is
acknowledged, the machine that acknowledged it is stopped and started (planned work), and the configuration is read back.
"""
import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
import harness  # noqa: E402

ENCODING = "cp1257" if harness.trouble() else "utf-8"
NAME = "slot-J\u0113kabpils"


async def behave(run, writer):
    await harness.whole(run, writer, b"done")


def primary_of(system):
    for machine in system.machines:
        roles = machine.log_text("control").split("event=role")
        if " role=primary " in roles[-1]:
            return machine
    raise harness.CannotRun("no primary in the logs")


async def play(system, record):
    routes = [harness.route("notice", "/notice/", routeClass="non_idempotent", timeoutMs=4000),
              harness.route(NAME, "/slot/", routeClass="non_idempotent", timeoutMs=4000)]
    sent = harness.json.dumps(harness.configuration(3, routes), ensure_ascii=False).encode(ENCODING)
    answer = await system.operator("PUT", "/-/configuration", sent, {"If-Match": "0"}, 30)
    if 400 <= answer.status < 500:
        record.say(f"refused: {answer} {answer.body[:200]}")
        return False  # it cannot be read whole: any 4xx is right
    if answer.status != 200:
        raise harness.CannotRun(f"no clear answer: {answer}")
    acknowledged = record.now()
    await system.until("schedulers ready", 20, system.all_ready)
    before = await system.operator("GET", "/-/configuration")
    record.say(f"acknowledged; read back before the stop: {'as sent' if before.body == sent else 'NOT as sent'}")

    machine = primary_of(system)
    machine.signal("control", harness.signal.SIGTERM)
    await asyncio.get_running_loop().run_in_executor(None, machine.processes["control"].wait)
    machine.write_settings(initial=False)
    machine.start("control")
    await asyncio.sleep(harness.TIMERS["contactMs"] / 1000)
    after = await system.operator("GET", "/-/configuration", seconds=2 * harness.TIMERS["contactMs"] / 1000)
    if after.status != 200:
        raise harness.CannotRun(f"the configuration could not be read back: {after}")
    same = after.body == sent
    record.say(f"read back {record.now() - acknowledged:.1f} s after the acknowledgement: "
               f"{'as sent' if same else 'NOT as sent'}")
    if not same:
        at = next(index for index, (a, b) in enumerate(zip(sent, after.body)) if a != b)
        record.say(f"sent     ...{sent[at - 30:at + 20]!r}")
        record.say(f"returned ...{after.body[at - 30:at + 20]!r}")
    return not same

if __name__ == "__main__":
    harness.main(HERE, play, behave=behave)
