"""Guards against memory of `goldcrestgated` that grows with unfinished bodies
of the largest size, while one whole body of that size must be served."""

import json

from harness import request_load, system
from harness.daemon_load import LoadedDaemon

CLIENTS = 20
BODY_LIMIT_BYTES = 8 * 1024 * 1024
SENT_BYTES = 8_000_000
# One body that is complete, and a buffer of twice its size while it grows.
MEMORY_BOUND = 4 * BODY_LIMIT_BYTES + request_load.OVERHEAD_BYTES
DESCRIPTOR_BOUND = request_load.OTHER_DESCRIPTORS + request_load.CLIENTS


def main():
    with LoadedDaemon({"connection_limit": request_load.CLIENTS}) as loaded:
        loaded.send_unfinished_bodies(CLIENTS, BODY_LIMIT_BYTES, SENT_BYTES)
        faults = loaded.growth.faults(MEMORY_BOUND, DESCRIPTOR_BOUND)
        loaded.check_job(largest_job())
        assert not faults, "; ".join(faults)


def largest_job():
    job = system.job(1)
    payload = json.loads(job["tasks"][0]["payload"])
    payload["padding"] = "x" * SENT_BYTES
    job["tasks"][0]["payload"] = json.dumps(payload)
    return job


if __name__ == "__main__":
    main()
