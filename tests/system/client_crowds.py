"""Crowds of clients that don't behave, on raw sockets, and the bounds of the process that serves them."""

import contextlib
import os
import pathlib
import selectors
import socket
import threading
import time

PIECE = 64 * 1024
BODY_PIECES = 40
STILL_S = 0.5  # A crowd that moves no byte for so long has sent what it can.
SENDING_LIMIT_S = 20.0
HOLD_S = 1.0  # How long the crowd stays after that.


def head(path, extra, method="POST", host="menus.example"):
    return (f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nX-Medlarcroft-Attempt-Id: crowd\r\nMedlar-Brand: brand-a\r\n"
            f"X-Medlarcroft-Deadline-Ms: 4000\r\n{extra}\r\n").encode()


CHUNKED = "Transfer-Encoding: chunked\r\n"
LARGE_CHUNK = b"%x\r\n" % PIECE + b"a" * PIECE + b"\r\n"


def with_length(path, announced, sent):
    return [(head(path, f"Content-Length: {announced}\r\n"), 1), (b"a" * min(PIECE, sent), sent // min(PIECE, sent))]


# What each connection of a crowd sends to a path: its parts, and how often each of them comes.
MESSAGES = {
    "large_chunks": lambda path: [(head(path, CHUNKED), 1), (LARGE_CHUNK, BODY_PIECES - 1), (LARGE_CHUNK[:-100], 1)],
    "one_huge_chunk": lambda path: [(head(path, CHUNKED) + b"%x\r\n" % (BODY_PIECES * PIECE), 1),
                                   (b"a" * PIECE, BODY_PIECES - 1)],
    "tiny_chunks": lambda path: [(head(path, CHUNKED), 1), (b"1\r\na\r\n" * 8192, 64)],
    "short_lengths": lambda path: with_length(path, BODY_PIECES * PIECE, (BODY_PIECES - 1) * PIECE),
    "short_small_lengths": lambda path: with_length(path, 15 * PIECE, 14 * PIECE),
    "over_the_limit_announced": lambda path: with_length(path, 10 ** 12, PIECE),
    "over_all_numbers_announced": lambda path: with_length(path, 2 ** 64 - 1, PIECE),
    "huge_chunk_announced": lambda path: [(head(path, CHUNKED) + b"7fffffffffffffff\r\n", 1), (b"a" * PIECE, 63)],
    "over_the_limit_sent": lambda path: [(head(path, CHUNKED), 1), (LARGE_CHUNK, 256)],
    "heads_without_end": lambda path: [(head(path, "")[:-2], 1), (b"X-More: " + b"a" * 8000 + b"\r\n", 120)],
    "extensions_without_end": lambda path: [(head(path, CHUNKED) + b"5;", 1), (b"a" * PIECE, 16)],
    "trailers_without_end": lambda path: [(head(path, CHUNKED) + b"0\r\n", 1), (b"X-More: " + b"a" * 8000 + b"\r\n", 120)],
    "whole_bodies": lambda path: [(head(path, f"Content-Length: {BODY_PIECES * PIECE}\r\n"), 1), (b"a" * PIECE, BODY_PIECES)],
    "pipelined": lambda path: [(head(path, "", "GET"), 1), (head("/nowhere/", "", "GET"), 500)],
    "silent": lambda path: [(b"P", 1)],
}


class _Client:
    def __init__(self, address, parts):
        self.parts = [[memoryview(data), count] for data, count in parts]
        self.rest = memoryview(b"")
        self.socket = socket.socket()
        self.socket.setblocking(False)
        self.socket.connect_ex(address)

    def send(self):
        """Sends what is taken; returns whether any byte was, or None once nothing is left or the connection is gone."""
        has_moved = False
        try:
            while True:
                if not self.rest:
                    if not self.parts:
                        return None
                    self.rest = self.parts[0][0]
                    self.parts[0][1] -= 1
                    if self.parts[0][1] == 0:
                        self.parts.pop(0)
                sent = self.socket.send(self.rest)
                self.rest = self.rest[sent:]
                has_moved = True
        except BlockingIOError:
            return has_moved
        except OSError:
            return None

    def drop_input(self):
        """Returns whether the connection is still there."""
        try:
            return self.socket.recv(65536) != b""
        except BlockingIOError:
            return True
        except OSError:
            return False


class Crowd(threading.Thread):
    """`count` connections that each send a message and stay."""

    def __init__(self, address, kind, path, count):
        super().__init__(daemon=True)
        self.clients = [_Client(address, MESSAGES[kind](path)) for _ in range(count)]
        self.has_sent, self.is_over = threading.Event(), threading.Event()
        self.start()

    def run(self):
        with selectors.DefaultSelector() as selector:
            for client in self.clients:
                selector.register(client.socket, selectors.EVENT_READ | selectors.EVENT_WRITE, client)
            begin = moved_at = time.monotonic()
            while not self.is_over.is_set():
                for key, events in selector.select(0.05):
                    client, is_there, moved = key.data, True, None
                    if events & selectors.EVENT_READ:
                        is_there = client.drop_input()
                    if is_there and events & selectors.EVENT_WRITE:
                        moved = client.send()
                        if moved:
                            moved_at = time.monotonic()
                        elif moved is None:
                            selector.modify(client.socket, selectors.EVENT_READ, client)
                    if not is_there:
                        selector.unregister(client.socket)
                        client.socket.close()
                now = time.monotonic()
                if now - moved_at > STILL_S or now - begin > SENDING_LIMIT_S:
                    self.has_sent.set()
                if not selector.get_map():
                    self.has_sent.set()
                    self.is_over.wait()
        for client in self.clients:
            client.socket.close()


@contextlib.contextmanager
def crowd_of(address, kind, path, count):
    """A crowd that has sent what it can, and stays while the context lasts."""
    crowd = Crowd(address, kind, path, count)
    try:
        crowd.has_sent.wait()
        time.sleep(HOLD_S)
        yield crowd
    finally:
        crowd.is_over.set()
        crowd.join()


class Watch:
    """What a process takes: its memory and its descriptors at most since this object's start."""

    def __init__(self, pid):
        self.pid, self.most_descriptors, self.is_over = pid, 0, threading.Event()
        pathlib.Path(f"/proc/{pid}/clear_refs").write_text("5")  # Begins the peak of memory anew.
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self):
        while not self.is_over.wait(0.01):
            try:
                self.most_descriptors = max(self.most_descriptors, len(os.listdir(f"/proc/{self.pid}/fd")))
            except OSError:
                return

    def stop(self):
        self.is_over.set()

    def most_memory_mb(self):
        status = pathlib.Path(f"/proc/{self.pid}/status").read_text()
        return next(int(line.split()[1]) / 1024 for line in status.splitlines() if line.startswith("VmHWM"))
