"""Guards against a budget for open requests that follows the memory of the host
where the settings name none: bodies that stop shortly before their end take
more than the callers within the limits can need."""

from harness import request_load
from harness.request_load import LoadedInstance, try_send


def main():
    settings = {"callers": {"connection_limit": request_load.CLIENTS}}
    with LoadedInstance(settings) as loaded:
        head_line = f"content-length: {request_load.BODY_LIMIT_BYTES}"
        body = b"x" * request_load.UNFINISHED_BODY_BYTES
        for number, connection in enumerate(loaded.connect(request_load.CLIENTS)):
            try_send(connection, request_load.request_head(
                1000 + number, head_line) + body)
            loaded.measure()
        loaded.check_bounds()


if __name__ == "__main__":
    main()
