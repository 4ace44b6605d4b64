"""A loopback proxy that harms what passes: late, reset, silent, or one way only."""

import socket
import struct
import threading
import time

RESET_AT_CLOSE = struct.pack("ii", 1, 0)


class FaultyLink:
    """Passes bytes from its own address to `target`. `mode`: pass, late, reset, silent, one_way (nothing comes back)."""

    def __init__(self, address, target):
        self.target, self.mode = target, "pass"
        self.open = set()
        self.lock = threading.Lock()
        self.listen(address)
        self.address = "%s:%d" % self.listener.getsockname()

    def listen(self, address):
        self.listener = socket.create_server(address, backlog=64)
        threading.Thread(target=self._accept, args=(self.listener,), daemon=True).start()

    def refuse(self):
        """Closes the listener, as if the target process had exited. Returns the address for `listen`."""
        address = self.listener.getsockname()
        try:
            self.listener.shutdown(socket.SHUT_RDWR)  # Unblocks `accept`.
        except OSError:
            pass
        self.listener.close()
        return address

    def set(self, mode):
        """In force for what passes from now on; `reset` ends what is open as well."""
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
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
            connection.shutdown(socket.SHUT_RDWR)
            connection.close()
        except OSError:
            pass  # It has ended by itself.

    def _accept(self, listener):
        while True:
            try:
                near, _ = listener.accept()
            except OSError:
                return
            if self.mode == "reset":
                self._reset(near)
                continue
            try:
                far = socket.create_connection(self.target, timeout=5)
                far.settimeout(None)
            except OSError:
                self._reset(near)
                continue
            with self.lock:
                self.open |= {near, far}
            threading.Thread(target=self._pump, args=(near, far, False), daemon=True).start()
            threading.Thread(target=self._pump, args=(far, near, True), daemon=True).start()

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
