"""Tests medlar-node on loopback with stand-ins for the store and targets: the request path, a planned stop, and the
three procedures of docs/OPERATIONS.md that lead from the id of a failed request to its cause."""

import http.client
import signal
import os
import json
import pathlib
import resource
import subprocess
import tempfile
import threading
import time
import unittest
import urllib.request

from platform_standins import Store, Target

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
NODE = ROOT / "build/programs/medlar-node"
CONSOLE = ROOT / "build/programs/medlarctl"
NET = "127.77"
WAIT_LIMIT_S = 20  # Generous time limit for events that must occur, so that a slow machine fails no test.
HOST = "menus.example"


def make_route(name, prefix, kind, service, timeout="1500ms", priority=1):
    return {"resource_kind": "routes", "metadata": {"name": name},
            "spec": {"host": HOST, "prefix": prefix, "kind": kind, "timeout": timeout, "target_latency": "400ms",
                     "priority": priority, "service": service, "max_attempts": 2, "sticky": True, "allowed_regions": []}}


def make_configuration(version, routes):
    services = [{"resource_kind": "services", "metadata": {"name": name}, "spec": {"cold": "0ms", "cold_per_s": 5}}
                for name in ("desk", "ledger")]
    return {"version": version, "resources": routes + services}


ROUTES = [make_route("lookups", "/lookup/", "idempotent", "desk"),
          make_route("orders", "/order/", "non_idempotent", "ledger")]


def wait_for(condition):
    end = time.monotonic() + WAIT_LIMIT_S
    while not condition():
        if time.monotonic() > end:
            raise AssertionError("timed out waiting for a condition")
        time.sleep(0.02)


def make_limit(descriptors):
    """Returns what lowers the limit of descriptors of a new process; None: nothing."""
    if descriptors is None:
        return None
    return lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, descriptors))


class Node:
    """A medlar-node process with its log file."""

    def __init__(self, folder, number, store_port, store=None, telemetry=None, region="r1", memory_mb=256, descriptors=None,
                 bounds=None):
        ip = f"{NET}.1.{number}"
        self.name, self.caller, self.lookup = f"edge-{number}", (ip, 18100), (ip, 18102)
        self.readiness, self.peer, self.metrics = (ip, 18101), (ip, 18103), (ip, 18104)
        self.log = folder / f"{self.name}.log"
        settings = folder / f"{self.name}.yaml"
        settings.write_text(json.dumps({
            "host": self.name, "failure_domain": "z" + region[1:], "region": region,
            "domains": [{"domain": "z1", "region": "r1"}, {"domain": "z2", "region": "r2"}],
            "caller_listen": f"{ip}:18100", "readiness_listen": f"{ip}:18101", "lookup_listen": f"{ip}:18102",
            "peer_listen": f"{ip}:18103", "metrics_listen": f"{ip}:18104", "store_address": store or f"{NET}.0.1:{store_port}",
            "memory_mb": memory_mb, "telemetry": telemetry or {}, "bounds": bounds or {}}))
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen([NODE, "--settings", settings], stdout=log, preexec_fn=make_limit(descriptors))

    def get(self, address, path):
        connection = http.client.HTTPConnection(*address, timeout=WAIT_LIMIT_S)
        connection.request("GET", path)
        answer = connection.getresponse()
        return answer.status, answer.read()

    def is_ready(self):
        try:
            return self.get(self.readiness, "/medlarcroft/readiness")[0] == 200
        except OSError:
            return False

    def call(self, path, request, method="GET", body=None, connection=None, object_key="7", headers=None):
        connection = connection or http.client.HTTPConnection(*self.caller, timeout=WAIT_LIMIT_S)
        connection.request(method, path, body,
                           {"Host": HOST, "X-Medlarcroft-Attempt-Id": request,
                            "X-Medlarcroft-Affinity-Key": object_key, "X-Medlarcroft-Deadline-Ms": "4000",
                            **(headers or {})})
        answer = connection.getresponse()
        return answer, answer.read()

    def log_lines_of(self, request):
        """Returns the log lines of a request, as in the first step of docs/OPERATIONS.md."""
        def run():
            return subprocess.run([CONSOLE, "request", request, self.log], capture_output=True, text=True)
        wait_for(lambda: run().returncode == 0)
        return [json.loads(line) for line in run().stdout.splitlines()]

    def metric(self, name):
        body = urllib.request.urlopen("http://%s:%d/metrics" % self.metrics, timeout=WAIT_LIMIT_S).read().decode()
        return sum(float(line.split()[-1]) for line in body.splitlines() if line.startswith(name))


