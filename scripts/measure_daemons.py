"""Benchmarks steerd and entryd as real processes on loopback.

  hop        latency that entryd adds, and its requests per second and core
  look-ups   look-ups of steerd per second and core
  rest       idle cost by number of hosts in one domain: CPU, memory, bytes,
             platform calls, time until a change is applied
  few-slots  the same with more hosts than a target has slots
  entries    idle cost of steerd and entryd by entries in the catalogue

Load is a closed loop on persistent connections. Rates per core are based on the CPU
time of the daemon, so that a slow load generator does not affect them. Each
result includes the load average of the machine. Stops only processes that it
started.
"""

import argparse
import concurrent.futures
import json
import multiprocessing
import pathlib
import shutil
import signal
import socket
import statistics
import sys
import time

import yaml

from deployment import ROOT, Deployment, http, stop_all
from process_meter import (ConnectionMeter, cpu_seconds_of, load_average,
                           resident_megabytes)

WORK = ROOT / "build/measure"
PROGRAMS = WORK / "programs"
OWNER, TOKEN, BRAND, SERVICE = "measure", "measure-daemons-token", "brand-a", "desk"
PORTS = {"lookup": 17001, "peer": 17002, "routing": 17003, "share": 17004, "entry": 17010}
PLATFORM_PORT = 17000
NETWORK = 71
SETTLE_SECONDS = 8
IDLE_SECONDS = 30
CALLERS = 4
TARGETS_PER_ENTRY = 12


class MeasuredDeployment(Deployment):
    """Runs copies of the programs, so that a concurrent build does not affect them."""

    def start_daemon(self, kind, domain, host, listen):
        pid = self.start_process(f"{host}-{kind}", PROGRAMS / f"medlar-{kind}",
                                 "--settings", self.work / host / f"{kind}.yaml")
        self.state[kind].append({"host": host, "failure_domain": domain,
                                 "url": f"http://{listen}", "pid": pid})

    def pids(self, kind):
        return [daemon["pid"] for daemon in self.state[kind]]


def service_entry(name, targets):
    return {"kind": "service", "entry": f"service.{name}", "owner": OWNER, "service": name,
            "request_class": {"name": "lookup", "key_mode": "none", "deadline_ms": 2000,
                              "queue_limit_ms": 500, "max_request_bytes": 16384,
                              "max_answer_bytes": 65536, "may_hedge": False,
                              "expected_service_time_us": 1000},
            "weights": {"latency": 1.0, "headroom": 1.0, "drain_time": 1.0},
            "brands": [{"brand": BRAND, "weight": 1.0}], "lookup_ttl_ms": 1000,
            "targets": targets}


def far_targets(name):
    return [{"name": f"{name}-{index}", "failure_domain": "far-a", "slots": 3,
             "max_connections": 330, "address": f"127.79.0.{index + 1}:18000"}
            for index in range(TARGETS_PER_ENTRY)]


def make_deployment(name, hosts, slots, target_count=1):
    """Makes a deployment of one domain with `hosts` hosts and few targets, and one domain without hosts."""
    work = WORK / name
    shutil.rmtree(work, ignore_errors=True)
    (work / "catalogue").mkdir(parents=True)
    targets = [{"name": f"desk-{number}", "failure_domain": "near-a", "slots": slots,
                "address": f"127.{NETWORK}.200.{number}:18000"}
               for number in range(1, target_count + 1)]
    entries = [{"kind": "failure-domain", "entry": f"failure-domain.{domain}",
                "owner": OWNER, "failure_domain": domain, "region": region, "seats": seats,
                "client_latency_us": 8000}
               for domain, region, seats in (("near-a", "near", hosts), ("far-a", "far", 1))]
    entries.append(service_entry(SERVICE, [target | {"max_connections": 330}
                                            for target in targets]))
    for entry in entries:
        (work / f"catalogue/{entry['entry']}.json").write_text(json.dumps(entry))
    plan = {"deployment": name, "platform": {"listen": f"127.{NETWORK}.0.1:{PLATFORM_PORT}"},
            "operators": [{"owner": OWNER, "token": TOKEN, "brand": BRAND}], "ports": PORTS,
            "failure_domains": [
                {"name": "near-a", "region": "near",
                 "entry_hosts": [{"host": f"near-a-{host}", "address": f"127.{NETWORK}.1.{host}"}
                                 for host in range(1, hosts + 1)]}],
            "drain": {"pause_ms": 1000, "limit_ms": 5000},
            "targets": [target | {"service": SERVICE, "service_time_ms": 1}
                        for target in targets],
            "catalogue": [f"catalogue/{entry['entry']}.json" for entry in entries]}
    (work / "deployment.yaml").write_text(yaml.safe_dump(plan))
    return MeasuredDeployment(work, work)


