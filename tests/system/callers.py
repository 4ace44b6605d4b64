"""Callers that behave like real clients: they use look-up responses, try the next host on
failure, and repeat an order with the same idempotency key until they know its outcome."""

import collections
import random
import threading
import time

from deployment import http

REQUEST_TIMEOUT_SECONDS = 8


class Order:
    """A non-idempotent request and all outcomes reported for it."""

    def __init__(self, key):
        self.key = key
        self.outcomes = []
        self.bodies = set()


class Callers:
    """Threads that send look-ups and orders until they are stopped."""

    def __init__(self, state, services, threads=6, seed=1):
        self.state = state
        self.services = services
        self.random = random.Random(seed)
        self.orders = []
        self.lookups = {"answered": 0, "refused": 0, "failed": 0}
        self.codes = collections.Counter()
        self.lost_connections = 0
        self.lock = threading.Lock()
        self.is_stopping = threading.Event()
        self.threads = [threading.Thread(target=self._run, args=(random.Random(seed + n),))
                        for n in range(threads)]

    def __enter__(self):
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self.is_stopping.set()
        for thread in self.threads:
            thread.join()

    def _run(self, rng):
        while not self.is_stopping.is_set():
            service, is_keyed = rng.choice(list(self.services.items()))
            try:
                if is_keyed:
                    self._order(service, rng)
                else:
                    self._look_up(service, rng)
            except OSError:
                with self.lock:
                    self.lookups["failed"] += 1
            time.sleep(0.01)

    def _look_up_hosts(self, service, rng):
        """Requests entry hosts from the steerds in random order, until one responds."""
        for steerd in rng.sample(self.state["steerd"], len(self.state["steerd"])):
            try:
                status, _, answer = http(
                    "GET", f"{steerd['url']}/v1/lookup?service={service}&brand=brand-a",
                    timeout=2)
            except OSError:
                continue
            if status == 200:
                return answer
        return {"entry_hosts": [], "idempotency_keys": []}

    def _look_up(self, service, rng):
        for host in self._look_up_hosts(service, rng)["entry_hosts"]:
            url = f"http://{host['address']}/v1/services/{service}/menu?n={rng.random()}"
            try:
                status, _, _ = http("GET", url, None,
                                    {"Medlar-Brand": "brand-a", "Medlar-Deadline-Ms": "2000"},
                                    REQUEST_TIMEOUT_SECONDS)
            except OSError:
                continue
            with self.lock:
                self.lookups["answered" if status == 200 else "refused"] += 1
            return

    def _order(self, service, rng):
        answer = self._look_up_hosts(service, rng)
        hosts = answer["entry_hosts"]
        keys = answer["idempotency_keys"] or self._request_keys(service, hosts)
        if not keys:
            return
        order = Order(keys[0])
        with self.lock:
            self.orders.append(order)
        for attempt in range(6):
            host = hosts[attempt % len(hosts)]
            outcome = self._send(service, order, host)
            if outcome == "ran":
                # A late duplicate must get the same response.
                if rng.random() < 0.3:
                    self._send(service, order, host)
                return
            time.sleep(0.2)

    @staticmethod
    def _request_keys(service, hosts):
        for host in hosts:
            url = f"http://{host['address']}/v1/keys?service={service}"
            try:
                status, _, answer = http("POST", url, b"", timeout=2)
            except OSError:
                continue
            if status == 201:
                return answer["idempotency_keys"]
        return []

    def _send(self, service, order, host):
        url = f"http://{host['address']}/v1/services/{service}/order"
        try:
            status, head, body = http(
                "POST", url, b'{"n":1}',
                {"Medlar-Brand": "brand-a", "Medlar-Deadline-Ms": "4000",
                 "Idempotency-Key": order.key}, REQUEST_TIMEOUT_SECONDS)
            outcome = head.get("Medlar-Outcome", "none")
        except OSError:
            status, outcome, body = 0, "no-answer", None
        with self.lock:
            order.outcomes.append(outcome)
            if outcome not in ("ran", "no-answer"):
                self.codes[f"{outcome} {body.get('code')}"] += 1
            if outcome == "ran" and status == 200:
                order.bodies.add(str(body))
            if outcome == "no-answer":
                self.lost_connections += 1
        return outcome


def runs_by_key(state):
    """Returns how often each key was started, over all targets."""
    runs = {}
    for target in state["targets"]:
        for run in http("GET", target["url"] + "/control/runs")[2]["runs"]:
            key = run["idempotency_key"]
            runs[key] = runs.get(key, 0) + run["count"]
    return runs


def check_orders(test, state, callers):
    """Asserts the guarantees that hold despite any failure. Returns the number of orders that ran."""
    runs = runs_by_key(state)
    orders = callers.orders
    for order in orders:
        count = runs.get(order.key, 0)
        test.assertLessEqual(count, 1, f"ran {count} times: {order.outcomes}")
        if "ran" in order.outcomes:
            test.assertEqual(count, 1, f"reported as run: {order.outcomes}")
        if order.outcomes and order.outcomes[-1] == "not-run":
            test.assertEqual(count, 0, f"reported as not run: {order.outcomes}")
        test.assertLessEqual(len(order.bodies), 1, "a duplicate got a different response")
    ran = sum(1 for order in orders if "ran" in order.outcomes)
    outcomes_reported = collections.Counter(outcome for order in orders for outcome in order.outcomes)
    print(f"\n  {len(orders)} orders, {ran} ran; outcomes: {dict(outcomes_reported)} {dict(callers.codes)};"
          f" look-ups: {callers.lookups}; connections lost: {callers.lost_connections}", flush=True)
    return ran


def shed_count(state):
    """Returns the number of requests that targets rejected because all slots were taken."""
    return sum(http("GET", target["url"] + "/control/runs")[2]["shed"]
               for target in state["targets"])
