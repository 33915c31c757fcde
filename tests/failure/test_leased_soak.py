"""Guards against second runs and false rejections under random kills, stops,
pauses and store outages of real processes. `--seeds A:B` plays more seeds."""

import argparse
import random
import threading
import time

from harness.leased import LeasedSystem
from harness.processes import wait_until

PLAY_S = 5.0


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--build-dir", required=True)
    parser.add_argument("--seeds", default="1:2")
    arguments = parser.parse_args()
    first, last = map(int, arguments.seeds.split(":"))
    for seed in range(first, last + 1):
        play(arguments.build_dir, seed)


class Callers:
    """Submits jobs through random instances and checks each answer."""

    def __init__(self, running, seed):
        self.running = running
        self.random = random.Random(seed)
        self.ended = False
        self.answered = 0
        self.faults = []
        self.threads = [threading.Thread(target=self.submit, args=(n,))
                        for n in range(4)]
        for thread in self.threads:
            thread.start()

    def submit(self, number):
        job_id = number * 1_000_000
        while not self.ended:
            job_id += 1
            instance = self.random.choice(self.running.instances)
            answer = instance.submit(job_id, self.random.randint(1, 3),
                                     self.random.choice([40, 150, 400]))
            if answer is None:
                time.sleep(0.05)
            elif answer.status == 200:
                self.answered += 1
            elif answer.status in (429, 503) and \
                    self.running.starts_of(job_id) > 0:
                self.faults.append((job_id, answer.status))

    def stop(self):
        self.ended = True
        for thread in self.threads:
            thread.join()


def play(build_dir, seed):
    random_faults = random.Random(seed)
    with LeasedSystem(build_dir, instances=3) as running:
        callers = Callers(running, seed)
        end = time.monotonic() + PLAY_S
        while time.monotonic() < end:
            disturb(running, random_faults)
            time.sleep(random_faults.uniform(0.1, 0.8))
        running.store.down = False
        callers.stop()
        wait_until(lambda: all(i.ready() for i in running.instances),
                   "readiness after the faults")
        last = running.instances[0].submit(0xffff, 2, 60)
        assert last is not None and last.status == 200, (seed, last)
        assert not running.double_runs, (seed, running.double_runs)
        assert not callers.faults, (seed, callers.faults)
        assert callers.answered > 0, seed
        print(f"seed {seed}: {callers.answered} jobs served")


def disturb(running, random_faults):
    instance = random_faults.choice(running.instances)
    kind = random_faults.choice(["kill", "stop", "pause", "store", "none"])
    if kind == "kill":
        instance.process.kill()
        instance.start()
    elif kind == "stop":
        instance.process.terminate()
        time.sleep(random_faults.uniform(0.0, 0.5))
        instance.process.kill()
        instance.start()
    elif kind == "pause":
        instance.process.pause()
        time.sleep(random_faults.uniform(0.1, 1.5))
        instance.process.resume()
    elif kind == "store":
        running.store.down = not running.store.down


if __name__ == "__main__":
    main()
