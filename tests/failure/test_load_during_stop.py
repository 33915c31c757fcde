"""Guards against a process that does not end, or exceeds its memory, when it is
stopped while untrusted clients keep sending unfinished bodies."""

from harness import request_load
from harness.request_load import LoadedInstance, try_send


def main():
    settings = request_load.memory_settings()
    # Shorter than the time-outs of the unfinished bodies.
    settings["callers"]["stop_grace_ms"] = 3_000
    with LoadedInstance(settings) as loaded:
        loaded.connections += request_load.send_unfinished_bodies(
            loaded.instance, request_load.CLIENTS // 2, 1000)
        loaded.measure()
        loaded.check_normal_request(2)
        process = loaded.instance.process
        process.terminate()
        try:
            loaded.connections += request_load.send_unfinished_bodies(
                loaded.instance, request_load.CLIENTS // 2, 2000)
        except OSError:
            # The instance accepts no more connections.
            pass
        while process.running():
            for connection in loaded.connections:
                try_send(connection, b"x")
            try:
                loaded.measure()
            except (OSError, RuntimeError):
                break
        assert process.wait() == 0, process.output()[-4000:]
        faults = loaded.growth.faults(request_load.MEMORY_GROWTH_BOUND,
                                      loaded.descriptor_bound)
        assert not faults, "; ".join(faults)


if __name__ == "__main__":
    main()
