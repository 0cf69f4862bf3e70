#!/usr/bin/env python3
"""Runs the whole system on loopback: three core members, three schedulers, a stand-in of the platform's list and
stand-ins of workers. Sends an operator's configuration and requests of each kind, and checks what comes back.

usage: system_demo.py BUILD_DIRECTORY [--requests N]
"""
import argparse
import http.client
import http.server
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

PORTS = {"front": 18161, "readiness": 18167, "control": 18166, "directory": 18164}
INTERNAL = [17720, 17735]
PLATFORM = ("127.0.9.1", 18169)
ZONES = {"north-a": "north", "south-b": "south", "west-c": "west"}
MACHINES = {zone: f"127.0.{i}.1" for i, zone in enumerate(ZONES, 1)}
REDIRECTS = 2  # that a caller follows; members that change the primary may name each other for a moment
SEEDS = [f"{ip}:{PORTS['control']}" for ip in MACHINES.values()]


class QuietServer(http.server.ThreadingHTTPServer):
    """A stand-in whose callers may leave at any moment: that is no news, and nothing else is passed over."""

    def handle_error(self, request, client_address):
        if not isinstance(sys.exc_info()[1], (BrokenPipeError, ConnectionResetError)):
            super().handle_error(request, client_address)


class Worker(http.server.BaseHTTPRequestHandler):
    """A worker as the protocol page describes it: echoes the attempt's id, seals its answer, streams events."""
    protocol_version = "HTTP/1.1"

    def log_message(self, *args):
        pass

    def do_GET(self):
        report = {"phase": "bidirectional", "models": [], "queued": 0, "active": self.server.active, "cacheUsed": 0,
                  "cacheTotal": 1000}
        self.answer(200, json.dumps(report).encode(), {})

    def answer(self, status, body, headers):
        self.send_response(status)
        for name, value in headers.items():
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def do_POST(self):
        body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
        attempt = self.headers["Attempt-Id"]
        if self.headers["Target-Instance"] != self.server.instance:
            return self.answer(421, b"", {"Not-Executed": "1"})
        self.server.ran.append(attempt)
        head = {"Attempt-Id": attempt, "Server-Seal": "seal-" + attempt}
        if "/stream/" not in self.path:
            return self.answer(200, b"ran " + body, head)
        self.send_response(200)
        for name, value in head.items():
            self.send_header(name, value)
        self.send_header("Content-Type", "text/event-stream")
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        first = int(self.headers.get("Last-Event-Id", 0)) + 1
        for number in range(first, 6):
            if self.path.endswith("/breaks") and number == 3 and first == 1:
                self.wfile.write(b"a\r\nid: 3\ndata\r\n")  # in the middle of an event
                self.wfile.flush()
                self.close_connection = True
                self.connection.shutdown(2)
                return
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            self.wfile.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            self.wfile.flush()
        self.wfile.write(b"0\r\n\r\n")


class Platform(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, *args):
        pass

    def do_GET(self):
        wanted = urllib.parse.parse_qs(urllib.parse.urlsplit(self.path).query).get("zone") # none: of all zones
        entries = [w.entry for w in self.server.workers if not wanted or w.entry["zone"] in wanted]
        body = json.dumps({"instances": entries, "nextToken": None}).encode()
        self.send_response(200)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


def serve(server):
    server.daemon_threads = True
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server


def make_workers():
    workers = []
    for zone, ip in MACHINES.items():
        for service, port in (("model", 19001), ("intake", 19002)):
            server = QuietServer((ip, port), Worker)
            server.instance, server.active, server.ran = f"i-{service}-{zone}", 0, []
            server.entry = {"instanceId": server.instance, "service": service, "address": f"{ip}:{port}", "zone": zone,
                            "configVersion": "v1", "capacity": 4, "state": "in_service", "coldRemainingMs": 0}
            workers.append(serve(server))
    return workers


def settings(folder, zone, ip):
    path = pathlib.Path(folder, zone)
    (path / "data").mkdir(parents=True, exist_ok=True)
    boot = path / "local.json"
    boot.write_text(json.dumps({
        "nodeName": f"edge-{zone}-1", "zone": zone, "region": ZONES[zone], "zones": ZONES, "ipAddress": ip,
        "endpoints": {name: f"{ip}:{port}" for name, port in PORTS.items()}, "internalPorts": INTERNAL,
        "seedNodes": SEEDS, "initialStart": True, "dataPath": str(path / "data"), "resilience": {"nodes": 1},
        "limits": {"memoryMb": 260, "maxFiles": 4100},
        "platformApi": {"address": "%s:%d" % PLATFORM, "ratePerS": 44.0}}))
    return boot


