"""One upstream of the case, a process of its own: answers an upload early, without a length, and goes on reading."""

import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))
import harness  # noqa: E402

ANSWER_BYTES = 2400  # The largest answer of the site's manifest-upload.


def body_of(attempt):
    return ((attempt.encode() + b".") * ANSWER_BYTES)[:ANSWER_BYTES]


class Parent:
    """Tells the case by lines on standard output what it would tell a store and a record."""

    def __init__(self):
        self.record = self

    def register(self, name, service, address):
        self.write("address %s" % address)

    def write(self, line):
        sys.stdout.write(line + "\n")  # One write, as several threads report.
        sys.stdout.flush()


def serve(upstream, connection, request):
    _, _, headers, _, due = request
    attempt = headers["x-medlarcroft-attempt-id"]
    upstream.note_run(attempt)
    # The answer begins before the long body has been read; it has no length and ends with its connection.
    connection.sendall(harness.answer_head(attempt, extra="Connection: close\r\n") + body_of(attempt)[:ANSWER_BYTES // 2])
    time.sleep(float(sys.argv[3]))
    while due > 0:
        piece = connection.recv(65536)
        if not piece:
            return False
        due -= len(piece)
    connection.sendall(body_of(attempt)[ANSWER_BYTES // 2:])
    upstream.deployment.write("%s ends its answer to %s" % (upstream.name, attempt))
    return False


if __name__ == "__main__":
    harness.Upstream(Parent(), sys.argv[1], sys.argv[2], serve, receive_buffer=8192, reads_body=False)
    sys.stdin.read()  # Ends with the case.
