"""Guards against an instance that does not take over executors, or exceeds its
memory, while untrusted clients send it unfinished bodies."""

from harness import request_load, system
from harness.leased import LeasedSystem
from harness.process_growth import ProcessGrowth
from harness.processes import wait_until

INSTANCES = 3
# Connections of callers, to all executors and to the other instances.
DESCRIPTOR_BOUND = request_load.OTHER_DESCRIPTORS + request_load.CLIENTS + \
    4 * 8 + 2 * (INSTANCES - 1)


def main():
    running = LeasedSystem(system.build_dir_argument(), instances=INSTANCES)
    for instance in running.instances:
        instance.extra_settings = request_load.memory_settings()
        instance.environment = request_load.ENVIRONMENT
    with running:
        owner = running.owner()
        others = [i for i in running.instances if i is not owner]
        growths = [ProcessGrowth(i.process) for i in others]
        connections = []
        for wave, instance in enumerate(others):
            connections += request_load.send_unfinished_bodies(
                instance, request_load.CLIENTS // 2, 1000 * (wave + 1))
        owner.process.kill()
        for wave, instance in enumerate(others):
            connections += request_load.send_unfinished_bodies(
                instance, request_load.CLIENTS // 2, 3000 + 1000 * wave)
            for growth in growths:
                growth.measure()
        wait_until(lambda: sum(i.metric("executors_claimed") or 0
                               for i in others if i.metric("owner") == 1)
                   == len(running.executors), "claimed executors")
        faults = []
        for growth in growths:
            growth.settle()
            faults += growth.faults(request_load.MEMORY_GROWTH_BOUND,
                                    DESCRIPTOR_BOUND)
        for number, instance in enumerate(others):
            answer = instance.submit(1 + number, 2, 60)
            assert answer is not None and answer.status == 200, answer
        for connection in connections:
            connection.close()
        assert not running.duplicate_runs, running.duplicate_runs
        assert not faults, "; ".join(faults)


if __name__ == "__main__":
    main()