CONFIGURATION = {
    "configVersion": 3,
    "routes": [
        {"name": "whole", "host": "demo.example", "pathPrefix": "/whole/", "routeClass": "non_idempotent",
         "timeoutMs": 2000, "targetMs": 250, "priority": 2, "service": "intake", "maxAttempts": 1},
        {"name": "stream", "host": "demo.example", "pathPrefix": "/stream/", "routeClass": "streaming",
         "timeoutMs": 5000, "targetMs": 500, "priority": 0, "service": "model", "maxAttempts": 2, "affinity": True,
         "resumable": True, "gap_aim_ms": 400}],
    "services": [{"name": "model", "healthPath": "/health", "maxConnections": 390, "engine": {"capacity": 4}},
                 {"name": "intake", "healthPath": "/health", "maxConnections": 130}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}


def call(ip, port, method, path, body=None, headers=None):
    connection = http.client.HTTPConnection(ip, port, timeout=3)
    try:
        connection.request(method, path, body, headers or {})
        answer = connection.getresponse()
        return answer.status, dict(answer.getheaders()), answer.read()
    finally:
        connection.close()


def until(what, seconds, try_once):
    """Tries again and again until it says something true; a bound, not a pause, decides."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        try:
            result = try_once()
            if result:
                return result
        except (OSError, http.client.HTTPException):
            pass
        time.sleep(0.05)
    raise SystemExit(f"system_demo: {what}: not within {seconds} s")


def operator(method, path, body=None, headers=None):
    """As an operator does: any member of the core, following two redirects, until there is a clear answer."""
    def once():
        for ip in MACHINES.values():
            for _ in range(1 + REDIRECTS):
                status, head, text = call(ip, PORTS["control"], method, path, body, headers)
                if status != 307:
                    break
                ip = head["Location"].split("/")[2].split(":")[0]
            if status != 307 and status < 500:
                return status, text
        return None
    return until(f"{method} {path}", 20, once)


def check(what, good):
    print(("ok    " if good else "WRONG ") + what, flush=True)
    if not good:
        raise SystemExit(1)


def play(requests):
    body = json.dumps(CONFIGURATION)
    check("first configuration acknowledged", operator("PUT", "/-/configuration", body, {"If-Match": "0"})[0] == 200)
    check("the same again acknowledged", operator("PUT", "/-/configuration", body, {"If-Match": "0"})[0] == 200)
    check("another on the same version refused",
          operator("PUT", "/-/configuration", body.replace("250", "251"), {"If-Match": "0"})[0] == 412)
    check("invalid refused", operator("PUT", "/-/configuration", "{", {"If-Match": "3"})[0] == 400)
    check("read back whole", operator("GET", "/-/configuration")[1].decode() == body)
    for ip in MACHINES.values():
        until(f"{ip} ready", 20, lambda: call(ip, PORTS["readiness"], "GET", "/-/readiness")[0] == 200)
    ip = MACHINES["north-a"]
    addresses = until("directory", 10, lambda: json.loads(
        call(ip, PORTS["directory"], "GET", "/-/resolution?name=demo.example&region=north&zone=north-a")[2])["addresses"])
    check("directory names the zone's scheduler first", addresses[0] == f"{ip}:{PORTS['front']}")
    for number in range(requests):
        head = {"Host": "demo.example", "Attempt-Id": f"{number:016x}", "Time-Remaining": "3000"}
        status, answer, text = call(ip, PORTS["front"], "POST", "/whole/x", b"work", head)
        check_once("whole answer", status == 200 and text == b"ran work" and answer["Server-Seal"])
        head["Attempt-Id"] = f"{number + 10**6:016x}"
        head.update({"Model": "m", "Token-Count": "10,5", "Prompt-Prefix": "a:5,b:5"})
        # Repeats have a budget, so that only some streams may break.
        for path in ("/stream/x", "/stream/breaks" if number < 3 else "/stream/y"):
            status, answer, text = call(ip, PORTS["front"], "POST", path, b"work", head)
            wanted = "".join(f"id: {n}\ndata: piece {n}\n\n" for n in range(1, 6)).encode()
            check_once(f"{path}: {status} {answer} {text}", status == 200 and text == wanted)
    check(f"{requests} requests of each kind, streams resumed where they broke", True)
    status, _, _ = call(ip, PORTS["front"], "POST", "/none/x", b"", {"Host": "demo.example", "Attempt-Id": "1"})
    check("unknown route refused", status == 404)
    check("evacuation acknowledged", operator("POST", "/-/evacuation/north-a")[0] == 200)
    check("evacuation taken back", operator("DELETE", "/-/evacuation/north-a")[0] == 200)


def check_once(what, good):
    if not good:
        check(what, False)


def main():
    arguments = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    arguments.add_argument("build")
    arguments.add_argument("--requests", type=int, default=20)
    options = arguments.parse_args()
    workers = make_workers()
    platform = serve(QuietServer(PLATFORM, Platform))
    platform.workers = workers
    processes = []
    with tempfile.TemporaryDirectory() as folder:
        try:
            for zone, ip in MACHINES.items():
                boot = settings(folder, zone, ip)
                for program in ("willowrill-control", "willowrill-data"):
                    log = open(pathlib.Path(folder, f"{program}-{zone}.log"), "w", encoding="utf-8")
                    processes.append(subprocess.Popen([pathlib.Path(options.build, program)], stderr=log, stdout=log,
                                                      env={**os.environ, "WILLOWRILL_BOOT": str(boot)}))
            play(options.requests)
            for process in processes:
                process.send_signal(signal.SIGTERM)
            check("all end in order", all(process.wait(10) == 0 for process in processes))
        except BaseException:
            sys.stderr.write(f"exit codes so far: {[process.poll() for process in processes]}\n")
            for log in sorted(pathlib.Path(folder).glob("*.log")):
                sys.stderr.write(f"--- {log.name}\n{log.read_text()}")
            raise
        finally:
            for process in processes:
                if process.poll() is None:
                    process.kill()
                process.wait()


if __name__ == "__main__":
    main()
