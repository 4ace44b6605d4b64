"""Tests medlar-node on loopback with targets whose answers are broken, of another request, or have a body where none is
due."""

import http.client
import pathlib
import socket
import tempfile
import time
import unittest

import platform_test
from platform_standins import Store, Target
from platform_test import HOST, ROUTES, Node, make_configuration, wait_for

NET = platform_test.NET = "127.88"
BODY = "hello"
FAILURES = (502, 504)
AT_ONCE_S = 1.0  # Below the route's timeout: what is known to be broken is not waited for.
SEALED = "X-Medlarcroft-Attempt-Id: {id}\r\nX-Medlarcroft-Server-Seal: seal\r\n"
LENGTH = f"Content-Length: {len(BODY)}\r\n"
CHUNKS = "\r\n1\r\nh\r\n0\r\n\r\n"


def head(status="200 OK", line="", framing=LENGTH + "\r\n" + BODY, version="HTTP/1.1"):
    return f"{version} {status}\r\n" + SEALED + line + framing


# What targets send; none of it may reach a caller.
BROKEN = {
    **{f"status {status}": head(f"{status} OK") for status in ("000", "001", "099", "600", "999", "20", "+20", "2000")},
    **{f"line {line!r}": head(line=line + "\r\n") for line in (
        "A b: c", "Ab : c", "Ab\t: c", "A\x00b: c", "A\x07b: c", "A\x7fb: c", "A\rb: c", "A\xe4b: c", "A[b]: c", ": c",
        "Ab", "Ab: \x07", "Content-Length: 1")},
    "length with a blank before the colon": head(framing="Content-Length : 1\r\n\r\n" + BODY),
    "coding with a blank before the colon": head(framing="Transfer-Encoding : chunked\r\nContent-Length: x\r\n" + CHUNKS),
    **{f"coding {coding}": head(framing=f"Transfer-Encoding: {coding}\r\n" + CHUNKS) for coding in (
        "gzip", "gzip, chunked", "chunked, gzip", "chunked, chunked")},
    "length and chunks": head(framing=LENGTH + "Transfer-Encoding: chunked\r\n" + CHUNKS),
    "chunk that is longer": head(framing="Transfer-Encoding: chunked\r\n\r\n1\r\nhello\r\n0\r\n\r\n"),
    "interim answer of status 000": "HTTP/1.1 000 Early\r\n\r\n" + head(),
    "interim answer with a broken name": "HTTP/1.1 103 Early\r\nA b: c\r\n\r\n" + head(),
    "bytes before the status line": BODY + head(),
    "version 2": head(version="HTTP/2"),
    "answer of another request": head().replace("{id}", "other"),
}
# Odd, and proper: the body that callers get.
PROPER = {
    "status without a known name": (head("299 Odd"), BODY),
    "interim answer first": ("HTTP/1.1 103 Early\r\nLink: a\r\n\r\n" + head(), BODY),
    "204 with a length": (head("204 No Content"), ""),
    "304 with a body": (head("304 Not Modified"), ""),
    "chunks": (head(framing="Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"), BODY),
}


class BrokenTarget(Target):
    """A target that sends the bytes of `sent`, if set, and then closes the connection or waits for its end."""

    def __init__(self, *args, **more):
        self.sent, self.closes = None, True
        super().__init__(*args, **more)
        self.handler.do_HEAD = self.handler.do_GET

    def _serve(self, handler):
        if self.sent is None:
            super()._serve(handler)
            return
        handler.body()
        request = handler.headers["X-Medlarcroft-Attempt-Id"]
        with self.lock:
            self.arrivals.append((time.monotonic(), handler.server.server_address[0], request))
            self.executed_requests.append(request)
        handler.close_connection = True
        handler.connection.sendall(self.sent.replace("{id}", request).encode("latin-1"))
        if not self.closes:
            handler.connection.settimeout(10)
            try:
                handler.connection.recv(1)
            except OSError:
                pass


