"""Guards against faults of the harness that fail other tests.

When two tests that run at the same time take the same port, an instance starts
without its listener, and the test waits 30 s for its readiness."""

import os
import socket
import subprocess
import sys
import time

from harness import leased, system
from harness.processes import free_port, loopback_address


def main():
    build_dir = system.build_dir_argument()
    port_is_free_at_the_given_address()
    processes_use_distinct_addresses()
    ended_instance_is_reported_at_once(build_dir)


def port_is_free_at_the_given_address():
    ip = loopback_address(200)
    listeners = []
    for _ in range(200):
        port = free_port(ip)
        listener = socket.create_server((ip, port))
        listeners.append(listener)
    for listener in listeners:
        listener.close()


def processes_use_distinct_addresses():
    command = ("from harness.processes import loopback_address;"
               "print(loopback_address(2))")
    other = subprocess.run([sys.executable, "-c", command], check=True,
                           capture_output=True, text=True,
                           cwd=os.path.dirname(os.path.abspath(__file__)))
    assert other.stdout.strip() != loopback_address(2), other.stdout


def ended_instance_is_reported_at_once(build_dir):
    begin = time.monotonic()
    listeners = []
    original = leased.free_port

    def used_port(ip):
        listeners.append(socket.create_server((ip, original(ip))))
        return listeners[-1].getsockname()[1]

    leased.free_port = used_port
    try:
        with leased.LeasedSystem(build_dir):
            raise AssertionError("an instance runs without its listener")
    except RuntimeError as failure:
        assert "address_in_use" in str(failure), failure
    finally:
        leased.free_port = original
        for listener in listeners:
            listener.close()
    assert time.monotonic() - begin < 10, "waited for an ended instance"


if __name__ == "__main__":
    main()
