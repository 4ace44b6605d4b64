"""Tests a medlar-node that loses its links to all targets while callers, the store and other hosts still reach it."""

import http.client
import pathlib
import sys
import tempfile
import threading
import time
import unittest

import platform_test
from platform_standins import Store, Target
from platform_test import ROUTES, Node, make_configuration, wait_for

sys.path.insert(0, str(platform_test.ROOT / "tests/soak"))
from faulty_link import FaultyLink  # noqa: E402

NET = platform_test.NET
NODES = 3
STABLE_WINDOW_S = 4.0
CUT_S = 7.0
RETURN_LIMIT_S = 4.0


class CutOffHostTest(unittest.TestCase):
    port = 18600

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.store = Store((f"{NET}.0.1", 0))
        self.addCleanup(self.store.server.shutdown)
        self.store.put_json("op", "config", make_configuration(1, ROUTES))
        self.targets = []
        for number in range(1, 7):
            service = "desk" if number % 2 else "ledger"
            target = Target(self.store, f"{service}-{number}", service, "z1", (f"{NET}.2.1", self._next_port()), slots=4)
            self.addCleanup(target.stop)
            self.targets.append(target)
        self.links, self.nodes = {}, {}
        for number in range(1, NODES + 1):
            self._start_node(number)
        for node in self.nodes.values():
            wait_for(node.is_ready)
            wait_for(lambda node=node: node.metric("medlar_known_hosts") == NODES)
        self.results = {number: [] for number in self.nodes}  # (time, request, status) of each first attempt
        self.is_stopping = False

    def _next_port(self):
        CutOffHostTest.port += 1
        return CutOffHostTest.port

    def _start_node(self, number, region="r1"):
        """Starts a node that reaches the targets only through links of its own."""
        self.links[number] = [FaultyLink((f"{NET}.3.{number}", self._next_port()), target.server.server_address)
                              for target in self.targets]
        addresses = {target.name: link.address for target, link in zip(self.targets, self.links[number])}
        view = self.store.serve_view((f"{NET}.0.{10 + number}", 0), addresses)
        self.addCleanup(view.shutdown)
        node = Node(self.folder, number, 0, store="%s:%d" % view.server_address, region=region)
        self.nodes[number] = node
        self.addCleanup(node.process.wait)
        self.addCleanup(node.process.kill)
        for link in self.links[number]:
            self.addCleanup(link.close)

    def _call_forever(self, number, caller):
        count, connection = 0, None
        while not self.is_stopping:
            count += 1
            is_order = count % 3 == 0
            request = f"{'order' if is_order else 'lookup'}-{number}-{caller}-{count}"
            path = ("/order/" if is_order else "/lookup/") + request
            connection = connection or http.client.HTTPConnection(*self.nodes[number].caller, timeout=12)
            try:
                answer, text = self.nodes[number].call(path, request, "POST" if is_order else "GET",
                                                       b"b" if is_order else None, connection, object_key=str(count % 9))
                status = answer.status if answer.status != 200 or text.startswith(path.encode()) else 599
            except (OSError, http.client.HTTPException):
                connection, status = None, 0
            self.results[number].append((time.monotonic(), request, status))
            time.sleep(0.03)

    def _cut(self, numbers, how):
        """Returns a function that ends the cut."""
        links = [link for number in numbers for link in self.links[number]]
        if how == "hung":
            addresses = [(link, link.hang()) for link in links]
            return lambda: [link.unhang(address) for link, address in addresses]
        addresses = [(link, link.refuse()) for link in links]
        if how == "reset":
            for link in links:
                link.set("reset")

        def end():
            for link, address in addresses:
                link.listen(address)
                link.set("pass")
        return end

    def _check_cut(self, how, numbers=(1,), others=None):
        callers = [threading.Thread(target=self._call_forever, args=(number, caller), daemon=True)
                   for number in self.nodes for caller in range(3)]
        for caller in callers:
            caller.start()
        time.sleep(2)
        started = time.monotonic()
        end_cut = self._cut(numbers, how)
        time.sleep(CUT_S)
        ended = time.monotonic()
        end_cut()
        time.sleep(RETURN_LIMIT_S)
        relayed = {number: self.nodes[number].metric("medlar_relayed_sends_total") for number in numbers}
        time.sleep(1.5)
        self.is_stopping = True
        for caller in callers:
            caller.join(15)
        served, failed, tries = self._count(numbers, started + STABLE_WINDOW_S, ended)
        others = others or set(self.nodes) - set(numbers)
        others_served, _, others_tries = self._count(others, started + STABLE_WINDOW_S, ended)
        text = f"{how}: served {served} of {tries}, the others {others_served} of {others_tries}"
        self.assertGreater(tries, 30, text)
        self.assertGreaterEqual(served / tries, 2 / 3 * others_served / others_tries, text)
        self.assertLessEqual(failed, 10 + tries / 50, text)
        self._check_runs()
        for number, count in relayed.items():
            self.assertEqual(self.nodes[number].metric("medlar_relayed_sends_total"), count, "relayed after the cut")
        return text

    def _count(self, numbers, begin, end):
        statuses = [status for number in numbers for at, _, status in self.results[number] if begin <= at < end]
        served = sum(status == 200 for status in statuses)
        return served, len(statuses) - served, len(statuses)

    def _check_runs(self):
        runs = {}
        for target in self.targets:
            for request in target.executed_requests:
                runs[request] = runs.get(request, 0) + 1
        for results in self.results.values():
            for _, request, status in results:
                self.assertNotEqual(status, 599, f"{request}: another request's answer")
                if request.startswith("order"):
                    self.assertLessEqual(runs.get(request, 0), 1, f"{request} ran more than once")
                if status in (429, 503) and request.startswith("order"):
                    self.assertEqual(runs.get(request, 0), 0, f"{request} was refused as not run, but ran")

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
        self._start_node(NODES + 1, region="r2")
        self.results[NODES + 1] = []
        for node in self.nodes.values():
            wait_for(node.is_ready)
            wait_for(lambda node=node: node.metric("medlar_known_hosts") == NODES + 1)
        self._check_cut("reset", (1, 2, 3))


if __name__ == "__main__":
    unittest.main()
