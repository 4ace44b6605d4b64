"""Stand-ins for the platform's store and the targets, for tests of medlar-node on loopback."""

import base64
import json
import socket
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def __init__(self, *args):
        self.connections = set()
        super().__init__(*args)

    def handle_error(self, *_):
        """Ignores errors of disconnected callers."""

    def process_request(self, request, client_address):
        self.connections.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request):
        self.connections.discard(request)
        super().shutdown_request(request)

    def terminate(self):
        """Behaves like a killed process: closes open connections and refuses new ones."""
        self.shutdown()
        self.server_close()
        for connection in list(self.connections):
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *_):
        pass

    def body(self):
        return self.rfile.read(int(self.headers.get("Content-Length", 0)))

    def answer(self, status, body=b"", headers=()):
        self.send_response(status)
        for name, value in headers:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def answer_json(self, body):
        self.answer(200, json.dumps(body).encode(), [("Content-Type", "application/json")])


class Store:
    """A store with rows, preconditions and a change feed. While `error_status` is set, all responses have this status.
    While `is_hung`, connections stay open and calls are accepted: calls that arrive in this time are never answered, and
    calls held since before are answered afterwards. While `endless` is set to (begin, repeated, pause), responses are these
    bytes, until the caller closes the connection."""

    def __init__(self, address):
        self.error_status = None
        self.endless = None
        self.is_hung = False
        self.version = 0
        self.rows = {}  # (table, key) -> (value, version)
        self.removed = {}
        self.changed = threading.Condition()
        store = self

        class Handler(_Handler):
            def do_GET(self):
                store._get(self)

            def do_POST(self):
                store._post(self)

        self.server = _Server(address, Handler)
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def put(self, table, key, value):
        with self.changed:
            self.version += 1
            self.rows[table, key] = (value, self.version)
            self.removed.pop((table, key), None)
            self.changed.notify_all()

    def put_json(self, table, key, value):
        self.put(table, key, json.dumps(value).encode())

    def remove(self, table, key):
        with self.changed:
            self.version += 1
            self.rows.pop((table, key), None)
            self.removed[table, key] = self.version
            self.changed.notify_all()

    def _changes(self, table, after):
        changed = [(version, {"key": key, "value": base64.b64encode(value).decode(), "schema_version": version})
                   for (name, key), (value, version) in self.rows.items() if name == table and version > after]
        changed += [(version, {"key": key, "removed": True, "schema_version": version})
                    for (name, key), version in self.removed.items() if name == table and version > after]
        return [row for _, row in sorted(changed, key=lambda item: item[0])]

    def _is_call_dropped(self, handler):
        if not self.is_hung:
            return False
        handler.close_connection = True
        try:
            handler.rfile.read(1)  # Blocks until the caller closes the connection.
        except OSError:
            pass
        return True

    def serve_view(self, address, target_addresses):
        """Serves the rows on another address, with other addresses of targets: {target's name or address: address}."""
        store = self

        class Handler(_Handler):
            def do_GET(self):
                store._get(self, target_addresses)

            def do_POST(self):
                store._post(self)

        server = _Server(address, Handler)
        threading.Thread(target=server.serve_forever, daemon=True).start()
        return server

    @staticmethod
    def _with_other_address(row, addresses):
        if "value" not in row:
            return row
        entry = json.loads(base64.b64decode(row["value"]))
        entry["address"] = addresses.get(row["key"], addresses.get(entry["address"], entry["address"]))
        return {**row, "value": base64.b64encode(json.dumps(entry).encode()).decode()}

    def _is_answered_without_end(self, handler):
        if not self.endless:
            return False
        begin, repeated, pause_s = self.endless
        handler.close_connection = True
        try:
            handler.wfile.write(begin)
            while self.endless:
                handler.wfile.write(repeated)
                time.sleep(pause_s)
        except OSError:
            pass
        return True

    def _get(self, handler, target_addresses=None):
        url = urlsplit(handler.path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if self._is_call_dropped(handler):
            return
        if self.error_status:
            handler.answer(self.error_status)
            return
        with self.changed:
            after = 0
            if url.path.endswith("rows-feed"):
                after = int(query["after"])
                end = time.monotonic() + int(query["wait_ms"]) / 1000
                while not self._changes(query["table"], after) and time.monotonic() < end:
                    self.changed.wait(end - time.monotonic())
                while self.is_hung:
                    self.changed.wait(0.01)
            rows = self._changes(query["table"], after)
            if after == 0:
                rows = [row for row in rows if not row.get("removed")]
            if target_addresses and query["table"] == "servers":
                rows = [self._with_other_address(row, target_addresses) for row in rows]
            now = "%dms" % (time.monotonic() * 1000)
            body = {"rows": rows, "has_more": False, "schema_version": self.version, "now": now}
        if self._is_answered_without_end(handler):
            return
        if self.error_status:
            handler.answer(self.error_status)
            return
        handler.answer_json(body)

    def _post(self, handler):
        transaction = json.loads(handler.body())
        if self._is_call_dropped(handler) or self._is_answered_without_end(handler):
            return
        if self.error_status:
            handler.answer(self.error_status)
            return
        with self.changed:
            versions = {(row["table"], row["key"]): row["schema_version"] for row in transaction.get("precondition", [])}
            holds = all(self.rows.get(key, (b"", 0))[1] == version for key, version in versions.items())
        if not holds:
            handler.answer(412)
            return
        for row in transaction["writes"]:
            self.put(row["table"], row["key"], base64.b64decode(row["value"]))
        for row in transaction["remove"]:
            self.remove(row["table"], row["key"])
        handler.answer_json({"schema_version": self.version})


class Target:
    """One target. `mode`: ok, slow (responds after `delay_s`), cut (runs, then closes without a response). A request
    whose path is in `crash_paths` crashes the target, which restarts on the same address after `restart_delay_s`.
    While `limit_per_s` is set, responses declare that rate limit. While `rest` is set, requests are rejected with it as
    Retry-After, and with `cuts_rejections` the connection ends within the body. While `is_shedding`, they are rejected
    without it. While `is_leaving`, all responses say so.
    Hosts are told apart by the addresses that they use, see `listen_at`."""

    def __init__(self, store, name, service, domain, address, slots=2):
        self.store, self.name, self.slots = store, name, slots
        self.slowdown_percent = None  # Fourth figure of load reports, as text; none is reported.
        self.mode, self.delay_s = "ok", 0.02
        self.limit_per_s = None
        self.rest, self.cuts_rejections, self.is_shedding, self.is_leaving = None, False, False, False
        self.arrivals, self.rejections = [], []  # (time, own address, request) of each request for this target.
        self.other_servers = []
        self.crash_paths, self.restart_delay_s = set(), 1.0
        self.on_crash = self.on_restart = None  # Used by a proxy in front of the target.
        self.base_name, self.crashes, self.terminated, self.is_stopped = name, 0, [], False
        self.executed_requests = []
        self.executed_headers = []  # Of each executed request, as received.
        self.executed_paths = []  # (time, path) pairs, kept across restarts.
        self.running = 0
        self.lock = threading.Lock()
        self.entry = {"address": "%s:%d" % address,
                      "info": {"service": service, "version": "v1", "zone": domain, "slots": slots},
                      "status": {"state": "in_service", "sequence": 1, "cold_remaining": "0ms"}}
        self._start(address)

    def _start(self, address):
        target = self

        class Handler(_Handler):
            def do_GET(self):
                target._serve(self)

            do_POST = do_GET

        self.handler = Handler
        self.server = _Server(address, Handler)
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        self.store.put_json("servers", self.name, self.entry)

    def listen_at(self, address):
        """Serves on another address too, for one of the hosts."""
        server = _Server(address, self.handler)
        self.other_servers.append(server)
        threading.Thread(target=server.serve_forever, daemon=True).start()
        return "%s:%d" % server.server_address

    def _crash(self, server):
        with self.lock:
            if server in self.terminated:
                return
            self.terminated.append(server)
            self.crashes += 1
            crash = self.crashes
        front = self.on_crash() if self.on_crash else None
        server.terminate()

        def restart():
            if self.is_stopped:
                return
            if self.on_restart:
                self.on_restart(front)
            self.store.remove("servers", self.name)
            self.name = f"{self.base_name}-{crash}"
            self._start(server.server_address)
        threading.Timer(self.restart_delay_s, restart).start()

    def stop(self):
        self.is_stopped = True
        for server in [self.server] + self.other_servers:
            if server not in self.terminated:
                server.terminate()

    def drain(self):
        self.entry["status"]["state"] = "draining"
        self.store.put_json("servers", self.name, self.entry)

    def _serve(self, handler):
        body = handler.body()
        request = handler.headers["X-Medlarcroft-Attempt-Id"]
        headers = [("X-Medlarcroft-Attempt-Id", request), ("X-Medlarcroft-Instance-Id", self.name)]
        if handler.headers["X-Medlarcroft-Expect-Instance"] != self.name:
            handler.answer(421, b"", headers + [("X-Medlarcroft-Not-Executed", "1")])
            return
        arrival = (time.monotonic(), handler.server.server_address[0], request)
        with self.lock:
            self.arrivals.append(arrival)
        if self.is_leaving:
            headers.append(("Server-Leaving", "1"))
        if self.rest is not None or self.is_shedding:
            self._reject(handler, headers, arrival)
            return
        with self.lock:
            self.running += 1
            self.executed_requests.append(request)
            self.executed_headers.append(dict(handler.headers.items()))
            self.executed_paths.append((time.monotonic(), handler.path))
            crashes = handler.path in self.crash_paths
        time.sleep(self.delay_s)
        with self.lock:
            self.running -= 1
            load = "%d,0,%d" % (self.running, self.slots)
        if self.slowdown_percent is not None:
            load += f",{self.slowdown_percent}"
        if crashes:
            handler.close_connection = True
            self._crash(handler.server)
            return
        if self.mode == "cut":
            handler.close_connection = True
            handler.connection.close()
            return
        if self.limit_per_s is not None:
            headers.append(("X-Medlarcroft-Server-Limit", f"{self.limit_per_s:g}"))
        handler.answer(200, handler.path.encode() + body,
                       headers + [("X-Medlarcroft-Server-Seal", "seal"), ("X-Medlarcroft-Server-Load", load)])

    def _reject(self, handler, headers, arrival):
        headers = headers + [("X-Medlarcroft-Not-Executed", "1"), ("X-Medlarcroft-Server-Load", f"0,0,{self.slots}"),
                             *([("Retry-After", str(self.rest))] if self.rest is not None else [])]
        if not self.cuts_rejections:
            handler.answer(503, b"rest", headers)
        else:
            handler.send_response(503)
            for name, value in headers + [("Content-Length", "1000")]:
                handler.send_header(name, value)
            handler.end_headers()
            handler.wfile.write(b"rest")
            handler.close_connection = True
        with self.lock:
            self.rejections.append((time.monotonic(), *arrival[1:]))
