"""Tests a medlar-node that loses its links to all targets while callers, the store and other hosts still reach it."""

import http.client
import threading
import time
import unittest

import platform_test
from cut_off_hosts import STABLE_WINDOW_S, CutOffHosts
from platform_test import wait_for


class CutOffHostTest(CutOffHosts):
    # Guards against callers of a host that are refused while the host alone can't reach the targets: connections hang.
    def test_hung(self):
        self._check_cut("hung")

    # As above; connections are reset and refused.
    def test_reset(self):
        self._check_cut("reset")

    # As above; open connections stay alive, new ones are refused.
    def test_refused(self):
        self._check_cut("refused")

    # Guards against blocking innocent requests on all hosts: a connection that is reset, and a target that then refuses
    # the next one, look like a request that crashed its target.
    def test_requests_are_not_blamed(self):
        for target in self.targets:
            target.delay_s = 1.0
        callers = [threading.Thread(target=lambda n=n: self.nodes[1].call(f"/lookup/{n}", f"r-{n}", object_key=str(n)))
                   for n in range(6)]
        for caller in callers:
            caller.start()
        wait_for(lambda: sum(target.running for target in self.targets) >= 5)
        self._cut((1,), "reset")
        for caller in callers:
            caller.join()
        time.sleep(1.5)
        self.assertNotIn('"event":"target-crashed"', self.nodes[1].log.read_text())

    # Guards against a helper's planned stop that cuts the requests which it sends for others, or loses new ones.
    def test_helper_stops(self):
        stopper = threading.Timer(2 + STABLE_WINDOW_S, self.nodes[2].process.terminate)
        stopper.start()
        self._check_cut("reset", others=(3,))
        self.assertEqual(self.nodes[2].process.wait(platform_test.WAIT_LIMIT_S), 0)
        self.assertIn('"requests_cut":0', self.nodes[2].log.read_text())

    # Guards against helpers that go on with requests whose callers have left the host that is cut off.
    def test_caller_leaves(self):
        self._cut((1,), "reset")
        wait_for(lambda: self.nodes[1].call("/lookup/a", "before")[0].status == 200)
        for target in self.targets:
            target.delay_s = 3.0
        connection = http.client.HTTPConnection(*self.nodes[1].caller, timeout=12)
        connection.request("GET", "/lookup/b", headers={"Host": platform_test.HOST, "X-Medlarcroft-Attempt-Id": "leaves",
                                                        "X-Medlarcroft-Deadline-Ms": "9000"})

        def relays():
            return sum(self.nodes[number].metric("medlar_relays_in_flight") for number in (2, 3))
        wait_for(lambda: relays() == 1)
        connection.close()
        left = time.monotonic()
        wait_for(lambda: relays() == 0)
        self.assertLess(time.monotonic() - left, 1.5, "ended by the target's answer, not by the caller")

    # As above, for most hosts of a region: one host sends for all.
    def test_most_hosts(self):
        self._check_cut("reset", (1, 2))

    # As above, for all hosts of a region: a host of another region sends.
    def test_all_hosts_of_a_region(self):
        self.start_node_of_other_region()
        self._check_cut("reset", (1, 2, 3))


if __name__ == "__main__":
    unittest.main()
