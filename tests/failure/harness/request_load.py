"""Load of untrusted clients on one entry instance, and bounds for its memory
and descriptors.

The bounds depend on the settings of the test only, not on the speed of the
machine."""

import socket
import time

from . import system
from .leased import LeasedSystem

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
# program needs.
ENVIRONMENT = {"ASAN_OPTIONS": "quarantine_size_mb=1:"
                               "thread_local_quarantine_size_kb=64:"
                               "allocator_release_to_os_interval_ms=100"}


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
        process = self.instance.process
        self.memory_before = process.memory_bytes()
        self.descriptors_before = process.descriptors()
        self.memory_growth = 0
        self.descriptor_growth = 0
        return self

    def __exit__(self, *failure):
        for connection in self.connections:
            connection.close()
        self.running.__exit__(*failure)

    def connect(self, count):
        host, port = self.instance.callers_address.split(":")
        for _ in range(count):
            # An instance at its limit leaves connections in the backlog.
            self.connections.append(
                socket.create_connection((host, int(port)), timeout=5))
        return self.connections[-count:]

    def measure(self):
        process = self.instance.process
        process.check_running()
        self.memory_growth = max(
            self.memory_growth, process.memory_bytes() - self.memory_before)
        self.descriptor_growth = max(
            self.descriptor_growth,
            process.descriptors() - self.descriptors_before)

    def settle(self):
        """Measures until the process has read what was sent to it."""
        changes_until = time.monotonic() + 2
        end = time.monotonic() + 20
        while time.monotonic() < min(changes_until, end):
            before = self.memory_growth
            time.sleep(0.1)
            self.measure()
            if self.memory_growth > before + 256 * 1024:
                changes_until = time.monotonic() + 2

    def check_normal_request(self, number):
        answer = self.instance.submit(number, 2, 60)
        assert answer is not None and answer.status == 200, \
            f"normal request: {answer}"

    def check_bounds(self):
        """Checks all bounds and reports all that are exceeded."""
        self.settle()
        faults = []
        if self.memory_growth > MEMORY_GROWTH_BOUND:
            faults.append(f"memory grew by {self.memory_growth} bytes, "
                          f"bound {MEMORY_GROWTH_BOUND}")
        if self.descriptor_growth > self.descriptor_bound:
            faults.append(f"{self.descriptor_growth} more descriptors, "
                          f"bound {self.descriptor_bound}")
        try:
            self.check_normal_request(2)
        except AssertionError as fault:
            faults.append(str(fault))
        self.measure()
        print(f"memory growth {self.memory_growth}, descriptor growth "
              f"{self.descriptor_growth}", flush=True)
        assert not faults, "; ".join(faults)


def try_send(connection, content):
    """Sends; returns False if the instance has closed the connection."""
    try:
        connection.sendall(content)
        return True
    except OSError:
        return False


def request_head(number, *headers):
    lines = [f"POST /desk/{number:016x} HTTP/1.1", "host: 127.0.0.2",
             "content-type: application/json", *headers]
    return "".join(line + "\r\n" for line in lines).encode() + b"\r\n"


def memory_settings():
    return {"instance": {"memory_mb": MEMORY_MB}, "callers": {}}


def connection_settings():
    return {"callers": {"connection_limit": CONNECTION_LIMIT}}
