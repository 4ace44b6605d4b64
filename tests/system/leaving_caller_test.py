"""Tests what the next request of a caller gets after the caller has left an earlier one."""

import http.client
import os
import re
import signal
import threading
import time
import unittest

from callers import runs_by_key
from deployment import http as send, is_running, stop_all, wait_until
from small_deployment import SERVICES, SLOTS, start_small_deployment

NETWORK = 65
SERVICE = "ledger"
SLOW_TARGET_MS = 2500
ORDER_TIMEOUT_SECONDS = 8


class LeavingCallerTest(unittest.TestCase):
    """All tests share one deployment; the last one stops an entry host."""

    @classmethod
    def setUpClass(cls):
        cls.deployment = start_small_deployment("system-leaving-caller", NETWORK)
        cls.state = cls.deployment.state
        cls.deployment.wait_ready()
        cls.entryd = cls.state["entryd"][0]
        cls.address = cls.entryd["url"].removeprefix("http://")
        cls.path = f"/v1/services/{SERVICE}/order"
        wait_until("a seat", lambda: any(
            seat["standing"] == "held" for seat in send("GET", cls.entryd["url"] + "/v1/status")[2]["seats"]))

    @classmethod
    def tearDownClass(cls):
        stop_all(cls.state)

    def key(self):
        return send("POST", f"{self.entryd['url']}/v1/keys?service={SERVICE}", b"")[2]["idempotency_keys"][0]

    @staticmethod
    def headers(key):
        deadline = SERVICES[SERVICE][2]
        return {"Medlar-Brand": "brand-a", "Medlar-Deadline-Ms": str(deadline), "Idempotency-Key": key}

    def order(self, key):
        return send("POST", self.entryd["url"] + self.path, b"{}", self.headers(key), ORDER_TIMEOUT_SECONDS)

    def set_latency(self, milliseconds):
        for target in self.state["targets"]:
            send("PUT", target["url"] + "/control/faults", b'{"latency_ms": %d}' % milliseconds)

    def leave(self, key, wait_seconds):
        """Sends an order and closes the connection without waiting for the answer."""
        connection = http.client.HTTPConnection(self.address)
        connection.request("POST", self.path, b"{}", self.headers(key))
        time.sleep(wait_seconds)
        connection.close()

    def open_requests(self):
        """Requests that the listener holds, without the one that asks."""
        text = send("GET", self.entryd["url"] + "/metrics")[2]
        return int(float(re.search(r"^medlar_http_in_flight (\S+)$", text, re.M)[1])) - 1

    # Guards against orders that reach a target although their caller has left: a host that was held up
    # read them, sent them on, and only then learned that nobody waits for the answer.
    def test_order_of_a_caller_that_left_before_it_was_read_is_not_sent(self):
        keys = [self.key() for _ in range(SLOTS)]
        os.kill(self.entryd["pid"], signal.SIGSTOP)
        for key in keys:
            self.leave(key, wait_seconds=0)
        os.kill(self.entryd["pid"], signal.SIGCONT)
        wait_until("every request to end", lambda: self.open_requests() == 0)
        runs = runs_by_key(self.state)
        self.assertEqual([runs.get(key, 0) for key in keys], [0] * SLOTS)

    # Guards against orders that never end: callers who closed their connection while their order was
    # queued got no answer to a retry, and a planned stop waited for its whole limit.
    def test_order_of_a_caller_that_left_can_be_retried(self):
        self.set_latency(SLOW_TARGET_MS)
        keys = [self.key() for _ in range(4 * SLOTS)]
        busy = [threading.Thread(target=self.order, args=(key,)) for key in keys]
        for thread in busy:
            thread.start()
        time.sleep(0.1)
        left = [self.key() for _ in range(SLOTS)]
        for key in left:
            self.leave(key, wait_seconds=0.1)
        self.set_latency(0)
        for thread in busy:
            thread.join()
        for key in left:
            status, head, _ = self.order(key)
            self.assertEqual((status, head["Medlar-Outcome"]), (200, "ran"))
        wait_until("every request to end", lambda: self.open_requests() == 0)

        os.kill(self.entryd["pid"], signal.SIGTERM)
        wait_until("the stop", lambda: not is_running(self.entryd["pid"]))

if __name__ == "__main__":
    unittest.main(verbosity=2)
