"""Legal jobs that many callers submit at the same time and wait for."""

import json

from . import request_load
from .request_load import try_send

PHASES = 1_800


def submit_large_jobs(instance, clients, first_job):
    """Submits jobs with the largest number of phases, whose run times are not
    known, and returns the connections."""
    connections = request_load.connect(instance.callers_address, clients)
    for number, connection in enumerate(connections):
        job = instance.job_body(first_job + number, 1, 500)
        # Without estimates, no expected wait rejects the job.
        job["phases"] = [{"count": 1, "cpu": 27000}] * PHASES
        body = json.dumps(job).encode()
        try_send(connection, request_load.request_head(
            first_job + number, f"content-length: {len(body)}",
            host=instance.ip) + body)
    return connections
