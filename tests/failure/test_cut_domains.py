"""Guards against two runs of a task at a time while failure domains are cut off
from each other: the links between their instances hold up what is sent, in one
or both directions, and deliver it when the cut ends.

Each failure domain has more work than executors in bursts, so that jobs go to
the other one. Callers without an answer submit their jobs again at another
instance. Instances may be killed during a cut. `--seeds A:B` plays the seeds A
to B, for `--seconds` each."""

import argparse
import itertools
import random
import threading
import time

from harness.leased import LeasedSystem
from harness.processes import wait_until

# The delay after which callers without an answer submit a job again.
RESUBMISSION_S = 1.3
DOMAINS = ("north", "south")
MAX_ATTEMPTS = 3


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--build-dir", required=True)
    parser.add_argument("--seeds", default="1:2")
    parser.add_argument("--seconds", type=float, default=20.0)
    arguments = parser.parse_args()
    first, last = map(int, arguments.seeds.split(":"))
    for seed in range(first, last + 1):
        play_seed(arguments.build_dir, seed, arguments.seconds)


def play_seed(build_dir, seed, seconds):
    with LeasedSystem(build_dir, domains=DOMAINS, has_links=True) as running:
        running.publish_configuration(2, 8000)
        wait_until(lambda: all(i.metric("configuration_version") == 2
                               for i in running.instances), "configuration")
        wait_until(lambda: all((i.metric("peer_connections") or 0) >= 3
                               for i in running.instances), "connections")
        callers = Callers(running, random.Random(f"{seed}.callers"))
        stop = threading.Event()
        threads = [threading.Thread(target=callers.submit_jobs, args=(stop,)),
                   threading.Thread(target=cut_links, args=(
                       running, callers, random.Random(f"{seed}.cuts"), stop))]
        for thread in threads:
            thread.start()
        time.sleep(seconds)
        stop.set()
        for thread in threads:
            thread.join()
        callers.finish()
        assert not running.duplicate_runs, (seed, running.duplicate_runs)
        assert callers.served > 0, seed
        wait_until(lambda: all(i.ready() for i in running.instances),
                   "readiness")
        wait_until(running.all_claimed, "claimed executors")
        print(f"seed {seed}: {len(callers.threads)} jobs, {callers.served} "
              f"served, {callers.repeated} attempts repeated", flush=True)


def cut_links(running, callers, choices, stop):
    """Cuts the links in series, during a burst of jobs at one instance, part of
    which goes to the other failure domain."""
    north, south = (
        [i for i in running.instances if i.domain == domain]
        for domain in DOMAINS)
    links = running.links_between(north, south)
    while not stop.wait(choices.uniform(0.5, 2.5)):
        direction = choices.choice(["both", "both", "to_south", "to_north"])
        burst = threading.Thread(target=callers.submit_burst, args=(
            choices.choice(running.instances), choices.choice([0, 14, 14])))
        burst.start()
        time.sleep(choices.uniform(0.0, 0.12))
        for link, opened_by_north in links:
            if direction in ("both", "to_south"):
                (link.cut_sent if opened_by_north else link.cut_received)()
            if direction in ("both", "to_north"):
                (link.cut_received if opened_by_north else link.cut_sent)()
        cut_s = choices.choice([choices.uniform(0.2, 4.5),
                                choices.uniform(2.4, 3.1)])
        killed = choices.choice(running.instances) \
            if choices.random() < 0.2 else None
        if killed:
            before_s = choices.uniform(0, cut_s)
            time.sleep(before_s)
            killed.process.kill()
            killed.start()
            cut_s -= before_s
        time.sleep(cut_s)
        for link, _ in links:
            link.heal()
        burst.join()


class Callers:
    """Callers that submit a job at one instance after the other, until it is
    answered."""

    def __init__(self, running, choices):
        self.running = running
        self.choices = choices
        self.threads = []
        self.served = 0
        self.repeated = 0
        self.job_ids = itertools.count(1)

    def submit_jobs(self, stop):
        while not stop.is_set():
            # So few jobs that the failure domains share some only in bursts:
            # otherwise their instances soon notice a cut.
            self.submit(self.choices.choice(self.running.instances),
                        self.choices.choice([200, 900, 900, 3000]))
            time.sleep(self.choices.uniform(0.2, 0.8))

    def submit_burst(self, instance, jobs):
        for _ in range(jobs):
            self.submit(instance, 900)
            time.sleep(0.012)

    def submit(self, instance, work_ms):
        attempts = [instance]
        while len(attempts) < MAX_ATTEMPTS:
            attempts.append(self.choices.choice(
                [i for i in self.running.instances if i is not attempts[-1]]))
        wait_s = 8.0 if work_ms > 1000 else 1.5
        thread = threading.Thread(target=self.submit_until_answered, args=(
            next(self.job_ids), attempts, work_ms, wait_s))
        thread.start()
        self.threads.append(thread)

    def submit_until_answered(self, job_id, attempts, work_ms, wait_s):
        for number, instance in enumerate(attempts):
            answer = instance.submit(job_id, 2, work_ms, wait_s)
            if answer is not None and answer.status != 504:
                self.served += answer.status == 200
                return
            if number + 1 < len(attempts):
                self.repeated += 1
                time.sleep(RESUBMISSION_S)

    def finish(self):
        for thread in self.threads:
            thread.join()


if __name__ == "__main__":
    main()
