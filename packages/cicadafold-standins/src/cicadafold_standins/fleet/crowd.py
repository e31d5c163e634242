"""Clients that send more than they should, and stay connected.

Runs as a process of its own: it prints a line when all clients have sent what
they can, and ends when its standard input is closed.
"""

import argparse
import asyncio
import base64
import collections
import socket
import struct
import sys
import zlib

__all__ = ["KINDS", "MAX_BODY_BYTES", "Crowd", "CrowdKind"]

MAX_BODY_BYTES = 262_144
# What a client sends that sends something without end.
ENDLESS_BYTES = 8 << 20
PIECE_BYTES = 64 << 10
SMALL_PIECE_BYTES = 8 << 10
# One client of so many sends its request to the end.
COMPLETE_EVERY = 10
INFLATED_BYTES = 256 << 20
# A client that has made no progress for this time has sent what it can.
STALL_S = 2.0
CHECK_S = 0.1
LONGEST_S = 60.0
SENT = "sent"

CrowdKind = collections.namedtuple("CrowdKind", "clients pieces")
KINDS = {}


def register_kind(name, *, clients):
    """Function decorator that registers what the clients of a kind send.

    The function takes the number of a client, and yields bytes.
    """

    def register(pieces):
        KINDS[name] = CrowdKind(clients, pieces)
        return pieces

    return register


def head(method, number, *lines):
    """Returns the head of a call about a job."""
    path = f"/q/{number + 1:016x}"
    fields = ["Host: jobs.example", "Content-Type: application/json", *lines]
    text = "\r\n".join([f"{method} {path} HTTP/1.1", *fields, "", ""])
    return text.encode()


def large_body():
    """Returns the body of a valid job, filled up to the largest size."""
    start = b'{"steps":[{"count":1,"cpu":500,"memMb":16,"estimateMs":50}],'
    end = b'"spec":"500"}'
    return start + b" " * (MAX_BODY_BYTES - len(start) - len(end)) + end


def sent_part(number, data):
    """Returns a request, without its last byte for most of the clients."""
    return data if number % COMPLETE_EVERY == 0 else data[:-1]


def split(data, size=PIECE_BYTES):
    """Yields data in pieces of a size."""
    for start in range(0, len(data), size):
        yield data[start : start + size]


