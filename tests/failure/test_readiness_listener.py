"""Guards against memory and descriptors that grow with unfinished requests at
the listener for readiness checks."""

from harness.monitoring_load import check_listener


def main():
    check_listener(lambda instance: instance.readiness_address, "/api/readyz")


if __name__ == "__main__":
    main()
