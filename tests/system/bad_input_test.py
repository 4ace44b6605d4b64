"""Tests malformed, oversized, forged and slow input to real processes: each is rejected with
an error code and counted, and concurrent normal callers are not affected."""

import json
import random
import re
import socket
import time
import unittest

from callers import Callers, check_orders
from deployment import http, stop_all
from small_deployment import SERVICES, TOKEN, start_small_deployment

USES_KEYS = {service: mode != "none" for service, (_, mode, _, _) in SERVICES.items()}
NETWORK = 62
HOST = "south-a-1"
MAX_REQUEST_BYTES = 16384


NUMBER = "(0|[1-9a-f][0-9a-f]*)"
WELL_FORMED_KEY = re.compile(f"k1:[ld]:[A-Za-z0-9_.-]{{1,64}}:{NUMBER}:{NUMBER}:{NUMBER}:[0-9a-f]{{32}}")


class BadInputTest(unittest.TestCase):
    """All tests share one deployment; normal callers run during each test."""

    @classmethod
    def setUpClass(cls):
        cls.deployment = start_small_deployment("system-bad-input", NETWORK)
        cls.state = cls.deployment.state
        cls.entry = next(d["url"] for d in cls.state["entryd"] if d["host"] == HOST)
        cls.steer = next(d["url"] for d in cls.state["steerd"] if d["host"] == HOST)
        cls.address = cls.entry.split("//")[1].split(":")[0]

    @classmethod
    def tearDownClass(cls):
        stop_all(cls.state)

    def setUp(self):
        self.callers = Callers(self.state, USES_KEYS, threads=4, seed=11)
        self.callers.__enter__()

    def tearDown(self):
        time.sleep(1)
        self.callers.__exit__()
        self.assertEqual(check_orders(self, self.state, self.callers),
                         len(self.callers.orders))
        self.assertGreater(self.callers.lookups["answered"], 10)
        self.assertEqual(self.callers.lookups["failed"] + self.callers.lookups["refused"], 0)
        self.assertEqual(self.callers.lost_connections, 0)

    def send(self, service="desk", method="GET", body=None, **headers):
        fields = {"Medlar-Brand": "brand-a"} | {
            name.replace("_", "-"): value for name, value in headers.items()}
        return http(method, f"{self.entry}/v1/services/{service}/menu", body,
                    {name: value for name, value in fields.items() if value is not None})

    def assert_refused(self, answer, status, code):
        self.assertEqual((answer[0], answer[2]["code"]), (status, code))
        self.assertEqual(answer[1]["Content-Type"], "application/problem+json")
        self.assertEqual(answer[1]["Medlar-Outcome"], "not-run")

    def count(self, url, name):
        text = http("GET", url + "/metrics")[2]
        return sum(float(value) for value in
                   re.findall(rf"^{name}(?:{{[^}}]*}})? (\S+)$", text, re.MULTILINE))

    def key(self):
        return http("POST", f"{self.entry}/v1/keys?service=ledger", b"")[2][
            "idempotency_keys"][0]

    def open(self, port):
        return socket.create_connection((self.address, port), timeout=10)

    def raw(self, data):
        with self.open(17010) as connection:
            connection.sendall(data)
            return connection.recv(65536).decode(errors="replace")

    # A request head exceeds the size limit. It must be rejected before it uses more than the
    # fixed buffer of its connection.
    def test_oversized_head(self):
        head = "GET /v1/services/desk/menu HTTP/1.1\r\nHost: a\r\nX-Large: %s\r\n\r\n"
        self.assertRegex(self.raw((head % ("x" * 100000)).encode()), "^HTTP/1.1 431 ")
        line = "GET /v1/services/desk/%s HTTP/1.1\r\nHost: a\r\n\r\n" % ("y" * 100000)
        self.assertRegex(self.raw(line.encode()), "^HTTP/1.1 (414|431) ")

    # A body above the limit of its request class is read to its end and discarded, so that the
    # caller receives the error response instead of a connection reset. No target receives it.
    def test_oversized_body(self):
        before = self.count(self.entry, "medlar_http_bodies_too_large_total")
        answer = self.send("ledger", "POST", b"x" * (MAX_REQUEST_BYTES + 1),
                           Idempotency_Key=self.key())
        self.assert_refused(answer, 413, "body-too-large")
        self.assertEqual(self.count(self.entry, "medlar_http_bodies_too_large_total"),
                         before + 1)

    # Callers send malformed or forged header fields. Each error has its own code, states that
    # nothing ran, and is counted.
    def test_bad_fields(self):
        cases = [({"Medlar_Deadline_Ms": value}, 400, "bad-deadline")
                 for value in ("", "x", "-1", "0", "1.5", "99999999999999999999")]
        cases += [({"Medlar_Brand": None}, 400, "missing-brand"),
                  ({"Medlar_Brand": "a/b"}, 400, "bad-brand"),
                  ({"Medlar_Forwarded_By": "north-a-1"}, 403, "bad-forward"),
                  ({"Medlar_Forwarded_By": "north-a-1", "Medlar_Forward_Proof": "00" * 32},
                   403, "bad-forward")]
        before = self.count(self.entry, "medlar_http_client_errors_total")
        for fields, status, code in cases:
            with self.subTest(fields=fields):
                self.assert_refused(self.send(**fields), status, code)
        self.assertGreaterEqual(self.count(self.entry, "medlar_http_client_errors_total"),
                                before + len(cases))

    # A look-up names a client that is not a valid address. A response for another location
    # would look like one for this client, so it is rejected with its own error code.
    def test_bad_client_address(self):
        path = f"{self.steer}/v1/lookup?service=desk&brand=brand-a"
        for client, status in (("999.1.1.1", 400), ("", 400), ("x", 400), ("10.1.2.3", 200), (None, 200)):
            with self.subTest(client=client):
                answer = http("GET", path + ("" if client is None else f"&client={client}"))
                self.assertEqual(answer[0], status)
                if status == 400:
                    self.assertEqual(answer[2]["code"], "bad-client-address")

    # Idempotency keys are missing, malformed, altered or reused for another body. None of these
    # requests may run; a key altered in one character must not be accepted.
    def test_bad_keys(self):
        self.assert_refused(self.send("ledger", "POST", b"{}"), 400, "missing-key")
        good = self.key()
        rng = random.Random(1)
        for _ in range(40):
            place = rng.randrange(len(good))
            character = rng.choice([c for c in "0123456789abcdefABCDEF" if c.lower() !=
                                    good[place].lower()])
            forged = good[:place] + character + good[place + 1:]
            status, head, body = self.send("ledger", "POST", b"{}", Idempotency_Key=forged)
            self.assertIn((status, body["code"]), ((400, "bad-key"), (410, "key-expired")))
            # A well-formed key may have been signed with a replaced secret or have a later
            # version: then the host cannot know whether the request ran.
            if WELL_FORMED_KEY.fullmatch(forged):
                self.assertEqual(head["Medlar-Outcome"], "unknown")
            self.assertIn(head["Medlar-Outcome"], ("unknown", "not-run"))
        for key in ("x", "y" * 4000, "../../etc"):
            self.assert_refused(self.send("ledger", "POST", b"{}", Idempotency_Key=key),
                                400, "bad-key")
        self.assertEqual(self.send("ledger", "POST", b'{"a":1}', Idempotency_Key=good)[0], 200)
        status, _, body = self.send("ledger", "POST", b'{"a":2}', Idempotency_Key=good)
        self.assertEqual((status, body["code"]), (422, "key-reused"))

    # An operator's tool sends invalid catalogue entries. They are rejected with an error code,
    # and the catalogue revision does not change.
    def test_bad_catalogue_documents(self):
        url = self.steer + "/v1/catalogue/service.desk"
        revision = http("GET", self.steer + "/v1/status")[2]["catalogue"]["revision"]
        head = {"Authorization": f"Bearer {TOKEN}"}
        version = http("GET", url, None, head)[1]["ETag"]
        for text in (b"", b"{", b"[]", b"null", b"\xff\xfe", b"{}", b"[" * 5000,
                     json.dumps({"kind": "service", "entry": "service.desk"}).encode()):
            with self.subTest(text=text[:20]):
                status, fields, body = http("PUT", url, text, head | {"If-Match": version})
                self.assertIn(status, (400, 422))
                self.assertIn("code", body)
                self.assertEqual(fields["Medlar-Outcome"], "not-run")
        self.assertEqual(http("GET", self.steer + "/v1/status")[2]["catalogue"]["revision"],
                         revision)

    # Internal listeners receive random bytes and frames that announce an excessive length. Each
    # such connection is closed and counted; other connections are not affected.
    def test_bad_frames(self):
        rng = random.Random(2)
        listeners = {17002: self.steer, 17003: self.steer, 17004: self.entry}
        name = "medlar_thrift_bad_frames_total"
        before = {port: self.count(url, name) for port, url in listeners.items()}
        for port, url in listeners.items():
            with self.subTest(port=port):
                for number in range(20):
                    random_bytes = rng.randbytes(200)
                    data = (b"\xff\xff\xff\xff" + random_bytes, b"\x00\x00\x00\x00",
                            len(random_bytes).to_bytes(4, "big") + random_bytes)[number % 3]
                    with self.open(port) as connection:
                        connection.sendall(data)
                        try:
                            while connection.recv(4096):
                                pass
                        except ConnectionResetError:
                            pass
                self.assertGreaterEqual(self.count(url, name), before[port] + 13)

    # Many connections stay idle or send one byte at a time. They must not block a thread, so
    # other callers are served as usual.
    def test_slow_and_idle_connections(self):
        connections = [self.open(17010) for _ in range(400)]
        head = b"GET /v1/services/desk/menu HTTP/1.1\r\n"
        try:
            for place in range(20):
                for connection in connections[:100]:
                    connection.sendall(head[place:place + 1])
                time.sleep(0.05)
            self.assertEqual(self.send()[0], 200)
        finally:
            for connection in connections:
                connection.close()


if __name__ == "__main__":
    unittest.main(verbosity=2)
