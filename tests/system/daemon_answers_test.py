"""Tests medlar-entryd on loopback with targets whose answers are broken, and while it stops as planned."""

import http.client
import os
import signal
import socketserver
import threading
import time
import unittest

from broken_answer_test import BODY, BROKEN, PROPER
from deployment import http as fetch
from deployment import stop_all, wait_until
from small_deployment import start_small_deployment

NETWORK = 89
HOST = "south-a-1"
COPIES = 4  # Slots for all late requests.
PAUSE_S, LIMIT_S = 3, 6
SERVICES = {"desk": "GET", "ledger": "POST"}
# An answer to whom is told by its connection here.
BROKEN = {name: sent for name, sent in BROKEN.items() if name != "answer of another request"}


class RawTarget(socketserver.ThreadingTCPServer):
    """Takes the place of a target: answers polls, and sends `sent` after `delay_s` for everything else."""

    daemon_threads, allow_reuse_address, request_queue_size = True, True, 64
    sent, delay_s = None, 0.0

    def __init__(self, address):
        self.paths = []
        test = self

        class Handler(socketserver.StreamRequestHandler):
            def handle(self):
                start = self.rfile.readline()
                if not start:  # The connection ended before a request.
                    return
                path = start.split(b" ")[1].decode()
                length = 0
                while (line := self.rfile.readline().strip()) != b"":
                    name, _, value = line.partition(b":")
                    length = int(value) if name.lower() == b"content-length" else length
                self.rfile.read(length)
                test.answer(self.wfile, path)

        super().__init__(address, Handler)
        threading.Thread(target=self.serve_forever, daemon=True).start()

    def answer(self, file, path):
        body = {"/load": b'{"outstanding":0}', "/health": b'{"state":"serving"}'}.get(path)
        if body is not None:
            file.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
            return
        self.paths.append(path)
        time.sleep(self.delay_s)
        file.write(self.sent.encode("latin-1"))


class DaemonWithRawTargets(unittest.TestCase):
    def start(self, limit_s=LIMIT_S):
        self.deployment = start_small_deployment("system-daemon-answers", NETWORK, COPIES, settings={
            "drain": {"pause_ms": PAUSE_S * 1000, "limit_ms": limit_s * 1000}})
        self.state = self.deployment.state
        self.addCleanup(stop_all, self.state)
        self.daemon = next(d for d in self.state["entryd"] if d["host"] == HOST)
        self.entry = self.daemon["url"]
        self.targets = []
        for target in self.state["targets"]:
            os.kill(target["pid"], signal.SIGKILL)
            target["pid"] = None
        for process in self.deployment.processes:
            process.poll()
        time.sleep(0.2)
        for target in self.state["targets"]:
            host, _, port = target["url"].removeprefix("http://").partition(":")
            self.targets.append(RawTarget((host, int(port))))
            self.addCleanup(self.targets[-1].server_close)
            self.addCleanup(self.targets[-1].shutdown)
        self.state["targets"] = []
        self.calls = 0

    def set_targets(self, sent, delay_s=0.0):
        for target in self.targets:
            target.sent, target.delay_s = sent, delay_s

    def headers(self, service):
        key = {}
        if service == "ledger":
            keys = fetch("POST", f"{self.entry}/v1/keys?service={service}")[2]
            key = {"Idempotency-Key": keys["idempotency_keys"][0]}
        return {"Medlar-Brand": "brand-a", **key}

    def call(self, service):
        """Returns the status, the fields, the body and how often a target got the request."""
        self.calls += 1
        path = f"/call-{self.calls}"
        connection = http.client.HTTPConnection(self.entry.removeprefix("http://"), timeout=15)
        connection.request(SERVICES[service], f"/v1/services/{service}{path}",
                           b"x" if service == "ledger" else None, self.headers(service))
        answer = connection.getresponse()
        body = answer.read()
        connection.close()
        return answer.status, answer.headers, body, self.runs(path)

    def runs(self, path):
        return sum(target.paths.count(path) for target in self.targets)

    def serve(self, service):
        proper, _ = PROPER["chunks"]
        self.set_targets(proper)
        wait_until("a proper answer", lambda: self.call(service)[0] == 200)

    def call_target(self, service, sent):
        """As `call`, until a target gets the request: targets that failed are avoided for a while."""
        got = []

        def reaches_a_target():
            self.serve(service)
            self.set_targets(sent)
            got[:] = self.call(service)
            return got[3] >= 1
        wait_until("a target to get the request", reaches_a_target)
        return got


