"""Guards against memory and descriptors of `goldcrestgated` that grow with
request bodies that stop shortly before their end."""

from harness import request_load, system
from harness.daemon_load import LoadedDaemon

DESCRIPTOR_BOUND = request_load.OTHER_DESCRIPTORS + request_load.CLIENTS


def main():
    with LoadedDaemon({"connection_limit": request_load.CLIENTS,
                       "body_limit_bytes":
                       request_load.BODY_LIMIT_BYTES}) as loaded:
        loaded.send_unfinished_bodies(request_load.CLIENTS,
                                      request_load.BODY_LIMIT_BYTES,
                                      request_load.UNFINISHED_BODY_BYTES)
        loaded.check_job(system.job(2))
        faults = loaded.growth.faults(request_load.MEMORY_GROWTH_BOUND,
                                      DESCRIPTOR_BOUND)
        assert not faults, "; ".join(faults)


if __name__ == "__main__":
    main()
