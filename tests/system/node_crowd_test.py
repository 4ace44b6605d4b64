"""Tests medlar-node on loopback with crowds of clients that don't behave: it lives, stays within the memory and the
descriptors that it is given, and serves an ordinary request beside each crowd and after it.

The limits of the process are low, so that a small crowd reaches them."""

import hashlib
import http.client
import pathlib
import tempfile
import time
import unittest

import platform_test
from client_crowds import Watch, crowd_of
from platform_standins import Store, Target
from platform_test import HOST, ROUTES, WAIT_LIMIT_S, Node, make_configuration, wait_for

NET = platform_test.NET = "127.89"
MEMORY_MB = 48
DESCRIPTORS = 400
# Beyond what a crowd may take: for targets, the store and other hosts.
SPARE_DESCRIPTORS = 32
MAX_HEADER_BYTES = 1024 * 1024
MAX_BODY_BYTES = 8 * 1024 * 1024
PAGES_BODY_BYTES = 64 * 1024 * 1024
SMALL_HOST_MB = 112
# Connections of each crowd.
COUNTS = {"large_chunks": 40, "one_huge_chunk": 40, "tiny_chunks": 80, "short_lengths": 40, "short_small_lengths": 80,
          "over_the_limit_announced": 60, "over_all_numbers_announced": 60, "huge_chunk_announced": 60,
          "over_the_limit_sent": 30, "heads_without_end": 80, "extensions_without_end": 80, "trailers_without_end": 80,
          "whole_bodies": 40, "pipelined": 150, "silent": 600}


class SlowTarget(Target):
    """A target that keeps no body, and takes its time with paths below /lookup/slow."""

    def _serve(self, handler):
        digest, left = hashlib.sha256(), int(handler.headers.get("Content-Length", 0))
        while left > 0:
            piece = handler.rfile.read(min(left, 65536))
            digest.update(piece)
            left -= len(piece)
        if handler.path.startswith("/lookup/slow"):
            time.sleep(1.0)
        handler.answer(200, digest.hexdigest().encode(),
                       [("X-Medlarcroft-Attempt-Id", handler.headers["X-Medlarcroft-Attempt-Id"]),
                        ("X-Medlarcroft-Instance-Id", self.name), ("X-Medlarcroft-Server-Seal", "seal")])


def make_limits(header_bytes, body_bytes):
    return {"resource_kind": "limits", "metadata": {}, "spec": {
        "max_header_bytes": header_bytes, "max_body_bytes": body_bytes, "header_timeout": "3000ms", "idle_timeout": "15000ms"}}


