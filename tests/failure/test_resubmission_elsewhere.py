"""Guards against two runs of a task at a time in two failure domains: an
instance runs a job whose caller has left and submits it at another instance.

Processes are paused or killed; the requests of their callers wait in the
sockets meanwhile, or the runs of their jobs go on under the leases. With
`--seeds A:B`, only the random faults of these seeds are played, for
`--seconds` each and with `--instances` in each failure domain."""

import argparse
import random
import threading
import time

from harness.leased import LeasedSystem
from harness.processes import wait_until

# The delay after which callers without an answer submit a job again, as in the
# default settings of the instances.
RESUBMISSION_S = 1.3
CALLER_WAIT_S = 1.5
DOMAINS = ("north", "east", "south")


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--build-dir", required=True)
    parser.add_argument("--seeds")
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--instances", type=int, default=2)
    arguments = parser.parse_args()
    if arguments.seeds is None:
        play_cases(arguments.build_dir)
        play_seed(arguments.build_dir, 1, 8.0, 2)
        return
    first, last = map(int, arguments.seeds.split(":"))
    for seed in range(first, last + 1):
        play_seed(arguments.build_dir, seed, arguments.seconds,
                  arguments.instances)


def play_cases(build_dir):
    random.seed(1)
    with LeasedSystem(build_dir, instances=1, domains=DOMAINS) as running:
        # The runs may outlast the wait of most callers.
        running.publish_configuration(2, 8000)
        wait_until(lambda: all(i.metric("configuration_version") == 2
                               for i in running.instances), "configuration")
        for pause_s in (1.2, 4.0):
            requests_to_a_paused_instance_are_dropped(running, pause_s)
        for pause_s in (0.8, 2.5):
            all_instances_are_paused(running, pause_s)
        runs_of_a_killed_instance_end(running, (0.66, 0.76))
        runs_end_if_the_new_process_is_killed_too(running)
    with LeasedSystem(build_dir, instances=2, domains=DOMAINS[:2]) as running:
        all_instances_are_paused(running, 1.4)
        all_instances_are_killed(running)


def play_seed(build_dir, seed, seconds, instances):
    """Plays random faults, which come in series and overlap."""
    random.seed(seed)
    faults = random.choice([["pause"], ["pause_all"], ["kill"], ["kill_all"],
                            ["pause", "pause_all"], ["pause", "kill"],
                            ["pause", "pause_all", "kill", "kill_all"]])
    with LeasedSystem(build_dir, instances=instances,
                      domains=DOMAINS) as running:
        callers = Callers(running)
        stop = threading.Event()
        threads = [threading.Thread(target=inject_faults, args=(
            running, faults, random.Random(f"{seed}.{number}"), stop))
            for number in range(2)]
        for thread in threads:
            thread.start()
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            submit_anywhere(callers, running)
        stop.set()
        for thread in threads:
            thread.join()
        callers.finish()
        print(f"seed {seed}: {faults}, {len(callers.threads)} jobs, "
              f"{callers.served} served", flush=True)
        assert callers.served > 0, seed


def inject_faults(running, faults, choices, stop):
    while not stop.wait(choices.uniform(0.2, 1.5)):
        fault = choices.choice(faults)
        one = choices.choice(running.instances)
        affected = running.instances if fault.endswith("all") else [one]
        if fault.startswith("pause"):
            processes = [instance.process for instance in affected]
            signal_all(processes, "pause")
            time.sleep(choices.uniform(0.1, 4.0 if len(affected) == 1 else 2.5))
            signal_all(processes, "resume")
        else:
            restart(affected, choices.uniform(0.3, 1.0))


def signal_all(processes, action):
    for process in processes:
        try:
            getattr(process, action)()
        except ProcessLookupError:
            # It was killed meanwhile.
            pass


def restart(instances, delay_s):
    with restarting:
        for instance in instances:
            instance.process.kill()
        time.sleep(delay_s)
        for instance in instances:
            instance.start()


