"""Guards against memory that stays with the process after request bodies have
been received in small pieces and their connections have been closed, in
several waves."""

from harness import request_load
from harness.processes import wait_until
from harness.request_load import LoadedInstance, try_send

WAVES = 3
PIECE = b"x" * 8_000
# The state of an idle process does not grow with earlier load; half of the
# budget is left to the allocator.
REMAINING_BOUND = request_load.BUDGET_BYTES // 2


def main():
    with LoadedInstance(request_load.memory_settings()) as loaded:
        faults = []
        for wave in range(WAVES):
            send_pieces(loaded)
            loaded.settle()
            while loaded.connections:
                loaded.connections.pop().close()
            wait_until(lambda: loaded.instance.metric("caller_connections")
                       == 0, "closed connections")
            try:
                wait_until(lambda: loaded.growth.present_memory()
                           <= REMAINING_BOUND, "release of memory")
            except TimeoutError:
                faults.append(
                    f"wave {wave}: {loaded.growth.present_memory()} bytes "
                    f"remain, bound {REMAINING_BOUND}")
            print(f"wave {wave}: {loaded.growth.present_memory()} bytes "
                  f"remain", flush=True)
        loaded.check_bounds()
        assert not faults, "; ".join(faults)


def send_pieces(loaded):
    connections = loaded.connect(request_load.CLIENTS)
    for number, connection in enumerate(connections):
        try_send(connection, request_load.request_head(
            1000 + number,
            f"content-length: {request_load.BODY_LIMIT_BYTES}"))
    for _ in range(request_load.UNFINISHED_BODY_BYTES // len(PIECE)):
        for connection in connections:
            try_send(connection, PIECE)
        loaded.measure()


if __name__ == "__main__":
    main()
