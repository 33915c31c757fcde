"""Guards against memory that grows with unfinished frames of connections to the
listener for peers that have not identified themselves."""

import socket
import struct

from harness import request_load
from harness.request_load import LoadedInstance, try_send

CLIENTS = 20
FRAME_BYTES = 15 * 1024 * 1024
SENT_BYTES = 4_000_000


def main():
    with LoadedInstance(request_load.memory_settings()) as loaded:
        address = loaded.instance.peers_address
        for _ in range(CLIENTS):
            connection = request_load.connect(address, 1)[0]
            loaded.connections.append(connection)
            head = struct.pack("<I", FRAME_BYTES) + protocol_version(connection)
            try_send(connection, head + b"x" * SENT_BYTES)
            loaded.measure()
        loaded.settle()
        faults = loaded.growth.faults(request_load.OVERHEAD_BYTES,
                                      request_load.OTHER_DESCRIPTORS + CLIENTS)
        loaded.check_normal_request(2)
        assert not faults, "; ".join(faults)


def protocol_version(connection):
    """Returns the version in the frame that the instance sends first."""
    return connection.recv(6, socket.MSG_WAITALL)[4:]


if __name__ == "__main__":
    main()
