"""Guards against memory that grows with request bodies that many clients send
in small pieces at the same time, with a declared length or in chunks."""

from harness import request_load
from harness.request_load import LoadedInstance, try_send

PIECE = b"x" * 16_000


def main():
    with LoadedInstance(request_load.memory_settings()) as loaded:
        connections = loaded.connect(request_load.CLIENTS)
        for number, connection in enumerate(connections):
            header = "transfer-encoding: chunked" if number % 2 else \
                f"content-length: {request_load.BODY_LIMIT_BYTES}"
            try_send(connection,
                     request_load.request_head(1000 + number, header))
        chunk = f"{len(PIECE):x}\r\n".encode() + PIECE + b"\r\n"
        for _ in range(request_load.UNFINISHED_BODY_BYTES // len(PIECE)):
            for number, connection in enumerate(connections):
                try_send(connection, chunk if number % 2 else PIECE)
            loaded.measure()
        loaded.check_bounds()


if __name__ == "__main__":
    main()