class PlatformTest(unittest.TestCase):
    port = 18200

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.store = Store((f"{NET}.0.1", 0))
        self.addCleanup(self.store.server.shutdown)
        self.store.put_json("op", "config", make_configuration(1, ROUTES))
        self.targets = {}
        for service in ("desk", "ledger"):
            for number in (1, 2):
                PlatformTest.port += 1
                name = f"{service}-{number}"
                self.targets[name] = Target(self.store, name, service, "z1", (f"{NET}.2.1", PlatformTest.port))
                self.addCleanup(self.targets[name].server.shutdown)
        self.node = Node(pathlib.Path(folder.name), 1, self.store.server.server_port)
        self.addCleanup(self.kill_node)
        wait_for(self.node.is_ready)

    def kill_node(self):
        self.node.process.kill()
        self.node.process.wait()

    def runs(self, request):
        return sum(target.executed_requests.count(request) for target in self.targets.values())

    def test_serves_requests_and_resolves_hosts(self):
        answer, body = self.node.call("/lookup/a%2Fb?q=%20", "r-1")
        self.assertEqual((answer.status, body), (200, b"/lookup/a%2Fb?q=%20"))
        self.assertEqual(answer.headers["X-Medlarcroft-Server-Seal"], "seal")
        answer, body = self.node.call("/order/1", "r-2", "POST", b"swap")
        self.assertEqual((answer.status, body), (200, b"/order/1swap"))
        self.assertEqual(self.node.call("/nowhere/", "r-3")[0].status, 404)
        wait_for(lambda: self.node.get(self.node.lookup, "/medlarcroft/resolve?region=r1")[0] == 200)
        _, body = self.node.get(self.node.lookup, "/medlarcroft/resolve?region=r1")
        self.assertEqual(json.loads(body)["addresses"], ["%s:%d" % self.node.caller])

    def test_applies_valid_configuration_and_ignores_malformed_one(self):
        self.store.put("op", "config", b'{"version":2,"resources":[{"resource_kind":"routes"}]}')
        wait_for(lambda: '"event":"configuration-unreadable"' in self.node.log.read_text())
        self.store.put_json("op", "config", make_configuration(3, ROUTES + [
            make_route("more", "/more/", "idempotent", "desk")]))
        wait_for(lambda: self.node.call("/more/1", "r-1")[0].status == 200)
        self.assertEqual(self.node.call("/lookup/1", "r-2")[0].status, 200)

    def test_draining_target_receives_no_new_requests(self):
        # The target reports that it drains; shortly afterwards the other target serves all callers.
        self.targets["desk-1"].drain()
        wait_for(lambda: '"change":"leaving"' in self.node.log.read_text())
        before = len(self.targets["desk-1"].executed_requests)
        for number in range(20):
            self.assertEqual(self.node.call("/lookup/%d" % number, "r-%d" % number)[0].status, 200)
        self.assertEqual(len(self.targets["desk-1"].executed_requests), before)

    def test_planned_stop_completes_requests_in_flight(self):
        # The host gets the stop signal while requests are in flight. Each caller gets its complete response, readiness
        # and look-ups end at once, and the process exits by itself.
        for target in self.targets.values():
            target.delay_s = 0.5
        answers = []
        callers = [threading.Thread(target=lambda n=n: answers.append(self.node.call("/lookup/%d" % n, "s-%d" % n)))
                   for n in range(4)]
        for caller in callers:
            caller.start()
        wait_for(lambda: sum(target.running for target in self.targets.values()) == 4)
        self.node.process.terminate()
        wait_for(lambda: not self.node.is_ready())
        for caller in callers:
            caller.join()
        self.assertEqual([answer.status for answer, _ in answers], [200] * 4)
        self.assertTrue(all(answer.headers["Connection"] == "close" for answer, _ in answers))
        self.assertEqual(self.node.process.wait(WAIT_LIMIT_S), 0)

    def test_disconnected_caller_cancels_its_request(self):
        # A caller closes its connection while a target processes its request: the connection to the target is closed
        # too, and later requests are not delayed.
        for target in self.targets.values():
            target.delay_s = 1.0
        connection = http.client.HTTPConnection(*self.node.caller, timeout=WAIT_LIMIT_S)
        connection.request("GET", "/lookup/1", headers={"Host": HOST, "X-Medlarcroft-Attempt-Id": "gone-1"})
        wait_for(lambda: self.runs("gone-1") == 1)
        connection.close()
        lines = self.node.log_lines_of("gone-1")
        wait_for(lambda: self.node.log_lines_of("gone-1")[-1]["event"] == "request-cancelled")
        self.assertEqual(lines[0]["event"], "request-placed")

    # Guards against requests that reach a target although their caller has left: a host that was held up read
    # them, sent them on, and only then learned that nobody waits for the answer.
    def test_request_of_a_caller_that_left_before_it_was_read_is_not_sent(self):
        os.kill(self.node.process.pid, signal.SIGSTOP)
        for number in range(5):
            connection = http.client.HTTPConnection(*self.node.caller, timeout=WAIT_LIMIT_S)
            connection.request("GET", f"/lookup/{number}",
                               headers={"Host": HOST, "X-Medlarcroft-Attempt-Id": f"left-{number}"})
            connection.close()
        os.kill(self.node.process.pid, signal.SIGCONT)
        wait_for(lambda: all(self.node.log_lines_of(f"left-{number}")[-1]["event"] == "request-cancelled"
                             for number in range(5)))
        self.assertEqual([self.runs(f"left-{number}") for number in range(5)], [0] * 5)

    # The three procedures of docs/OPERATIONS.md.

    def test_log_explains_rejection_despite_idle_targets(self):
        # The operator evacuates the only domain of the service: all its targets are idle, yet every request is
        # rejected at once.
        self.store.put("op", "evacuate/z1", b"{}")
        wait_for(lambda: '"event":"evacuation-began"' in self.node.log.read_text())
        answer, _ = self.node.call("/lookup/1", "refused-1")
        self.assertEqual(answer.status, 503)
        self.assertGreater(float(answer.headers["Retry-After"]), 0)
        self.assertEqual(self.runs("refused-1"), 0)

        ending = self.node.log_lines_of("refused-1")[-1]
        self.assertEqual((ending["event"], ending["reason"], ending["is_not_run"]),
                         ("request-refused", "no-target", True))
        lines = self.node.log.read_text().splitlines()
        cause = [index for index, line in enumerate(lines) if "evacuation-began" in line]
        self.assertEqual(json.loads(lines[cause[-1]])["domain"], "z1")
        # Both lines may have the same millisecond; their order in the log shows which was first.
        self.assertLess(cause[-1], [index for index, line in enumerate(lines) if "refused-1" in line][-1])
        self.assertGreaterEqual(self.node.metric('medlar_requests_ended_total{reason="no-target"}'), 1)

    def test_log_explains_502_for_order(self):
        # A target runs an order and closes the connection without a response. The order must not run again, so its
        # caller gets 502, and it ran once.
        for target in self.targets.values():
            target.mode = "cut"
        answer, _ = self.node.call("/order/1", "lost-1", "POST", b"swap")
        self.assertEqual(answer.status, 502)
        self.assertEqual(self.runs("lost-1"), 1)

        lines = self.node.log_lines_of("lost-1")
        self.assertEqual([line["event"] for line in lines], ["request-placed", "attempt-failed", "request-failed"])
        self.assertEqual(lines[1]["end"], "lost")
        self.assertEqual(lines[1]["target"], lines[0]["target"])
        self.assertEqual((lines[2]["reason"], lines[2]["is_not_run"]), ("may-have-run", False))
        self.assertEqual(self.node.metric('medlar_attempt_ends_total{end="lost"}'), 1)

    def test_log_explains_slow_response(self):
        # Both targets are slow. The response is complete but exceeds its latency objective; the log lines show which
        # target took the time, and that the request did not wait in a queue.
        for target in self.targets.values():
            target.delay_s = 0.7
        answer, _ = self.node.call("/order/1", "slow-1", "POST", b"swap")
        self.assertEqual(answer.status, 200)

        lines = self.node.log_lines_of("slow-1")
        self.assertEqual([line["event"] for line in lines], ["request-placed", "request-answered-late"])
        self.assertLess(lines[0]["expected_wait_ms"], 50)
        self.assertGreater(lines[1]["since_arrival_ms"], lines[1]["objective_ms"])
        self.assertIn(lines[0]["target"], self.targets)


if __name__ == "__main__":
    unittest.main()
