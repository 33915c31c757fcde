"""Load of untrusted clients on one entry instance, and bounds for its memory
and descriptors.

The bounds depend on the settings of the test only, not on the speed of the
machine."""

import socket

from . import system
from .leased import LeasedSystem
from .process_growth import ProcessGrowth

BODY_LIMIT_BYTES = 262_144
UNFINISHED_BODY_BYTES = 262_000

MEMORY_MB = 64
# A quarter of the memory is the budget of open requests.
BUDGET_BYTES = MEMORY_MB * 1024 * 1024 // 4
# State of 200 connections (16 KiB each), and buffers that were replaced by
# larger ones while the requests grew, which add up to less than the budget.
OVERHEAD_BYTES = 16 * 1024 * 1024
MEMORY_GROWTH_BOUND = BUDGET_BYTES + OVERHEAD_BYTES

CLIENTS = 200
CONNECTION_LIMIT = 64
# Descriptors beside those of caller connections: peers, executors, the store.
OTHER_DESCRIPTORS = 16

# Freed memory that the address sanitizer holds back is no part of what the
# program needs; its allocator ignores malloc_trim and M_MMAP_THRESHOLD.
ENVIRONMENT = {"ASAN_OPTIONS": "quarantine_size_mb=1:"
                               "thread_local_quarantine_size_kb=64:"
                               "allocator_release_to_os_interval_ms=0"}


class LoadedInstance:
    """An entry instance with lowered limits; the values before the load."""

    def __init__(self, settings):
        self.running = LeasedSystem(system.build_dir_argument(), instances=1)
        self.instance = self.running.instances[0]
        self.instance.extra_settings = settings
        self.instance.environment = ENVIRONMENT
        self.connections = []
        # A caller connection uses one descriptor.
        self.descriptor_bound = OTHER_DESCRIPTORS + min(
            CLIENTS, settings["callers"].get("connection_limit", CLIENTS))

    def __enter__(self):
        self.running.__enter__()
        self.check_normal_request(1)
        self.growth = ProcessGrowth(self.instance.process)
        return self

    def __exit__(self, *failure):
        for connection in self.connections:
            connection.close()
        self.running.__exit__(*failure)

    def connect(self, count):
        self.connections += connect(self.instance.callers_address, count)
        return self.connections[-count:]

    def measure(self):
        self.growth.measure()

    def settle(self):
        self.growth.settle()

    def check_normal_request(self, number):
        answer = self.instance.submit(number, 2, 60)
        assert answer is not None and answer.status == 200, \
            f"normal request: {answer}"

    def check_bounds(self):
        """Checks all bounds and reports all that are exceeded."""
        self.settle()
        faults = []
        try:
            self.check_normal_request(2)
        except AssertionError as fault:
            faults.append(str(fault))
        self.measure()
        faults = self.growth.faults(MEMORY_GROWTH_BOUND,
                                    self.descriptor_bound) + faults
        assert not faults, "; ".join(faults)


def send_unfinished_bodies(instance, count, first_job):
    """Opens connections that send most of a body, and returns them."""
    connections = connect(instance.callers_address, count)
    for number, connection in enumerate(connections):
        try_send(connection, request_head(
            first_job + number, f"content-length: {BODY_LIMIT_BYTES}",
            host=instance.ip) + b"x" * UNFINISHED_BODY_BYTES)
    return connections


def connect(address, count):
    """Opens connections; a process at its limit leaves them in the backlog."""
    host, port = address.split(":")
    return [socket.create_connection((host, int(port)), timeout=5)
            for _ in range(count)]


def try_send(connection, content):
    """Sends; returns False if the instance has closed the connection."""
    try:
        connection.sendall(content)
        return True
    except OSError:
        return False


def request_head(number, *headers, host="127.0.0.2"):
    lines = [f"POST /desk/{number:016x} HTTP/1.1", f"host: {host}",
             "content-type: application/json", *headers]
    return "".join(line + "\r\n" for line in lines).encode() + b"\r\n"


def memory_settings():
    return {"instance": {"memory_mb": MEMORY_MB}, "callers": {}}


def connection_settings():
    return {"callers": {"connection_limit": CONNECTION_LIMIT}}
