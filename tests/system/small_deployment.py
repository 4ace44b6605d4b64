"""A deployment with three failure domains for system tests."""

import json
import pathlib
import sys

import yaml

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT / "scripts"))

from deployment import Deployment, stop_all  # noqa: E402

DOMAINS = {"north-a": ("north", 1, 2), "north-b": ("north", 2, 1), "south-a": ("south", 3, 1)}
# Service: (request class, key mode, deadline ms, service time ms)
SERVICES = {"desk": ("lookup", "none", 2000, 15), "ledger": ("order", "local", 5000, 15),
            "reserve": ("booking", "durable", 5000, 15)}
SLOTS = 4
OWNER, TOKEN, BRAND = "small", "small-deployment-token", "brand-a"


def _entries(network, copies, max_request_bytes):
    for domain, (region, _, hosts) in DOMAINS.items():
        yield {"kind": "failure-domain", "entry": f"failure-domain.{domain}", "owner": OWNER,
               "failure_domain": domain, "region": region, "seats": hosts,
               "client_latency_us": 8000}
    for source in DOMAINS:
        for sink in DOMAINS:
            if source != sink:
                yield {"kind": "link", "entry": f"link.{source}.{sink}", "owner": OWNER,
                       "from": source, "to": sink, "latency_us": 500, "capacity": 200.0,
                       "shift_step": 50.0, "shift_window_ms": 5000}
    for service, (name, mode, deadline, _) in SERVICES.items():
        yield {"kind": "service", "entry": f"service.{service}", "owner": OWNER,
               "service": service,
               "request_class": {"name": name, "key_mode": mode, "deadline_ms": deadline,
                                 "queue_limit_ms": 500, "max_request_bytes": max_request_bytes,
                                 "max_answer_bytes": 65536, "may_hedge": mode == "none",
                                 "expected_service_time_us": 15000},
               "weights": {"latency": 1.0, "headroom": 1.0, "drain_time": 1.0},
               "brands": [{"brand": BRAND, "weight": 1.0}],
               "lookup_ttl_ms": 1000,
               "targets": [{key: target[key] for key in
                            ("name", "failure_domain", "address", "slots")}
                           | {"max_connections": 330}
                           for target in _targets(network, copies) if target["service"] == service]}


def _targets(network, copies):
    for domain, (_, number, _) in DOMAINS.items():
        for index, (service, (_, _, _, service_time)) in enumerate(SERVICES.items()):
            for copy in range(copies):
                name = f"{service}-{domain}" + (f"-{copy + 1}" if copy else "")
                yield {"name": name, "service": service, "failure_domain": domain,
                       "address": f"127.{network}.{number}.{101 + index + 10 * copy}:18000",
                       "slots": SLOTS, "service_time_ms": service_time}


def make_small_deployment(work, network, copies=1, max_request_bytes=16384, settings=None):
    """Writes the files of a deployment below `work`. Its addresses are 127.{network}.*, and each
    failure domain has `copies` targets per service. `settings` apply to each daemon."""
    work = pathlib.Path(work)
    (work / "catalogue").mkdir(parents=True, exist_ok=True)
    files = []
    for entry in _entries(network, copies, max_request_bytes):
        file = f"catalogue/{entry['entry']}.json"
        (work / file).write_text(json.dumps(entry))
        files.append(file)
    plan = {"deployment": "small", "platform": {"listen": f"127.{network}.0.1:17000"},
            "operators": [{"owner": OWNER, "token": TOKEN, "brand": BRAND}],
            "ports": {"lookup": 17001, "peer": 17002, "routing": 17003, "share": 17004,
                      "entry": 17010},
            "failure_domains": [
                {"name": domain, "region": region,
                 "entry_hosts": [{"host": f"{domain}-{host}",
                                  "address": f"127.{network}.{number}.{host}"}
                                 for host in range(1, hosts + 1)]}
                for domain, (region, number, hosts) in DOMAINS.items()],
            "drain": {"pause_ms": 3000, "limit_ms": 20000}, "settings": settings or {},
            "targets": list(_targets(network, copies)), "catalogue": files}
    (work / "deployment.yaml").write_text(yaml.safe_dump(plan))
    return Deployment(work, work)


def start_small_deployment(name, network, copies=1, **options):
    """Starts a deployment below build/`name`; stops all its processes if that fails."""
    work = ROOT / "build" / name
    for log in (work / "logs").glob("*.log"):
        log.unlink()
    deployment = make_small_deployment(work, network, copies, **options)
    try:
        deployment.start()
    except BaseException:
        stop_all(deployment.state)
        raise
    return deployment
