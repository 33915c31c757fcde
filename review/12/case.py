"""A caller cancels its job while the job runs, and the cancelling is
acknowledged. No task of it may start later than cancel_ms after that, and none
may run on stop_timeout_ms later."""

import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "stand-3"))
from platform_stand import BOUNDS, Platform, run_case  # noqa: E402

JOB = "5c0e7a21d94b36f8"
STEPS = 7
WORK_S = 1.0
DEADLINE_MS = 12000


def job_body():
    phases = [{"count": 2, "cpu": 27000, "mem_mb": 64, "estimated_ms": 1000}
              for _ in range(STEPS)]
    for step in range(1, STEPS):
        phases[step]["after"] = [step - 1]
    return {"task_spec": "batch", "best_effort": True, "phases": phases}


def case(folder, trouble):
    platform = Platform(folder, work_s=lambda task: WORK_S,
                        timeout_ms=DEADLINE_MS)
    try:
        for number in range(4):
            platform.add_executor(f"i-{number}", "north", ["a", "r1-1"])
        entries = [platform.add_entry("north") for _ in range(2)]
        platform.start()
        answers = []
        caller = threading.Thread(target=lambda: answers.append(
            platform.post(entries[0], JOB, job_body(), DEADLINE_MS)))
        caller.start()
        platform.wait(lambda: platform.runs_of(JOB), 5, "start of the job")
        time.sleep(0.5)
        acknowledged_at = None
        if trouble:
            answer = platform.call(entries[0], "DELETE",
                                   platform.prefix + JOB)
            if answer.status // 100 == 2 or answer.status == 410:
                acknowledged_at = time.monotonic()
        caller.join()
        if not trouble:
            completed = answers[0] is not None and answers[0].status == 200
            return None if completed else "the job was not completed"
        if acknowledged_at is None:
            return None
        late = [run for run in platform.runs_of(JOB)
                if run.began > acknowledged_at + BOUNDS["cancel_ms"] / 1000]
        for run in late:
            platform.record.write(
                f"UNASKED: {run.task} started "
                f"{run.began - acknowledged_at:.2f} s after the "
                "acknowledgement of the cancelling")
        if late:
            return (f"UNASKED: {len(late)} tasks started later than cancel_ms "
                    "after the cancelling was acknowledged")
        return None
    finally:
        platform.close()


run_case(case, FOLDER)
