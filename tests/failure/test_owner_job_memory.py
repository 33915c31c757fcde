"""Guards against memory of an owner that grows with the legal jobs that callers
submit through many instances at the same time."""

from harness import job_load, request_load, system
from harness.leased import LeasedSystem
from harness.process_growth import ProcessGrowth

INSTANCES = 3
CLIENTS = 60
# Connections of callers, to all executors and to the other instances.
DESCRIPTOR_BOUND = request_load.OTHER_DESCRIPTORS + CLIENTS + \
    4 * 8 + 2 * (INSTANCES - 1)
# Longer than the test, so that jobs do not end by themselves.
JOB_TIMEOUT_MS = 30_000


def main():
    running = LeasedSystem(system.build_dir_argument(), instances=INSTANCES)
    running.publish_configuration(2, JOB_TIMEOUT_MS)
    for instance in running.instances:
        instance.extra_settings = request_load.memory_settings()
        instance.environment = request_load.ENVIRONMENT
    with running:
        check_normal_job(running, 1)
        growths = [ProcessGrowth(instance.process)
                   for instance in running.instances]
        connections = []
        for number, instance in enumerate(running.instances):
            connections += job_load.submit_large_jobs(
                instance, CLIENTS, 1000 * (number + 1))
            for growth in growths:
                growth.measure()
        for growth in growths:
            growth.settle()
        for connection in connections:
            connection.close()
        faults = []
        for growth in growths:
            faults += growth.faults(request_load.MEMORY_GROWTH_BOUND,
                                    DESCRIPTOR_BOUND)
        check_normal_job(running, 2)
        assert not faults, "; ".join(faults)


def check_normal_job(running, job_id):
    answer = running.instances[-1].submit(job_id, 2, 60, timeout_s=30)
    assert answer is not None and answer.status == 200, f"normal job: {answer}"


if __name__ == "__main__":
    main()
