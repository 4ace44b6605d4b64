"""Tests a medlar-node that loses its links to all targets while targets, helpers or the store fail as well."""

import signal
import threading
import time
import unittest

from cut_off_hosts import CutOffHosts

TWO_OF_SIX = (0, 1)  # One target of each service.
# A slow helper runs for the first part of each period only.
PERIOD_S, RUNNING_S = 0.1, 0.02


class CutOffHostTroublesTest(CutOffHosts):
    def _check(self, how, numbers, trouble, others=None):
        started, ended = self._run_cut(how, numbers, trouble)
        self._check_served(how, numbers, others, started, ended)

    def _crash_targets(self):
        for link in self._intact_links():
            link.refuse()
            link.set("reset")
        for target in TWO_OF_SIX:
            self.targets[target].stop()

    def _darken_targets(self):
        for link in self._intact_links():
            link.hang()

    def _intact_links(self):
        return [link for link in self.links_of(TWO_OF_SIX) if link.is_listening() and link.mode == "pass"]

    def _shed(self):
        for target in TWO_OF_SIX:
            self.targets[target].is_shedding = True

    def _rest(self):
        for target in TWO_OF_SIX:
            self.targets[target].rest = 3

    def _freeze(self, number):
        process = self.nodes[number].process
        process.send_signal(signal.SIGSTOP)
        return lambda: process.send_signal(signal.SIGCONT)

    def _slow_down(self, numbers):
        """The nodes get a fifth of a processor at most."""
        processes = [self.nodes[number].process for number in numbers]
        is_over = threading.Event()

        def hold_up():
            while not is_over.wait(RUNNING_S):
                for process in processes:
                    process.send_signal(signal.SIGSTOP)
                time.sleep(PERIOD_S - RUNNING_S)
                for process in processes:
                    process.send_signal(signal.SIGCONT)
        thread = threading.Thread(target=hold_up, daemon=True)
        thread.start()

        def end():
            is_over.set()
            thread.join()
        return end

    def _lose_store(self):
        self.store.error_status = 503

        def end():
            self.store.error_status = None
        return end

    def _restart(self, number):
        self.nodes[number].process.kill()
        self.nodes[number].process.wait()
        self._run_node(number)

    # Guards against taking a helper that misses a dead target for one that can't help.
    def test_targets_crash(self):
        self._check("reset", (1, 2), self._crash_targets)

    # As above; open connections of the cut host stay alive.
    def test_targets_crash_while_connections_live(self):
        self._check("refused", (1,), self._crash_targets)

    # As above; connections hang.
    def test_targets_crash_while_connections_hang(self):
        self._check("hung", (1,), self._crash_targets)

    # As above; helpers learn only after a while that a target does not answer.
    def test_targets_go_dark(self):
        self._check("reset", (1, 2), self._darken_targets)

    # Guards against taking rejections by targets for failures of helpers.
    def test_targets_shed(self):
        self._check("reset", (1, 2), self._shed)

    # As above; the targets ask for rest.
    def test_targets_rest(self):
        self._check("reset", (1, 2), self._rest)

    # Guards against waiting for a helper that is stopped, while another one serves.
    def test_helper_freezes(self):
        self._check("reset", (1,), lambda: self._freeze(2), others=(3,))

    # Guards against losing requests to a helper that is killed.
    def test_helper_is_killed(self):
        self._check("reset", (1,), lambda: self.nodes[2].process.kill(), others=(3,))

    # Guards against helpers that refuse although they serve their own callers.
    def test_helpers_are_slow(self):
        self._check("reset", (1,), lambda: self._slow_down((2, 3)))

    # Guards against helpers that are no longer known when the store is away.
    def test_store_is_away(self):
        self._check("reset", (1, 2), self._lose_store)

    # Guards against a host that must learn anew, with the store away, that it is cut off.
    def test_cut_host_restarts(self):
        self._check("reset", (1,), lambda: self._restart(1))

    # Guards against helpers of another region that are taken for cut off when targets crash.
    def test_all_hosts_of_a_region_while_targets_crash(self):
        self.start_node_of_other_region()
        self._check("reset", (1, 2, 3), self._crash_targets)


if __name__ == "__main__":
    unittest.main()
