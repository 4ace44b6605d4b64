"""An upstream hands out an answer with one wrong byte in its status: see claim.txt."""

import pathlib
import re
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))
import harness  # noqa: E402

BOUNDS = {"budget_ratio": 0.2, "budget_window": "10s", "budget_extra_tries": 62, "cold_over": 1.5, "cold_slack": 5,
          "max_shift": 0.15, "grace": "6s", "ttl_max": "5s", "stable_window": "4000ms", "drain": "2500ms"}
BODY = b"b" * 1500  # The mean answer of the site's tee-book.
DEADLINE_MS = 1500
REQUESTS = 100
SPOILT_EACH = 50  # 2 in 100 answers of one of three upstreams: x = 0.02 at most, on a share of 0.34 of the upstreams.
PROPER_STATUS_LINE = re.compile(rb"HTTP/1\.[01] [1-5][0-9][0-9] [^\r\n]*\r\n")


def serve(upstream, connection, request):
    attempt = request[2]["x-medlarcroft-attempt-id"]
    upstream.note_run(attempt)
    time.sleep(0.02)
    answer = harness.answer_head(attempt, length=len(BODY)) + BODY
    is_spoilt = upstream.name == "reserva-1" and upstream.ran.index(attempt) % SPOILT_EACH == 10
    if harness.HAS_TROUBLE and is_spoilt:
        # One bit of the status is wrong: 0x32 "2" becomes 0x30 "0".
        answer = answer.replace(b"HTTP/1.1 200 ", b"HTTP/1.1 000 ", 1)
        upstream.deployment.record.write("%s spoils a byte of the answer to %s: %r" % (upstream.name, attempt, answer[:15]))
    connection.sendall(answer)
    return True


def case(record, deployment):
    for number in (1, 2, 3):
        harness.Upstream(deployment, "reserva-%d" % number, "reserva", serve)
    books = {**harness.route("/books/", "non_idempotent", "reserva", "1500ms", "300ms"), "sticky": True}
    deployment.configure(1, {"books": books}, ["reserva"])
    node = deployment.start_node()
    node.wait_until_ready()
    time.sleep(1)
    wrong = []

    def client(first):
        for number in range(first, REQUESTS * 3, 3):
            attempt = "b%03d" % number
            connection = harness.connect(node.front)
            connection.settimeout(DEADLINE_MS / 1000)
            connection.sendall(harness.request_text("POST", "/books/%d" % number, attempt, DEADLINE_MS, b"tee", str(number)))
            record.write("client sends %s" % attempt)
            begin = b""
            try:
                while b"\r\n" not in begin:
                    piece = connection.recv(65536)
                    if not piece:
                        break
                    begin += piece
            except OSError:
                pass
            connection.close()
            line = begin.partition(b"\r\n")[0] + b"\r\n"
            is_proper = not begin or PROPER_STATUS_LINE.fullmatch(line)
            record.write("client of %s: %r%s" % (attempt, line[:60], "" if is_proper else " IS NO ANSWER IN THE PROTOCOL"))
            if not is_proper:
                wrong.append(attempt)

    threads = [threading.Thread(target=client, args=(number,)) for number in range(3)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return len(wrong), 0


harness.run_case(FOLDER, BOUNDS, case)