def put_entry(deployment, entry):
    status, _, body = http(
        "PUT", f"{deployment.state['steerd'][0]['url']}/v1/catalogue/{entry['entry']}",
        json.dumps(entry).encode(),
        {"Authorization": f"Bearer {TOKEN}", "If-None-Match": "*",
         "Content-Type": "application/json"})
    if status not in (200, 201):
        raise SystemExit(f"{entry['entry']} was rejected: {status} {body}")


def revision_of(daemon):
    return http("GET", daemon["url"] + "/v1/status")[2]["catalogue"]["revision"]


class Connection:
    """A persistent connection; responses must have a Content-Length."""

    def __init__(self, url):
        address, port = url.removeprefix("http://").split(":")
        self.socket = socket.create_connection((address, int(port)), timeout=10)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def get(self, request):
        """Sends `request`; returns (status, seconds)."""
        start = time.perf_counter()
        self.socket.sendall(request)
        answer = b""
        while b"\r\n\r\n" not in answer:
            part = self.socket.recv(65536)
            if not part:
                raise SystemExit("the daemon closed a connection during the measurement")
            answer += part
        head, _, body = answer.partition(b"\r\n\r\n")
        length = int(head.lower().split(b"content-length:")[1].split(b"\r\n")[0])
        while len(body) < length:
            body += self.socket.recv(65536)
        return int(head.split()[1]), time.perf_counter() - start


def request_bytes(path):
    return (f"GET {path} HTTP/1.1\r\nHost: measure\r\nMedlar-Brand: {BRAND}\r\n"
            "Medlar-Deadline-Ms: 2000\r\n\r\n").encode()


def send_in_loop(url, path, seconds, answers):
    connection, request = Connection(url), request_bytes(path)
    limit, successes, failures = time.monotonic() + seconds, 0, 0
    while time.monotonic() < limit:
        status, _ = connection.get(request)
        successes, failures = successes + (status == 200), failures + (status != 200)
    answers.put((successes, failures))


def run_closed_loop(url, path, seconds, pids):
    """Returns the counts of responses, the rate, and the rate per core of `pids`."""
    answers = multiprocessing.Queue()
    callers = [multiprocessing.Process(target=send_in_loop, args=(url, path, seconds, answers))
               for _ in range(CALLERS)]
    before = cpu_seconds_of(pids)
    for caller in callers:
        caller.start()
    counts = [answers.get(timeout=seconds + 30) for _ in callers]
    for caller in callers:
        caller.join()
    cpu_seconds = cpu_seconds_of(pids) - before
    successes, failures = (sum(column) for column in zip(*counts))
    return {"callers": CALLERS, "answered": successes, "other_answers": failures,
            "per_second": round(successes / seconds), "processor_seconds": round(cpu_seconds, 2),
            "per_core_second": round((successes + failures) / cpu_seconds)}


def percentiles(seconds):
    cuts = statistics.quantiles(seconds, n=100)
    return {"p50_us": round(cuts[49] * 1e6), "p99_us": round(cuts[98] * 1e6)}


