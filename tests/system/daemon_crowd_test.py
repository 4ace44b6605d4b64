"""Tests medlar-entryd and medlar-steerd on loopback with crowds of clients that don't behave, at their ports for HTTP
and for other hosts: they live, stay within their memory and descriptors, and serve an ordinary request beside each
crowd and after it. The limits are low, so that a small crowd reaches them."""

import http.client
import os
import resource
import socket
import time
import unittest

from client_crowds import MESSAGES, PIECE, Watch, crowd_of
from deployment import http as call
from deployment import stop_all
from small_deployment import start_small_deployment

NETWORK = 91
HOST = "south-a-1"
MEMORY_MB = 96
DESCRIPTORS = 600
SPARE_DESCRIPTORS = 32
MAX_REQUEST_BYTES = 4 * 1024 * 1024
PAGES_BODY_BYTES = 64 * 1024 * 1024
FRAME_BYTES = 4 * 1024 * 1024
WAIT_LIMIT_S = 20
# Connections of each crowd.
COUNTS = {"large_chunks": 40, "one_huge_chunk": 40, "tiny_chunks": 80, "short_lengths": 40, "short_small_lengths": 80,
          "over_the_limit_announced": 60, "over_all_numbers_announced": 60, "huge_chunk_announced": 60,
          "over_the_limit_sent": 40, "heads_without_end": 200,
          "extensions_without_end": 80, "trailers_without_end": 80, "whole_bodies": 40, "pipelined": 100, "silent": 700}
FRAME_COUNTS = {"short_frames": 40, "over_the_limit_announced_frames": 60, "frames_of_garbage": 40, "silent": 700}
MESSAGES |= {
    "short_frames": lambda _: [((FRAME_BYTES).to_bytes(4, "big"), 1), (b"a" * PIECE, FRAME_BYTES // PIECE - 1)],
    "over_the_limit_announced_frames": lambda _: [((2 ** 31 - 1).to_bytes(4, "big"), 1), (b"a" * PIECE, 64)],
    "frames_of_garbage": lambda _: [((FRAME_BYTES).to_bytes(4, "big"), 1), (b"a" * PIECE, FRAME_BYTES // PIECE)],
}
PORTS = {"entry": ("entryd", 17010), "lookup": ("steerd", 17001), "share": ("entryd", 17004), "peer": ("steerd", 17002),
         "routing": ("steerd", 17003)}
PATHS = {"entry": "/v1/services/desk/menu", "lookup": "/v1/catalogue/service.desk"}


def frame(payload):
    return len(payload).to_bytes(4, "big") + payload


# A call of a method that is not there, in the compact protocol: it is answered with an exception.
UNKNOWN_CALL = frame(b"\x82\x21\x01\x07unknown\x00")


class DaemonCrowdTest(unittest.TestCase):
    """All tests share one deployment, whose processes have low limits."""

    @classmethod
    def setUpClass(cls):
        allowed = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTORS, allowed[1]))
        try:
            cls.deployment = start_small_deployment("system-daemon-crowd", NETWORK, max_request_bytes=MAX_REQUEST_BYTES,
                                                    settings={"memory_mb": MEMORY_MB})
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, allowed)
        cls.state = cls.deployment.state
        cls.urls = {kind: next(daemon["url"] for daemon in cls.state[kind] if daemon["host"] == HOST)
                    for kind in ("entryd", "steerd")}
        cls.pids = {kind: next(daemon["pid"] for daemon in cls.state[kind] if daemon["host"] == HOST)
                    for kind in ("entryd", "steerd")}
        cls.address = cls.urls["entryd"].split("//")[1].split(":")[0]

    @classmethod
    def tearDownClass(cls):
        stop_all(cls.state)

    def is_served(self, port):
        if port == "entry":
            return call("POST", self.urls["entryd"] + PATHS["entry"], b"swap", {"Medlar-Brand": "brand-a"})[0] == 200
        if port == "lookup":
            return call("GET", self.urls["steerd"] + "/v1/lookup?service=desk&brand=brand-a")[0] == 200
        with socket.create_connection((self.address, PORTS[port][1]), timeout=5) as connection:
            connection.sendall(UNKNOWN_CALL)
            return len(connection.recv(4)) == 4

    def expect_service(self, port):
        """An ordinary client repeats its request until it is served."""
        end = time.monotonic() + WAIT_LIMIT_S
        while True:
            try:
                if self.is_served(port):
                    return
            except (OSError, http.client.HTTPException):
                pass
            self.assertLess(time.monotonic(), end, "an ordinary request is not served")
            time.sleep(0.1)

    def expect_bounds(self, kind, watch):
        self.assertTrue(os.path.exists(f"/proc/{self.pids[kind]}/fd"), "the process ended")
        self.assertLess(watch.most_memory_mb(), MEMORY_MB)
        self.assertLessEqual(watch.most_descriptors, DESCRIPTORS - SPARE_DESCRIPTORS)

    def play(self, crowd, port, count):
        kind, number = PORTS[port]
        watch = Watch(self.pids[kind])
        self.addCleanup(watch.stop)
        with crowd_of((self.address, number), crowd, PATHS.get(port), count):
            self.expect_service(port)
        self.expect_service(port)
        self.expect_service("entry")
        self.expect_bounds(kind, watch)


def make_case(crowd, port, count):
    return lambda self: self.play(crowd, port, count)


for crowd, count in COUNTS.items():
    for port in PATHS:
        setattr(DaemonCrowdTest, f"test_{crowd}_at_{port}", make_case(crowd, port, count))
for crowd, count in FRAME_COUNTS.items():
    for port in ("share", "peer", "routing"):
        setattr(DaemonCrowdTest, f"test_{crowd}_at_{port}", make_case(crowd, port, count))


if __name__ == "__main__":
    unittest.main()
