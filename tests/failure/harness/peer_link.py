"""Links between entry instances that can be cut as in a network partition."""

import socket
import threading

from .relay import close

PIECE_BYTES = 65536


class PeerLink:
    """Forwards the connections that one instance opens to another.

    A cut holds up the bytes of one or both directions. They arrive when it
    ends, also if their sender has closed the connection meanwhile, but not if
    it has reset it. A connection that is opened during a cut hangs until its
    end. Nothing is reset by a cut."""

    def __init__(self, target):
        host, port = target.split(":")
        self._target = (host, int(port))
        self._listener = socket.create_server((host, 0))
        self.address = f"{host}:{self._listener.getsockname()[1]}"
        self._sends = threading.Event()
        self._receives = threading.Event()
        self._sockets = []
        self.heal()
        threading.Thread(target=self._accept, daemon=True).start()

    def cut_sent(self):
        """Holds up what the connecting instance sends."""
        self._sends.clear()

    def cut_received(self):
        """Holds up what the connecting instance is sent."""
        self._receives.clear()

    def heal(self):
        self._sends.set()
        self._receives.set()

    def close(self):
        self._listener.close()
        self.heal()
        for endpoint in self._sockets:
            close(endpoint)

    def _accept(self):
        while True:
            try:
                connecting, _ = self._listener.accept()
            except OSError:
                return
            self._sockets.append(connecting)
            threading.Thread(target=self._connect, args=(connecting,),
                             daemon=True).start()

    def _connect(self, connecting):
        self._sends.wait()
        self._receives.wait()
        try:
            target = socket.create_connection(self._target)
        except OSError:
            close(connecting)
            return
        self._sockets.append(target)
        for endpoint in (connecting, target):
            endpoint.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for source, sink, is_open in ((connecting, target, self._sends),
                                      (target, connecting, self._receives)):
            held = HeldBytes()
            threading.Thread(target=held.read_from, args=(source,),
                             daemon=True).start()
            threading.Thread(target=held.write_to, args=(sink, is_open),
                             daemon=True).start()


class HeldBytes:
    """Bytes of one direction of a connection, between its two sockets. They are
    read during a cut as well, so that the end of their connection is known."""

    def __init__(self):
        self._changed = threading.Condition()
        self._pieces = []
        self._closed = False
        self._reset = False

    def read_from(self, source):
        while not self._closed:
            try:
                data = source.recv(PIECE_BYTES)
            except OSError:
                data = b""
                self._reset = True
            with self._changed:
                if data:
                    self._pieces.append(data)
                else:
                    self._closed = True
                self._changed.notify()

    def write_to(self, sink, is_open):
        while True:
            with self._changed:
                self._changed.wait_for(lambda: self._pieces or self._closed)
            is_open.wait()
            with self._changed:
                data = b"".join(self._pieces)
                self._pieces.clear()
            try:
                if self._reset:
                    close(sink)
                    return
                if data:
                    sink.sendall(data)
                elif self._closed:
                    sink.shutdown(socket.SHUT_WR)
                    return
            except OSError:
                return