# An instance has one process at a time.
restarting = threading.Lock()


class Callers:
    """Callers that submit a job at each instance of a list, one after the
    other, until it is answered."""

    def __init__(self, running):
        self.running = running
        self.threads = []
        self.served = 0

    def submit(self, instances, work_ms, wait_s=CALLER_WAIT_S):
        thread = threading.Thread(target=self.submit_until_answered, args=(
            next_job_id(), instances, work_ms, wait_s))
        thread.start()
        self.threads.append(thread)

    def submit_until_answered(self, job_id, instances, work_ms, wait_s):
        for instance in instances:
            answer = instance.submit(job_id, 1, work_ms, wait_s)
            if answer is not None and answer.status != 504:
                self.served += answer.status == 200
                return
            time.sleep(RESUBMISSION_S)

    def finish(self):
        for thread in self.threads:
            thread.join()
        assert not self.running.duplicate_runs, self.running.duplicate_runs
        wait_until(lambda: all(i.ready() for i in self.running.instances),
                   "readiness")
        wait_until(self.running.all_claimed, "claimed executors")


last_job = [0]


def next_job_id():
    last_job[0] += 1
    return last_job[0]


def requests_to_a_paused_instance_are_dropped(running, pause_s):
    """Guards against requests that a resumed instance reads after their callers
    have left."""
    callers = Callers(running)
    paused = running.instances[-1]
    others = running.instances[:-1]
    paused.process.pause()
    end = time.monotonic() + pause_s
    while time.monotonic() < end:
        callers.submit([paused, random.choice(others)], 700, 0.9)
        time.sleep(0.15)
    paused.process.resume()
    callers.finish()


def all_instances_are_paused(running, pause_s):
    """Guards against offers and starts of jobs whose callers have left while
    all instances were paused."""
    callers = Callers(running)
    begin = time.monotonic()
    while time.monotonic() < begin + 0.6:
        submit_anywhere(callers, running)
    for instance in running.instances:
        instance.process.pause()
    while time.monotonic() < begin + 0.6 + pause_s:
        submit_anywhere(callers, running)
    for instance in running.instances:
        instance.process.resume()
    while time.monotonic() < begin + 1.6 + pause_s:
        submit_anywhere(callers, running)
    callers.finish()


def submit_anywhere(callers, running):
    instances = random.sample(running.instances, len(running.instances))
    callers.submit(instances[:3], random.choice([100, 400, 900]),
                   random.uniform(0.3, CALLER_WAIT_S))
    time.sleep(0.04)


def runs_of_a_killed_instance_end(running, restart_delays_s):
    """Guards against runs of a killed instance that its new process keeps
    alive after their callers have submitted the jobs elsewhere."""
    for delay_s in restart_delays_s:
        callers, killed = start_long_runs(running)
        killed.process.kill()
        time.sleep(delay_s)
        killed.start()
        callers.finish()


def runs_end_if_the_new_process_is_killed_too(running):
    """Guards against leases that the new process renews before it is killed."""
    callers, killed = start_long_runs(running)
    for delay_s in (0.5, 0.4):
        killed.process.kill()
        time.sleep(0.5)
        killed.start()
        time.sleep(delay_s)
    callers.finish()


def start_long_runs(running):
    """Starts runs in the last failure domain, whose callers turn to the others
    without an answer."""
    callers = Callers(running)
    first = running.instances[-1]
    for other in running.instances[:-1] * 2:
        callers.submit([first, other], 2600, 6.0)
    wait_until(lambda: running.runs_in(first.domain) >= 2, "runs")
    return callers, first


def all_instances_are_killed(running):
    """Guards against runs that the new processes keep alive."""
    callers = Callers(running)
    for _ in range(20):
        submit_anywhere(callers, running)
    for instance in running.instances:
        instance.process.kill()
    time.sleep(0.6)
    for instance in running.instances:
        instance.start()
    callers.finish()


if __name__ == "__main__":
    main()
