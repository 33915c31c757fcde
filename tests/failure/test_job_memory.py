"""Guards against memory that grows with the decoded form of legal jobs, which is
larger than their bodies, while their callers wait."""

from harness import job_load, request_load
from harness.request_load import LoadedInstance

# Longer than the test, so that jobs do not end by themselves.
JOB_TIMEOUT_MS = 30_000


def main():
    loaded = LoadedInstance(request_load.memory_settings())
    loaded.running.publish_configuration(2, JOB_TIMEOUT_MS)
    # Connections to all executors.
    loaded.descriptor_bound += 4 * 8
    with loaded:
        loaded.connections += job_load.submit_large_jobs(
            loaded.instance, request_load.CLIENTS, 1000)
        loaded.settle()
        while loaded.connections:
            loaded.connections.pop().close()
        loaded.check_bounds()


if __name__ == "__main__":
    main()