class DaemonAnswersTest(DaemonWithRawTargets):
    # Guards against broken answers that reach callers, and against a body that is not the target's.
    def test_no_broken_answer_reaches_a_caller(self):
        self.start()
        for service in SERVICES:
            for name, sent in BROKEN.items():
                with self.subTest(name, service=service):
                    status, fields, body, runs = self.call_target(service, sent)
                    self.assertGreaterEqual(status, 500)
                    self.assertLess(status, 600)
                    self.assertNotIn("X-Medlarcroft-Server-Seal", fields)
                    self.assertNotIn(BODY.encode(), body)
                    if service == "ledger":
                        self.assertEqual((runs, fields["Medlar-Outcome"]), (1, "unknown"))

    # Guards against refusing what is only odd.
    def test_odd_answer_is_passed_on_whole(self):
        self.start()
        for name, (sent, expected) in PROPER.items():
            with self.subTest(name):
                self.serve("desk")
                self.set_targets(sent)
                status, _, body, _ = self.call("desk")
                self.assertEqual((status, body.decode()), (int(sent.split("HTTP/1.1 ")[-1][:3]), expected))


class DaemonStopTest(DaemonWithRawTargets):
    def stop_amid(self, signals=1):
        """Sends requests with a connection each around SIGTERM; returns (path, status, outcome, body) of each."""
        results = []

        def send(path, headers, connection, at):
            time.sleep(max(0, at - time.monotonic()))
            try:
                connection.request("POST", f"/v1/services/ledger{path}", b"x", headers)
                answer = connection.getresponse()
                results.append((path, answer.status, answer.headers["Medlar-Outcome"], answer.read()))
            except (OSError, http.client.HTTPException):
                results.append((path, None, None, None))
        begin = time.monotonic() + 1.5
        callers = []
        for number, at in enumerate([-0.3] + [0.25 * step for step in range(12)]):
            connection = http.client.HTTPConnection(self.entry.removeprefix("http://"), timeout=30)
            connection.connect()
            callers.append(threading.Thread(target=send, args=(
                f"/stop-{number}", self.headers("ledger"), connection, begin + at)))
        for caller in callers:
            caller.start()
        time.sleep(max(0, begin - time.monotonic()))
        for number in range(signals):
            time.sleep(number)
            os.kill(self.daemon["pid"], signal.SIGTERM)
        for caller in callers:
            caller.join(30)
        print(f"{self.id()}: {sorted((int(path[6:]), status) for path, status, *_ in results)}", flush=True)
        return results

    def check(self, results):
        for path, status, outcome, body in results:
            told = f"{path}: {status} {outcome}, ran {self.runs(path)} times"
            if status is None:
                self.assertEqual(self.runs(path), 0, told)
            elif status == 200:
                self.assertEqual((self.runs(path), body), (1, BODY.encode()), told)
            elif outcome == "not-run":
                self.assertEqual(self.runs(path), 0, told)
            else:
                self.assertEqual((outcome, self.runs(path)), ("unknown", 1), told)

    # Guards against requests that a stopping daemon passes on with more time than it has left, and cuts.
    def test_requests_that_come_late_are_answered(self):
        self.start()
        self.serve("ledger")
        self.set_targets(PROPER["chunks"][0], delay_s=4)
        results = self.stop_amid()
        self.check(results)
        self.assertNotIn(None, [status for _, status, *_ in results])
        self.assertIn(200, [status for _, status, *_ in results])

    # Guards against requests in hand that are cut without an answer at the limit of a stop, or by a second signal.
    def test_requests_in_hand_are_answered_at_the_limit(self):
        self.start(limit_s=4)
        self.serve("ledger")
        self.set_targets(PROPER["chunks"][0], delay_s=30)
        results = self.stop_amid()
        self.check(results)
        self.assertIn((504, "unknown"), [(status, outcome) for _, status, outcome, _ in results])
        self.assertNotIn(None, [status for _, status, *_ in results])

    def test_requests_in_hand_are_answered_after_a_second_signal(self):
        self.start(limit_s=20)
        self.serve("ledger")
        self.set_targets(PROPER["chunks"][0], delay_s=30)
        results = self.stop_amid(signals=2)
        self.check(results)
        self.assertIn((504, "unknown"), [(status, outcome) for _, status, outcome, _ in results])


if __name__ == "__main__":
    unittest.main()