class BrokenAnswerTest(unittest.TestCase):
    port = 19300

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.store = Store((f"{NET}.0.1", 0))
        self.addCleanup(self.store.server.shutdown)
        self.store.put_json("op", "config", make_configuration(1, ROUTES))
        self.targets = []
        for service in ("desk", "ledger"):
            for number in (1, 2):
                BrokenAnswerTest.port += 1
                target = BrokenTarget(self.store, f"{service}-{number}", service, "z1", (f"{NET}.2.1", BrokenAnswerTest.port))
                self.addCleanup(target.stop)
                self.targets.append(target)
        self.node = Node(self.folder, 1, self.store.server.server_port)
        self.addCleanup(self.node.process.wait)
        self.addCleanup(self.node.process.kill)
        wait_for(self.node.is_ready)
        self.calls = 0

    def set_targets(self, sent, closes=True):
        for target in self.targets:
            target.sent, target.closes = sent, closes

    def call(self, path, method):
        """Returns the status, the fields and the body, as bytes on the wire, and the request's ID."""
        self.calls += 1
        request = f"b-{self.calls}"
        with socket.create_connection(self.node.caller, 10) as connection:
            connection.sendall((f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Medlarcroft-Attempt-Id: {request}\r\n"
                                f"X-Medlarcroft-Deadline-Ms: 4000\r\nConnection: close\r\nContent-Length: 0\r\n\r\n").encode())
            received = b""
            while piece := connection.recv(65536):
                received += piece
        fields, _, body = received.partition(b"\r\n\r\n")
        self.assertRegex(fields, rb"\AHTTP/1\.1 [1-5][0-9][0-9] ")
        return int(fields[9:12]), fields, body, request

    def runs(self, request):
        return sum(target.executed_requests.count(request) for target in self.targets)

    def check_nothing_said(self):
        log = self.node.log.read_text()
        self.assertNotIn('"event":"target-rest-started"', log)
        self.assertNotIn('"event":"target-leaving-stated"', log)

    # Guards against broken answers that reach callers, and against broken ones that are waited for.
    def test_no_broken_answer_reaches_a_caller(self):
        for name, sent in BROKEN.items():
            for method, path in (("GET", "/lookup/1"), ("POST", "/order/1")):
                with self.subTest(name, method=method):
                    self.set_targets(sent)
                    status, fields, body, request = self.call(path, method)
                    self.assertIn(status, FAILURES)
                    self.assertNotIn(b"Seal", fields)
                    self.assertNotIn(BODY.encode(), body)
                    if method == "POST":
                        self.assertEqual(self.runs(request), 1)
                    self.set_targets(None)
                    for _ in range(2):
                        self.call("/lookup/2", "GET")
                        self.call("/order/2", "POST")

    # As above, on connections that stay open: nothing more comes.
    def test_broken_answer_ends_at_once(self):
        for name, sent in BROKEN.items():
            if name == "answer of another request":
                continue  # The right one may follow.
            with self.subTest(name):
                self.set_targets(sent, closes=False)
                started = time.monotonic()
                status, *_ = self.call("/order/1", "POST")
                self.assertEqual(status, 502)
                self.assertLess(time.monotonic() - started, AT_ONCE_S)
                self.set_targets(None)
                for _ in range(2):
                    self.call("/order/2", "POST")

    # Guards against refusing what is only odd, and against a body that is taken for the next answer.
    def test_odd_answer_is_passed_on_whole(self):
        for name, (sent, expected) in PROPER.items():
            for method, path in (("GET", "/lookup/1"), ("POST", "/order/1"), ("HEAD", "/lookup/1")):
                with self.subTest(name, method=method):
                    self.set_targets(sent)
                    status, fields, body, _ = self.call(path, method)
                    self.assertEqual(status, int(sent.split("HTTP/1.1 ")[-1][:3]))
                    self.assertIn(b"Seal: seal", fields)
                    self.assertNotIn(b"unknown", fields.split(b"\r\n")[0])
                    self.assertEqual(body.decode(), expected if method != "HEAD" else "")

    # Guards against targets that get no requests by the word of a head that is none.
    def test_broken_head_says_nothing_of_its_target(self):
        says = "Server-Leaving: 1\r\nX-Medlarcroft-Server-Load: 99,99,1\r\nRetry-After: 5\r\n"
        for sent in (head("000 Busy", line=says), head("503 Busy", line=says, framing="Transfer-Encoding: gzip\r\n\r\n"),
                     head("503 Busy", line=says + "A b: c\r\n")):
            self.set_targets(sent)
            for _ in range(2):
                self.assertIn(self.call("/order/1", "POST")[0], FAILURES)
            self.check_nothing_said()
            self.set_targets(None)
            wait_for(lambda: self.call("/order/2", "POST")[0] == 200)

    # Guards against a late answer, broken, that says something of its target or reaches the next caller.
    def test_broken_late_answer_is_nobodys(self):
        self.set_targets(head() + head("000 Late", line="Server-Leaving: 1\r\n"), closes=False)
        for _ in range(6):
            status, _, body, _ = self.call("/order/1", "POST")
            self.assertEqual((status, body), (200, BODY.encode()))
        self.check_nothing_said()


if __name__ == "__main__":
    unittest.main()
