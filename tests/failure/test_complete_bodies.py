"""Guards against memory that grows with many complete request bodies of the
largest permitted size, received at the same time, and with their jobs."""

import json

from harness import request_load
from harness.request_load import LoadedInstance, try_send

# Sent after all other bytes of all bodies.
LAST_BYTES = 1_000


def main():
    with LoadedInstance(request_load.memory_settings()) as loaded:
        connections = loaded.connect(request_load.CLIENTS)
        bodies = [largest_job(loaded.instance, 1000 + number)
                  for number in range(len(connections))]
        for number, connection in enumerate(connections):
            body = bodies[number]
            try_send(connection, request_load.request_head(
                1000 + number, f"content-length: {len(body)}") +
                body[:-LAST_BYTES])
            loaded.measure()
        loaded.settle()
        for body, connection in zip(bodies, connections):
            try_send(connection, body[-LAST_BYTES:])
            loaded.measure()
        loaded.check_bounds()


def largest_job(instance, number):
    """Returns a job of nearly the largest size."""
    body = json.dumps(instance.job_body(
        number, 2, 500, request_load.BODY_LIMIT_BYTES - 1_000)).encode()
    assert len(body) <= request_load.BODY_LIMIT_BYTES
    return body


if __name__ == "__main__":
    main()
