"""Guards against second runs, false rejections and lost service under random
faults of real processes, which come in series and overlap.

Processes are killed, stopped and paused; the store is down, slow, forgets its
history or loses answers; executors hang, fail, restart, lose answers and carry
out orders late; connections are delayed, reset, cut one way or silenced.
`--seeds A:B` plays more seeds. A seed that fails is kept in FOUND with a line
on its cause, and is played by every run."""

import argparse
import http.client
import json
import random
import threading
import time

from harness.leased import LeasedSystem
from harness.processes import wait_until

PLAY_S = 5.0

# Seeds that have failed once, and why.
FOUND = {}


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--build-dir", required=True)
    parser.add_argument("--seeds", default="1:2")
    arguments = parser.parse_args()
    first, last = map(int, arguments.seeds.split(":"))
    for seed in sorted({*FOUND, *range(first, last + 1)}):
        play(arguments.build_dir, seed)


class Callers:
    """Submits jobs through random instances and keeps what was answered.

    Half of the callers keep their connections open until they break."""

    def __init__(self, running, seed):
        self.running = running
        self.ended = False
        self.answered = 0
        self.rejected = []
        self.threads = [
            threading.Thread(target=self.submit_jobs,
                             args=(number, random.Random(f"{seed}.{number}")))
            for number in range(4)]
        for thread in self.threads:
            thread.start()

    def submit_jobs(self, number, choices):
        job_id = number * 1_000_000
        connections = {}
        while not self.ended:
            job_id += 1
            instance = choices.choice(self.running.instances)
            tasks = choices.randint(1, 3)
            work_ms = choices.choice([40, 150, 400])
            if number % 2 == 0:
                answer = instance.submit(job_id, tasks, work_ms)
                status = answer.status if answer else None
            else:
                status = submit_on_open_connection(
                    instance, connections, job_id, tasks, work_ms)
            if status is None:
                time.sleep(0.05)
            elif status == 200:
                self.answered += 1
            elif status in (429, 503):
                self.rejected.append(job_id)
        for connection in connections.values():
            connection.close()

    def stop(self):
        self.ended = True
        for thread in self.threads:
            thread.join()


def submit_on_open_connection(instance, connections, job_id, tasks, work_ms):
    connection = connections.get(instance.name)
    if connection is None:
        connection = http.client.HTTPConnection(instance.callers, timeout=10)
        connections[instance.name] = connection
    try:
        connection.request("POST", f"/desk/{job_id:016x}", body=json.dumps(
            instance.job_body(job_id, tasks, work_ms)))
        answer = connection.getresponse()
        answer.read()
        return answer.status
    except (OSError, http.client.HTTPException):
        connection.close()
        del connections[instance.name]
        return None


def play(build_dir, seed):
    faults = Faults(random.Random(seed))
    with LeasedSystem(build_dir, instances=3, has_relays=True) as running:
        callers = Callers(running, seed)
        end = time.monotonic() + PLAY_S
        while time.monotonic() < end:
            faults.begin(running)
            time.sleep(faults.random.uniform(0.05, 0.6))
        faults.end(running)
        callers.stop()
        wait_until(lambda: all(i.ready() for i in running.instances),
                   f"seed {seed}: readiness after the faults")
        serves_again(running, seed)
        assert not running.double_runs, (seed, running.double_runs)
        assert not running.unknown_starts, (seed, running.unknown_starts)
        started = [job for job in callers.rejected if running.starts_of(job)]
        assert not started, (seed, "rejected and started", started)
        assert callers.answered > 0, seed
        print(f"seed {seed}: {callers.answered} jobs served, "
              f"{len(callers.rejected)} rejected; {faults.played}", flush=True)


def serves_again(running, seed):
    """The promise for a return from faults is 12 s."""
    end = time.monotonic() + 12
    job_id = 0xffff0000
    while time.monotonic() < end:
        job_id += 1
        answer = running.instances[0].submit(job_id, 2, 60)
        if answer is not None and answer.status == 200:
            return
        time.sleep(0.1)
    raise AssertionError((seed, "not served 12 s after the faults", answer))


class Faults:
    """Begins random faults; several may stand at a time."""

    def __init__(self, choices):
        self.random = choices
        self.played = {}

    def begin(self, running):
        kinds = [self.kill, self.stop, self.pause, self.disturb_store,
                 self.disturb_executor, self.restart_executor,
                 self.disturb_path, self.heal_path]
        kind = self.random.choice(kinds)
        name = kind.__name__
        self.played[name] = self.played.get(name, 0) + 1
        kind(running)

    def end(self, running):
        running.store.down = False
        running.store.slow_s = 0.0
        running.store.loses_answers = False
        for executor in running.executors:
            executor.fault = None
        for relay in running.relays():
            relay.heal()

    def kill(self, running):
        instance = self.random.choice(running.instances)
        instance.process.kill()
        instance.start()

    def stop(self, running):
        instance = self.random.choice(running.instances)
        instance.process.terminate()
        time.sleep(self.random.uniform(0.0, 0.5))
        instance.process.kill()
        instance.start()

    def pause(self, running):
        instance = self.random.choice(running.instances)
        instance.process.pause()
        time.sleep(self.random.uniform(0.1, 1.5))
        instance.process.resume()

    def disturb_store(self, running):
        store = running.store
        kind = self.random.choice(["down", "slow", "forget", "lose", "well"])
        store.down = kind == "down"
        store.slow_s = 0.2 if kind == "slow" else 0.0
        store.loses_answers = kind == "lose"
        if kind == "forget":
            store.forget_history()

    def disturb_executor(self, running):
        executor = self.random.choice(running.executors)
        executor.fault = self.random.choice(
            [None, "hang", "fail", "late", "lost"])

    def restart_executor(self, running):
        executor = self.random.choice(running.executors)
        executor.restart()
        running.list(executor)

    def disturb_path(self, running):
        relay = self.random.choice(running.relays())
        kind = self.random.choice(
            ["cut", "requests", "answers", "reset", "delay"])
        if kind == "cut":
            relay.cut()
        elif kind == "requests":
            relay.cut_requests()
        elif kind == "answers":
            relay.cut_answers()
        elif kind == "reset":
            relay.reset()
        else:
            relay.delay_s = self.random.uniform(0.01, 0.2)

    def heal_path(self, running):
        for relay in running.relays():
            if self.random.random() < 0.7:
                relay.heal()


if __name__ == "__main__":
    main()
