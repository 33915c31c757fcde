"""Guards against memory and descriptors that grow with unfinished requests at
the listener for metrics."""

from harness.monitoring_load import check_listener


def main():
    check_listener(lambda instance: instance.metrics_address, "/metrics")


if __name__ == "__main__":
    main()
