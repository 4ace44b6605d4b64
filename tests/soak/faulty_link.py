"""A loopback TCP proxy that injects network faults: delays, resets, and stalls in one or both directions."""

import socket
import struct
import threading
import time

LINGER_RESET = struct.pack("ii", 1, 0)


class FaultyLink:
    """Forwards connections from its own address to `target`. `mode`: pass, late (delays data), reset (resets connections),
    silent (holds data back), one_way (holds back data from the target)."""

    def __init__(self, address, target):
        self.target, self.mode = target, "pass"
        self.open = set()
        self.lock = threading.Lock()
        self.listen(address)
        self.address = "%s:%d" % self.listener.getsockname()

    def listen(self, address):
        self.listener = socket.create_server(address, backlog=64)
        threading.Thread(target=self._accept, args=(self.listener,), daemon=True).start()

    def is_listening(self):
        return self.listener.fileno() >= 0

    def refuse(self):
        """Closes the listener, as if the target process had exited. Returns the address for `listen`."""
        address = self.listener.getsockname()
        try:
            self.listener.shutdown(socket.SHUT_RDWR)  # Unblocks `accept`.
        except OSError:
            pass
        self.listener.close()
        return address

    def hang(self):
        """New connections are not established, and open ones transmit nothing. Returns the address for `unhang`."""
        address = self.refuse()
        self.mode = "silent"
        # The kernel drops further connection attempts once the queue of a listener that accepts nothing is full.
        self.full_listener = socket.create_server(address, backlog=0)
        self.fillers = [socket.socket() for _ in range(4)]
        for filler in self.fillers:
            filler.setblocking(False)
            filler.connect_ex(address)
        return address

    def unhang(self, address):
        for filler in self.fillers:
            filler.close()
        self.full_listener.close()
        self.listen(address)
        self.mode = "pass"

    def set(self, mode):
        """Sets the mode for all data from now on; `reset` also resets open connections."""
        self.mode = mode
        if mode == "reset":
            with self.lock:
                for connection in list(self.open):
                    self._reset(connection)

    def close(self):
        self.listener.close()
        with self.lock:
            for connection in list(self.open):
                connection.close()

    @staticmethod
    def _reset(connection):
        try:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            connection.shutdown(socket.SHUT_RDWR)
            connection.close()
        except OSError:
            pass  # The connection is already closed.

    def _accept(self, listener):
        while True:
            try:
                client_side, _ = listener.accept()
            except OSError:
                return
            if self.mode == "reset":
                self._reset(client_side)
                continue
            try:
                target_side = socket.create_connection(self.target, timeout=5)
                target_side.settimeout(None)
            except OSError:
                self._reset(client_side)
                continue
            with self.lock:
                self.open |= {client_side, target_side}
            threading.Thread(target=self._pump, args=(client_side, target_side, False), daemon=True).start()
            threading.Thread(target=self._pump, args=(target_side, client_side, True), daemon=True).start()

    def _pump(self, source, sink, is_answer):
        try:
            while data := source.recv(65536):
                while self.mode == "silent" or (self.mode == "one_way" and is_answer):
                    time.sleep(0.02)
                if self.mode == "late":
                    time.sleep(0.15)
                sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            self._reset(sink)
        finally:
            with self.lock:
                self.open -= {source}


def cut_links(links, how):
    """Cuts the links: connections are `reset`, `hung`, or live on while new ones are `refused`. Returns what ends the
    cut."""
    if how == "hung":
        hung = [(link, link.hang()) for link in links]
        return lambda: [link.unhang(address) for link, address in hung]
    refused = [(link, link.refuse()) for link in links]
    if how == "reset":
        for link in links:
            link.set("reset")

    def end():
        for link, address in refused:
            link.listen(address)
            link.set("pass")
    return end
