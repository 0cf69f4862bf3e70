#!/usr/bin/env python3
"""Two toy workers and a toy discovery, to try willowrilld by hand. Standard library only; not for load. With
`--probed` the workers tell their load to probes alone, as examples/probed.json has it, and of each job's start;
with `--any-port` all listen where there is room, and the first line printed is discovery's address.

    examples/toy_servers.py &
    PROXY_CONFIG=examples/config.json build/willowrilld &
    curl -i http://127.0.0.1:5000/api -H 'X-Request-ID: 1' -H 'X-Priority-Class: record' -d 'a job'
"""
import json
import sys
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlparse

DISCOVERY = ("127.0.0.1", 8500)
WORKERS = {"s-small": ("127.0.0.1", 8601, "small"), "s-large": ("127.0.0.1", 8602, "large")}


class Discovery(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def do_GET(self):
        query = parse_qs(urlparse(self.path).query)
        watching = "from" in query and int(query["from"][0]) >= 1
        if watching:  # nothing ever changes here
            time.sleep(min(int(query.get("hold_ms", ["0"])[0]), 60000) / 1000)
        servers = [] if watching else [
            {"id": name, "addr": f"{host}:{port}", "zone": "here", "kind": kind, "cell": 0, "state": "up",
             "weight": 1.0, "started_ms": 0} for name, (host, port, kind) in WORKERS.items()]
        body = json.dumps({"version": 1, "full": not watching, "servers": servers}).encode()
        self.send_response(200)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


PROBED = "--probed" in sys.argv[1:]
SLOTS = 4
busy = {name: 0 for name in WORKERS}
lock = threading.Lock()


class Worker(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def name(self):
        return next(n for n, (_, port, _) in WORKERS.items() if port == self.server.server_address[1])

    def say(self, line):
        text = json.dumps(line).encode() + b"\n"
        self.wfile.write(b"%x\r\n%s\r\n" % (len(text), text))

    def do_GET(self):  # a probe
        known = PROBED and self.path in ("/health", "/status/load")
        body = b""
        if known and self.path == "/status/load":
            jobs = busy[self.name()]
            body = json.dumps({"util": min(1, jobs / SLOTS), "x0": max(0, SLOTS - jobs)}).encode()
        self.send_response(200 if known else 404)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def do_POST(self):
        job = self.rfile.read(int(self.headers.get("Content-Length", "0"))).decode(errors="replace")
        name, id = self.name(), self.headers["X-Request-ID"]
        with lock:
            busy[name] += 1
        self.send_response(200)
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        if PROBED:
            self.say({"id": id, "from": name, "state": "started"})
        time.sleep(0.2)
        with lock:
            busy[name] -= 1
        load = {} if PROBED else {"load": {"util": 0.1, "latency_ms": 200, "x0": 4}}
        self.say({"id": id, "from": name, "state": "done", "result": f"{name} ran: {job}\n", **load})
        self.wfile.write(b"0\r\n\r\n")


def main():
    any_port = "--any-port" in sys.argv[1:]
    servers = [ThreadingHTTPServer((DISCOVERY[0], 0) if any_port else DISCOVERY, Discovery)]
    for name, (host, port, kind) in WORKERS.items():
        servers.append(ThreadingHTTPServer((host, 0 if any_port else port), Worker))
        WORKERS[name] = (host, servers[-1].server_address[1], kind)
    if any_port:
        print("%s:%d" % servers[0].server_address, flush=True)
    for server in servers[1:]:
        threading.Thread(target=server.serve_forever, daemon=True).start()
    try:
        servers[0].serve_forever()
    except KeyboardInterrupt:
        pass


if __name__ == "__main__":
    main()
