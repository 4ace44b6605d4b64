"""Tests medlar-node on loopback while its host is held up: the process stands still beyond the idle timeout of its
clients' connections, and whole requests arrive on them meanwhile. Each gets an answer."""

import collections
import pathlib
import signal
import socket
import tempfile
import time
import unittest

import platform_test
from platform_standins import Store, Target
from platform_test import HOST, ROUTES, Node, make_configuration, make_route, wait_for

NET = platform_test.NET = "127.92"
IDLE_S = 3.0
OTHER_PORTS_IDLE_S = 15.0  # Of all ports but the callers'; no configuration sets it.
CONNECTIONS = 60
# When the host stands still, what is sent meanwhile, and when the host goes on; parts of the idle timeout.
STILL_AT, SENT_AT, ON_AT = 0.5, 0.65, 1.15
UPLOAD_BYTES = 60_000
ANSWER_LIMIT_S = 10.0
# Half of them are for clients of all ports.
DESCRIPTORS = 240
NEW_CONNECTIONS = 200
SERVED, REFUSED = "200", "503"  # A refusal by a host says that the request did not run.
CUT, RESET = "closed without an answer", "reset without an answer"


def message(path, method="GET", body=b"", name="h"):
    length = f"Content-Length: {len(body)}\r\n" if body else ""
    return (f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Medlarcroft-Attempt-Id: {name}\r\n"
            f"X-Medlarcroft-Deadline-Ms: 8000\r\n{length}\r\n").encode() + body


# Case: path, and how the request differs from a GET; `first`: its connection brought nothing before; `early`: half
# of it comes before the host stands still; `change`: the configuration changes meanwhile.
CASES = {
    "get": dict(path="/lookup/1"),
    "post": dict(path="/order/1", method="POST", body=b"swap"),
    "upload": dict(path="/lookup/1", method="POST", body=b"a" * UPLOAD_BYTES),
    "beside_a_change_of_the_configuration": dict(path="/lookup/1", change=True),
    "first_of_a_connection": dict(path="/lookup/1", first=True),
    "half_before": dict(path="/lookup/1", method="POST", body=b"a" * 1000, early=True),
}
OTHER_PORTS = {"lookup": "/medlarcroft/resolve?region=r1", "peer": "/v1/mirror?table=op",
               "readiness": "/medlarcroft/readiness", "metrics": "/metrics"}
# The rows of a host that was held up are too old for others, until it has heard from the store.
REFUSING_PORT = "peer"


class Client:
    """A connection of a client, which reads one answer at a time."""

    def __init__(self, address, name):
        self.name, self.rest = name, b""
        self.socket = socket.create_connection(address, timeout=ANSWER_LIMIT_S)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def send(self, data):
        """The connection may be closed by now; what it brought is read all the same."""
        try:
            self.socket.sendall(data)
        except OSError:
            pass

    def outcome(self, end):
        """Returns the status of a whole answer, or how the connection ended without one."""
        data = b""
        while not self._is_whole(data):
            self.socket.settimeout(max(end - time.monotonic(), 0.01))
            try:
                piece = self.socket.recv(65536)
            except TimeoutError:
                return "silent"
            except ConnectionError:
                return RESET if not data else "reset within the answer"
            if not piece:
                return CUT if not data else "closed within the answer"
            data += piece
        return data.split(b" ", 2)[1].decode()

    @staticmethod
    def _is_whole(data):
        head, separator, body = data.partition(b"\r\n\r\n")
        lengths = [int(line.split(b":")[1]) for line in head.lower().split(b"\r\n") if line.startswith(b"content-length:")]
        return bool(separator) and len(body) >= (lengths or [0])[0]


def outcomes(clients):
    end = time.monotonic() + ANSWER_LIMIT_S
    return collections.Counter(client.outcome(end) for client in clients)


