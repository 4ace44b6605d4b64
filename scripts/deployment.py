"""Starts and stops the processes of a deployment on loopback."""

import json
import os
import pathlib
import signal
import subprocess
import time
import urllib.error
import urllib.request

import yaml

ROOT = pathlib.Path(__file__).resolve().parent.parent
KEY_SECRETS = ["6d65646c6172636f6674206b657920736563726574206f6e65"]
START_LIMIT_SECONDS = 60
STOP_LIMIT_SECONDS = 90


def http(method, url, body=None, headers=None, timeout=10):
    """Sends one request; returns (status, headers, body), the body parsed if it is JSON."""
    request = urllib.request.Request(url, data=body, method=method,
                                     headers=headers or {})
    opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))
    try:
        with opener.open(request, timeout=timeout) as answer:
            status, head, text = answer.status, answer.headers, answer.read()
    except urllib.error.HTTPError as error:
        status, head, text = error.code, error.headers, error.read()
    try:
        return status, head, json.loads(text)
    except ValueError:
        return status, head, text.decode(errors="replace")


def wait_until(what, check):
    """Polls `check` until it returns true; exits the program after START_LIMIT_SECONDS."""
    limit = time.monotonic() + START_LIMIT_SECONDS
    while time.monotonic() < limit:
        try:
            if check():
                return
        except OSError:
            pass
        time.sleep(0.05)
    raise SystemExit(f"timed out waiting for {what}; see the logs folder")


