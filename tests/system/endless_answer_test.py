"""Tests medlar-node on loopback with a target, a store or a helper whose bytes never end."""

import http.client
import pathlib
import tempfile
import threading
import time
import unittest

import platform_test
from platform_standins import Store, Target
from platform_test import ROUTES, Node, make_configuration, wait_for

NET = platform_test.NET = "127.86"
TARGETS, CALLERS, PAUSE_S = 4, 6, 0.1
ROUTE_TIMEOUT_S = 1.5
CLOSE_SLACK_S = 0.5
NODE_MEMORY_MB = 64
ENDLESS_S = 6
RETURN_S = 15  # The longest back-off, and the time for which a target counts as slow.
PIECE = 16 * 1024
LARGE_BYTES = 1024 * 1024
OK_HEAD = "HTTP/1.1 200 OK\r\nX-Medlarcroft-Attempt-Id: {id}\r\nX-Medlarcroft-Server-Seal: seal\r\n"
CHUNKED = OK_HEAD + "Transfer-Encoding: chunked\r\n\r\n"
# Form: what comes once, what comes again and again, and the pause between.
FORMS = {
    "head_lines": (OK_HEAD, "X-More: " + "a" * 1000 + "\r\n", 0),
    "one_head_line": (OK_HEAD + "X-More: ", "a" * PIECE, 0),
    "no_answer": ("", "", 0.1),
    "empty_lines": ("", "\r\n" * 1000, 0),
    "interim_answers": ("", "HTTP/1.1 100 Continue\r\n\r\n" * 100, 0),
    "chunk_size": (CHUNKED, "0" * PIECE, 0),
    "chunk_extension": (CHUNKED + "5;", "a" * PIECE, 0),
    "chunks": (CHUNKED, "4000\r\n" + "a" * 0x4000 + "\r\n", 0),
    "trailers": (CHUNKED + "5\r\nhello\r\n0\r\n", "X-More: " + "a" * 1000 + "\r\n", 0),
    "body_ended_by_close": (OK_HEAD + "Connection: close\r\n\r\n", "a" * PIECE, 0),
    "announced_body": (OK_HEAD + "Content-Length: 99999999999\r\n\r\n", "a" * PIECE, 0),
    "after_a_whole_answer": (OK_HEAD + "Content-Length: 5\r\n\r\nhello", "a" * PIECE, 0),
    "answers_to_others": ("", OK_HEAD.format(id="other") + "Content-Length: 5\r\n\r\nhello", 0),
    "slow_lines": (OK_HEAD, "X-More: a\r\n", 0.1),
}


class EndlessTarget(Target):
    """A target that answers in one of `FORMS` while `form` is set, or with `body`, in `pieces` of unknown total length."""

    def __init__(self, *args, **more):
        self.form, self.body, self.is_streamed = None, None, False
        self.connection_times = []  # Of endless answers, until the connection was closed.
        super().__init__(*args, **more)

    def _serve(self, handler):
        if self.form is None and self.body is None:
            super()._serve(handler)
            return
        handler.body()
        request = handler.headers["X-Medlarcroft-Attempt-Id"]
        with self.lock:
            self.arrivals.append((time.monotonic(), handler.server.server_address[0], request))
        handler.close_connection = True
        if self.form is not None:
            self._write_without_end(handler.connection, FORMS[self.form], request)
        else:
            self._write_body(handler.connection, request)

    def _write_without_end(self, connection, form, request):
        begin, again, pause_s = form
        started_at = time.monotonic()
        connection.settimeout(ENDLESS_S + RETURN_S)
        try:
            connection.sendall(begin.format(id=request).encode())
            while True:
                connection.sendall(again.encode())
                if pause_s:
                    connection.settimeout(pause_s)
                    try:
                        if not connection.recv(1):
                            break
                    except TimeoutError:
                        pass
        except OSError:
            pass
        with self.lock:
            self.connection_times.append(time.monotonic() - started_at)

    def _write_body(self, connection, request):
        head = OK_HEAD.format(id=request)
        if self.is_streamed:
            connection.sendall((head + "Connection: close\r\n\r\n").encode())
            for begin in range(0, len(self.body), PIECE):
                connection.sendall(self.body[begin:begin + PIECE])
                time.sleep(0.002)
        else:
            connection.sendall((head + f"Content-Length: {len(self.body)}\r\n\r\n").encode() + self.body)