class NodeTest(unittest.TestCase):
    port = 19000

    def start(self, memory_mb, header_bytes, body_bytes):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.store = Store((f"{NET}.0.1", 0))
        self.addCleanup(self.store.server.shutdown)
        configuration = make_configuration(1, ROUTES)
        configuration["resources"].append(make_limits(header_bytes, body_bytes))
        self.store.put_json("op", "config", configuration)
        for number in range(3):
            NodeTest.port += 1
            target = SlowTarget(self.store, f"desk-{number}", "desk", "z1", (f"{NET}.2.1", NodeTest.port), slots=64)
            self.addCleanup(target.stop)
        self.memory_mb = memory_mb
        self.node = Node(pathlib.Path(folder.name), 1, self.store.server.server_port, memory_mb=memory_mb,
                         descriptors=DESCRIPTORS)
        self.addCleanup(self.node.process.wait)
        self.addCleanup(self.node.process.kill)
        wait_for(self.node.is_ready)
        self.requests = 0
        self.ports = {
            "caller": (self.node.caller, "/lookup/slow", self.call),
            "unknown_route": (self.node.caller, "/nowhere/", self.call),
            "readiness": (self.node.readiness, "/medlarcroft/readiness", self.asker("readiness", "/medlarcroft/readiness")),
            "lookup": (self.node.lookup, "/medlarcroft/resolve", self.asker("lookup", "/medlarcroft/resolve?region=r1")),
            "metrics": (self.node.metrics, "/metrics", self.asker("metrics", "/metrics")),
            "peer": (self.node.peer, "/v1/relay", self.asker("peer", "/v1/mirror?table=op"))}

    def call(self):
        self.requests += 1
        answer, body = self.node.call("/lookup/1", f"ordinary-{self.requests}", "POST", b"swap")
        return answer.status == 200 and body.decode() == hashlib.sha256(b"swap").hexdigest()

    def asker(self, port, path):
        # The port for other hosts has no rows until its table is read.
        return lambda: self.node.get(getattr(self.node, port), path)[0] in ((200, 404, 503) if port == "peer" else (200,))

    def expect_service(self, is_served):
        """An ordinary client repeats its request until it is served."""
        end = time.monotonic() + WAIT_LIMIT_S
        while True:
            try:
                if is_served():
                    return
            except (OSError, http.client.HTTPException):
                pass
            self.assertLess(time.monotonic(), end, "an ordinary request is not served")
            time.sleep(0.1)

    def expect_bounds(self, watch):
        self.assertIsNone(self.node.process.poll(), "the node ended")
        self.assertLess(watch.most_memory_mb(), self.memory_mb)
        self.assertLessEqual(watch.most_descriptors, DESCRIPTORS - SPARE_DESCRIPTORS)

    def play(self, kind, port):
        self.start(MEMORY_MB, MAX_HEADER_BYTES, MAX_BODY_BYTES)
        watch = Watch(self.node.process.pid)
        self.addCleanup(watch.stop)
        address, path, is_served = self.ports[port]
        with crowd_of(address, kind, path, COUNTS[kind]):
            self.expect_service(is_served)
        self.expect_service(is_served)
        self.expect_service(self.call)
        self.expect_bounds(watch)


class OneBodyTest(NodeTest):
    """One request at the pages' limit, in calm, on the smallest host."""

    def send(self, head, pieces):
        self.start(SMALL_HOST_MB, 16384, PAGES_BODY_BYTES)
        watch = Watch(self.node.process.pid)
        self.addCleanup(watch.stop)
        connection = http.client.HTTPConnection(*self.node.caller, timeout=WAIT_LIMIT_S)
        connection.putrequest("POST", "/lookup/1", skip_host=True, skip_accept_encoding=True)
        for name, value in {"Host": HOST, "X-Medlarcroft-Attempt-Id": "whole", **head}.items():
            connection.putheader(name, value)
        connection.endheaders()
        digest = hashlib.sha256()
        for piece in pieces:
            digest.update(piece)
            connection.send(piece if "Content-Length" in head else b"%x\r\n%b\r\n" % (len(piece), piece))
        if "Content-Length" not in head:
            connection.send(b"0\r\n\r\n")
        answer = connection.getresponse()
        self.assertEqual((answer.status, answer.read().decode()), (200, digest.hexdigest()))
        self.expect_bounds(watch)

    def pieces(self):
        return (number.to_bytes(8, "big") * 8192 for number in range(PAGES_BODY_BYTES // 65536))

    # Guards against a limit on bodies that is cut to a part of the memory.
    def test_length(self):
        self.send({"Content-Length": str(PAGES_BODY_BYTES)}, self.pieces())

    def test_chunks(self):
        self.send({"Transfer-Encoding": "chunked"}, self.pieces())


class CrowdTest(NodeTest):
    """Each crowd at each port, on a node of its own."""


def make_case(kind, port):
    return lambda self: self.play(kind, port)


for kind in COUNTS:
    for port in ("caller", "unknown_route", "readiness", "lookup", "metrics", "peer"):
        setattr(CrowdTest, f"test_{kind}_at_{port}", make_case(kind, port))


if __name__ == "__main__":
    unittest.main()