def measure_hop(_):
    deployment = make_deployment("hop", 1, 32)
    try:
        deployment.start()
        entry = deployment.state["entryd"][0]
        routes = {"direct": (Connection(deployment.state["targets"][0]["url"]),
                             request_bytes("/dish")),
                  "entryd": (Connection(entry["url"]),
                             request_bytes(f"/v1/services/{SERVICE}/dish"))}
        times = {route: [] for route in routes}
        other_answers = 0
        # Alternates, so that other work on the machine affects both equally.
        for number in range(4000):
            for route, (connection, request) in routes.items():
                status, seconds = connection.get(request)
                other_answers += status != 200
                if number >= 200:
                    times[route].append(seconds)
        result = {route: percentiles(taken) for route, taken in times.items()}
        for name in ("p50_us", "p99_us"):
            result[f"added_{name}"] = result["entryd"][name] - result["direct"][name]
        result["other_answers"] = other_answers
        result["closed_loop"] = run_closed_loop(entry["url"], f"/v1/services/{SERVICE}/dish", 10,
                                                [entry["pid"]])
        result["entryd_mb_after"] = round(resident_megabytes([entry["pid"]]), 1)
        yield result
    finally:
        stop_all(deployment.state)


def measure_lookups(_):
    for hosts in (1, 8):
        deployment = make_deployment(f"lookups-{hosts}", hosts, 32)
        try:
            deployment.start()
            time.sleep(SETTLE_SECONDS)
            steerd = deployment.state["steerd"][0]
            path = f"/v1/lookup?service={SERVICE}&brand={BRAND}&client=10.1.2.3"
            body = json.dumps(http("GET", steerd["url"] + path)[2])
            yield ({"hosts": hosts, "answer_bytes": len(body)}
                   | run_closed_loop(steerd["url"], path, 10, [steerd["pid"]])
                   | {"steerd_mb_after": round(resident_megabytes([steerd["pid"]]), 1)})
        finally:
            stop_all(deployment.state)


def measure_idle_cost(deployment, seconds):
    """Returns the idle cost of each daemon, as means over the hosts."""
    hosts = len(deployment.state["steerd"])
    platform = deployment.state["platform"]["url"]
    pids = {kind: deployment.pids(kind) for kind in ("steerd", "entryd")}
    before = {kind: cpu_seconds_of(ids) for kind, ids in pids.items()}
    counts = http("GET", platform + "/control/stats")[2]
    meter, start = ConnectionMeter(NETWORK), time.monotonic()
    while time.monotonic() - start < seconds:
        time.sleep(2)
        meter.sample()
    elapsed = time.monotonic() - start
    result = {"hosts": hosts, "seconds": round(elapsed, 1)}
    for kind, ids in pids.items():
        cpu_seconds = cpu_seconds_of(ids) - before[kind]
        result[f"{kind}_core_percent"] = round(100 * cpu_seconds / elapsed / hosts, 3)
        result[f"{kind}_mb"] = round(resident_megabytes(ids), 2)
    after = http("GET", platform + "/control/stats")[2]
    for what in ("reads", "writes"):
        result[f"platform_{what}_per_second"] = round((after[what] - counts[what]) / elapsed, 2)
    names = {port: name for name, port in PORTS.items()} | {PLATFORM_PORT: "platform"}
    for port, (size, connections) in sorted(meter.bytes_by_port().items()):
        if port in names:
            result[f"{names[port]}_bytes_per_second_a_host"] = round(size / elapsed / hosts)
            result[f"{names[port]}_connections"] = connections
    return result


def measure_change_delays(deployment, number):
    """Returns the seconds from the PUT until each host has applied the change, sorted."""
    revision = revision_of(deployment.state["steerd"][0]) + 1
    start = time.monotonic()
    put_entry(deployment, service_entry(f"change-{number}", far_targets(f"change-{number}")))

    def wait(daemon):
        while revision_of(daemon) < revision:
            if time.monotonic() - start > 60:
                return 60.0
            time.sleep(0.05)
        return time.monotonic() - start

    with concurrent.futures.ThreadPoolExecutor(len(deployment.state["steerd"])) as pool:
        return sorted(pool.map(wait, deployment.state["steerd"]))


