"""What a worker sends in place of an answer, and how it then leaves its connection."""
import asyncio
import socket
import struct

RESET_DELAYS_S = (0.0, 0.005, 0.04)  # after the part of a body
RESET_AT_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER
BODY = "whole answer"
PART = b"data: part of an ans"
EVENT = b"id: 1\ndata: piece 1\n\n"
CHUNKED_BODY = f"{len(BODY):x}\r\n{BODY}\r\n0\r\n\r\n".encode()


def any_status(attempt):
    """One of those that a worker may give, the same for the same attempt. Without 204 and 304, which have no body, and without those that
    clients take for a promise."""
    statuses = [status for status in range(200, 600) if status not in (204, 304, 408, 421, 429, 503)]
    return statuses[int(attempt, 16) % len(statuses)]


class Shape:
    """`text`: may hold ID for the attempt, SEAL, and STATUS for any. `read`: whether the request's body is read before it is sent. `end`: what becomes of
    the connection: `keep`, `close`, `reset`, or `finish`: the worker ends its side, and reads the request to its end."""

    def __init__(self, text, end="keep", read=True, delay_s=0.0, stream=False):
        self.text, self.end, self.read, self.delay_s, self.stream = text, end, read, delay_s, stream

    async def send(self, reader, writer, length, attempt, seal):
        """Returns whether the connection may carry another request."""
        if self.read:
            await reader.readexactly(length)
        status = str(any_status(attempt)).encode()
        writer.write(self.text.replace(b"STATUS", status).replace(b"ID", attempt.encode()).replace(b"SEAL", seal.encode()))
        await writer.drain()
        if self.end == "finish":
            writer.write_eof()
        if self.end in ("keep", "finish") and not self.read:
            await reader.readexactly(length)
        if self.end != "reset":
            return self.end == "keep"
        await asyncio.sleep(self.delay_s)
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
        writer.transport.abort()
        return False


def head(status="200 OK", fields="Attempt-Id: ID\r\nServer-Seal: SEAL\r\n", version="HTTP/1.1"):
    return f"{version} {status}\r\n{fields}".encode("latin-1")


def with_length(start, body=BODY):
    return start + f"Content-Length: {len(body)}\r\n\r\n{body}".encode()


def statuses():
    shapes = {}
    for status in ("000", "099", "100", "101", "199", "600", "999"):
        start = head(f"{status} OK")
        shapes[f"status-{status}"] = Shape(with_length(start))
        shapes[f"status-{status}-no-length"] = Shape(start + b"\r\n" + BODY.encode(), "close")
    shapes["status-000-promised"] = Shape(with_length(head("000 OK", "Attempt-Id: ID\r\nNot-Executed: 1\r\n")))
    shapes["status-000-stream"] = Shape(head("000 OK") + b"Transfer-Encoding: chunked\r\n\r\n" + CHUNKED_BODY, stream=True)
    shapes["version-2.0"] = Shape(with_length(head(version="HTTP/2.0")))
    return shapes


def codings():
    shapes = {f"transfer-{coding}": Shape(head() + f"Transfer-Encoding: {coding}\r\n\r\n".encode() + CHUNKED_BODY, "close")
              for coding in ("gzip", "gzip, chunked", "chunked, gzip")}
    shapes["content-gzip"] = Shape(with_length(head() + b"Content-Encoding: gzip\r\n"))
    return shapes


def heads():
    lines = ("X Y: 1", "X\tY: 1", "X\0Y: 1", "X\x01Y: 1", "X\x7fY: 1", "X\xffY: 1", "X : 1", ": 1", " X: 1", "\tX: 1", "Content Length: 3",
             "Transfer-Encoding : chunked", "Attempt-Id\0: 1", "X: a\0b", "Server-Seal: other", "Attempt-Id: other")
    shapes = {f"line-{line!r}": Shape(with_length(head() + f"{line}\r\n".encode("latin-1"))) for line in lines}
    shapes["empty-seal"] = Shape(with_length(head(fields="Attempt-Id: ID\r\nServer-Seal: \r\n")))
    return shapes


def resets():
    """While the request's body is still to be read."""
    shapes = {}
    for status in ("200 OK", "404 Not Found", "500 Internal Server Error"):
        start = head(status) + b"\r\n"
        shapes[f"closed-{status}"] = Shape(start + PART, "close", read=False)
        for delay_s in RESET_DELAYS_S:
            shapes[f"reset-{status}-{delay_s}"] = Shape(start + PART, "reset", False, delay_s)
    for delay_s in RESET_DELAYS_S:
        shapes[f"stream-reset-{delay_s}"] = Shape(head() + b"\r\n" + EVENT, "reset", False, delay_s, stream=True)
    shapes["stream-closed"] = Shape(head() + b"\r\n" + EVENT, "close", False, stream=True)
    shapes["read-and-reset"] = Shape(head() + b"\r\n" + PART, "reset", True, 0.0)
    return shapes


def honest():
    """These are answers."""
    no_length = head() + b"\r\n" + BODY.encode()
    return {"early-no-length": Shape(no_length, "finish", read=False), "early-with-length": Shape(with_length(head()), "keep", read=False),
            "read-no-length": Shape(no_length, "close"), "http-1.0": Shape(head(version="HTTP/1.0") + b"\r\n" + BODY.encode(), "close"),
            "chunked": Shape(head() + b"Transfer-Encoding: chunked\r\n\r\n" + CHUNKED_BODY)}


def any_statuses():
    """Answers too, with every status that a worker may give; with a reason that no table has, and without one."""
    shapes = {"any-status-no-length": Shape(head("STATUS Some Reason") + b"\r\n" + BODY.encode(), "close")}
    for name, reason in (("", " Some Reason"), ("-no-reason", " ")):
        shapes[f"any-status{name}"] = Shape(with_length(head(f"STATUS{reason}")))
        shapes[f"any-status-chunked{name}"] = Shape(head(f"STATUS{reason}") + b"Transfer-Encoding: chunked\r\n\r\n" + CHUNKED_BODY)
    return shapes


GROUPS = {"any-status": any_statuses(), "statuses": statuses(), "codings": codings(), "heads": heads(), "resets": resets(), "honest": honest()}
SHAPES = {name: shape for group in GROUPS.values() for name, shape in group.items()}
