"""Guards against idle connections that use up the connections or descriptors
of an instance, so that normal callers are not answered."""

from harness import request_load
from harness.request_load import LoadedInstance


def main():
    with LoadedInstance(request_load.connection_settings()) as loaded:
        for _ in range(request_load.CLIENTS):
            loaded.connect(1)
            loaded.measure()
        loaded.check_bounds()


if __name__ == "__main__":
    main()
