"""Runs one deployment of dist/deployments on loopback; see scripts/demo."""

import argparse
import json
import sys

from deployment import ROOT, Deployment, http, stop_all

WORK = ROOT / "build" / "demo"
STATE = WORK / "deployment.json"


def show(title, status, head, body):
    outcome = head.get("Medlar-Outcome", "-")
    print(f"  {title}: {status}, outcome {outcome}, host {head.get('Medlar-Host', '-')},"
          f" target {head.get('Medlar-Target', '-')}")
    return body


def send_samples(state, plan):
    """Sends a request to each service, and repeats non-idempotent ones with the same key."""
    brand = state["operator"]["brand"]
    steerd = state["steerd"][0]["url"]
    print(f"Deployment {state['deployment']}: {len(state['steerd'])} entry hosts,"
          f" {len(state['targets'])} targets.")
    for service in dict.fromkeys(target["service"] for target in state["targets"]):
        status, _, answer = http("GET", f"{steerd}/v1/lookup?service={service}&brand={brand}")
        if status != 200:
            raise SystemExit(f"demo: look-up of {service} failed: {status} {answer}")
        host = answer["entry_hosts"][0]
        print(f"{service}: look-up returned {[h['host'] for h in answer['entry_hosts']]}"
              f" for {answer['ttl_ms']} ms")
        url = f"http://{host['address']}/v1/services/{service}/sample?day=today"
        keys = answer.get("idempotency_keys", [])
        headers = {"Medlar-Brand": brand, "Medlar-Deadline-Ms": "5000"}
        if not keys:
            show("GET", *http("GET", url, None, headers))
            continue
        headers["Idempotency-Key"] = keys[0]
        first = show("POST", *http("POST", url, b'{"n":1}', headers))
        again = show("the same POST again", *http("POST", url, b'{"n":1}', headers))
        if first != again:
            raise SystemExit(f"demo: a repeated request got a different response: {first} {again}")
        runs = sum(run["count"] for target in state["targets"]
                   for run in http("GET", target["url"] + "/control/runs")[2]["runs"]
                   if run["idempotency_key"] == keys[0])
        print(f"  the targets executed it {runs} time(s)")
        if runs != 1:
            raise SystemExit("demo: a non-idempotent request was not executed exactly once")


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--deployment", choices=["uwimana", "campos"], default="uwimana")
    parser.add_argument("--keep", action="store_true")
    parser.add_argument("--stop", action="store_true")
    options = parser.parse_args()

    if options.stop:
        if STATE.exists():
            stop_all(json.loads(STATE.read_text()))
            STATE.unlink()
        return
    if STATE.exists():
        raise SystemExit("demo: a deployment is already running; stop it with scripts/demo --stop")

    deployment = Deployment(ROOT / "dist" / "deployments" / options.deployment, WORK)
    is_kept = False
    try:
        deployment.start()
        send_samples(deployment.state, deployment.plan)
        is_kept = options.keep
    finally:
        if not is_kept:
            stop_all(deployment.state)
            STATE.unlink(missing_ok=True)
    if is_kept:
        print(f"Running; see {STATE.relative_to(ROOT)}. Stop it with scripts/demo --stop.")


if __name__ == "__main__":
    sys.exit(main())
