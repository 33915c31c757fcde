"""Guards against refusals that do not tell why a request was refused, nor that
its job has not run and never will."""

import json

from harness import request_load
from harness.request_load import LoadedInstance

LARGE_HEADER_BYTES = 20_000
# A status that promises that the job never runs.
UNAVAILABLE = 503


def main():
    settings = request_load.memory_settings()
    settings["callers"]["request_timeout_ms"] = 1_000
    too_large = f"content-length: {request_load.BODY_LIMIT_BYTES + 1}"
    incomplete = f"content-length: {request_load.BODY_LIMIT_BYTES}"
    with LoadedInstance(settings) as loaded:
        ip = loaded.instance.ip
        requests = {
            "request_late":
                request_load.request_head(1000, incomplete, host=ip) + b"x",
            "headers_too_large":
                request_load.request_head(1001, host=ip)[:-2] +
                b"x: " + b"x" * LARGE_HEADER_BYTES,
            "body_too_large":
                request_load.request_head(1002, too_large, host=ip),
            "malformed_job":
                request_load.request_head(1003, "content-length: 1", host=ip) +
                b"x",
        }
        statuses = {}
        for reason, request in requests.items():
            connection = loaded.connect(1)[0]
            connection.settimeout(20)
            connection.sendall(request)
            statuses[reason], answer = read_answer(connection)
            assert answer == {"error": reason, "fate": "not_run"}, answer
        assert statuses == {"request_late": UNAVAILABLE,
                            "headers_too_large": 431, "body_too_large": 413,
                            "malformed_job": 400}, statuses
        loaded.check_bounds()
        assert not any(loaded.running.start_count(job)
                       for job in range(1000, 1004))


def read_answer(connection):
    """Returns the status and the JSON body of a response."""
    received = b""
    while not received.endswith(b"}"):
        part = connection.recv(65_536)
        assert part, f"connection closed after {received}"
        received += part
    head, body = received.split(b"\r\n\r\n", 1)
    status = int(head.split()[1])
    assert status != UNAVAILABLE or b"\r\nretry-after: " in head, head
    return status, json.loads(body)


if __name__ == "__main__":
    main()
