"""Guards against duplicate runs, rejections of started jobs and lasting loss
of service when real processes have random faults, which may overlap.

Processes are killed, stopped and paused; the store is down, slow, loses its
history or its responses; executors hang, fail, restart, lose responses and
process starts late; connections are delayed, reset, or cut in one or both
directions. `--seeds A:B` runs the seeds A to B. A seed that has failed is kept
in REGRESSION_SEEDS with its cause, and every run includes it."""

import argparse
import http.client
import json
import random
import threading
import time

from harness.leased import LeasedSystem
from harness.processes import wait_until

RUN_S = 5.0

# From this seed on, there are also callers of long runs that leave.
FIRST_SEED_WITH_LEAVING_CALLERS = 1001

# Time after which a caller that got no answer submits its job again.
RESUBMISSION_DELAY_S = 1.3

# Seeds that have failed, with the cause of each failure.
REGRESSION_SEEDS = {
    308: "an executor restarted and accepted a start before its owner learned "
         "of the restart; the owner started the task again elsewhere",
    447: "a start without an answer was stopped, its executor restarted, and the "
         "new process carried the start out before the owner learned of it",
}


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--build-dir", required=True)
    parser.add_argument("--seeds", default="1:2",
                        help="first and last seed; with the first ones, those "
                             "with leaving callers run as well")
    arguments = parser.parse_args()
    first, last = map(int, arguments.seeds.split(":"))
    seeds = {*REGRESSION_SEEDS, *range(first, last + 1)}
    if first == 1:
        seeds |= {FIRST_SEED_WITH_LEAVING_CALLERS,
                  FIRST_SEED_WITH_LEAVING_CALLERS + 1}
    for seed in sorted(seeds):
        run_seed(arguments.build_dir, seed)


class Callers:
    """Submits jobs through random instances and counts the answers.

    Half of the callers reuse their connections until these break."""

    def __init__(self, running, seed):
        self.running = running
        self.stopping = False
        self.answered = 0
        self.rejected = []
        self.threads = [
            threading.Thread(target=self.submit_jobs,
                             args=(number, random.Random(f"{seed}.{number}")))
            for number in range(4)]
        if seed >= FIRST_SEED_WITH_LEAVING_CALLERS:
            self.threads.append(threading.Thread(
                target=self.leave_and_resubmit,
                args=(random.Random(f"{seed}.leaving"),)))
        for thread in self.threads:
            thread.start()

    def submit_jobs(self, number, choices):
        job_id = number * 1_000_000
        connections = {}
        while not self.stopping:
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

    def leave_and_resubmit(self, choices):
        """Submits long jobs, leaves before their answers, and submits them
        again at other instances."""
        job_id = 9_000_000
        while not self.stopping:
            job_id += 1
            work_ms = choices.choice([1000, 2000, 3000])
            waits = [choices.uniform(0, 0.9), 4.0]
            instances = choices.sample(self.running.instances, len(waits))
            for instance, wait_s in zip(instances, waits):
                connection = http.client.HTTPConnection(
                    instance.callers_address, timeout=wait_s)
                try:
                    connection.request(
                        "POST", f"/desk/{job_id:016x}",
                        body=json.dumps(instance.job_body(job_id, 1, work_ms)))
                    status = connection.getresponse().status
                except (OSError, http.client.HTTPException):
                    status = None
                connection.close()
                # A job that is rejected later may have started before.
                if status in (429, 503) and instance is instances[0]:
                    self.rejected.append(job_id)
                if status is not None or self.stopping:
                    break
                time.sleep(RESUBMISSION_DELAY_S)

    def stop(self):
        self.stopping = True
        for thread in self.threads:
            thread.join()


def submit_on_open_connection(instance, connections, job_id, tasks, work_ms):
    connection = connections.get(instance.name)
    if connection is None:
        connection = http.client.HTTPConnection(instance.callers_address,
                                                timeout=10)
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


def run_seed(build_dir, seed):
    faults = Faults(random.Random(seed))
    with LeasedSystem(build_dir, instances=3, has_relays=True) as running:
        if seed >= FIRST_SEED_WITH_LEAVING_CALLERS:
            running.publish_configuration(2, 6000)
        callers = Callers(running, seed)
        end = time.monotonic() + RUN_S
        while time.monotonic() < end:
            faults.inject(running)
            time.sleep(faults.random.uniform(0.05, 0.6))
        faults.clear(running)
        callers.stop()
        wait_until(lambda: all(i.ready() for i in running.instances),
                   f"seed {seed}: readiness after the faults")
        check_recovery(running, seed)
        assert not running.duplicate_runs, (seed, running.duplicate_runs)
        assert not running.unknown_starts, (seed, running.unknown_starts)
        started = [job for job in callers.rejected if running.start_count(job)]
        assert not started, (seed, "rejected and started", started)
        assert callers.answered > 0, seed
        print(f"seed {seed}: {callers.answered} jobs served, "
              f"{len(callers.rejected)} rejected; {faults.injected}",
              flush=True)


def check_recovery(running, seed):
    """Checks that jobs are served again within 12 s after the faults end."""
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
    """Injects random faults; several may be active at a time."""

    def __init__(self, choices):
        self.random = choices
        self.injected = {}

    def inject(self, running):
        kinds = [self.kill, self.stop, self.pause, self.inject_store_fault,
                 self.inject_executor_fault, self.restart_executor,
                 self.inject_connection_fault, self.clear_connection_faults]
        kind = self.random.choice(kinds)
        name = kind.__name__
        self.injected[name] = self.injected.get(name, 0) + 1
        kind(running)

    def clear(self, running):
        running.store.down = False
        running.store.slow_s = 0.0
        running.store.loses_responses = False
        for executor in running.executors:
            executor.fault = None
        for relay in running.relays():
            relay.clear_faults()

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

    def inject_store_fault(self, running):
        store = running.store
        kind = self.random.choice(["down", "slow", "expire", "lose", "well"])
        store.down = kind == "down"
        store.slow_s = 0.2 if kind == "slow" else 0.0
        store.loses_responses = kind == "lose"
        if kind == "expire":
            store.expire_history()

    def inject_executor_fault(self, running):
        executor = self.random.choice(running.executors)
        executor.fault = self.random.choice(
            [None, "hang", "fail", "late", "lost"])

    def restart_executor(self, running):
        executor = self.random.choice(running.executors)
        executor.restart()
        running.list_executor(executor)

    def inject_connection_fault(self, running):
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

    def clear_connection_faults(self, running):
        for relay in running.relays():
            if self.random.random() < 0.7:
                relay.clear_faults()


if __name__ == "__main__":
    main()
