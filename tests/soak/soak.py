"""A soak: real medlar-node processes on loopback, with faults from outside, in series and overlapping.

    tests/soak/soak.py --seed 7 --rounds 12       one plan; the same seed gives the same plan
    tests/soak/soak.py --first 11 --seeds 50      the 50 seeds from 11 on, one after the other
    tests/soak/soak.py --net 127.81               on addresses of its own, beside another soak

While it runs, callers and targets keep accounts. Broken promises are printed and make it fail:
an order that ran twice; an order that was told "not run" and ran; an answer that is not the caller's own or not
whole; a route denied that was in force, or not in force in time after the store hung; a leaving target that gets new work; a request that a planned stop cut;
a request that is still sent to targets after it crashed three of them; a target that receives more than its rate limit.
Times are generous: a promise is never broken by a slow machine.
"""

import argparse
import http.client
import pathlib
import random
import signal
import sys
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT / "tests/system"))

from faulty_link import FaultyLink  # noqa: E402
from platform_standins import Store, Target  # noqa: E402
import platform_test  # noqa: E402
from platform_test import LIMIT_S, ROUTES, Node, configuration, route, wait_for  # noqa: E402

# Of its own, so that a soak may run beside the system tests.
NET = platform_test.NET = "127.79"


def use_net(net):
    global NET
    NET = platform_test.NET = net


NODES = 3
CALLERS = 6
LEFT_S = 4.0  # A leaving target gets nothing new after this.
BLOCK_LIMIT_S = 5.0  # After the third crash: 4 s in-touch bound plus a margin.
LIMIT_PER_S, LIMIT_SETTLE_S, LIMIT_WINDOW_S = 3.0, 1.0, 4.0
IN_FORCE_S = 5.0  # Hosts are in step 4 s after the store hung; and a second.


class Account:
    """What callers saw, by request."""

    def __init__(self):
        self.lock = threading.Lock()
        self.orders_refused, self.cut, self.broken = [], [], []
        self.served = 0

    def fault(self, text):
        with self.lock:
            self.broken.append(text)


class Deployment:
    """Nodes, targets and the store, each behind a link of its own."""

    def __init__(self, folder, seed):
        self.folder, self.port = folder, 20000 + seed % 50 * 200
        self.version, self.routes = 1, list(ROUTES)
        self.store = Store((f"{NET}.0.1", 0))
        self.store.put_json("op", "config", configuration(1, self.routes))
        self.links, self.targets, self.left = [], {}, []
        self.store_link = self._link(f"{NET}.0.2", self.store.server.server_address)
        for service in ("desk", "desk", "ledger", "ledger"):
            self.add_target(service)
        self.nodes = {}
        for number in range(1, NODES + 1):
            self.start(number)
        for node in self.nodes.values():
            wait_for(node.is_ready)

    def _link(self, ip, target):
        self.port += 1
        link = FaultyLink((ip, self.port), target)
        self.links.append(link)
        return link

    def add_target(self, service):
        self.port += 1
        name = f"{service}-{self.port}"
        target = Target(self.store, name, service, "z1", (f"{NET}.2.1", self.port))
        target.link = self._link(f"{NET}.2.2", target.server.server_address)
        target.entry["address"] = target.link.address
        target.on_crash, target.on_restart = target.link.refuse, target.link.listen
        self.store.put_json("servers", name, target.entry)
        self.targets[name] = target

    def start(self, number):
        self.nodes[number] = Node(self.folder, number, 0, store=self.store_link.address)

    def of_service(self, service):
        return [target for target in self.targets.values() if target.entry["info"]["service"] == service]

    def change(self):
        self.version += 1
        self.store.put_json("op", "config", configuration(self.version, self.routes))

    def add_route(self):
        self.version += 1
        added = route(f"added-{self.version}", f"/added-{self.version}/", "idempotent", "desk")
        self.store.put_json("op", "config", configuration(self.version, self.routes + [added]))
        for node in self.nodes.values():
            wait_for(lambda n=node: self._serves(n, f"/added-{self.version}/x"))
        self.routes.append(added)

    @staticmethod
    def _serves(node, path):
        try:
            return node.call(path, f"probe-{random.random()}")[0].status == 200
        except (OSError, http.client.HTTPException):
            return False

    def runs(self):
        runs = {}
        for target in list(self.targets.values()) + self.left:
            for request in target.ran:
                runs[request] = runs.get(request, 0) + 1
        return runs

    def close(self):
        for node in self.nodes.values():
            node.process.kill()
            node.process.wait()
        for link in self.links:
            link.close()
        for target in list(self.targets.values()) + self.left:
            target.stop()
        self.store.server.shutdown()


