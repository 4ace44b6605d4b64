"""Reads CPU time, memory and traffic of processes from counters of the operating system."""

import os
import pathlib
import re
import subprocess

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
# IPv4 header and TCP header with timestamps, without the link layer.
HEADER_BYTES = 52
FIELD = re.compile(r"\b(bytes_sent|bytes_received|segs_out|segs_in):(\d+)")


def cpu_seconds_of(pids):
    """Returns the CPU time of all threads of the processes so far, in seconds."""
    ticks = 0
    for pid in pids:
        stat = pathlib.Path(f"/proc/{pid}/stat").read_text()
        fields = stat[stat.rindex(")") + 2:].split()
        ticks += int(fields[11]) + int(fields[12])
    return ticks / TICKS_PER_SECOND


def resident_megabytes(pids):
    """Returns the mean resident memory of the processes in MB; shared pages count in each."""
    total = 0
    for pid in pids:
        status = pathlib.Path(f"/proc/{pid}/status").read_text()
        total += int(re.search(r"VmRSS:\s+(\d+) kB", status).group(1))
    return total / len(pids) / 1000


def load_average():
    """Returns the load average of the machine, which shows other work that may distort a measurement."""
    return os.getloadavg()[0]


class ConnectionMeter:
    """Counts bytes on connections to listeners in one network, including headers.

    Reads only the listener's end, which counts both directions. Misses
    connections that open and close between two samples: the caller accounts
    for them from the number that it expects.
    """

    def __init__(self, network):
        self.network = network
        self.first = {}
        self.last = {}
        self.first = self._read()
        self.last = dict(self.first)

    def _read(self):
        text = subprocess.run(
            ["ss", "-tinOH", "src", f"127.{self.network}.0.0/16"], check=True,
            capture_output=True, text=True).stdout
        sizes = {}
        for line in text.splitlines():
            local, peer = line.split()[3:5]
            found = {name: int(value) for name, value in FIELD.findall(line)}
            segments = found.get("segs_out", 0) + found.get("segs_in", 0)
            sizes[local, peer] = (found.get("bytes_sent", 0)
                                  + found.get("bytes_received", 0)
                                  + segments * HEADER_BYTES)
        return sizes

    def sample(self):
        self.last.update(self._read())

    def bytes_by_port(self):
        """Returns (bytes, connections) since the start, by listener port."""
        by_port = {}
        for key, size in self.last.items():
            port = int(key[0].rsplit(":", 1)[1])
            total, count = by_port.get(port, (0, 0))
            by_port[port] = (total + size - self.first.get(key, 0), count + 1)
        return by_port
