"""Soak test: runs real medlar-node processes on loopback and injects sequential and overlapping faults.

    tests/soak/soak.py --seed 7 --rounds 12       one plan; a seed always gives the same plan
    tests/soak/soak.py --first 11 --seeds 50      50 seeds starting at 11, in sequence
    tests/soak/soak.py --net 127.81               on other addresses, to run beside another soak

Callers and targets record what happens. Violations are printed and fail the test:
- an order that ran twice, or that was reported as not run although it ran;
- a response that is truncated or belongs to another request;
- a route that is rejected although it is active, or that is not active in time after the store hung;
- a draining target that receives new requests;
- a request that a planned stop interrupts, or an answer that a stopping node does not deliver to a slow caller;
- an answer that broke off and looks whole, of a target that answers before it has read an upload;
- a stop that callers who never read hold up;
- a request that is still sent to targets after it crashed three of them;
- a target that receives more requests than its rate limit;
- a target that receives requests from a node that it asked for rest, or told that it leaves;
- a node that passes its memory while clients that don't behave crowd in beside the other faults;
- a node that is cut off from all targets and serves first tries far worse than the others.
Time limits are generous, so that a slow machine causes no violations.
"""

import argparse
import http.client
import pathlib
import os
import random
import signal
import socket
import sys
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT / "tests/system"))

from client_crowds import Crowd, Watch  # noqa: E402
from faulty_link import LINGER_RESET, FaultyLink, cut_links  # noqa: E402
from platform_standins import Store, Target  # noqa: E402
import platform_test  # noqa: E402
from slow_reader_test import STOP_LIMIT_S, LargeTarget, SlowCaller  # noqa: E402
from platform_test import WAIT_LIMIT_S, ROUTES, Node, make_configuration, make_route, wait_for  # noqa: E402

# Differs from the networks of the system tests, so that both can run at the same time.
NET = platform_test.NET = "127.79"


def set_network(net):
    global NET
    NET = platform_test.NET = net


NODES = 3
NODE_MEMORY_MB = 64
# Connections of a crowd, by what they send.
CROWDS = {"large_chunks": 25, "tiny_chunks": 40, "short_lengths": 25, "trailers_without_end": 60, "whole_bodies": 20,
          "pipelined": 60, "silent": 300}
CALLERS = 6
DRAIN_LIMIT_S = 4.0  # A draining target receives no new requests after this time.
BLOCK_LIMIT_S = 5.0  # Counted from the third crash: 4 s in-touch bound plus a margin.
REST_S, REST_SETTLE_S, TOLERATED_IN_REST = 3.0, 0.5, 2
LIMIT_PER_S, LIMIT_SETTLE_S, LIMIT_WINDOW_S = 3.0, 1.0, 4.0
# A cut counts from this time on; nodes that are cut off serve at least this part of what the others serve.
CUT_SETTLE_S, CUT_S, SERVED_IN_CUT, MIN_TRIES_IN_CUT = 4.0, 8.0, 2 / 3, 30
ACTIVE_LIMIT_S = 5.0  # Hosts are up to date 4 s after the store hung; plus a margin of 1 s.


# Served by targets of their own, to which no link leads: a link's own resets close in order first.
PRESS_ROUTES = [make_route("packs", "/packs/", "download", "press", timeout="4000ms"),
                make_route("uploads", "/early/", "upload", "press", timeout="4000ms")]
UPLOAD_BYTES, EARLY_BYTES, EARLY_PAUSE_S, SLOW_CALLERS = 1_000_000, 2400, 1.5, 4


def early_answer(request):
    return ((request + ".").encode() * EARLY_BYTES)[:EARLY_BYTES]