class HeldUpHostTest(unittest.TestCase):
    port = 19100

    def start(self, descriptors=None):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.store = Store((f"{NET}.0.1", 0))
        self.addCleanup(self.store.server.shutdown)
        self.put_configuration(1, [])
        for service in ("desk", "ledger"):
            HeldUpHostTest.port += 1
            target = Target(self.store, f"{service}-1", service, "z1", (f"{NET}.2.1", HeldUpHostTest.port), slots=256)
            self.addCleanup(target.stop)
        self.node = Node(pathlib.Path(folder.name), 1, self.store.server.server_port, descriptors=descriptors)
        self.addCleanup(self.node.process.wait)
        self.addCleanup(self.node.process.kill)
        wait_for(self.node.is_ready)

    def put_configuration(self, version, more_routes):
        configuration = make_configuration(version, ROUTES + more_routes)
        configuration["resources"].append({"resource_kind": "limits", "metadata": {}, "spec": {
            "max_header_bytes": 16384, "max_body_bytes": 1024 * 1024, "header_timeout": f"{IDLE_S * 1000:.0f}ms",
            "idle_timeout": f"{IDLE_S * 1000:.0f}ms"}})
        self.store.put_json("op", "config", configuration)

    def connect(self, count, port="caller"):
        clients = [Client(getattr(self.node, port), f"h-{number}") for number in range(count)]
        for client in clients:
            self.addCleanup(client.socket.close)
        return clients

    def serve_once(self, clients, path="/lookup/1"):
        """Serves a request on each connection; their idle timeouts begin."""
        for client in clients:
            client.send(message(path, name=f"{client.name}-before"))
        self.assertEqual(outcomes(clients), {SERVED: len(clients)})

    def hold_up(self, idle_s=IDLE_S):
        """Stops the process, and waits until requests are due."""
        begin = time.monotonic()
        self.on_at = begin + ON_AT * idle_s
        time.sleep(STILL_AT * idle_s)
        self.node.process.send_signal(signal.SIGSTOP)
        time.sleep(begin + SENT_AT * idle_s - time.monotonic())

    def go_on(self):
        time.sleep(max(self.on_at - time.monotonic(), 0))
        self.node.process.send_signal(signal.SIGCONT)

    def expect_nothing_dropped(self):
        self.assertEqual(self.node.metric("medlar_inputs_dropped"), 0)
        self.expect_no_such_line()

    def expect_no_such_line(self):
        self.assertNotIn('"event":"input-dropped"', self.node.log.read_text())

    def play(self, path, method="GET", body=b"", first=False, early=False, change=False):
        self.start()
        clients = self.connect(CONNECTIONS)
        if not first:
            self.serve_once(clients)
        requests = [message(path, method, body, client.name) for client in clients]
        early_bytes = len(requests[0]) // 2 if early else 0
        for client, request in zip(clients, requests):
            client.send(request[:early_bytes])
        self.hold_up()
        if change:
            self.put_configuration(2, [make_route("more", "/more/", "idempotent", "desk")])
        for client, request in zip(clients, requests):
            client.send(request[early_bytes:])
        self.go_on()
        self.assertEqual(outcomes(clients), {SERVED: CONNECTIONS})
        self.expect_nothing_dropped()

    # Guards against requests of look-ups, hosts and probes that are read and dropped for the same reason.
    def test_other_ports(self):
        self.start()
        clients = {port: self.connect(CONNECTIONS, port) for port in OTHER_PORTS}
        for port, path in OTHER_PORTS.items():
            wait_for(lambda: self.node.get(getattr(self.node, port), path)[0] == 200)
        for port, path in OTHER_PORTS.items():
            self.serve_once(clients[port], path)
        self.hold_up(OTHER_PORTS_IDLE_S)
        for port, path in OTHER_PORTS.items():
            for client in clients[port]:
                client.send(message(path, name=client.name))
        self.go_on()
        for port in OTHER_PORTS:
            with self.subTest(port=port):
                seen = outcomes(clients[port])
                self.assertEqual(seen[SERVED] + (seen[REFUSED] if port == REFUSING_PORT else 0), CONNECTIONS, seen)
        self.expect_nothing_dropped()

    # Guards against a stop that drops requests which arrived before the process learned of it.
    def test_stop(self):
        self.start()
        kept = self.connect(CONNECTIONS)
        self.serve_once(kept)
        self.hold_up()
        self.node.process.send_signal(signal.SIGTERM)
        clients = kept + self.connect(CONNECTIONS)
        for client in clients:
            client.send(message("/lookup/1", name=client.name))
        self.go_on()
        seen = outcomes(clients)
        self.assertEqual(seen[SERVED] + seen[REFUSED], 2 * CONNECTIONS, seen)
        self.assertEqual(self.node.process.wait(20), 0)
        self.expect_no_such_line()

    # Guards against connections whose request waits unread, and which give way to others for their descriptors.
    def test_descriptors(self):
        self.start(DESCRIPTORS)
        kept = self.connect(CONNECTIONS)
        self.serve_once(kept)
        self.hold_up()
        new = self.connect(NEW_CONNECTIONS)
        for client in kept + new:
            client.send(message("/lookup/1", name=client.name))
        self.go_on()
        seen_kept, seen_new = outcomes(kept), outcomes(new)
        print(f"kept: {dict(seen_kept)}, new: {dict(seen_new)}")
        self.assertEqual(seen_kept[SERVED] + seen_kept[REFUSED], CONNECTIONS, seen_kept)
        # A new connection that finds no room is reset, and nothing of it was read.
        self.assertEqual(seen_new[SERVED] + seen_new[REFUSED] + seen_new[RESET], NEW_CONNECTIONS, seen_new)
        self.assertEqual(self.node.metric("medlar_connections_refused"), seen_new[RESET])
        self.expect_nothing_dropped()


def make_case(case):
    # Guards against requests that are read and dropped because timers are due before the loop comes to them.
    return lambda self: self.play(**case)


for name, how in CASES.items():
    setattr(HeldUpHostTest, f"test_{name}", make_case(how))


if __name__ == "__main__":
    unittest.main()
