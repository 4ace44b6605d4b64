"""SIGTERM shortly after clients began to read large answers slowly: see claim.txt."""

import pathlib
import signal
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))
import harness  # noqa: E402

BOUNDS = {"budget_ratio": 0.2, "budget_window": "10s", "budget_extra_tries": 156, "cold_over": 1.5, "cold_slack": 8,
          "max_shift": 0.15, "grace": "6s", "ttl_max": "5s", "stable_window": "4000ms", "drain": "4000ms"}
DOWNLOAD_BYTES = 540_000  # The largest answer of the site's ticket-pack.
DEADLINE_MS = 4000
CLIENTS = 8
# At most 6 kB/s for 3.2 s, then as fast as it comes: about 3.6 s for an answer.
PIECE_BYTES, PAUSE_S, SLOW_S = 3000, 0.5, 3.2


def body_of(attempt):
    return (attempt.encode() + b".") * (DOWNLOAD_BYTES // (len(attempt) + 1) + 1)


def serve(upstream, connection, request):
    attempt = request[2]["x-medlarcroft-attempt-id"]
    upstream.note_run(attempt)
    time.sleep(0.05)
    connection.sendall(harness.answer_head(attempt, length=DOWNLOAD_BYTES) + body_of(attempt)[:DOWNLOAD_BYTES])
    return True


def case(record, deployment):
    for number in (1, 2):
        harness.Upstream(deployment, "gatehouse-%d" % number, "gatehouse", serve)
    deployment.configure(1, {"packs": harness.route("/packs/", "download", "gatehouse")}, ["gatehouse"])
    node = deployment.start_node()
    node.wait_until_ready()
    time.sleep(4.5)  # Longer than `stable_window`, without any disruption.

    connections = [harness.connect(node.front, receive_buffer=16384) for _ in range(CLIENTS)]
    cut = []

    def download(number):
        attempt = "a%03d" % number
        connection = connections[number]
        connection.sendall(harness.request_text("GET", "/packs/%d" % number, attempt, DEADLINE_MS))
        record.write("client sends %s" % attempt)
        answer = harness.read_answer(connection, time.monotonic() + DEADLINE_MS / 1000, PIECE_BYTES, PAUSE_S, SLOW_S)
        is_whole = answer.is_complete and answer.body == body_of(attempt)[:DOWNLOAD_BYTES]
        record.write("client of %s: status %s, %d of %s bytes after %.2f s, %s" % (
            attempt, answer.status, len(answer.body), answer.headers.get("content-length"), answer.took_s,
            "complete" if is_whole else "NOT COMPLETE"))
        if not is_whole and answer.took_s < DEADLINE_MS / 1000 - 0.1:
            cut.append(attempt)

    threads = [threading.Thread(target=download, args=(number,)) for number in range(CLIENTS)]
    for thread in threads:
        thread.start()
    time.sleep(0.3)  # By now the upstreams have handed out their whole answers.
    if harness.HAS_TROUBLE:
        node.send_signal(signal.SIGTERM)
    for thread in threads:
        thread.join()
    record.write("%s %s" % (node.name, "has exited" if node.process.poll() is not None else "still runs"))
    return len(cut), 0


harness.run_case(FOLDER, BOUNDS, case)