class Caller(threading.Thread):
    """Asks one node after the other, on connections that it keeps until they end."""

    def __init__(self, deployment, account, number):
        super().__init__(daemon=True)
        self.deployment, self.account, self.number = deployment, account, number
        self.random = random.Random(number)
        self.connections, self.is_over = {}, False

    def run(self):
        count = 0
        while not self.is_over:
            count += 1
            is_order = self.random.random() < 0.4
            self.ask(f"{'order' if is_order else 'lookup'}-{self.number}-{count}", is_order)
            time.sleep(0.01)

    def ask(self, request, is_order):
        known = [entry["spec"]["prefix"] for entry in self.deployment.routes]
        prefix = "/order/" if is_order else self.random.choice([path for path in known if path != "/order/"])
        path, body = f"{prefix}{request}", request.encode() if is_order else None
        number = self.random.randint(1, NODES)
        node = self.deployment.nodes[number]
        connection = self.connections.get(number)
        if connection is None or connection[0] is not node:
            connection = (node, http.client.HTTPConnection(*node.caller, timeout=12))
            self.connections[number] = connection
        try:
            answer, text = node.call(path, request, "POST" if is_order else "GET", body, connection[1])
        except (OSError, http.client.HTTPException):
            self.connections.pop(number)
            connection[1].close()
            with self.account.lock:
                self.account.cut.append((time.monotonic(), number, request))
            return
        self.judge(request, path, body or b"", is_order, answer, text)

    def judge(self, request, path, body, is_order, answer, text):
        account = self.account
        if answer.headers.get("X-Medlarcroft-Attempt-Id", request) != request:
            account.fault(f"{request}: the answer of another request")
        elif answer.status == 200 and text != path.encode() + body:
            account.fault(f"{request}: not its own whole answer: {text[:60]!r}")
        elif answer.status == 404:
            account.fault(f"{request}: {path} denied, though in force")
        with account.lock:
            account.served += answer.status == 200
            if is_order and answer.status in (429, 503):
                account.orders_refused.append(request)


