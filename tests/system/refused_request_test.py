"""Tests medlar-node on loopback with targets that refuse requests, and whose answers come twice or without an ID."""

import pathlib
import tempfile
import time
import unittest

import platform_test
from platform_standins import Store, Target
from platform_test import ROUTES, Node, make_configuration, wait_for

NET = platform_test.NET = "127.87"
TARGETS, REQUESTS = 3, 40
PAUSE_S = 0.04
PROMISES = (408, 421, 429, 503)  # Statuses that tell a caller that its request did not run.
# Case: whether each third request is refused, and with its ID; which answer to no waiting request follows, and how long
# after the next request; or the status with which requests are answered after they ran, against the protocol.
CASES = {
    "copy_without_id_at_once": dict(refuses=True, has_id=False, extra="copy", delay_s=0),
    "copy_without_id_later": dict(refuses=True, has_id=False, extra="copy", delay_s=0.02),
    "copy_with_id_at_once": dict(refuses=True, has_id=True, extra="copy", delay_s=0),
    "copy_with_id_later": dict(refuses=True, has_id=True, extra="copy", delay_s=0.02),
    "refusal_without_id_after_a_success": dict(refuses=False, has_id=True, extra="unnamed", delay_s=0),
    "refusals_without_id": dict(refuses=True, has_id=False, extra=None, delay_s=0),
    "run_and_failure_marked_not_run": dict(refuses=False, has_id=True, extra=None, delay_s=0, after_run=500, is_marked=True),
    "run_and_deadline_marked_not_run": dict(refuses=False, has_id=True, extra=None, delay_s=0, after_run=504, is_marked=True),
    "run_and_wrong_target": dict(refuses=False, has_id=True, extra=None, delay_s=0, after_run=421, is_marked=False),
}


class RefusingTarget(Target):
    """Refuses each third request, and sends an answer that belongs to no waiting request once the next one has come."""

    def __init__(self, *args, **more):
        self.plan, self.extras_sent, self.connections, self.served = None, 0, 0, 0
        super().__init__(*args, **more)

    @staticmethod
    def _write(handler, status, fields, body=b""):
        head = f"HTTP/1.1 {status} Status\r\nContent-Length: {len(body)}\r\n"
        handler.connection.sendall((head + "".join(f"{name}: {value}\r\n" for name, value in fields) + "\r\n").encode() + body)

    def _serve(self, handler):
        body = handler.body()
        request = handler.headers["X-Medlarcroft-Attempt-Id"]
        identity = [("X-Medlarcroft-Attempt-Id", request)]
        refusal = (503, [("X-Medlarcroft-Not-Executed", "1")] + (identity if self.plan["has_id"] else []))
        with self.lock:
            self.served += 1
            is_refused = self.plan["refuses"] and self.served % 3 == 0
            self.connections += not hasattr(handler, "extra")
        extra, handler.extra = getattr(handler, "extra", None), None
        if extra:
            time.sleep(self.plan["delay_s"])
            self._write(handler, *extra)
            self.extras_sent += 1
        elif is_refused:
            self._write(handler, *refusal)
            handler.extra = refusal if self.plan["extra"] == "copy" else None
            return
        with self.lock:
            self.executed_requests.append(request)
        time.sleep(self.delay_s)
        if "after_run" in self.plan:
            mark = [("X-Medlarcroft-Not-Executed", "1")] if self.plan["is_marked"] else []
            self._write(handler, self.plan["after_run"], identity + mark)
            return
        self._write(handler, 200, identity + [("X-Medlarcroft-Server-Seal", "seal")], handler.path.encode() + body)
        if self.plan["extra"] == "unnamed":
            handler.extra = (429, [("X-Medlarcroft-Not-Executed", "1")])


class RefusedRequestTest(unittest.TestCase):
    port = 19100

    def start(self, plan):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        store = Store((f"{NET}.0.1", 0))
        self.addCleanup(store.server.shutdown)
        store.put_json("op", "config", make_configuration(1, ROUTES))
        self.targets = []
        for number in range(TARGETS):
            RefusedRequestTest.port += 1
            target = RefusingTarget(store, f"ledger-{number}", "ledger", "z1", (f"{NET}.2.1", RefusedRequestTest.port))
            target.plan = plan
            self.addCleanup(target.stop)
            self.targets.append(target)
        self.node = Node(pathlib.Path(folder.name), 1, store.server.server_port)
        self.addCleanup(self.node.process.wait)
        self.addCleanup(self.node.process.kill)
        wait_for(self.node.is_ready)

    def runs(self, request):
        return sum(target.executed_requests.count(request) for target in self.targets)

    def play(self, plan):
        """Guards against answers to other requests that are taken for proof that a request did not run."""
        self.start(plan)
        statuses = {}
        for number in range(REQUESTS):
            request = f"order-{number}"
            statuses[request] = self.node.call(f"/order/{number}", request, "POST", b"once", object_key=str(number))[0].status
            time.sleep(PAUSE_S)
        time.sleep(0.2)
        false_promises = [request for request, status in statuses.items() if status in PROMISES and self.runs(request)]
        self.assertEqual(false_promises, [])
        self.assertEqual([request for request in statuses if self.runs(request) > 1], [])
        return list(statuses.values())


def make_case(plan):
    return lambda self: self.play(plan)


for name, case in CASES.items():
    setattr(RefusedRequestTest, f"test_{name}", make_case(case))


if __name__ == "__main__":
    unittest.main()
