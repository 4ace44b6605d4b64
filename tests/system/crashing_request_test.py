"""medlar-node on loopback against targets that one request crashes."""

import http.client
import pathlib
import tempfile
import threading
import time
import unittest

import platform_test
from platform_standins import Store, Target
from platform_test import ROUTES, Node, configuration, wait_for

NET = platform_test.NET = "127.83"
IN_TOUCH_S = 4.0  # The nodes' default of bounds.in_touch_after.
CRASHES_ALLOWED, SENDS_ALLOWED = 3, 3
TARGETS = 8
LAST_S = 4.0  # Judged for so long after IN_TOUCH_S.
CRASHING = "/lookup/7/crash"


class CrashingRequestTest(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.store = Store((f"{NET}.0.1", 0))
        self.addCleanup(self.store.server.shutdown)
        self.store.put_json("op", "config", configuration(1, ROUTES))
        self.targets = []
        for number in range(TARGETS):
            target = Target(self.store, f"desk-{number}", "desk", f"z{number % 2 + 1}", (f"{NET}.2.1", 18300 + number), 8)
            target.crash_paths = {CRASHING}
            self.targets.append(target)
            self.addCleanup(lambda target=target: target.server.shutdown())
        self.nodes = {}
        for number in range(1, 5):
            self.start(number)
        for node in self.nodes.values():
            wait_for(node.is_ready)

    def start(self, number):
        node = Node(pathlib.Path(self.folder.name), number, self.store.server.server_port, region=f"r{number % 2 + 1}")
        self.nodes[number] = node
        self.addCleanup(lambda: (node.process.kill(), node.process.wait()))

    def sends(self):
        return sorted(at for target in self.targets for at, path in target.ran_paths if path == CRASHING)

    def ask(self, number, path, request, statuses):
        try:
            statuses.append(self.nodes[number].call(path, request)[0].status)
        except (OSError, http.client.HTTPException):
            statuses.append(0)

    def ask_until(self, end):
        """One caller's request that crashes targets, at each node in turn, beside others of its path's route."""
        healthy, callers, count = [], [], 0
        while time.monotonic() < end:
            count += 1
            number = count % 4 + 1
            for path, statuses in ((CRASHING, []), (f"/lookup/7/{count}", healthy)):
                callers.append(threading.Thread(target=self.ask, args=(number, path, f"{path}-{count}", statuses)))
                callers[-1].start()
            time.sleep(0.1)
        for caller in callers:
            caller.join()
        return healthy

    def test_a_request_that_crashed_three_targets_is_sent_no_further_by_any_host(self):
        # The same request comes again at each host under new ids: all hosts must know of the crashes that each saw.
        self.ask_until(time.monotonic() + 2.0)
        self.assertGreaterEqual(len(self.sends()), CRASHES_ALLOWED)
        bound_from = self.sends()[CRASHES_ALLOWED - 1] + IN_TOUCH_S
        healthy = self.ask_until(bound_from + LAST_S)
        late = [at for at in self.sends() if at > bound_from]
        self.assertLessEqual(len(late), SENDS_ALLOWED, f"{len(self.sends())} sends in all")
        self.assertGreater(healthy[-30:].count(200), 27, "requests beside it pay")


if __name__ == "__main__":
    unittest.main()
