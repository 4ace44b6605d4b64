"""Tests medlar-node on loopback with entries of other writers that no reader expects, in each table that it follows."""

import json
import pathlib
import tempfile
import time
import unittest

import platform_test
from platform_standins import Store, Target
from platform_test import ROUTES, Node, make_configuration, make_route, wait_for

NET = platform_test.NET = "127.88"
PAUSE_S = 0.02  # In which hosts see an entry before it changes again.
HOSTS = 6  # In a region of more than five, one reads for the others.
DEEP = b"[" * 200_000 + b"]" * 200_000
NESTED = b'{"a":' * 100_000 + b"1" + b"}" * 100_000
LONG_NUMBER = b"12345678901234567890123"
VALUES = {
    "brackets": DEEP, "open_brackets": b"[" * 200_000, "objects": NESTED, "open_objects": b'{"a":' * 100_000,
    "too_large": b"1e999", "long_number": LONG_NUMBER, "not_utf8": b"\xff\xfe{}", "not_utf8_inside": b'{"address":"\xc3\x28"}',
    "list": b"[]", "null": b"null", "nothing": b"", "text": b'"text"', "zero_bytes": b"\0\0",
}
# Put in the place of each field of a good entry in turn.
FIELDS = {
    "deep": DEEP, "objects": NESTED, "too_large": b"1e999", "large": b"1e300", "long_number": LONG_NUMBER,
    "negative": b"-7", "fraction": b"0.5", "list": b"[]", "object": b"{}", "null": b"null", "text": b'"odd"', "yes": b"true",
    "port_too_large": b'"127.88.2.1:70000"', "negative_port": b'"127.88.2.1:-1"', "no_port": b'"127.88.2.1:"',
    "long_time": b'"1e300s"', "negative_time": b'"-3s"', "not_utf8": b'"\xff"', "surrogate": b'"\\ud800"',
}


def with_field(entry, path, value):
    """Returns the entry as JSON, with a value of any bytes at the path."""
    copy = json.loads(json.dumps(entry))
    place = copy
    for name in path[:-1]:
        place = place[name]
    place[path[-1]] = "@"
    return json.dumps(copy).encode().replace(b'"@"', value)


def paths_of(entry, prefix=()):
    for name, value in entry.items():
        yield prefix + (name,)
        if isinstance(value, dict):
            yield from paths_of(value, prefix + (name,))


def odd_values(entry):
    """Yields names and bytes of odd entries that stand in the place of a good one."""
    yield from VALUES.items()
    for path in list(paths_of(entry)) + [("unknown",)]:
        for name, value in FIELDS.items():
            yield "-".join(path + (name,)), with_field(entry, path, value)


class OddEntryTest(unittest.TestCase):
    port = 19300

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.store = Store((f"{NET}.0.1", 0))
        self.addCleanup(self.store.server.shutdown)
        self.store.put_json("op", "config", make_configuration(1, ROUTES))
        self.target = self.add_target("desk-1")
        self.nodes = []
        for number in range(1, HOSTS + 1):
            node = Node(pathlib.Path(folder.name), number, self.store.server.server_port)
            self.addCleanup(node.process.wait)
            self.addCleanup(node.process.kill)
            self.nodes.append(node)
        for node in self.nodes:
            wait_for(node.is_ready)

    def add_target(self, name):
        OddEntryTest.port += 1
        target = Target(self.store, name, "desk", "z1", (f"{NET}.2.1", OddEntryTest.port), slots=6)
        self.addCleanup(target.stop)
        return target

    def expect_service(self, path, request):
        """Each host lives, and has applied the newest configuration and targets."""
        for number, node in enumerate(self.nodes):
            wait_for(lambda: node.call(path, f"{request}-{number}")[0].status == 200)
            self.assertIsNone(node.process.poll(), node.name)

    def expect_followed(self, version):
        """A change and a target that come after the odd entries are in use."""
        self.store.put_json("op", "config", make_configuration(version, ROUTES + [
            make_route("later", "/later/", "idempotent", "desk")]))
        self.expect_service("/later/1", f"later-{version}")
        later = self.add_target(f"desk-later-{version}")
        self.target.drain()
        self.expect_service("/later/2", f"moved-{version}")
        wait_for(lambda: self.nodes[0].call("/later/3", "more")[0].status == 200 and later.executed_requests)
        for node in self.nodes:
            self.assertIsNone(node.process.poll(), node.name)

    def logged(self, event):
        return all(f'"event":"{event}"' in node.log.read_text() for node in self.nodes)

    def play(self, table, entry, key, event):
        for number, (_, value) in enumerate(odd_values(entry)):
            self.store.put(table, key(number), value)
            time.sleep(PAUSE_S)
        wait_for(lambda: self.logged(event))
        self.expect_followed(7)
        for node in self.nodes:
            self.assertGreater(node.metric("medlar_unreadable_entries_total"), 0)

    def test_targets(self):
        entry = {**self.target.entry, "started": 1}
        self.play("servers", entry, lambda number: f"odd-{number}", "target-entry-unreadable")

    def test_entries_of_a_target_in_use(self):
        """The same target's entry turns odd again and again, and is good in the end."""
        good = self.target.entry
        self.play("servers", {**good, "started": 1}, lambda _: "desk-0", "target-entry-unreadable")

    def test_configuration(self):
        configuration = make_configuration(1, ROUTES)
        entry = {"version": 5, "resources": {"first": configuration["resources"][0], "spec": {}}}
        self.play("op", entry, lambda _: "config", "configuration-unreadable")

    def test_routes(self):
        resources = make_configuration(5, ROUTES)["resources"]
        odd = []
        for index, resource in enumerate(resources):
            for _, value in odd_values(resource):
                others = [json.dumps(other).encode() for other in resources[:index] + resources[index + 1:]]
                odd.append(b'{"version":5,"resources":[' + b",".join(others + [value or b"null"]) + b"]}")
        for value in odd:
            self.store.put("op", "config", value)
            time.sleep(PAUSE_S)
        wait_for(lambda: self.logged("configuration-unreadable"))
        self.expect_followed(9)

    def test_hosts(self):
        entry = {"failure_domain": "z1", "peer_address": f"{NET}.3.1:18103", "link_mbps": 1000}
        self.play(self.host_table(), entry, lambda number: f"odd-host-{number}", "host-entry-unreadable")

    def test_blocked_requests(self):
        self.play(self.host_table(), {"until_ms": 4_000_000_000_000}, lambda number: f"blocked-request/{number:016x}",
                  "blocked-request-unreadable")

    def test_keys(self):
        for table in ("op", "servers", self.host_table()):
            for key in ("", "evacuate/", "evacuate/" + "z" * 200, "blocked-request/", "blocked-request/zz", "\0", "\u202e", "config/"):
                self.store.put(table, key, b"odd")
        self.expect_followed(7)

    def host_table(self):
        wait_for(lambda: any(key == "edge-1" for _, key in self.store.rows))
        return next(table for table, key in self.store.rows if key == "edge-1")


if __name__ == "__main__":
    unittest.main()
