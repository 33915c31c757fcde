"""Guards against memory that grows with requests whose headers never end."""

from harness import request_load
from harness.request_load import LoadedInstance, try_send

HEADERS = 10
HEADER_BYTES = 30_000


def main():
    with LoadedInstance(request_load.memory_settings()) as loaded:
        connections = loaded.connect(request_load.CLIENTS)
        # Without the blank line, the head is not complete.
        for number, connection in enumerate(connections):
            try_send(connection,
                     request_load.request_head(1000 + number)[:-2])
        for header in range(HEADERS):
            line = f"x-{header}: ".encode() + b"x" * HEADER_BYTES + b"\r\n"
            for connection in connections:
                try_send(connection, line)
            loaded.measure()
        loaded.check_bounds()


if __name__ == "__main__":
    main()