def endless(data):
    """Yields a piece again and again up to ``ENDLESS_BYTES``."""
    piece = data * max(1, PIECE_BYTES // len(data))
    for _ in range(ENDLESS_BYTES // len(piece)):
        yield piece


def chunks(data, size):
    """Returns data in chunks of a size, with the last chunk."""
    parts = [b"%x\r\n%b\r\n" % (len(p), p) for p in split(data, size)]
    return b"".join(parts) + b"0\r\n\r\n"


@register_kind("head-lines-without-end", clients=30)
def send_head_lines(number):
    yield head("POST", number)[:-2]
    line = b"x" * 65_000
    for index in range(ENDLESS_BYTES // len(line)):
        yield b"X-%d: %b\r\n" % (index, line)


@register_kind("head-line-without-end", clients=30)
def send_head_line(number):
    yield head("POST", number)[:-2] + b"X-Long: "
    yield from endless(b"x")


@register_kind("request-line-without-end", clients=30)
def send_request_line(number):
    yield b"POST /q/"
    yield from endless(b"0")


@register_kind("chunk-extension-without-end", clients=30)
def send_chunk_extension(number):
    yield head("POST", number, "Transfer-Encoding: chunked") + b"1;x="
    yield from endless(b"x")


@register_kind("trailer-lines-without-end", clients=30)
def send_trailer(number):
    yield head("POST", number, "Transfer-Encoding: chunked")
    yield b"1\r\n{\r\n0\r\n"
    line = b"x" * 65_000
    for index in range(ENDLESS_BYTES // len(line)):
        yield b"X-%d: %b\r\n" % (index, line)


@register_kind("empty-lines-without-end", clients=30)
def send_empty_lines(number):
    yield from endless(b"\r\n")


@register_kind("large-bodies", clients=250)
def send_large_body(number):
    body = large_body()
    yield head("POST", number, f"Content-Length: {len(body)}")
    yield sent_part(number, body)


@register_kind("large-bodies-piece-by-piece", clients=250)
def send_large_body_in_pieces(number):
    body = large_body()
    yield head("POST", number, f"Content-Length: {len(body)}")
    yield from split(sent_part(number, body), SMALL_PIECE_BYTES)


@register_kind("bodies-in-large-chunks", clients=250)
def send_large_chunks(number):
    yield head("POST", number, "Transfer-Encoding: chunked")
    yield from split(sent_part(number, chunks(large_body(), 64 << 10)))


@register_kind("bodies-in-chunks-of-one-byte", clients=150)
def send_small_chunks(number):
    yield head("POST", number, "Transfer-Encoding: chunked")
    yield from split(sent_part(number, chunks(b" " * 32_000, 1)))


@register_kind("long-bodies-in-chunks-of-one-byte", clients=80)
def send_many_small_chunks(number):
    yield head("POST", number, "Transfer-Encoding: chunked")
    yield from split(sent_part(number, chunks(b" " * 240_000, 1)))


@register_kind("chunked-bodies-over-the-limit", clients=60)
def send_chunks_over_the_limit(number):
    yield head("POST", number, "Transfer-Encoding: chunked")
    yield from split(sent_part(number, chunks(b" " * (4 << 20), 64 << 10)))


@register_kind("bodies-with-content-encoding", clients=4)
def send_inflating_body(number):
    compressor = zlib.compressobj(9, zlib.DEFLATED, 31)
    megabyte = b" " * (1 << 20)
    parts = [
        compressor.compress(megabyte) for _ in range(INFLATED_BYTES >> 20)
    ]
    body = b"".join([*parts, compressor.flush()])[:MAX_BODY_BYTES]
    length = f"Content-Length: {len(body)}"
    yield head("POST", number, length, "Content-Encoding: gzip")
    yield from split(body)


@register_kind("announced-bodies-that-never-come", clients=250)
def send_expectation(number):
    length = f"Content-Length: {MAX_BODY_BYTES}"
    yield head("POST", number, length, "Expect: 100-continue")


@register_kind("open-connections", clients=1200)
def send_nothing(number):
    yield b""


@register_kind("requests-whose-answers-are-not-read", clients=30)
def send_unread_queries(number):
    yield from endless(head("GET", number))


@register_kind("requests-with-bodies-that-are-not-read", clients=30)
def send_queries_with_bodies(number):
    yield head("GET", number, f"Content-Length: {ENDLESS_BYTES}")
    yield from endless(b"x")


@register_kind("metrics-that-are-not-read", clients=30)
def send_unread_metrics(number):
    yield from endless(b"GET /metrics HTTP/1.1\r\nHost: metrics\r\n\r\n")


def open_socket(number):
    """Returns the request that opens a WebSocket at the peers' address."""
    key = base64.b64encode(number.to_bytes(16, "big")).decode()
    lines = (
        "GET /peer HTTP/1.1",
        "Host: peer",
        "Upgrade: websocket",
        "Connection: Upgrade",
        "Sec-WebSocket-Version: 13",
        f"Sec-WebSocket-Key: {key}",
        "",
        "",
    )
    return "\r\n".join(lines).encode()


@register_kind("frames-that-do-not-end", clients=100)
def send_frames_without_end(number):
    yield open_socket(number)
    size = 1 << 20
    yield b"\x82" + bytes([0x80 | 127]) + struct.pack(">QI", size, 0)
    yield from split(bytes(size - 1))


@register_kind("messages-that-do-not-end", clients=100)
def send_fragments_without_end(number):
    yield open_socket(number)
    size = 32 << 10
    start = bytes([0x80 | 126]) + struct.pack(">HI", size, 0)
    for index in range(64):
        yield bytes([0x02 if index == 0 else 0x00]) + start + bytes(size)


class Crowd:
    """Clients of one kind that connect to one address.

    Args:
        kind: ``CrowdKind`` of the clients.
        address: IP number and port to which they connect.

    Attributes:
        progress: Number of pieces that all clients have sent.
        sockets: Sockets that are still open.
    """

    def __init__(self, *, kind, address):
        self.kind = kind
        host, _, port = address.rpartition(":")
        self.address = (host, int(port))
        self.progress = 0
        self.sockets = set()

    async def send(self):
        """Returns once all clients have sent what they can."""
        tasks = [
            asyncio.create_task(self.run_client(number))
            for number in range(self.kind.clients)
        ]
        loop = asyncio.get_running_loop()
        end_s = loop.time() + LONGEST_S
        seen, changed_s = -1, loop.time()
        while loop.time() < end_s and not all(t.done() for t in tasks):
            await asyncio.sleep(CHECK_S)
            if seen != self.progress:
                seen, changed_s = self.progress, loop.time()
            if loop.time() - changed_s > STALL_S:
                break
        return tasks

    async def run_client(self, number):
        """Connects and sends until the process closes the connection."""
        loop = asyncio.get_running_loop()
        client = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        client.setblocking(False)
        self.sockets.add(client)
        try:
            await loop.sock_connect(client, self.address)
            for piece in self.kind.pieces(number):
                await loop.sock_sendall(client, piece)
                self.progress += 1
                await asyncio.sleep(0)
        except OSError:
            self.sockets.discard(client)
            client.close()


async def main():
    """Runs the crowd that the arguments name."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("kind", choices=KINDS)
    parser.add_argument("address")
    arguments = parser.parse_args()
    crowd = Crowd(kind=KINDS[arguments.kind], address=arguments.address)
    tasks = await crowd.send()
    print(SENT, len(crowd.sockets), flush=True)
    await asyncio.to_thread(sys.stdin.read)
    for task in tasks:
        task.cancel()


if __name__ == "__main__":
    asyncio.run(main())