class PressTarget(LargeTarget):
    """Answers uploads before it has read them, without a length; while `breaks`, it breaks off halfway."""

    breaks = False

    def _start(self, address):
        super()._start(address)
        # As on a network; the kernel would take whole uploads otherwise.
        self.server.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
        self.server.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1460)

    def _serve(self, handler):
        if not handler.path.startswith("/early/"):
            super()._serve(handler)
            return
        request = handler.headers["X-Medlarcroft-Attempt-Id"]
        body = early_answer(request)
        handler.close_connection = True
        with self.lock:
            self.executed_requests.append(request)
        handler.wfile.write((f"HTTP/1.1 200 OK\r\nX-Medlarcroft-Attempt-Id: {request}\r\nX-Medlarcroft-Server-Seal: seal\r\n"
                             "Connection: close\r\n\r\n").encode() + body[:EARLY_BYTES // 2])
        time.sleep(EARLY_PAUSE_S)
        if self.breaks:
            handler.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            os.close(handler.connection.detach())
            return
        handler.body()
        handler.wfile.write(body[EARLY_BYTES // 2:])


class Observations:
    """Results that callers observed."""

    def __init__(self):
        self.lock = threading.Lock()
        self.rejected_orders, self.closed_connections, self.violations = [], [], []
        self.served = 0
        self.nodes_of = {}  # Request -> number of the node that it was sent to.
        self.tries = []  # (time, number of the node, whether it was served) of each request.

    def add_violation(self, text):
        with self.lock:
            self.violations.append(text)


# Kinds of added routes; hosts do not know the last one.
ADDED_KINDS = ("idempotent", "download", "upload", "a-later-kind")
# Fourth figures that targets report, one of them unreadable.
SLOWDOWNS = (None, "100", "250", "soon")


class Deployment:
    """Nodes, targets and the store. Each target is behind a `FaultyLink`, and each node reaches it, and the store, through
    further links of its own."""

    def __init__(self, folder, seed):
        self.folder, self.port = folder, 20000 + seed % 50 * 200
        self.version, self.routes = 1, list(ROUTES)
        self.store = Store((f"{NET}.0.1", 0))
        self.store.put_json("op", "config", make_configuration(1, self.routes + PRESS_ROUTES))
        self.links, self.targets, self.removed_targets = [], {}, []
        self.node_links = {number: {} for number in range(1, NODES + 1)}  # Number -> address of the target -> link.
        self.node_addresses = {number: {} for number in self.node_links}  # Number -> address of the target -> link's.
        self.store_links = []
        for number in self.node_links:
            view = self.store.serve_view((f"{NET}.0.{10 + number}", 0), self.node_addresses[number])
            self.store_links.append(self._link(f"{NET}.0.2", view.server_address))
        for service in ("desk", "desk", "ledger", "ledger"):
            self.add_target(service)
        self.presses = []
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
        target.slowdown_percent = SLOWDOWNS[len(self.targets) % len(SLOWDOWNS)]
        target.link = self._link(f"{NET}.2.2", target.server.server_address)
        target.entry["address"] = target.link.address
        for number in self.node_links:
            self._add_node_link(number, target)
        target.on_crash, target.on_restart = lambda: self._refuse(target), self._listen
        self.store.put_json("servers", name, target.entry)
        self.targets[name] = target

    def start_presses(self):
        """Starts targets without links. While they are there, no node is cut off from all targets."""
        for number in range(2):
            self.port += 1
            # The kernel remembers how fast an address was, so each has one that is new.
            address = (f"127.{random.randint(90, 250)}.{random.randint(1, 250)}.{random.randint(1, 250)}", self.port)
            self.presses.append(PressTarget(self.store, f"press-{self.port}", "press", "z1", address, slots=64))
        for node in self.nodes.values():
            wait_for(lambda n=node: self._serves(n, "/packs/x"))

    def stop_presses(self):
        while self.presses:
            press = self.presses.pop()
            press.stop()
            self.store.remove("servers", press.name)

    def _add_node_link(self, number, target):
        host, port = target.link.address.rsplit(":", 1)
        link = self._link(f"{NET}.4.{number}", (host, int(port)))
        self.node_links[number][target.link.address] = link
        self.node_addresses[number][target.link.address] = link.address

    def _refuse(self, target):
        """Nothing listens at the target's address any more. Returns what `_listen` undoes."""
        links = [target.link] + [links[target.link.address] for links in self.node_links.values()]
        return [(link, link.refuse()) for link in links if link.is_listening()]

    @staticmethod
    def _listen(refused):
        for link, address in refused:
            link.listen(address)

    def take_away(self, targets):
        """The targets end. Returns what brings them back."""
        refused = [item for target in targets for item in self._refuse(target)]
        for link, _ in refused:
            link.set("reset")

        def bring_back():
            for link, _ in refused:
                link.set("pass")
            self._listen(refused)
        return bring_back

    def cut(self, number, how):
        """The node loses its links to all targets: connections are reset, hang, or live on while new ones are refused.
        Returns what ends the cut."""
        return cut_links(list(self.node_links[number].values()), how)

    def start(self, number):
        self.nodes[number] = Node(self.folder, number, 0, store=self.store_links[number - 1].address,
                                  memory_mb=NODE_MEMORY_MB)

    def targets_of_service(self, service):
        return [target for target in self.targets.values() if target.entry["info"]["service"] == service]

    def write_next_version(self):
        self.version += 1
        self.store.put_json("op", "config", make_configuration(self.version, self.routes + PRESS_ROUTES))

    def add_route(self):
        self.version += 1
        number = len(self.routes)
        added = make_route(f"added-{self.version}", f"/added-{self.version}/", ADDED_KINDS[number % len(ADDED_KINDS)],
                           "desk", priority=number % 3)
        self.store.put_json("op", "config", make_configuration(self.version, self.routes + PRESS_ROUTES + [added]))
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
        for target in list(self.targets.values()) + self.removed_targets:
            for request in target.executed_requests:
                runs[request] = runs.get(request, 0) + 1
        return runs

    def close(self):
        for node in self.nodes.values():
            node.process.kill()
            node.process.wait()
        for link in self.links:
            link.close()
        for target in list(self.targets.values()) + self.removed_targets + self.presses:
            target.stop()
        self.store.server.shutdown()


class Caller(threading.Thread):
    """Sends requests to random nodes, on connections that it reuses until they are closed."""

    def __init__(self, deployment, observations, number):
        super().__init__(daemon=True)
        self.deployment, self.observations, self.number = deployment, observations, number
        self.random = random.Random(number)
        self.connections, self.is_stopping = {}, False

    def run(self):
        count = 0
        while not self.is_stopping:
            count += 1
            is_order = self.random.random() < 0.4
            self.send_request(f"{'order' if is_order else 'lookup'}-{self.number}-{count}", is_order)
            time.sleep(0.01)

    def send_request(self, request, is_order):
        prefixes = [entry["spec"]["prefix"] for entry in self.deployment.routes]
        prefix = "/order/" if is_order else self.random.choice([path for path in prefixes if path != "/order/"])
        path, body = f"{prefix}{request}", request.encode() if is_order else None
        number = self.random.randint(1, NODES)
        self.observations.nodes_of[request] = number
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
            with self.observations.lock:
                self.observations.closed_connections.append((time.monotonic(), number, request))
                self.observations.tries.append((time.monotonic(), number, False))
            return
        with self.observations.lock:
            self.observations.tries.append((time.monotonic(), number, answer.status == 200))
        self.check_response(request, path, body or b"", is_order, answer, text)

    def check_response(self, request, path, body, is_order, answer, text):
        observations = self.observations
        if answer.headers.get("X-Medlarcroft-Attempt-Id", request) != request:
            observations.add_violation(f"{request}: response to another request")
        elif answer.status == 200 and text != path.encode() + body:
            observations.add_violation(f"{request}: wrong or truncated response: {text[:60]!r}")
        elif answer.status == 404:
            observations.add_violation(f"{request}: {path} rejected although the route is active")
        with observations.lock:
            observations.served += answer.status == 200
            if is_order and answer.status in (429, 503):
                observations.rejected_orders.append(request)


class Soak:
    """Runs the plan of one seed: rounds of one or two faults, which then end, followed by a planned operation."""

    def __init__(self, deployment, observations, seed):
        self.deployment, self.observations = deployment, observations
        self.random = random.Random(seed)
        # Separate generators keep the other faults of a seed unchanged.
        self.hang_random = random.Random(f"hangs of {seed}")
        self.crash_random = random.Random(f"crashes of {seed}")
        self.crash_count = 0
        self.limit_random = random.Random(f"limits of {seed}")
        self.notice_random = random.Random(f"notices of {seed}")
        self.cut_random = random.Random(f"cuts of {seed}")
        self.slow_random = random.Random(f"slow callers of {seed}")
        self.crowd_random = random.Random(f"crowds of {seed}")
        self.log = []

    def round(self, index):
        end_crowd = self.start_crowd(index) if self.crowd_random.random() < 0.4 else lambda: None
        faults = self.random.sample([self.kill_node, self.pause_node, self.degrade_store, self.degrade_target,
                                     self.reject_store_calls], 2)
        overlaps = self.random.random() < 0.5
        names = [fault.__name__ for fault in faults]
        self.log.append(f"round {index}: " + (" and ".join(names) if overlaps else names[0]))
        undo_functions = [fault() for fault in (faults if overlaps else faults[:1])]
        time.sleep(self.random.uniform(0.5, 2.0))
        for undo in undo_functions:
            undo()
        end_crowd()
        for node in self.deployment.nodes.values():
            wait_for(node.is_ready)
        planned = [self.stop_node, self.drain_target, self.deployment.add_route][index % 3]
        self.log.append(f"round {index}: {planned.__name__}")
        planned()
        if self.hang_random.random() < 0.5:
            self.log.append(f"round {index}: hang")
            self.hang_store()
        if self.crash_random.random() < 0.4:
            self.log.append(f"round {index}: crash")
            self.crash_targets()
        if self.limit_random.random() < 0.4:
            self.log.append(f"round {index}: limit")
            self.limit_rate()
        if self.notice_random.random() < 0.4:
            notice = self.notice_random.choice([self.ask_for_rest, self.leave_in_answers])
            self.log.append(f"round {index}: {notice.__name__}")
            notice()
        if self.cut_random.random() < 0.4:
            self.log.append(f"round {index}: cut")
            self.cut_off_nodes()
        if self.slow_random.random() < 0.4:
            self.log.append(f"round {index}: slow")
            self.stop_node_amid_slow_callers()

    def start_crowd(self, index):
        """Lets clients that don't behave crowd in at one port of a node."""
        node = self.deployment.nodes[self.crowd_random.randint(1, NODES)]
        kind = self.crowd_random.choice(list(CROWDS))
        address = self.crowd_random.choice([node.caller, node.lookup, node.peer])
        self.log.append(f"round {index}: {kind} at {node.name}")
        process, watch = node.process, Watch(node.process.pid)
        crowd = Crowd(address, kind, "/v1/relay" if address == node.peer else "/lookup/crowd", CROWDS[kind])

        def end():
            crowd.has_sent.wait(5)
            watch.stop()
            if process.poll() is None and watch.most_memory_mb() > NODE_MEMORY_MB:
                self.observations.add_violation(f"{node.name}: {watch.most_memory_mb():.0f} MB amid {kind}")
            crowd.is_over.set()
            crowd.join()
        return end

    def kill_node(self):
        number = self.random.randint(1, NODES)
        node = self.deployment.nodes[number]
        node.process.kill()
        node.process.wait()
        return lambda: self.deployment.start(number)

    def pause_node(self):
        process = self.deployment.nodes[self.random.randint(1, NODES)].process
        process.send_signal(signal.SIGSTOP)
        return lambda: process.send_signal(signal.SIGCONT)

    def degrade_store(self):
        return self._degrade(*self.deployment.store_links)

    def degrade_target(self):
        name = self.random.choice(sorted(self.deployment.targets))
        return self._degrade(self.deployment.targets[name].link)

    def _degrade(self, *links):
        mode = self.random.choice(["late", "reset", "silent", "one_way"])
        for link in links:
            link.set(mode)

        def end():
            for link in links:
                link.set("pass")
        return end

    def reject_store_calls(self):
        self.deployment.store.error_status = self.random.choice([429, 503])

        def accept_store_calls():
            self.deployment.store.error_status = None
        return accept_store_calls

    def hang_store(self):
        """The store hangs just when hosts request the next changes, and accepts a change right afterwards."""
        store = self.deployment.store
        self.deployment.write_next_version()
        time.sleep(0.05)
        store.is_hung = True
        time.sleep(self.hang_random.uniform(0.3, 1.2))
        store.is_hung = False
        ended = time.monotonic()
        self.deployment.add_route()
        elapsed = time.monotonic() - ended
        if elapsed > ACTIVE_LIMIT_S:
            self.observations.add_violation(f"a route became active {elapsed:.1f} s after the store hung")

    def crash_targets(self):
        """A request crashes each target that runs it and is retried at random nodes."""
        self.crash_count += 1
        path = f"/lookup/crash-{self.crash_count}"
        desks = self.deployment.targets_of_service("desk")
        for target in desks:
            target.crash_paths.add(path)

        def sends():
            return sorted(at for target in desks for at, ran in target.executed_paths if ran == path)

        def send_crashing_request():
            node = self.deployment.nodes[self.crash_random.randint(1, NODES)]
            try:
                node.call(path, f"crash-{self.crash_count}-{time.monotonic()}")
            except (OSError, http.client.HTTPException):
                pass
            time.sleep(0.05)
        end = time.monotonic() + WAIT_LIMIT_S
        while len(sends()) < 3 and time.monotonic() < end:
            send_crashing_request()
        if len(sends()) >= 3:
            end = sends()[2] + BLOCK_LIMIT_S + 4.0
            while time.monotonic() < end:
                send_crashing_request()
            late = [at for at in sends() if at > sends()[2] + BLOCK_LIMIT_S]
            if len(late) > 3:
                self.observations.add_violation(
                    f"{path}: sent {len(late)} times after the time limit, {len(sends())} in total")
        time.sleep(1.5)  # Until all targets have restarted.

    def limit_rate(self):
        """A target declares a rate limit for all nodes together and later withdraws it."""
        target = self.limit_random.choice(self.deployment.targets_of_service("desk"))
        target.limit_per_s = LIMIT_PER_S
        time.sleep(LIMIT_SETTLE_S)
        started = time.monotonic()
        time.sleep(2 * LIMIT_WINDOW_S)
        target.limit_per_s = None
        arrivals = [at for at, _ in target.executed_paths if at >= started]
        most = max((len([at for at in arrivals if begin <= at < begin + LIMIT_WINDOW_S]) for begin in arrivals), default=0)
        if most > 1.5 * LIMIT_PER_S * LIMIT_WINDOW_S + 5:
            self.observations.add_violation(f"{target.name}: {most} requests in {LIMIT_WINDOW_S} s "
                                            f"with a rate limit of {LIMIT_PER_S} per second")

    def arrivals_by_node(self, target, since):
        arrivals = {number: [] for number in self.deployment.nodes}
        for at, _, request in target.arrivals:
            if at >= since and request in self.observations.nodes_of:
                arrivals[self.observations.nodes_of[request]].append(at)
        return arrivals

    def ask_for_rest(self):
        """A target rejects all requests and asks for rest, without other faults."""
        time.sleep(DRAIN_LIMIT_S)  # Until no node sends for another one.
        target = self.notice_random.choice(self.deployment.targets_of_service("desk"))
        target.cuts_rejections = self.notice_random.random() < 0.3
        started = time.monotonic()
        target.rest = REST_S
        time.sleep(2 * REST_S)
        target.rest = None
        time.sleep(REST_S)
        arrivals = self.arrivals_by_node(target, started)
        for told_at, _, request in target.rejections:
            node = self.observations.nodes_of.get(request)
            during = [at for at in arrivals.get(node, []) if told_at + REST_SETTLE_S < at < told_at + REST_S]
            if len(during) > TOLERATED_IN_REST:
                self.observations.add_violation(f"{target.name}: {len(during)} requests from node {node} in a rest")
                return

    def leave_in_answers(self):
        """A target says in its answers alone that it leaves, without other faults, and another one replaces it."""
        time.sleep(DRAIN_LIMIT_S)
        leaving = self.notice_random.choice(self.deployment.targets_of_service("desk"))
        self.deployment.add_target("desk")
        started = time.monotonic()
        leaving.is_leaving = True
        time.sleep(2 * DRAIN_LIMIT_S)
        for node, arrivals in self.arrivals_by_node(leaving, started).items():
            late = [at for at in arrivals if at > arrivals[0] + DRAIN_LIMIT_S]
            if late:
                self.observations.add_violation(f"{leaving.name}: {len(late)} requests from node {node}, which it had told "
                                                "that it leaves")
        self.deployment.removed_targets.append(self.deployment.targets.pop(leaving.base_name))
        self.deployment.store.remove("servers", leaving.name)

    def cut_off_nodes(self):
        """One or two nodes lose their links to all targets, and a second later something else fails as well."""
        time.sleep(DRAIN_LIMIT_S)
        numbers = self.cut_random.sample(sorted(self.deployment.nodes), self.cut_random.randint(1, 2))
        how = self.cut_random.choice(["reset", "hung", "refused"])
        other = self.cut_random.choice([self._nothing_else, self._take_targets_away, self._lose_store, self._restart_cut_node])
        self.log.append(f"nodes {numbers}: {how}, {other.__name__}")
        started = time.monotonic()
        ends = [self.deployment.cut(number, how) for number in numbers]
        time.sleep(1.0)
        end_other = other(numbers)
        time.sleep(CUT_S - 1.0)
        ended = time.monotonic()
        end_other()
        for end in ends:
            end()
        self._check_served_in_cut(numbers, started + CUT_SETTLE_S, ended)
        for node in self.deployment.nodes.values():
            wait_for(node.is_ready)

    def _check_served_in_cut(self, numbers, begin, end):
        with self.observations.lock:
            tries = [(number in numbers, served) for at, number, served in self.observations.tries if begin <= at < end]
        cut = [served for is_cut, served in tries if is_cut]
        others = [served for is_cut, served in tries if not is_cut]
        if min(len(cut), len(others)) < MIN_TRIES_IN_CUT:
            self.log.append(f"cut of {numbers}: too few tries, {len(cut)} and {len(others)}")
        elif sum(cut) / len(cut) < SERVED_IN_CUT * sum(others) / len(others):
            self.observations.add_violation(f"nodes {numbers}, cut off from all targets, served {sum(cut)} of {len(cut)}, "
                                            f"the others {sum(others)} of {len(others)}")

    @staticmethod
    def _nothing_else(_):
        return lambda: None

    def _take_targets_away(self, _):
        gone = [self.cut_random.choice(self.deployment.targets_of_service(service)) for service in ("desk", "ledger")]
        return self.deployment.take_away(gone)

    def _lose_store(self, _):
        self.deployment.store.error_status = 503

        def end():
            self.deployment.store.error_status = None
        return end

    def _restart_cut_node(self, numbers):
        node = self.deployment.nodes[numbers[0]]
        node.process.kill()
        node.process.wait()
        self.deployment.start(numbers[0])
        return lambda: None

    def stop_node_amid_slow_callers(self):
        """Stops a node while callers read slowly or not at all, and targets answer uploads early, whole or not."""
        time.sleep(DRAIN_LIMIT_S)
        self.deployment.start_presses()
        number, index = self.slow_random.randint(1, NODES), len(self.log)
        node = self.deployment.nodes[number]
        breaking = self.slow_random.choice(self.deployment.presses)
        breaking.breaks = True
        uploads = [threading.Thread(target=self._upload, args=(node, f"early-{index}-{i}", i)) for i in range(2 * SLOW_CALLERS)]
        for upload in uploads:
            upload.start()
        slow = [SlowCaller(node, f"slow-{index}-{i}", slow_s=self.slow_random.uniform(3.2, 3.5)) for i in range(SLOW_CALLERS)]
        silent = SlowCaller(node, f"silent-{index}", reads=False, deadline_ms=1500)
        time.sleep(0.3)
        started = time.monotonic()
        node.process.terminate()
        time.sleep(self.slow_random.uniform(0.1, 0.5))
        slow += [SlowCaller(node, f"late-{index}-{i}", slow_s=self.slow_random.uniform(1.5, 2.5)) for i in range(SLOW_CALLERS)]
        if node.process.wait(20) != 0 or time.monotonic() - started > STOP_LIMIT_S:
            self.observations.add_violation(f"{node.name}: a stop amid slow callers took {time.monotonic() - started:.1f} s")
        for caller in slow + [silent]:
            caller.end()
            if caller is not silent and not caller.is_served():
                self.observations.add_violation(f"{caller.request}: {len(caller.body)} bytes of an answer that was ready")
        for upload in uploads:
            upload.join()
        self.deployment.stop_presses()
        self.deployment.start(number)
        wait_for(self.deployment.nodes[number].is_ready)

    def _upload(self, node, request, key):
        try:
            answer, body = node.call(f"/early/{request}", request, "POST", b"u" * UPLOAD_BYTES, object_key=str(key))
        except (OSError, http.client.HTTPException):
            return
        if answer.status == 200 and body != early_answer(request):
            self.observations.add_violation(f"{request}: {len(body)} bytes of an answer that broke off look whole")

    def stop_node(self):
        """Stops a node as planned, without other faults: requests that reached a target must be answered."""
        time.sleep(DRAIN_LIMIT_S)
        number = self.random.randint(1, NODES)
        node, started = self.deployment.nodes[number], time.monotonic()
        node.process.terminate()
        if node.process.wait(20) != 0:
            self.observations.add_violation(f"{node.name}: a planned stop exited with status {node.process.returncode}")
        ran = self.deployment.runs()
        with self.observations.lock:
            interrupted = [request for at, of, request in self.observations.closed_connections
                           if of == number and at >= started]
        for request in interrupted:
            if ran.get(request):
                self.observations.add_violation(f"{request}: interrupted by the planned stop of {node.name}")
        self.deployment.start(number)
        wait_for(self.deployment.nodes[number].is_ready)

    def drain_target(self):
        """A target drains, without other faults, and another one replaces it."""
        time.sleep(DRAIN_LIMIT_S)
        service = self.random.choice(["desk", "ledger"])
        leaving = self.deployment.targets_of_service(service)[0]
        self.deployment.add_target(service)
        leaving.drain()
        time.sleep(DRAIN_LIMIT_S)
        before = len(leaving.executed_requests)
        time.sleep(1.0)
        if len(leaving.executed_requests) != before:
            self.observations.add_violation(
                f"{leaving.name}: {len(leaving.executed_requests) - before} requests after it reported draining")
        self.deployment.removed_targets.append(self.deployment.targets.pop(leaving.base_name))
        self.deployment.store.remove("servers", leaving.name)


def run_plan(seed, rounds):
    """Runs the plan of one seed; returns the violations."""
    observations = Observations()
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(pathlib.Path(folder), seed)
        soak = Soak(deployment, observations, seed)
        callers = [Caller(deployment, observations, number) for number in range(CALLERS)]
        try:
            for caller in callers:
                caller.start()
            for index in range(rounds):
                soak.round(index)
            for caller in callers:
                caller.is_stopping = True
            for caller in callers:
                caller.join(30)
            time.sleep(2)
            runs = deployment.runs()
        finally:
            deployment.close()
    for request, count in runs.items():
        if request.startswith("order") and count > 1:
            observations.add_violation(f"{request}: order ran {count} times")
    for request in observations.rejected_orders:
        if runs.get(request):
            observations.add_violation(f"{request}: reported as not run, but ran")
    if observations.served < 20 * rounds:
        observations.add_violation(f"only {observations.served} requests served in {rounds} rounds")
    print(f"seed {seed}: {observations.served} served, {len(observations.rejected_orders)} orders rejected, "
          f"{len(observations.closed_connections)} connections closed, {len(observations.violations)} violations", flush=True)
    if observations.violations:
        print("\n".join(soak.log + observations.violations[:20]), flush=True)
    return observations.violations


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seeds", type=int, help="number of seeds to run, starting at --first")
    parser.add_argument("--net", default=NET)
    parser.add_argument("--rounds", type=int, default=6)
    options = parser.parse_args()
    set_network(options.net)
    seeds = range(options.first, options.first + options.seeds) if options.seeds else [options.seed]
    failed_seeds = [seed for seed in seeds if run_plan(seed, options.rounds)]
    print(f"{len(seeds) - len(failed_seeds)} passed, {len(failed_seeds)} failed", *failed_seeds)
    return 1 if failed_seeds else 0


if __name__ == "__main__":
    sys.exit(main())
