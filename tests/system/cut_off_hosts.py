"""Deployments of medlar-node whose hosts have links of their own to the targets, for tests that cut some of them."""

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
from faulty_link import FaultyLink, cut_links  # noqa: E402

NET = platform_test.NET
NODES = 3
STABLE_WINDOW_S = 4.0
CUT_S = 7.0
TROUBLE_DELAY_S = 1.0  # From the cut to the other trouble, while the cut hosts already send through others.
RETURN_LIMIT_S = 4.0


class CutOffHosts(unittest.TestCase):
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
        self.links, self.nodes, self.stores = {}, {}, {}
        for number in range(1, NODES + 1):
            self._start_node(number)
        for node in self.nodes.values():
            wait_for(node.is_ready)
            wait_for(lambda node=node: node.metric("medlar_known_hosts") == NODES)
        self.results = {number: [] for number in self.nodes}  # (time, request, status) of each first attempt
        self.is_stopping = False

    def _next_port(self):
        CutOffHosts.port += 1
        return CutOffHosts.port

    def _start_node(self, number, region="r1"):
        """Starts a node that reaches the targets only through links of its own."""
        self.links[number] = [FaultyLink((f"{NET}.3.{number}", self._next_port()), target.server.server_address)
                              for target in self.targets]
        addresses = {target.name: link.address for target, link in zip(self.targets, self.links[number])}
        view = self.store.serve_view((f"{NET}.0.{10 + number}", 0), addresses)
        self.addCleanup(view.shutdown)
        self.stores[number] = "%s:%d" % view.server_address
        self._run_node(number, region)
        for link in self.links[number]:
            self.addCleanup(link.close)

    def start_node_of_other_region(self):
        self._start_node(NODES + 1, region="r2")
        self.results[NODES + 1] = []
        for node in self.nodes.values():
            wait_for(node.is_ready)
            wait_for(lambda node=node: node.metric("medlar_known_hosts") == NODES + 1)

    def _run_node(self, number, region="r1"):
        node = Node(self.folder, number, 0, store=self.stores[number], region=region)
        self.nodes[number] = node
        self.addCleanup(node.process.wait)
        self.addCleanup(node.process.kill)

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

    def links_of(self, targets):
        """Returns the links of all nodes to the targets with these positions."""
        return [links[target] for links in self.links.values() for target in targets]

    def _cut(self, numbers, how):
        """Returns a function that ends the cut."""
        return cut_links([link for number in numbers for link in self.links[number]], how)

    def _run_cut(self, how, numbers, trouble=None):
        """Returns when the cut began and ended. `trouble` is called during the cut and returns what ends it, if it must
        be ended."""
        callers = [threading.Thread(target=self._call_forever, args=(number, caller), daemon=True)
                   for number in self.nodes for caller in range(3)]
        for caller in callers:
            caller.start()
        time.sleep(2)
        started = time.monotonic()
        end_cut = self._cut(numbers, how)
        time.sleep(TROUBLE_DELAY_S)
        end_trouble = trouble() if trouble else None
        time.sleep(started + CUT_S - time.monotonic())
        ended = time.monotonic()
        end_cut()
        if end_trouble:
            end_trouble()
        time.sleep(RETURN_LIMIT_S)
        relayed = {number: self.nodes[number].metric("medlar_relayed_sends_total") for number in numbers}
        time.sleep(1.5)
        self.is_stopping = True
        for caller in callers:
            caller.join(15)
        for number, count in relayed.items():
            self.assertEqual(self.nodes[number].metric("medlar_relayed_sends_total"), count, "relayed after the cut")
        return started, ended

    def _check_served(self, how, numbers, others, started, ended):
        """The callers of the cut hosts are served about as well as those of the others. Returns the failed requests of
        the cut hosts, all of them, and a text."""
        served, failed, tries = self._count(numbers, started + STABLE_WINDOW_S, ended)
        others = others or set(self.nodes) - set(numbers)
        others_served, _, others_tries = self._count(others, started + STABLE_WINDOW_S, ended)
        text = f"{how}: served {served} of {tries}, the others {others_served} of {others_tries}"
        print(f"{self.id()}: {text}", flush=True)
        self.assertGreater(tries, 30, text)
        self.assertGreaterEqual(served / tries, 2 / 3 * others_served / others_tries, text)
        self._check_runs()
        return failed, tries, text

    def _check_cut(self, how, numbers=(1,), others=None):
        started, ended = self._run_cut(how, numbers)
        failed, tries, text = self._check_served(how, numbers, others, started, ended)
        self.assertLessEqual(failed, 10 + tries / 50, text)
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
