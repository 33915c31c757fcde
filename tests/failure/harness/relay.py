"""A TCP relay in front of a listener, to disturb its connections."""

import selectors
import socket
import threading
import time


class Relay:
    """Passes bytes both ways until it is disturbed.

    A cut drops bytes without closing the connections and accepts no new ones,
    as a network partition does. `heal` resets the old connections.
    """

    def __init__(self, target):
        host, port = target.split(":")
        self._target = (host, int(port))
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        # Seconds by which each piece of data is late.
        self.delay_s = 0.0
        self._cut = threading.Event()
        self._drops_requests = threading.Event()
        self._drops_answers = threading.Event()
        self._closed = threading.Event()
        self._lock = threading.Lock()
        self._pairs = []
        threading.Thread(target=self._accept, daemon=True).start()

    def cut(self):
        self._cut.set()

    def cut_requests(self):
        """Drops what goes to the target; its answers still pass."""
        self._drops_requests.set()

    def cut_answers(self):
        """Drops what comes from the target; requests still reach it."""
        self._drops_answers.set()

    def reset(self):
        """Closes all connections; new ones are accepted."""
        with self._lock:
            pairs, self._pairs = self._pairs, []
        for pair in pairs:
            for side in pair:
                close(side)

    def heal(self):
        """Ends all disturbances and resets the connections that had them."""
        self.delay_s = 0.0
        self.reset()
        for fault in (self._cut, self._drops_requests, self._drops_answers):
            fault.clear()

    def close(self):
        self._closed.set()
        self._listener.close()
        self.heal()

    def _accept(self):
        while not self._closed.is_set():
            try:
                near, _ = self._listener.accept()
            except OSError:
                return
            if self._cut.is_set():
                with self._lock:
                    self._pairs.append((near,))
                continue
            try:
                far = socket.create_connection(self._target)
            except OSError:
                close(near)
                continue
            for side in (near, far):
                side.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self._lock:
                self._pairs.append((near, far))
            threading.Thread(target=self._pass_bytes, args=(near, far),
                             daemon=True).start()

    def _pass_bytes(self, near, far):
        selector = selectors.DefaultSelector()
        selector.register(near, selectors.EVENT_READ,
                          (far, self._drops_requests))
        selector.register(far, selectors.EVENT_READ,
                          (near, self._drops_answers))
        try:
            while True:
                for key, _ in selector.select():
                    data = key.fileobj.recv(65536)
                    if not data:
                        return
                    if self.delay_s > 0:
                        time.sleep(self.delay_s)
                    other, dropped = key.data
                    if not self._cut.is_set() and not dropped.is_set():
                        other.sendall(data)
        except (OSError, ValueError):
            pass
        finally:
            selector.close()
            close(near)
            close(far)


def close(side):
    try:
        side.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
    side.close()
