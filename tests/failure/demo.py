"""Runs jobs on a small system and prints a summary of the outcomes."""

import json
import queue
import random
import sys
import threading
import time

from harness import system

JOBS = 1000
CALLERS = 24
SPEEDS = (1, 1.5, 2, 2.5, 3, 4)
TASK_MS = (50, 400)
SEED = 7


class Result:
    """Outcome of a job as seen by its caller."""

    def __init__(self, job_id, run_times, answer, elapsed_s):
        self.job_id = job_id
        self.run_times = run_times
        self.answer = answer
        self.elapsed_s = elapsed_s

    def done(self):
        return self.answer is not None and self.answer.status == 200 and \
            self.answer.body["state"] == "done"


def make_jobs():
    generator = random.Random(SEED)
    for number in range(JOBS):
        run_times = [generator.uniform(*TASK_MS)
                     for _ in range(generator.choice((1, 1, 2, 4, 8)))]
        # Declared run times are too short or too long by a factor of up to 5.
        declared = [max(1, int(run_ms * generator.choice((0.2, 0.5, 1, 2, 5))))
                    for run_ms in run_times]
        yield number, run_times, {
            "service": "roll-desk.tolerance",
            "team": generator.choice(("line-1", "line-2")),
            "tasks": [{"payload": json.dumps({"run_ms": run_ms,
                                              "result": "ok"}),
                       "run_time_ms": declared_ms}
                      for run_ms, declared_ms in zip(run_times, declared)]}


def submit_jobs(instances, jobs, results):
    while True:
        try:
            number, run_times, body = jobs.get_nowait()
        except queue.Empty:
            return
        instance = instances[number % len(instances)]
        job_id = instance.new_ids()[0]
        begin = time.monotonic()
        answer = instance.submit(job_id, body)
        results.append(Result(job_id, run_times, answer,
                              time.monotonic() - begin))


def percentile(values, share):
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def response_ratios(results, speed_of_task):
    """Returns, for each job, the ratio of the answer time to the work time of
    its longest task on the server that ran it."""
    ratios = []
    for result in results:
        if not result.done():
            continue
        work_times = [run_ms / speed_of_task[f"{result.job_id}/{index}"]
                 for index, run_ms in enumerate(result.run_times)]
        ratios.append(result.elapsed_s * 1000 / max(work_times))
    return ratios


def main():
    total_begin = time.monotonic()
    with system.System(system.build_dir_argument(), domains=2, instances=2,
                       servers=6, speeds=SPEEDS) as running:
        jobs = queue.Queue()
        for entry in make_jobs():
            jobs.put(entry)
        results = []
        load_begin = time.monotonic()
        callers = [threading.Thread(target=submit_jobs, args=(
            running.instances, jobs, results)) for _ in range(CALLERS)]
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join()
        load_s = time.monotonic() - load_begin

        speed_of_task = {}
        counts = {"starts": 0, "refused": 0, "cancelled": 0}
        max_starts = 0
        for index, server in enumerate(running.servers):
            report = server.starts()
            for name in counts:
                counts[name] += report[name]
            for task, attempts in report["started"].items():
                speed_of_task[task] = SPEEDS[index % len(SPEEDS)]
        for attempts in running.task_starts().values():
            max_starts = max(max_starts, len(attempts))
        tasks = sum(len(result.run_times) for result in results)
        served = sum(result.done() for result in results)
        extra_starts = counts["starts"] - tasks
        wasted = counts["refused"] + counts["cancelled"] + max(0, extra_starts)
        messages = 2 * len(results) + 2 * (counts["starts"] +
                                           counts["refused"])
        ratios = response_ratios(results, speed_of_task)
        print(f"jobs served:          {served} of {len(results)}")
        print(f"jobs failed:          {len(results) - served}")
        print(f"tasks:                {tasks} in {load_s:.1f} s")
        print(f"starts per task:      {counts['starts'] / tasks:.3f} "
              f"(max {max_starts})")
        print(f"response / work time: p50 {percentile(ratios, 0.5):.3f}, "
              f"p99 {percentile(ratios, 0.99):.3f}")
        print(f"wasted messages:      {wasted} of {messages} "
              f"({100 * wasted / messages:.2f}%)")

        for instance in running.instances:
            instance.process.terminate()
        codes = [instance.process.wait() for instance in running.instances]
        print(f"exit codes:           {codes}")
        print(f"total time:           {time.monotonic() - total_begin:.1f} s")
        succeeded = served == len(results) and not any(codes) and \
            max_starts == 1
    return 0 if succeeded else 1


if __name__ == "__main__":
    sys.exit(main())
