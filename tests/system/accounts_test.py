"""Tests medlar-node on loopback with client accounts: API keys that are added, moved and withdrawn, and that no output of
a node or of the console reveals."""

import http.client
import pathlib
import subprocess
import tempfile
import unittest

import platform_test
from platform_standins import Store, Target
from platform_test import CONSOLE, ROUTES, Node, make_configuration, make_route, wait_for

NET = platform_test.NET = "127.85"
ACCOUNT_HEADER = "X-Medlarcroft-Tenant-Id"


def make_account(name, keys, **settings):
    return {"resource_kind": "tenants", "metadata": {"name": name}, "spec": {"api_keys": keys, **settings}}


class AccountsTest(unittest.TestCase):
    port = 18600

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.keys = set()  # Every key of the test.
        self.version = 0
        self.store = Store((f"{NET}.0.1", 0))
        self.addCleanup(self.store.server.shutdown)
        self.configure(make_account("schools", ["key-of-schools"]), make_account("canteens", ["key-of-canteens"]))
        self.targets = []
        for service in ("desk", "ledger"):
            AccountsTest.port += 1
            self.targets.append(Target(self.store, f"{service}-1", service, "z1", (f"{NET}.2.1", AccountsTest.port), 8))
            self.addCleanup(self.targets[-1].stop)
        self.nodes = [self.start(number) for number in (1, 2)]
        for node in self.nodes:
            wait_for(node.is_ready)

    def start(self, number):
        node = Node(self.folder, number, self.store.server.server_port,
                    telemetry={"log_level": "debug", "trace_sampling": 1.0})
        self.addCleanup(lambda: (node.process.kill(), node.process.wait()))
        return node

    def configure(self, *accounts):
        for account in accounts:
            self.keys.update(key for key in account["spec"]["api_keys"] if key)
        public = make_route("open", "/open/", "idempotent", "desk")
        public["spec"]["public"] = True
        self.version += 1
        configuration = make_configuration(self.version, ROUTES + [public])
        configuration["resources"] += accounts
        self.store.put_json("op", "config", configuration)

    def status(self, node, key, path="/lookup/1", method="GET"):
        headers = {ACCOUNT_HEADER: "forged"}
        if key:
            self.keys.add(key)
            headers["Api-Key"] = key
        body = b"swap" if method == "POST" else None
        return node.call(path, f"r-{len(self.keys)}", method, body, headers=headers)[0].status

    def assert_no_output_has_a_key(self):
        for node in self.nodes:
            output = node.log.read_text()
            for address, path in ((node.metrics, "/metrics"), (node.lookup, "/medlarcroft/resolve?region=r1"),
                                  (node.readiness, "/medlarcroft/readiness"), (node.caller, "/nowhere/")):
                output += node.get(address, path)[1].decode()
            for arguments in (["request", "r-1"], ["outcomes"]):
                output += str(subprocess.run([CONSOLE, *arguments, node.log], capture_output=True))
            for key in self.keys:
                self.assertNotIn(key, output, node.name)

    def test_only_requests_with_a_known_key_run(self):
        # Guards against requests that run for a caller without a key, and against targets that see keys.
        node = self.nodes[0]
        self.assertEqual(self.status(node, "key-of-schools"), 200)
        self.assertEqual(self.status(node, "key-of-canteens", "/order/1", "POST"), 200)
        self.assertEqual(self.status(node, None, "/open/1"), 200)
        self.assertEqual(self.status(node, "key-of-nobody"), 401)
        self.assertEqual(self.status(node, None), 401)
        desk, ledger = self.targets
        self.assertEqual([headers.get(ACCOUNT_HEADER) for headers in desk.executed_headers], ["schools", None])
        self.assertEqual([headers.get(ACCOUNT_HEADER) for headers in ledger.executed_headers], ["canteens"])
        for headers in desk.executed_headers + ledger.executed_headers:
            self.assertNotIn("Api-Key", headers)
        self.assert_no_output_has_a_key()

    def test_a_kept_connection_follows_the_keys_in_force(self):
        # Guards against a connection that keeps a withdrawn key, or the former account of a key that was moved.
        node = self.nodes[0]
        connection = http.client.HTTPConnection(*node.caller, timeout=platform_test.WAIT_LIMIT_S)

        def call(request):
            return node.call("/lookup/1", request, connection=connection, headers={"Api-Key": "key-of-schools"})[0].status
        self.assertEqual(call("kept-1"), 200)
        self.configure(make_account("schools", ["new-key-of-schools"]),
                       make_account("canteens", ["key-of-canteens", "key-of-schools"]))
        wait_for(lambda: call("kept-2") == 200 and
                 self.targets[0].executed_headers[-1][ACCOUNT_HEADER] == "canteens")
        self.configure(make_account("schools", ["new-key-of-schools"]), make_account("canteens", ["key-of-canteens"]))
        wait_for(lambda: call("kept-3") == 401)
        self.assertEqual(self.status(node, "new-key-of-schools"), 200)
        self.assert_no_output_has_a_key()

    def test_bad_accounts_leave_the_last_configuration_in_force(self):
        # Guards against a rejected configuration that withdraws keys, and against a log that names the rejected key.
        node = self.nodes[0]
        for bad in ([make_account("schools", ["key-of-both"]), make_account("canteens", ["key-of-both"])],
                    [make_account("", ["key-without-account"])],
                    [make_account("schools", ["negative-key"], rate_per_s=-1)],
                    [make_account("schools", ["", "next-to-an-empty-key"])]):
            self.configure(*bad)
            wait_for(lambda row=self.store.version: f'"row_version":{row}' in node.log.read_text())
        self.assertEqual(node.log.read_text().count('"event":"configuration-unreadable"'), 4)
        self.assertEqual(self.status(node, "key-of-schools"), 200)
        self.assertEqual(self.status(node, "key-of-both"), 401)
        self.assert_no_output_has_a_key()

    def test_an_outdated_host_denies_no_request_for_good(self):
        # The store hangs while a key is added. A host that may have missed it asks the caller to retry, keeps serving
        # the keys that it knows, and accepts the new key once the store is back.
        node = self.nodes[0]
        self.store.is_hung = True
        wait_for(lambda: self.status(node, "added-key") == 503)
        answer = node.call("/lookup/1", "outdated-1", headers={"Api-Key": "added-key"})[0]
        self.assertGreater(float(answer.headers["Retry-After"]), 0)
        self.assertEqual(self.status(node, "key-of-schools"), 200)
        self.configure(make_account("schools", ["key-of-schools", "added-key"]))
        self.store.is_hung = False
        wait_for(lambda: self.status(node, "added-key") == 200)
        self.assert_no_output_has_a_key()

    def test_a_restarted_host_denies_nothing_before_it_has_a_configuration(self):
        # The store is down when a host restarts, which remembers nothing. It asks callers to retry until it knows the
        # keys, and then denies the one that was withdrawn meanwhile.
        for node in self.nodes:
            node.process.kill()
            node.process.wait()
        self.store.error_status = 503
        self.nodes = [self.start(1)]
        node = self.nodes[0]
        wait_for(lambda: not isinstance(self.try_status(node, "key-of-schools"), OSError))
        self.assertEqual(self.status(node, "key-of-schools"), 503)
        self.configure(make_account("schools", ["new-key-of-schools"]))
        self.store.error_status = None
        wait_for(lambda: self.status(node, "new-key-of-schools") == 200)
        self.assertEqual(self.status(node, "key-of-schools"), 401)
        self.assert_no_output_has_a_key()

    def try_status(self, node, key):
        try:
            return self.status(node, key)
        except OSError as error:
            return error


if __name__ == "__main__":
    unittest.main()
