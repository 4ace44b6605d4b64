"""Tests medlar-node on loopback with callers that read large answers slowly, or not at all."""

import json
import pathlib
import random
import signal
import socket
import tempfile
import threading
import time
import unittest

import platform_test
from platform_standins import Store, Target
from platform_test import HOST, Node, make_configuration, make_route, wait_for

NET = platform_test.NET = "127.87"
LARGE_BYTES = 540_000
STOP_LIMIT_S, ANNOUNCEMENT_S, SLACK_S = 6.0, 2.8, 0.7
ROUTES = [make_route("packs", "/packs/", "download", "desk", timeout="4000ms")]


def body_of(request):
    return ((request + ".") * (LARGE_BYTES // len(request) + 1)).encode()[:LARGE_BYTES]


class LargeTarget(Target):
    """A target with large answers, which it gives at once."""

    def _serve(self, handler):
        handler.body()
        request = handler.headers["X-Medlarcroft-Attempt-Id"]
        with self.lock:
            self.executed_requests.append(request)
        handler.answer(200, body_of(request), [("X-Medlarcroft-Attempt-Id", request), ("X-Medlarcroft-Server-Seal", "seal")])


class SlowCaller(threading.Thread):
    """Sends a request and reads at most `piece` bytes each `pause_s` for `slow_s` seconds, then as fast as it comes; or
    never reads. Its address is new and its buffers are small: the kernel would hold whole answers otherwise."""

    def __init__(self, node, request, piece=3000, pause_s=0.25, slow_s=3.0, reads=True, deadline_ms=4000, extra=""):
        super().__init__(daemon=True)
        self.request, self.piece, self.pause_s, self.slow_s, self.reads = request, piece, pause_s, slow_s, reads
        self.body, self.is_over = b"", threading.Event()
        self.connection = socket.socket()
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1460)
        self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16384)
        self.connection.bind((f"{NET}.{random.randint(100, 250)}.{random.randint(1, 250)}", 0))
        self.connection.settimeout(10)
        self.connection.connect(node.caller)
        self.connection.sendall((f"GET /packs/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Medlarcroft-Attempt-Id: {request}\r\n"
                                 f"X-Medlarcroft-Deadline-Ms: {deadline_ms}\r\n{extra}\r\n").encode())
        self.start()

    def run(self):
        data, begin = b"", time.monotonic()
        if not self.reads:
            self.is_over.wait(20)
            return
        try:
            while len(data.partition(b"\r\n\r\n")[2]) < LARGE_BYTES:
                is_slow = time.monotonic() - begin < self.slow_s
                piece = self.connection.recv(self.piece if is_slow else 65536)
                if not piece:
                    break
                data += piece
                time.sleep(self.pause_s if is_slow else 0)
        except OSError:
            pass
        self.body = data.partition(b"\r\n\r\n")[2]

    def is_served(self):
        return self.body == body_of(self.request)

    def end(self):
        self.is_over.set()
        self.join()
        self.connection.close()


class SlowReaderTest(unittest.TestCase):
    port = 18950

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.store = Store((f"{NET}.0.1", 0))
        self.addCleanup(self.store.server.shutdown)
        self.store.put_json("op", "config", make_configuration(1, ROUTES))
        self.targets = []
        for number in range(2):
            SlowReaderTest.port += 1
            target = LargeTarget(self.store, f"desk-{number}", "desk", "z1", (f"{NET}.2.1", SlowReaderTest.port), slots=64)
            self.addCleanup(target.stop)
            self.targets.append(target)
        self.node = Node(pathlib.Path(folder.name), 1, self.store.server.server_port)
        self.addCleanup(self.node.process.wait)
        self.addCleanup(self.node.process.kill)
        wait_for(self.node.is_ready)

    def call(self, count, **how):
        callers = [SlowCaller(self.node, f"s-{number}", **how) for number in range(count)]
        for caller in callers:
            self.addCleanup(caller.end)
        wait_for(lambda: sum(len(target.executed_requests) for target in self.targets) == count)
        return callers

    def begin_stop(self):
        self.stopped_at = time.monotonic()
        self.node.process.send_signal(signal.SIGTERM)

    def end_stop(self, callers):
        """Waits until the node has ended; returns the time since the signal."""
        self.assertEqual(self.node.process.wait(20), 0)
        took_s = time.monotonic() - self.stopped_at
        for caller in callers:
            caller.end()
        return took_s

    def lines(self, event):
        return [line for line in map(json.loads, self.node.log.read_text().splitlines()) if line["event"] == event]

    # Guards against a stop that ends with answers in its memory, since they count as answered.
    def test_stop_delivers_answers_that_are_read_slowly(self):
        callers = self.call(6)
        self.begin_stop()
        took_s = self.end_stop(callers)
        self.assertEqual([caller.is_served() for caller in callers], [True] * 6)
        self.assertLess(took_s, STOP_LIMIT_S)
        self.assertEqual(self.lines("response-cut"), [])

    # Guards against connections that a stopping node closes a second after their answer.
    def test_stopping_node_delivers_answers_that_are_read_slowly(self):
        self.begin_stop()
        callers = self.call(6, slow_s=2.0)
        took_s = self.end_stop(callers)
        self.assertEqual([caller.is_served() for caller in callers], [True] * 6)
        self.assertLess(took_s, STOP_LIMIT_S)

    # Guards against an exit that resets a connection with unread input, and drops what the kernel holds.
    def test_stop_delivers_answers_to_callers_that_send_on(self):
        callers = self.call(6)
        for caller in callers:
            caller.connection.sendall(b"GET /packs/1 HTTP/1.1\r\n")
        self.begin_stop()
        self.end_stop(callers)
        self.assertEqual([caller.is_served() for caller in callers], [True] * 6)

    # Guards against callers that never read and hold up a stop until the platform kills the process.
    def test_stop_ends_in_time_whatever_callers_do(self):
        callers = self.call(6, reads=False, deadline_ms=1500)
        self.begin_stop()
        took_s = self.end_stop(callers)
        self.assertLess(took_s, ANNOUNCEMENT_S + SLACK_S)
        cut = self.lines("response-cut")
        self.assertEqual(sorted(line["request"] for line in cut), [caller.request for caller in callers])
        self.assertEqual({line["reason"] for line in cut}, {"stop"})
        self.assertEqual(self.lines("stopped")[0]["given_up"], 6)

    def test_stop_waits_for_the_deadline_of_callers_that_do_not_read_yet(self):
        callers = self.call(6, piece=1, pause_s=3.3, slow_s=0.1)
        self.begin_stop()
        took_s = self.end_stop(callers)
        self.assertEqual([caller.is_served() for caller in callers], [True] * 6)
        self.assertLess(took_s, STOP_LIMIT_S)


if __name__ == "__main__":
    unittest.main()