class Deployment:
    """The processes of one deployment."""

    def __init__(self, folder, work):
        self.folder = pathlib.Path(folder)
        self.work = pathlib.Path(work)
        self.plan = yaml.safe_load((self.folder / "deployment.yaml").read_text())
        self.state = {"deployment": self.plan["deployment"], "steerd": [], "entryd": [],
                      "targets": [], "platform": {}, "operator": {}}
        self.processes = []
        (self.work / "logs").mkdir(parents=True, exist_ok=True)

    def start_process(self, name, *command):
        with open(self.work / "logs" / f"{name}.log", "ab") as log:
            process = subprocess.Popen([str(part) for part in command], stdout=log,
                                       stderr=log, stdin=subprocess.DEVNULL,
                                       start_new_session=True)
        # Keeps a reference: Popen warns about a running process whose object is destroyed.
        self.processes.append(process)
        return process.pid

    def hosts(self):
        for domain in self.plan["failure_domains"]:
            for host in domain["entry_hosts"]:
                yield domain["name"], host["host"], host["address"]

    def start_platform(self):
        listen = self.plan["platform"]["listen"]
        ports = self.plan["ports"]
        listed = [{"name": host, "role": "entry-host", "failure_domain": domain,
                   "address": f"{address}:{ports['peer']}", "is_leaving": False}
                  for domain, host, address in self.hosts()]
        listed += [{"name": target["name"], "role": "target",
                    "failure_domain": target["failure_domain"],
                    "address": target["address"], "is_leaving": False}
                   for target in self.plan["targets"]]
        hosts_file = self.work / "hosts.json"
        hosts_file.write_text(json.dumps({"hosts": listed}, indent=1))
        pid = self.start_process(
            "platform", ROOT / "build/tests/standins/standin-platform",
            "--listen", listen, "--hosts", hosts_file)
        self.state["platform"] = {"url": f"http://{listen}", "pid": pid}
        self.save()
        wait_until("the platform",
                   lambda: http("GET", f"http://{listen}/control/stats")[0] == 200)

    def start_targets(self):
        for number, target in enumerate(self.plan["targets"]):
            pid = self.start_process(
                target["name"], ROOT / "build/tests/standins/standin-target",
                "--listen", target["address"], "--name", target["name"],
                "--service", target["service"],
                "--failure-domain", target["failure_domain"],
                "--slots", target["slots"],
                "--service-time-ms", target["service_time_ms"],
                "--seed", number + 1)
            self.state["targets"].append(
                {"target": target["name"], "service": target["service"],
                 "failure_domain": target["failure_domain"],
                 "url": f"http://{target['address']}", "pid": pid})
        self.save()
        for target in self.state["targets"]:
            wait_until(target["target"],
                       lambda t=target: http("GET", t["url"] + "/health")[0] == 200)

    def settings_of(self, domain, host, address):
        ports = self.plan["ports"]
        peers = [f"{other}:{ports['peer']}" for _, name, other in self.hosts()
                 if name != host]
        steerd = {
            "host": host, "failure_domain": domain,
            "lookup_listen": f"{address}:{ports['lookup']}",
            "peer_listen": f"{address}:{ports['peer']}",
            "routing_listen": f"{address}:{ports['routing']}",
            "entry_address": f"{address}:{ports['entry']}",
            "platform_url": self.state["platform"]["url"],
            "peers": peers,
            "operators": [{"owner": operator["owner"], "token": operator["token"]}
                          for operator in self.plan["operators"]],
        }
        entryd = {
            "host": host, "failure_domain": domain,
            "listen": f"{address}:{ports['entry']}",
            "advertise": f"{address}:{ports['entry']}",
            "routing_address": f"{address}:{ports['routing']}",
            "share_listen": f"{address}:{ports['share']}",
            "platform_url": self.state["platform"]["url"],
            "key_secrets": KEY_SECRETS,
        }
        drain = self.plan.get("drain")
        if drain:
            steerd["drain"] = entryd["drain"] = drain
        more = self.plan.get("settings", {})
        return steerd | more, entryd | more

    def start_hosts(self):
        for domain, host, address in self.hosts():
            folder = self.work / host
            folder.mkdir(parents=True, exist_ok=True)
            steerd, entryd = self.settings_of(domain, host, address)
            (folder / "steerd.yaml").write_text(yaml.safe_dump(steerd))
            (folder / "entryd.yaml").write_text(yaml.safe_dump(entryd))
            self.start_daemon("steerd", domain, host, steerd["lookup_listen"])
        self.save()
        for daemon in self.state["steerd"]:
            wait_until(f"steerd on {daemon['host']}",
                       lambda d=daemon: http("GET", d["url"] + "/healthz")[0] == 200)

    def start_entry_daemons(self):
        """Starts the entry daemons once every steerd has the whole catalogue: a host that acquires
        its seat at an older revision waits until all hosts have the same allocation."""
        revision = len(self.plan["catalogue"])
        for daemon in self.state["steerd"]:
            wait_until(f"the catalogue on {daemon['host']}",
                       lambda d=daemon: http("GET", d["url"] + "/v1/status")[2]
                       ["catalogue"]["revision"] >= revision)
        port = self.plan["ports"]["entry"]
        for domain, host, address in self.hosts():
            self.start_daemon("entryd", domain, host, f"{address}:{port}")
        self.save()

    def start_daemon(self, kind, domain, host, listen):
        pid = self.start_process(
            f"{host}-{kind}", ROOT / f"build/programs/medlar-{kind}",
            "--settings", self.work / host / f"{kind}.yaml")
        self.state[kind].append({"host": host, "failure_domain": domain,
                                 "url": f"http://{listen}", "pid": pid})

    def load_catalogue(self):
        tokens = {operator["owner"]: operator["token"]
                  for operator in self.plan["operators"]}
        first = self.plan["operators"][0]
        self.state["operator"] = {"owner": first["owner"], "token": first["token"],
                                  "brand": first["brand"]}
        self.save()
        steerd = self.state["steerd"][0]["url"]
        for file in self.plan["catalogue"]:
            text = (self.folder / file).read_bytes()
            entry = json.loads(text)
            status, _, body = http(
                "PUT", f"{steerd}/v1/catalogue/{entry['entry']}", text,
                {"Authorization": f"Bearer {tokens[entry['owner']]}",
                 "If-None-Match": "*", "Content-Type": "application/json"})
            if status not in (200, 201):
                raise SystemExit(f"{file} was rejected: {status} {body}")

    def wait_ready(self):
        for kind in ("steerd", "entryd"):
            for daemon in self.state[kind]:
                wait_until(f"{kind} on {daemon['host']} to be ready",
                           lambda d=daemon: http("GET", d["url"] + "/readyz")[0] == 200)

    def save(self):
        (self.work / "deployment.json").write_text(json.dumps(self.state, indent=1))

    def start(self):
        self.start_platform()
        self.start_targets()
        self.start_hosts()
        self.load_catalogue()
        self.start_entry_daemons()
        self.wait_ready()


def is_running(pid):
    try:
        os.kill(pid, 0)
    except ProcessLookupError:
        return False
    try:
        # Reaps a child of this process, which would otherwise remain as a zombie.
        return os.waitpid(pid, os.WNOHANG)[0] == 0
    except ChildProcessError:
        return True


def is_program_of_build(pid):
    """Returns whether the process runs a program of this build; its id may have been reused."""
    try:
        command = pathlib.Path(f"/proc/{pid}/cmdline").read_bytes()
    except OSError:
        return False
    return str(ROOT / "build").encode() in command


def stop_all(state):
    """Stops the hosts gracefully, then the targets, then the platform."""
    groups = [[d["pid"] for d in state["entryd"] + state["steerd"]],
              [t["pid"] for t in state["targets"]],
              [state["platform"]["pid"]] if state["platform"] else []]
    for group in groups:
        pids = [pid for pid in group if is_program_of_build(pid)]
        for signal_number, wait in ((signal.SIGTERM, 0.5), (signal.SIGTERM, STOP_LIMIT_SECONDS),
                                    (signal.SIGKILL, 5)):
            for pid in pids:
                os.kill(pid, signal_number)
            limit = time.monotonic() + wait
            while pids and time.monotonic() < limit:
                time.sleep(0.05)
                pids = [pid for pid in pids if is_running(pid)]
