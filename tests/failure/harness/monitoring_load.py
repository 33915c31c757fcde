"""Load of untrusted clients on a listener that the platform or an operator
reads, and which expects no bodies."""

from . import http_json, request_load
from .request_load import CONNECTION_LIMIT, LoadedInstance, try_send

DESCRIPTOR_BOUND = request_load.OTHER_DESCRIPTORS + CONNECTION_LIMIT
MEMORY_BOUND = request_load.OVERHEAD_BYTES


def check_listener(address_of, path):
    """Checks an instance whose listener gets unfinished bodies and unfinished
    headers. `address_of` returns the listener's address of an instance."""
    settings = {"callers": {},
                "listen": {"monitoring_connection_limit": CONNECTION_LIMIT}}
    with LoadedInstance(settings) as loaded:
        address = address_of(loaded.instance)
        head = (f"GET {path} HTTP/1.1\r\nhost: x\r\n"
                f"content-length: {request_load.BODY_LIMIT_BYTES}\r\n").encode()
        body = b"\r\n" + b"x" * request_load.UNFINISHED_BODY_BYTES
        for number in range(request_load.CLIENTS):
            connection = request_load.connect(address, 1)[0]
            loaded.connections.append(connection)
            try_send(connection, head + (body if number % 2 else b""))
            loaded.measure()
        loaded.settle()
        faults = loaded.growth.faults(MEMORY_BOUND, DESCRIPTOR_BOUND)
        answer = http_json.try_request(address, "GET", path, timeout_s=10)
        if answer is None or answer.status != 200:
            faults.append(f"monitoring request: {answer}")
        loaded.check_normal_request(2)
        assert not faults, "; ".join(faults)
