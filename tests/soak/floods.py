"""Bytes without end, in each place of an HTTP message and of a frame where they can come."""
import asyncio
import socket

PIECE_BYTES = 65536
LINE = b"X-Junk: " + b"j" * 54 + b"\r\n"  # of 64 bytes, so that reads end where lines do
LINES = LINE * (PIECE_BYTES // len(LINE))
JUNK = b"j" * PIECE_BYTES
CHUNK = f"{PIECE_BYTES:x}\r\n".encode() + JUNK + b"\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
ENDLESS = b"Content-Length: 999999999999\r\n\r\n"
READ_BYTES = 512  # of a read, as the programs begin with
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"

# Of an answer: what comes first behind its head, and what then comes without end.
ANSWERS = {
    "header-line": (b"X-Junk: ", JUNK),
    "header-lines": (b"", LINES),
    "chunk-header": (CHUNKED + b"1;", JUNK),
    "chunks": (CHUNKED, CHUNK),
    "trailer-line": (CHUNKED + b"0\r\nX-Junk: ", JUNK),
    "trailers": (CHUNKED + b"0\r\n", LINES),
    "length": (ENDLESS, JUNK),
    "until-close": (b"Connection: close\r\n\r\n", JUNK),
}
# The same lines, begun so that reads end where lines do, too.
ALIGNED = "aligned-header-lines"
# Without the head of an answer.
WITHOUT_HEAD = {"status-line": (b"HTTP/1.1 200 ", JUNK), "interim": (b"", INTERIM * 2048), "noise": (b"", JUNK)}
# The worker says that it did not run the request.
REFUSAL = "refusal"
SHAPES = (*ANSWERS, ALIGNED, *WITHOUT_HEAD, REFUSAL)

# Of a request, behind its head.
REQUESTS = ("header-line", "header-lines", ALIGNED, "chunk-header", "trailer-line", "trailers")


def padded(head):
    """The head with a line more, so that its length is a multiple of the reads'."""
    empty = b"X-Pad: \r\n"
    return head + empty[:-2] + b"p" * (-(len(head) + len(empty)) % READ_BYTES) + b"\r\n"


def behind_head(shape, head):
    """What begins the flood, and what is repeated. `head`: of a message, without its empty line."""
    if shape == ALIGNED:
        return padded(head), LINES
    begin, piece = ANSWERS[shape]
    return head + begin, piece


def answer(shape, head):
    """As `behind_head`, of an answer; of a refusal where that is the shape."""
    if shape == REFUSAL:
        return head + ENDLESS, JUNK
    if shape in WITHOUT_HEAD:
        return WITHOUT_HEAD[shape]
    return behind_head(shape, head)


async def pour(writer, begin, piece, most_bytes=None):
    """Until the other end closes, or until so many bytes have gone. Returns how many it took."""
    writer.write(begin)
    poured = 0
    while most_bytes is None or poured < most_bytes:
        writer.write(piece)
        await writer.drain()
        poured += len(piece)
    return poured


def frame_start(length):
    """The length of a frame between processes, which its bytes follow."""
    return length.to_bytes(4, "big")


async def connect(host, port):
    reader, writer = await asyncio.open_connection(host, port)
    writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return reader, writer
