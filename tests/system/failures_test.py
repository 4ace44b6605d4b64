"""Tests real processes under kills, pauses, restarts and outages. Asserts counts, never times."""

import os
import pathlib
import signal
import time
import unittest

from callers import Callers, check_orders, shed_count
from deployment import http, is_running, stop_all, wait_until
from small_deployment import ROOT, SERVICES, start_small_deployment

USES_KEYS = {service: mode != "none" for service, (_, mode, _, _) in SERVICES.items()}
NETWORK = 57


class FailuresTest(unittest.TestCase):
    """All tests share one deployment; each test ends with every daemon running and ready."""

    @classmethod
    def setUpClass(cls):
        cls.deployment = start_small_deployment("system-test", NETWORK)
        cls.state = cls.deployment.state

    @classmethod
    def tearDownClass(cls):
        stop_all(cls.state)

    def tearDown(self):
        http("PUT", self.state["platform"]["url"] + "/control/faults", b"{}")
        self.wait_settled()

    def wait_settled(self):
        """Waits until every host is ready and holds its own seat."""
        self.deployment.wait_ready()
        for daemon in self.state["entryd"]:
            wait_until(f"{daemon['host']} to hold its seat", lambda d=daemon: any(
                seat["standing"] == "held" and seat["failure_domain"] == d["failure_domain"]
                for seat in http("GET", d["url"] + "/v1/status")[2]["seats"]))
        time.sleep(1)

    def daemon(self, kind, host):
        return next(d for d in self.state[kind] if d["host"] == host)

    def restart(self, kind, host):
        """Restarts a daemon after it has exited."""
        daemon = self.daemon(kind, host)
        wait_until(f"{kind} on {host} to exit", lambda: not is_running(daemon["pid"]))
        daemon["pid"] = self.deployment.start_process(
            f"{host}-{kind}", ROOT / f"build/programs/medlar-{kind}",
            "--settings", pathlib.Path(self.deployment.work) / host / f"{kind}.yaml")

    def callers(self, seed):
        return Callers(self.state, USES_KEYS, seed=seed)

    # Without failures, every order runs once, every duplicate gets the same response, and no
    # target ever receives more requests than it has slots.
    def test_without_failure(self):
        before = shed_count(self.state)
        with self.callers(seed=1) as callers:
            time.sleep(3)
        self.assertEqual(check_orders(self, self.state, callers), len(callers.orders))
        self.assertEqual(callers.codes, {})
        self.assertEqual(callers.lost_connections, 0)
        self.assertEqual(shed_count(self.state), before)

    # entryd, which holds the ledger of a host's keys, is killed and restarts with an empty
    # ledger. Callers that retry with an old key must get "unknown" instead of a second run;
    # orders that never reached entryd must not be reported as run.
    def test_entryd_is_killed(self):
        with self.callers(seed=2) as callers:
            for _ in range(3):
                time.sleep(1)
                os.kill(self.daemon("entryd", "north-a-1")["pid"], signal.SIGKILL)
                self.restart("entryd", "north-a-1")
            time.sleep(1)
        self.assertGreater(check_orders(self, self.state, callers), 20)

    # steerd is killed under load. entryd continues with its last routes and its own seat, so
    # orders are not affected, and the other hosts answer look-ups.
    def test_steerd_is_killed(self):
        with self.callers(seed=3) as callers:
            for host in ("north-a-1", "south-a-1"):
                time.sleep(0.5)
                os.kill(self.daemon("steerd", host)["pid"], signal.SIGKILL)
                time.sleep(1)
                self.restart("steerd", host)
            time.sleep(1)
        self.assertGreater(check_orders(self, self.state, callers), 20)
        self.assertEqual(callers.lost_connections, 0)

    # A host is paused for longer than its leases and assumes afterwards that it still holds
    # them. It must confirm its seat before it dispatches, so that targets receive no more
    # requests than they have slots and no order twice.
    def test_entryd_is_paused(self):
        before = shed_count(self.state)
        pid = self.daemon("entryd", "north-a-2")["pid"]
        with self.callers(seed=4) as callers:
            time.sleep(0.5)
            os.kill(pid, signal.SIGSTOP)
            time.sleep(5)
            os.kill(pid, signal.SIGCONT)
            time.sleep(2)
        self.assertGreater(check_orders(self, self.state, callers), 20)
        self.assertEqual(shed_count(self.state), before)

    # The platform is down. Look-ups and orders with local keys continue everywhere; orders with
    # durable keys are rejected or unknown, but never run without a claim.
    def test_platform_is_down(self):
        http("PUT", self.state["platform"]["url"] + "/control/faults", b'{"down": true}')
        with self.callers(seed=5) as callers:
            time.sleep(4)
        self.assertGreater(check_orders(self, self.state, callers), 10)
        self.assertGreater(callers.lookups["answered"], 20)

    # The platform stores claims, but its responses are lost. The writer reads the row to find
    # out whose claim it is; until then nothing is dispatched, so nothing runs twice.
    def test_platform_loses_answers(self):
        http("PUT", self.state["platform"]["url"] + "/control/faults",
             b'{"answer_lost_after_effect": true}')
        with self.callers(seed=6) as callers:
            time.sleep(4)
        check_orders(self, self.state, callers)

    # The targets of one domain become slow, so that it can serve only a fraction of its demand.
    # The other domains report their spare capacity to its hosts, which forward part of the
    # orders there; each order still runs once, in whichever domain.
    def test_demand_is_shifted_to_other_domains(self):
        slow = [t for t in self.state["targets"] if t["failure_domain"] == "south-a"]
        for target in slow:
            http("PUT", target["url"] + "/control/faults", b'{"latency_ms": 300}')
        steerd = self.daemon("steerd", "south-a-1")
        with Callers(self.state | {"steerd": [steerd]}, USES_KEYS, threads=40, seed=8) as callers:
            time.sleep(10)
            shifts = [shift for service in USES_KEYS
                      for shift in http("GET", f"{steerd['url']}/v1/explain?service={service}")[2]
                      ["shifts"] if shift["from"] == "south-a" and shift["rate"] > 0]
            taken = sum(load.get("load", {}).get("shifted_in_per_second", 0)
                        for service in USES_KEYS
                        for load in http("GET", f"{steerd['url']}/v1/explain?service={service}")[2]
                        ["domains"])
        for target in slow:
            http("PUT", target["url"] + "/control/faults", b"{}")
        self.assertGreater(check_orders(self, self.state, callers), 50)
        self.assertGreater(len(shifts), 0)
        self.assertGreater(taken, 0)

    # An entry host is stopped as planned under load. Look-ups no longer return it, it serves
    # until the look-up responses that name it have expired, and no request in flight is
    # interrupted.
    def test_planned_stop_completes_requests_in_flight(self):
        with self.callers(seed=7) as callers:
            time.sleep(0.5)
            os.kill(self.daemon("entryd", "north-a-2")["pid"], signal.SIGTERM)
            self.restart("entryd", "north-a-2")
            time.sleep(0.5)
        check_orders(self, self.state, callers)
        self.assertEqual(callers.lost_connections, 0)
        self.assertEqual(callers.lookups["failed"], 0)
        log = (pathlib.Path(self.deployment.work) / "logs" / "north-a-2-entryd.log").read_text()
        self.assertIn('"event":"stopped","requests_cut":0', log)


if __name__ == "__main__":
    unittest.main(verbosity=2)
