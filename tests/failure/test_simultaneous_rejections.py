"""Guards against descriptors that grow with the number of requests that are
rejected at the same time, on the listeners for callers and for metrics."""

from harness import request_load
from harness.request_load import (BODY_LIMIT_BYTES, CONNECTION_LIMIT,
                                  LoadedInstance, try_send)

WAVES = 3
# Above the limits of both listeners.
DECLARED_BYTES = 2 * BODY_LIMIT_BYTES
SENT_BYTES = 20_000


def main():
    settings = {"callers": {"connection_limit": CONNECTION_LIMIT},
                "listen": {"monitoring_connection_limit": CONNECTION_LIMIT}}
    for address_of in (lambda instance: instance.callers_address,
                       lambda instance: instance.metrics_address):
        with LoadedInstance(settings) as loaded:
            for wave in range(WAVES):
                send_while_paused(loaded, address_of(loaded.instance), wave)
                for _ in range(2_000):
                    loaded.measure()
            loaded.check_bounds()


def send_while_paused(loaded, address, wave):
    """Sends requests that the instance receives in one iteration of its event
    loop, after its pause."""
    process = loaded.instance.process
    process.pause()
    connections = request_load.connect(address, request_load.CLIENTS // 2)
    loaded.connections += connections
    for number, connection in enumerate(connections):
        try_send(connection, request_load.request_head(
            1000 * wave + 1000 + number,
            f"content-length: {DECLARED_BYTES}",
            host=loaded.instance.ip) + b"x" * SENT_BYTES)
    process.resume()


if __name__ == "__main__":
    main()