class Soak:
    """Plays one seed's plan: rounds of one or two faults, each healed, with planned work between."""

    def __init__(self, deployment, account, seed):
        self.deployment, self.account = deployment, account
        self.random = random.Random(seed)
        self.hang_random = random.Random(f"hangs of {seed}")  # The other faults of a seed stay as they are.
        self.crash_random = random.Random(f"crashes of {seed}")
        self.crash_count = 0
        self.limit_random = random.Random(f"limits of {seed}")
        self.log = []

    def round(self, index):
        faults = self.random.sample([self.kill, self.pause, self.harm_store, self.harm_target, self.refuse], 2)
        overlaps = self.random.random() < 0.5
        names = [fault.__name__ for fault in faults]
        self.log.append(f"round {index}: " + (" and ".join(names) if overlaps else names[0]))
        heal = [fault() for fault in (faults if overlaps else faults[:1])]
        time.sleep(self.random.uniform(0.5, 2.0))
        for done in heal:
            done()
        for node in self.deployment.nodes.values():
            wait_for(node.is_ready)
        planned = [self.stop, self.leave, self.deployment.add_route][index % 3]
        self.log.append(f"round {index}: {planned.__name__}")
        planned()
        if self.hang_random.random() < 0.5:
            self.log.append(f"round {index}: hang")
            self.hang()
        if self.crash_random.random() < 0.4:
            self.log.append(f"round {index}: crash")
            self.crash()
        if self.limit_random.random() < 0.4:
            self.log.append(f"round {index}: limit")
            self.limit()

    def kill(self):
        number = self.random.randint(1, NODES)
        node = self.deployment.nodes[number]
        node.process.kill()
        node.process.wait()
        return lambda: self.deployment.start(number)

    def pause(self):
        process = self.deployment.nodes[self.random.randint(1, NODES)].process
        process.send_signal(signal.SIGSTOP)
        return lambda: process.send_signal(signal.SIGCONT)

    def harm_store(self):
        return self._harm(self.deployment.store_link)

    def harm_target(self):
        name = self.random.choice(sorted(self.deployment.targets))
        return self._harm(self.deployment.targets[name].link)

    def _harm(self, link):
        link.set(self.random.choice(["late", "reset", "silent", "one_way"]))
        return lambda: link.set("pass")

    def refuse(self):
        self.deployment.store.refuse_with = self.random.choice([429, 503])

        def heal():
            self.deployment.store.refuse_with = None
        return heal

    def hang(self):
        """The store hangs just as hosts ask what comes next, and accepts a change right after it."""
        store = self.deployment.store
        self.deployment.change()
        time.sleep(0.05)
        store.is_hung = True
        time.sleep(self.hang_random.uniform(0.3, 1.2))
        store.is_hung = False
        ended = time.monotonic()
        self.deployment.add_route()
        took = time.monotonic() - ended
        if took > IN_FORCE_S:
            self.account.fault(f"a route was in force {took:.1f} s after the store hung")

    def crash(self):
        """A request crashes each target that runs it and is retried at random nodes."""
        self.crash_count += 1
        path = f"/lookup/crash-{self.crash_count}"
        desks = self.deployment.of_service("desk")
        for target in desks:
            target.crash_paths.add(path)

        def sends():
            return sorted(at for target in desks for at, ran in target.ran_paths if ran == path)

        def ask():
            node = self.deployment.nodes[self.crash_random.randint(1, NODES)]
            try:
                node.call(path, f"crash-{self.crash_count}-{time.monotonic()}")
            except (OSError, http.client.HTTPException):
                pass
            time.sleep(0.05)
        end = time.monotonic() + LIMIT_S
        while len(sends()) < 3 and time.monotonic() < end:
            ask()
        if len(sends()) >= 3:
            end = sends()[2] + BLOCK_LIMIT_S + 4.0
            while time.monotonic() < end:
                ask()
            late = [at for at in sends() if at > sends()[2] + BLOCK_LIMIT_S]
            if len(late) > 3:
                self.account.fault(f"{path}: sent {len(late)} times after the limit, {len(sends())} in total")
        time.sleep(1.5)  # Until all targets have restarted.

    def limit(self):
        """A target declares a rate limit for all nodes together and later withdraws it."""
        target = self.limit_random.choice(self.deployment.of_service("desk"))
        target.limit_per_s = LIMIT_PER_S
        time.sleep(LIMIT_SETTLE_S)
        began = time.monotonic()
        time.sleep(2 * LIMIT_WINDOW_S)
        target.limit_per_s = None
        arrivals = [at for at, _ in target.ran_paths if at >= began]
        most = max((len([at for at in arrivals if begin <= at < begin + LIMIT_WINDOW_S]) for begin in arrivals), default=0)
        if most > 1.5 * LIMIT_PER_S * LIMIT_WINDOW_S + 5:
            self.account.fault(f"{target.name}: {most} requests in {LIMIT_WINDOW_S} s with a rate limit of {LIMIT_PER_S} per second")

    def stop(self):
        """A planned stop, with nothing else wrong: what was passed on is answered."""
        time.sleep(LEFT_S)
        number = self.random.randint(1, NODES)
        node, began = self.deployment.nodes[number], time.monotonic()
        node.process.terminate()
        if node.process.wait(20) != 0:
            self.account.fault(f"{node.name}: a planned stop ended with {node.process.returncode}")
        ran = self.deployment.runs()
        with self.account.lock:
            cut = [request for at, of, request in self.account.cut if of == number and at >= began]
        for request in cut:
            if ran.get(request):
                self.account.fault(f"{request}: cut by the planned stop of {node.name}")
        self.deployment.start(number)
        wait_for(self.deployment.nodes[number].is_ready)

    def leave(self):
        """A target leaves, with nothing else wrong, and another one takes its place."""
        time.sleep(LEFT_S)
        service = self.random.choice(["desk", "ledger"])
        leaving = self.deployment.of_service(service)[0]
        self.deployment.add_target(service)
        leaving.leave()
        time.sleep(LEFT_S)
        before = len(leaving.ran)
        time.sleep(1.0)
        if len(leaving.ran) != before:
            self.account.fault(f"{leaving.name}: {len(leaving.ran) - before} requests after it said that it leaves")
        self.deployment.left.append(self.deployment.targets.pop(leaving.base_name))
        self.deployment.store.remove("servers", leaving.name)


def play(seed, rounds):
    """Plays one seed's plan; returns the broken promises."""
    account = Account()
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(pathlib.Path(folder), seed)
        soak = Soak(deployment, account, seed)
        callers = [Caller(deployment, account, number) for number in range(CALLERS)]
        try:
            for caller in callers:
                caller.start()
            for index in range(rounds):
                soak.round(index)
            for caller in callers:
                caller.is_over = True
            for caller in callers:
                caller.join(30)
            time.sleep(2)
            runs = deployment.runs()
        finally:
            deployment.close()
    for request, count in runs.items():
        if request.startswith("order") and count > 1:
            account.fault(f"{request}: an order that ran {count} times")
    for request in account.orders_refused:
        if runs.get(request):
            account.fault(f"{request}: told not run, and ran")
    if account.served < 20 * rounds:
        account.fault(f"only {account.served} requests served in {rounds} rounds")
    print(f"seed {seed}: {account.served} served, {len(account.orders_refused)} orders refused, "
          f"{len(account.cut)} connections ended, {len(account.broken)} promises broken", flush=True)
    if account.broken:
        print("\n".join(soak.log + account.broken[:20]), flush=True)
    return account.broken


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seeds", type=int, help="play so many seeds, from --first on")
    parser.add_argument("--net", default=NET)
    parser.add_argument("--rounds", type=int, default=6)
    options = parser.parse_args()
    use_net(options.net)
    seeds = range(options.first, options.first + options.seeds) if options.seeds else [options.seed]
    broken = [seed for seed in seeds if play(seed, options.rounds)]
    print(f"{len(seeds) - len(broken)} passed, {len(broken)} failed", *broken)
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
