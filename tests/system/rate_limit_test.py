"""Tests medlar-node on loopback with a target that declares a rate limit for all hosts together."""

import http.client
import pathlib
import tempfile
import threading
import time
import unittest

import platform_test
from platform_standins import Store, Target
from platform_test import ROUTES, Node, make_configuration, wait_for

NET = platform_test.NET = "127.84"
NODES, TARGETS = 6, 6
LIMIT = 2.0
SETTLE_S = 0.5  # Time for all nodes to apply a new limit.
WINDOW_S = 4.0
ALLOWED = 1.5 * LIMIT * WINDOW_S + 5


class RateLimitTest(unittest.TestCase):
    first_port = 18400

    def setUp(self):
        RateLimitTest.first_port += TARGETS
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.store = Store((f"{NET}.0.1", 0))
        self.addCleanup(self.store.server.shutdown)
        self.store.put_json("op", "config", make_configuration(1, ROUTES))
        self.targets = []
        for number in range(TARGETS):
            target = Target(self.store, f"desk-{number}", "desk", f"z{number % 2 + 1}",
                            (f"{NET}.2.1", self.first_port + number), 8)
            self.targets.append(target)
            self.addCleanup(target.stop)
        self.nodes = {}
        for number in range(1, NODES + 1):
            self.start(number)
        for node in self.nodes.values():
            wait_for(node.is_ready)

    def start(self, number):
        node = Node(pathlib.Path(self.folder.name), number, self.store.server.server_port, region=f"r{number % 2 + 1}")
        self.nodes[number] = node
        self.addCleanup(lambda: (node.process.kill(), node.process.wait()))

    def send_for(self, duration_s, per_second=40):
        """Sends requests to each node in turn. @return the fraction that was answered with status 200."""
        statuses, callers = [], []

        def send(number, request):
            try:
                statuses.append(self.nodes[number].call(f"/lookup/{request}", request, object_key=request)[0].status)
            except (OSError, http.client.HTTPException):
                statuses.append(0)
        end = time.monotonic() + duration_s
        while time.monotonic() < end:
            request = f"r-{time.monotonic()}"
            callers.append(threading.Thread(target=send, args=(len(callers) % NODES + 1, request)))
            callers[-1].start()
            time.sleep(1 / per_second)
        for caller in callers:
            caller.join()
        return statuses.count(200) / len(statuses)

    def arrivals(self, target, since):
        return [at for at, _ in target.executed_paths if at >= since]

    def test_nodes_together_respect_the_rate_limit_of_a_target(self):
        # Guards against each node applying the limit to its own requests only, which multiplies the total.
        self.send_for(3.0)
        limited = max(self.targets, key=lambda target: len(target.executed_paths))
        limited.limit_per_s = LIMIT
        limited_at = time.monotonic()
        served = self.send_for(9.0)
        arrivals = self.arrivals(limited, limited_at + SETTLE_S)
        most = max(len([at for at in arrivals if begin <= at < begin + WINDOW_S]) for begin in arrivals)
        self.assertLessEqual(most, ALLOWED)
        self.assertGreater(len(arrivals), LIMIT, "the limited target is hardly used")
        self.assertGreater(served, 0.97, "requests failed although other targets had capacity")
        # Guards against nodes still applying a limit that the target no longer declares.
        limited.limit_per_s = None
        self.send_for(4.0)
        for node in self.nodes.values():
            self.assertIn('"event":"target-limit-ended"', node.log.read_text(), node.name)
        began = time.monotonic()
        self.send_for(3.0, per_second=100)
        self.assertGreater(len(self.arrivals(limited, began)), 1.5 * LIMIT * 3.0)


if __name__ == "__main__":
    unittest.main()
