"""Guards against an entry of another writer in the store that ends processes,
stops them from following the store or makes a task run twice at a time."""

import json
import time

from harness import system
from harness.leased import LeasedSystem
from harness.processes import wait_until
from test_leased_executors import submit_in_thread


def odd_values(entry):
    text = json.dumps(entry)
    host = entry["address"].split(":")[0]
    for address in ["65536", "99999", "0", "-1", "", "1e9"]:
        yield json.dumps({**entry, "address": f"{host}:{address}"}).encode()
    for address in ["", host, "host:80", "[::1", f"{host}\0:80",
                    f"{host}\0\r\nx: y:80"]:
        yield json.dumps({**entry, "address": address}).encode()
    for number in ["1e999", "-1", "1.5", "18446744073709551616"]:
        yield text.replace("64000", number).encode()
        yield text.replace(str(entry["born"]), number).encode()
    for field in ["address", "service", "zone", "version", "slots", "state",
                  "cold_remaining_ms", "sequence", "capacity", "labels"]:
        yield json.dumps({key: value for key, value in entry.items()
                          if key != field}).encode()
    for depth in [100, 10_000, 100_000]:
        yield b"[" * depth + b"]" * depth
        yield b"[" * depth
        yield b'{"a":' * depth
        yield text.replace('["a", "r1-1"]', "[" * depth + "]" * depth).encode()
    yield json.dumps({**entry, "labels": ["a" * 200_000]}).encode()
    yield json.dumps({**entry, "state": "asleep"}).encode()
    yield b"\xff\xfe\x00"
    yield b"\0"


def main():
    build_dir = system.build_dir_argument()
    with LeasedSystem(build_dir) as running:
        odd_entries_of_unknown_executors_are_passed_over(running)
        odd_entries_of_busy_executors_move_no_run(running)
        later_changes_are_followed(running)


def odd_entries_of_unknown_executors_are_passed_over(running):
    entry = running.executors[0].entry()
    for number, value in enumerate(odd_values(entry)):
        running.store.put_bytes("keyed.servers", f"odd-{number}", value)
    for key in ["", "e\r\nx: y", "e 1", "\u00e9"]:
        running.store.put("keyed.servers", key, entry)
    for topic in ["keyed.op", "keyed.instances"]:
        for number, value in enumerate(odd_values(entry)):
            running.store.put_bytes(topic, f"odd-{number}", value)
    running.store.put_bytes("keyed.op", "evacuate/none", b"[" * 1000)
    time.sleep(0.5)
    for instance in running.instances:
        instance.process.check_running()
    assert_serves(running.instances[0], 1)
    wait_until(running.owner, "an owner")
    wait_until(lambda: running.owner().metric("executors_claimed") ==
               len(running.executors), "claimed executors")
    time.sleep(0.5)
    claimed = running.owner().metric("executors_claimed")
    assert claimed == len(running.executors), claimed


def odd_entries_of_busy_executors_move_no_run(running):
    """The entries stay for less than the time after which executors whose
    entry is missing are given up."""
    for number, value in enumerate(odd_values(running.executors[0].entry())):
        job = 100 + number
        owner = running.owner()
        thread, answers = submit_in_thread(owner, job, 4, 700)
        wait_until(lambda job=job: running.start_count(job) == 4, "starts")
        # Executors without runs could take the tasks over.
        for executor in [e for e in running.executors if e.runs]:
            running.store.put_bytes("keyed.servers", executor.name, value)
        thread.join()
        assert not running.duplicate_runs, (value[:100],
                                            running.duplicate_runs)
        if running.owner() is owner and not was_paused(running):
            assert answers[0] is not None and answers[0].status == 200, \
                (value[:100], answers)
            assert running.start_count(job) == 4, (value[:100],
                                                   running.starts)
        for executor in running.executors:
            running.list_executor(executor)


def later_changes_are_followed(running):
    running.store.put_bytes("keyed.op", "config",
                            b'{"version":2,"routes":' + b"[" * 100_000)
    running.store.put_bytes("keyed.op", "config", b'{"version":1e999}')
    running.publish_configuration(3, 1400)
    wait_until(lambda: all(i.metric("configuration_version") == 3
                           for i in running.instances), "new configuration")
    for executor in running.executors[1:]:
        running.store.put_bytes("keyed.servers", executor.name, b"")
    wait_until(lambda: running.owner().metric("executors_claimed") == 1,
               "removed executors")
    for executor in running.executors[1:]:
        running.list_executor(executor)
    wait_until(lambda: running.owner().metric("executors_claimed") ==
               len(running.executors), "listed executors")
    # A new owner reads all entries anew.
    owner = running.owner()
    owner.process.kill()
    wait_until(lambda: running.owner() not in (None, owner), "new owner")
    wait_until(lambda: running.owner().metric("executors_claimed") ==
               len(running.executors), "claimed executors")
    assert_serves(running.owner(), 500)
    assert not running.duplicate_runs, running.duplicate_runs


def was_paused(running):
    """Returns whether an instance has been paused by the machine for so long
    that its ownership ended; jobs under way are then answered 504."""
    return any('"process_paused"' in instance.process.output()
               for instance in running.instances)


def assert_serves(instance, job_id):
    """Callers submit a job again after a 504."""
    answer = instance.submit(job_id, 4, 60)
    for _ in range(5):
        if answer is not None and answer.status == 200:
            break
        assert answer is None or answer.status == 504, answer
        answer = instance.submit(job_id, 4, 60)
    assert answer is not None and answer.status == 200, answer


if __name__ == "__main__":
    main()
