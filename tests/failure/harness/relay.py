"""TCP relay in front of a listener that injects connection faults."""

import selectors
import socket
import threading
import time


class Relay:
    """Forwards bytes in both directions unless a fault is injected.

    A cut drops bytes without closing connections and does not forward new
    ones, as in a network partition. `clear_faults` resets the old connections.
    """

    def __init__(self, target):
        host, port = target.split(":")
        self._target = (host, int(port))
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        # Delay of each forwarded piece of data, in seconds.
        self.delay_s = 0.0
        self._cut = threading.Event()
        self._drops_requests = threading.Event()
        self._drops_answers = threading.Event()
        self._closed = threading.Event()
        self._lock = threading.Lock()
        self._connections = []
        threading.Thread(target=self._accept, daemon=True).start()

    def cut(self):
        self._cut.set()

    def cut_requests(self):
        """Drops bytes to the target; bytes from the target still pass."""
        self._drops_requests.set()

    def cut_answers(self):
        """Drops bytes from the target; bytes to the target still pass."""
        self._drops_answers.set()

    def reset(self):
        """Closes all connections; new ones are accepted."""
        with self._lock:
            connections, self._connections = self._connections, []
        for endpoints in connections:
            for endpoint in endpoints:
                close(endpoint)

    def clear_faults(self):
        """Ends all faults and resets all connections."""
        self.delay_s = 0.0
        self.reset()
        for fault in (self._cut, self._drops_requests, self._drops_answers):
            fault.clear()

    def close(self):
        self._closed.set()
        self._listener.close()
        self.clear_faults()

    def _accept(self):
        while not self._closed.is_set():
            try:
                client, _ = self._listener.accept()
            except OSError:
                return
            if self._cut.is_set():
                with self._lock:
                    self._connections.append((client,))
                continue
            try:
                upstream = socket.create_connection(self._target)
            except OSError:
                close(client)
                continue
            for endpoint in (client, upstream):
                endpoint.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self._lock:
                self._connections.append((client, upstream))
            threading.Thread(target=self._forward, args=(client, upstream),
                             daemon=True).start()

    def _forward(self, client, upstream):
        selector = selectors.DefaultSelector()
        selector.register(client, selectors.EVENT_READ,
                          (upstream, self._drops_requests))
        selector.register(upstream, selectors.EVENT_READ,
                          (client, self._drops_answers))
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
            close(client)
            close(upstream)


def close(endpoint):
    try:
        endpoint.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
    endpoint.close()
