"""One worker of seven fails two of five requests with a status that is in no table. See claim.txt."""
import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
from stand_ins_2 import ERRORS, LIMITS, Connection, Worker, ZONES, attempt_id, play  # noqa: E402

HOST = "ficu95.example"
WORKERS = 7
CLIENTS = 12
TROUBLE_S = 5.0
GREY_STATUS = "529 Site Is Overloaded"
CONFIGURATION = {
    "configVersion": 3,
    "routes": [{"name": "r-ack", "host": HOST, "pathPrefix": "/ack/", "routeClass": "non_idempotent", "timeoutMs": 1500,
                "targetMs": 250, "priority": 2, "service": "report-intake", "maxAttempts": 1, "homeRegions": []}],
    "services": [{"name": "report-intake", "healthPath": "/health", "maxConnections": 130, "protocol": "h1", "tls": False,
                  "coldStartS": 0.0, "coldRateS": 0.0}],
    "limits": LIMITS}


class GreyWorker(Worker):
    """Runs every request. While it is grey it fails two of five of them, with its health good."""
    capacity = 6
    grey = False

    async def answer(self, writer, method, path, headers, body):
        await asyncio.sleep(0.03)
        fails = self.grey and len(self.runs) % 5 in (1, 3)
        status = GREY_STATUS if fails else "200 OK"
        text = f"{'failed' if fails else 'done'} {headers['attempt-id']}".encode()
        self.given[headers["attempt-id"]] = status.split(" ")[0]
        writer.write(self.head(headers, status).encode() + b"Content-Length: %d\r\n\r\n" % len(text) + text)
        await writer.drain()
        return True


async def case(deployment, record, trouble):
    given, wrong, answered = {}, [], []
    zones = list(ZONES)
    workers = [GreyWorker(deployment, "report-intake", zones[number % 3], number) for number in range(WORKERS)]
    for worker in workers:
        worker.given = given
    await deployment.start(workers)
    await deployment.configure(CONFIGURATION)
    await deployment.until_ready()
    end = record.now() + TROUBLE_S
    if trouble:
        record(f"{workers[0].instance} is grey from now on")
        workers[0].grey = True

    async def client(number):
        connection = Connection(deployment.machines[number % 3].address("front"))
        while record.now() < end:
            attempt = attempt_id()
            try:
                line, head, _ = await connection.request("POST", "/ack/x", HOST, attempt, 1500, b"report")
            except ERRORS as problem:
                record(f"client {attempt}: no answer: {problem!r}; the worker gave {given.get(attempt)}")
                connection.close()
                continue
            answered.append(attempt)
            record(f"client {attempt}: {line!r}, seal {head.get('server-seal')}; the worker gave {given.get(attempt)}")
            if "server-seal" in head and line.split(" ")[1] != given.get(attempt):
                wrong.append(attempt)
        connection.close()

    await asyncio.gather(*(client(number) for number in range(CLIENTS)))
    record(f"{len(answered)} answers; with a worker's seal and another status than that worker gave: {len(wrong)}")
    return bool(wrong)


play(HERE, case)
