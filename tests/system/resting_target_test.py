"""Tests medlar-node on loopback with targets that ask a host for rest, or say that they leave."""

import http.client
import pathlib
import signal
import tempfile
import threading
import time
import unittest

import platform_test
from platform_standins import Store, Target
from platform_test import ROUTES, Node, make_configuration, wait_for

NET = platform_test.NET = "127.85"
NODES, TARGETS, OBJECTS = 2, 4, 8
REST_S = 3
SETTLE_S = 0.5  # From a rejection on, in which requests that are under way may still arrive.
DRAIN_S = 2.5


class RestingTargetTest(unittest.TestCase):
    port = 18700

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.store = Store((f"{NET}.0.1", 0))
        self.addCleanup(self.store.server.shutdown)
        self.store.put_json("op", "config", make_configuration(1, ROUTES))
        self.targets = []
        for number in range(TARGETS):
            RestingTargetTest.port += 1
            target = Target(self.store, f"desk-{number}", "desk", "z1", (f"{NET}.2.1", RestingTargetTest.port), slots=4)
            self.addCleanup(target.stop)
            self.targets.append(target)
        self.nodes = {}
        for number in range(1, NODES + 1):
            self.start(number)
        for node in self.nodes.values():
            wait_for(node.is_ready)
        self.statuses, self.is_stopping = [], False
        self.pause_s, self.objects = 0.01, OBJECTS

    def address_of(self, number):
        return f"{NET}.3.{number}"

    def start(self, number):
        """Starts a node that calls the targets at addresses of its own."""
        addresses = {target.name: target.listen_at((self.address_of(number), target.server.server_address[1]))
                     for target in self.targets}
        view = self.store.serve_view((f"{NET}.0.{10 + number}", 0), addresses)
        self.addCleanup(view.shutdown)
        node = Node(self.folder, number, 0, store="%s:%d" % view.server_address)
        self.nodes[number] = node
        self.addCleanup(node.process.wait)
        self.addCleanup(node.process.kill)

    def call_steadily(self, number):
        count = 0
        while not self.is_stopping:
            count += 1
            try:
                answer, _ = self.nodes[number].call(f"/lookup/{count}", f"{number}-{count}", object_key=str(count % self.objects))
                self.statuses.append((time.monotonic(), answer.status))
            except (OSError, http.client.HTTPException):
                self.statuses.append((time.monotonic(), 0))
            time.sleep(self.pause_s)

    def start_calls(self):
        callers = [threading.Thread(target=self.call_steadily, args=(number,)) for number in self.nodes]
        for caller in callers:
            caller.start()

        def stop():
            self.is_stopping = True
            for caller in callers:
                caller.join()
        self.addCleanup(stop)
        time.sleep(1.0)
        return stop

    def busiest_target(self):
        return max(self.targets, key=lambda target: len(target.arrivals))

    def requests_during_rest(self, target, rest_s):
        """Returns the most requests that arrived from one host while the target wanted rest from it."""
        most = 0
        for told_at, host, _ in target.rejections:
            during = [at for at, address, _ in target.arrivals
                      if address == host and told_at + SETTLE_S < at < told_at + rest_s]
            most = max(most, len(during))
        return most

    def test_host_gives_rest_to_a_target_that_asks_for_it(self):
        # Guards against an object's affinity leading back to the target that has just asked for rest.
        self.pause_s, self.objects = 0.15, 1
        stop = self.start_calls()
        target = self.busiest_target()
        target.rest = REST_S
        time.sleep(1)
        for node in self.nodes.values():
            node.process.send_signal(signal.SIGHUP)
        time.sleep(REST_S + 1)
        target.rest = None
        ended_at = time.monotonic()
        self.pause_s, self.objects = 0.01, OBJECTS
        time.sleep(REST_S + 2)
        stop()
        self.assertTrue(target.rejections)
        self.assertEqual(self.requests_during_rest(target, REST_S), 0)
        self.assertTrue([at for at, _, _ in target.arrivals if at > ended_at], "not used again after its rest")
        served = [status for _, status in self.statuses].count(200) / len(self.statuses)
        self.assertGreater(served, 0.97, "requests failed although other targets had room")

    def test_rest_counts_although_the_answer_breaks_off(self):
        # Guards against losing what the head of an answer says when its body does not arrive.
        self.pause_s, self.objects = 0.15, 1
        stop = self.start_calls()
        target = self.busiest_target()
        target.cuts_rejections, target.rest = True, f"{REST_S}.0"
        time.sleep(REST_S + 1)
        stop()
        self.assertTrue(target.rejections)
        self.assertEqual(self.requests_during_rest(target, REST_S), 0)

    def test_host_sends_nothing_to_a_target_that_says_it_leaves(self):
        # Guards against waiting for the target's entry, which may come later or never.
        stop = self.start_calls()
        target = self.busiest_target()
        target.is_leaving = True
        said_at = time.monotonic()
        time.sleep(DRAIN_S + 2)
        stop()
        self.assertFalse([at for at, _, _ in target.arrivals if at > said_at + DRAIN_S])
        # As when a new version of the same entry of the same process arrives.
        self.store.put_json("servers", target.name, {**target.entry, "status": {**target.entry["status"], "sequence": 2}})
        self.assertEqual([status for _, status in self.statuses if status != 200], [])

    def test_request_that_only_resting_targets_may_run_is_rejected_at_once(self):
        # Guards against holding such a request, and against a time to return that lies within the rest.
        for target in self.targets:
            target.rest = REST_S
        node = self.nodes[1]
        told_at = time.monotonic()
        count = 0
        while not all(target.rejections for target in self.targets):
            count += 1
            self.assertLess(count, 100, "a target was never asked")
            node.call("/lookup/x", f"x-{count}", object_key=str(count))
        times, returns = [], []
        for number in range(20):
            began = time.monotonic()
            answer, _ = node.call("/lookup/y", f"y-{number}", object_key=str(number))
            times.append(time.monotonic() - began)
            self.assertEqual(answer.status, 503)
            returns.append(time.monotonic() + float(answer.headers["Retry-After"]))
        self.assertLess(max(times), 0.3)
        self.assertGreaterEqual(min(returns), told_at + REST_S)
        self.assertGreater(max(returns) - min(returns), 0.1, "all callers are told to return at the same moment")


if __name__ == "__main__":
    unittest.main()