class EndlessAnswerTest(unittest.TestCase):
    port = 18900

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.store = Store((f"{NET}.0.1", 0))
        self.addCleanup(self.store.server.shutdown)
        self.store.put_json("op", "config", make_configuration(1, ROUTES))
        self.targets = []
        for number in range(TARGETS):
            EndlessAnswerTest.port += 1
            target = EndlessTarget(self.store, f"desk-{number}", "desk", "z1", (f"{NET}.2.1", EndlessAnswerTest.port), slots=6)
            self.addCleanup(target.stop)
            self.targets.append(target)
        self.node = self.start(1)
        wait_for(self.node.is_ready)
        self.answers, self.is_stopping = [], False

    def start(self, number, store=None):
        node = Node(self.folder, number, self.store.server.server_port, store=store, memory_mb=NODE_MEMORY_MB)
        self.addCleanup(node.process.wait)
        self.addCleanup(node.process.kill)
        return node

    def call_steadily(self, caller):
        count = 0
        while not self.is_stopping:
            count += 1
            path = f"/lookup/{caller}-{count}"
            started_at = time.monotonic()
            try:
                answer, body = self.node.call(path, f"{caller}-{count}", object_key=f"{caller}-{count}")
                self.answers.append((started_at, path, answer.status, body))
            except (OSError, http.client.HTTPException):
                self.answers.append((started_at, path, 0, b""))
            time.sleep(PAUSE_S)

    def start_calls(self):
        callers = [threading.Thread(target=self.call_steadily, args=(number,)) for number in range(CALLERS)]
        for caller in callers:
            caller.start()

        def stop():
            self.is_stopping = True
            for caller in callers:
                caller.join()
        self.addCleanup(stop)
        time.sleep(1.0)
        return stop

    def peak_memory_mb(self):
        status = pathlib.Path(f"/proc/{self.node.process.pid}/status").read_text()
        return next(int(line.split()[1]) / 1024 for line in status.splitlines() if line.startswith("VmHWM"))

    def expect_right_answers(self, form):
        """Each answer is the target's own or says that there is none."""
        for _, path, status, body in self.answers:
            if status == 200:
                is_short = body == b"hello" and form == "after_a_whole_answer"
                self.assertTrue(is_short or body == path.encode(), (path, body[:50]))
            else:
                self.assertIn(status, (429, 502, 503, 504), path)

    def play(self, form):
        stop = self.start_calls()
        bad = self.targets[0]
        began_at = time.monotonic()
        bad.form = form
        time.sleep(ENDLESS_S)
        ended_at = time.monotonic()
        bad.form = None
        used_again = len(bad.executed_requests)
        wait_for(lambda: len(bad.executed_requests) > used_again + 2)
        returned_at = time.monotonic()
        stop()
        self.expect_right_answers(form)
        self.assertIsNone(self.node.process.poll(), "the node ended")
        self.assertLess(self.peak_memory_mb(), NODE_MEMORY_MB / 2)
        self.assertTrue(bad.connection_times)
        self.assertLess(max(bad.connection_times), ROUTE_TIMEOUT_S + CLOSE_SLACK_S)
        during = [status for at, _, status, _ in self.answers if began_at < at < ended_at]
        self.assertGreater(during.count(200) / len(during), 0.9, "others were not served")
        self.assertLess(returned_at - ended_at, RETURN_S)
        if form != "after_a_whole_answer":
            later = [at for target in self.targets for at, _, _ in target.arrivals if began_at + ENDLESS_S / 2 < at < ended_at]
            at_bad = [at for at, _, _ in bad.arrivals if began_at + ENDLESS_S / 2 < at < ended_at]
            self.assertLess(len(at_bad) / len(later), 0.5 / TARGETS, "not backed off")

    def play_body(self, is_streamed):
        bodies = []
        for target in self.targets:
            target.body, target.is_streamed = b"".join(b"%07d " % i for i in range(LARGE_BYTES // 8)), is_streamed
        callers = [threading.Thread(target=lambda number=number: bodies.append(
            self.node.call(f"/lookup/{number}", f"large-{number}", object_key=str(number))[1])) for number in range(3)]
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join()
        self.assertEqual([body == self.targets[0].body for body in bodies], [True] * 3)
        self.assertLess(self.peak_memory_mb(), NODE_MEMORY_MB)

    def test_large_answers_are_served(self):
        self.play_body(is_streamed=False)

    def test_streamed_answers_are_served(self):
        self.play_body(is_streamed=True)

    def play_store(self, form):
        stop = self.start_calls()
        self.store.endless = tuple(text.format(id="-").encode() if isinstance(text, str) else text for text in FORMS[form])
        began_at = time.monotonic()
        # A change makes the store end the calls that it holds.
        self.store.put_json("op", "other", {"version": 1})
        time.sleep(ENDLESS_S)
        self.store.endless = None
        self.assertLess(self.peak_memory_mb(), NODE_MEMORY_MB)
        self.assertIsNone(self.node.process.poll(), "the node ended")
        during = [status for at, _, status, _ in self.answers if at > began_at]
        self.assertGreater(during.count(200) / len(during), 0.98)
        self.store.put_json("op", "config", make_configuration(2, ROUTES))
        wait_for(lambda: self.node.metric("medlar_configuration_version") == 2)
        stop()
        self.expect_right_answers(form)

    def test_store_whose_body_never_ends(self):
        self.play_store("body_ended_by_close")

    def test_store_whose_head_never_ends(self):
        self.play_store("head_lines")


def make_case(form):
    return lambda self: self.play(form)


for name in FORMS:
    setattr(EndlessAnswerTest, f"test_{name}", make_case(name))


if __name__ == "__main__":
    unittest.main()
