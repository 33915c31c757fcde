"""Guards against memory that grows with request bodies that stop shortly before
their end and are kept as long as their connections are open."""

from harness import request_load
from harness.request_load import LoadedInstance, try_send


def main():
    with LoadedInstance(request_load.memory_settings()) as loaded:
        head_line = f"content-length: {request_load.BODY_LIMIT_BYTES}"
        body = b"x" * request_load.UNFINISHED_BODY_BYTES
        for number, connection in enumerate(loaded.connect(request_load.CLIENTS)):
            try_send(connection, request_load.request_head(
                1000 + number, head_line) + body)
            loaded.measure()
        loaded.check_bounds()


if __name__ == "__main__":
    main()
