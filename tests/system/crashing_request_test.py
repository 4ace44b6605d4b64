"""Tests medlar-node on loopback with a request that crashes its targets."""

import http.client
import pathlib
import tempfile
import threading
import time
import unittest

import platform_test
from platform_standins import Store, Target
from platform_test import ROUTES, Node, make_configuration, wait_for

NET = platform_test.NET = "127.83"
IN_TOUCH_S = 4.0  # Default of bounds.in_touch_after.
CRASHES_ALLOWED, SENDS_ALLOWED = 3, 3
TARGETS = 8
OBSERVE_S = 4.0  # Observation time after IN_TOUCH_S.
CRASHING = "/lookup/7/crash"


class CrashingRequestTest(unittest.TestCase):
    first_port = 18300

    def setUp(self):
        CrashingRequestTest.first_port += TARGETS
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.store = Store((f"{NET}.0.1", 0))
        self.addCleanup(self.store.server.shutdown)
        self.store.put_json("op", "config", make_configuration(1, ROUTES))
        self.targets = []
        for number in range(TARGETS):
            target = Target(self.store, f"desk-{number}", "desk", f"z{number % 2 + 1}",
                            (f"{NET}.2.1", self.first_port + number), 8)
            target.crash_paths = {CRASHING}
            self.targets.append(target)
            self.addCleanup(target.stop)
        self.nodes = {}
        for number in range(1, 5):
            self.start(number)
        for node in self.nodes.values():
            wait_for(node.is_ready)

    def start(self, number):
        node = Node(pathlib.Path(self.folder.name), number, self.store.server.server_port, region=f"r{number % 2 + 1}")
        self.nodes[number] = node
        self.addCleanup(lambda: (node.process.kill(), node.process.wait()))

    def send_times(self):
        return sorted(at for target in self.targets for at, path in target.executed_paths if path == CRASHING)

    def send(self, number, path, request, statuses):
        try:
            statuses.append(self.nodes[number].call(path, request)[0].status)
        except (OSError, http.client.HTTPException):
            statuses.append(0)

    def send_until(self, end):
        """Sends the crashing request to each node in turn, along with other requests of the same route."""
        healthy, callers, count = [], [], 0
        while time.monotonic() < end:
            count += 1
            number = count % 4 + 1
            for path, statuses in ((CRASHING, []), (f"/lookup/7/{count}", healthy)):
                callers.append(threading.Thread(target=self.send, args=(number, path, f"{path}-{count}", statuses)))
                callers[-1].start()
            time.sleep(0.1)
        for caller in callers:
            caller.join()
        return healthy

    def test_all_hosts_stop_sending_a_request_after_three_crashes(self):
        # The request is retried at each host under new ids: hosts must share the crashes that they observe.
        self.send_until(time.monotonic() + 2.0)
        self.assertGreaterEqual(len(self.send_times()), CRASHES_ALLOWED)
        bound_from = self.send_times()[CRASHES_ALLOWED - 1] + IN_TOUCH_S
        healthy = self.send_until(bound_from + OBSERVE_S)
        late = [at for at in self.send_times() if at > bound_from]
        self.assertLessEqual(len(late), SENDS_ALLOWED, f"{len(self.send_times())} sends in total")
        self.assertGreater(healthy[-30:].count(200), 27, "other requests of the route failed")

    def test_blocked_request_stays_blocked_after_all_hosts_restart(self):
        # All hosts lose their in-memory state. The request is retried immediately and must stay blocked.
        self.send_until(time.monotonic() + 3.0)
        rows = [key for table, key in self.store.rows if key.startswith("blocked-request/")]
        self.assertEqual(len(rows), 1)
        for node in self.nodes.values():
            node.process.kill()
            node.process.wait()
        time.sleep(1.5)
        before = len(self.send_times())
        for number in list(self.nodes):
            self.start(number)
        for node in self.nodes.values():
            wait_for(node.is_ready)
        self.send_until(time.monotonic() + 3.0)
        self.assertLessEqual(len(self.send_times()) - before, SENDS_ALLOWED)


if __name__ == "__main__":
    unittest.main()