def count_calls_after_change(deployment, number):
    """Returns the number of platform calls in the 18 s that a change may take."""
    platform, seconds = deployment.state["platform"]["url"], 18
    before = http("GET", platform + "/control/stats")[2]
    measure_change_delays(deployment, number)
    time.sleep(seconds)
    after = http("GET", platform + "/control/stats")[2]
    return {f"after_a_change_{what}": after[what] - before[what] for what in ("reads", "writes")}


def measure_idle(sizes, slots=64, target_count=1):
    for hosts in sizes or (2, 4, 8, 16, 32, 48):
        deployment = make_deployment(f"rest-{hosts}", hosts, slots, target_count)
        try:
            start = time.monotonic()
            deployment.start()
            started = time.monotonic() - start
            time.sleep(SETTLE_SECONDS)
            result = measure_idle_cost(deployment, IDLE_SECONDS)
            result["all_ready_after_seconds"] = round(started, 1)
            result["slots"] = slots
            if hosts in (8, 48):
                result |= count_calls_after_change(deployment, 100)
                times = [each for number in range(5) for each in measure_change_delays(deployment, number)]
                result["in_force_median_seconds"] = round(statistics.median(times), 2)
                result["in_force_worst_seconds"] = round(max(times), 2)
            yield result
        finally:
            stop_all(deployment.state)


def measure_entries(counts):
    deployment = make_deployment("entries", 2, 8)
    try:
        deployment.start()
        entry_count = len(deployment.plan["catalogue"])
        for count in counts or (100, 1000, 5000):
            start, before = time.monotonic(), entry_count
            for number in range(entry_count, count):
                put_entry(deployment, service_entry(f"extra-{number}",
                                                    far_targets(f"extra-{number}")))
            entry_count = count
            put_seconds = time.monotonic() - start
            while any(revision_of(each) < entry_count for each in deployment.state["steerd"]):
                time.sleep(0.1)
            in_force = time.monotonic() - start
            time.sleep(SETTLE_SECONDS)
            yield ({"entries": count, "put_ms_each": round(1000 * put_seconds / (count - before), 1),
                    "last_in_force_after_seconds": round(in_force - put_seconds, 2)}
                   | measure_idle_cost(deployment, IDLE_SECONDS / 2))
    finally:
        stop_all(deployment.state)


def measure_few_slots(sizes):
    """Like `rest`, but each target has fewer slots than there are hosts."""
    yield from measure_idle(sizes or (16,), slots=8, target_count=12)


MEASUREMENTS = {"few-slots": measure_few_slots, "hop": measure_hop, "look-ups": measure_lookups, "rest": measure_idle,
                "entries": measure_entries}


def stop_on_signal(_signal, _frame):
    # Guards against daemons that stay running when a time limit terminates this
    # program. Raising an exception runs each `finally`, which stops them.
    raise SystemExit("terminated by a signal")


def main():
    signal.signal(signal.SIGTERM, stop_on_signal)
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("what", choices=MEASUREMENTS)
    parser.add_argument("sizes", type=int, nargs="*", help="numbers of hosts or entries")
    parser.add_argument("--programs", type=pathlib.Path, default=ROOT / "build/programs",
                        help="folder of the daemons, such as that of another build to compare with")
    options = parser.parse_args()
    PROGRAMS.mkdir(parents=True, exist_ok=True)
    for program in ("medlar-steerd", "medlar-entryd"):
        # Replaces the file instead of overwriting it: the old program may still be running.
        (PROGRAMS / program).unlink(missing_ok=True)
        shutil.copy2(options.programs / program, PROGRAMS / program)
    for result in MEASUREMENTS[options.what](options.sizes):
        line = json.dumps({"measured": options.what, "load_average": round(load_average(), 1)}
                          | result)
        print(line, flush=True)
        with open(WORK / "results.jsonl", "a", encoding="utf-8") as results:
            results.write(line + "\n")


if __name__ == "__main__":
    sys.exit(main())
