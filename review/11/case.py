"""A zone is cut off for 2.75 s. Jobs that an instance of the other zone has
offered to the owner across the cut are answered with 504 and sent again by
their callers. When the cut heals, the held-up offers arrive, and the owner
starts tasks that run elsewhere by then."""

import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "stand-3"))
from platform_stand import (  # noqa: E402
    BOUNDS, CannotRun, Platform, run_case)

CUT_S = 2.75
DEADLINE_MS = 1500
WORK_S = 0.9
JOBS = [f"5c0e7a21d94b{number:04x}" for number in range(6)]


def job_body():
    """A job like those of the class batch-release."""
    return {"task_spec": "release", "best_effort": True,
            "phases": [{"count": 2, "cpu": 27000, "mem_mb": 64,
                        "estimated_ms": 900}]}


def caller(platform, entry, job):
    """Submits a job, and again after 502, 504 or no answer."""
    for _ in range(2):
        answer = platform.post(entry, job, job_body(), DEADLINE_MS)
        if answer is not None and answer.status not in (502, 504):
            return
        time.sleep(BOUNDS["resend_ms"] / 1000)


def wait_for_heartbeat(link):
    """Waits until bytes have passed on a link without jobs; an instance sends
    a heartbeat to the owner of another zone about once a second."""
    before = link.bytes_sent
    Platform.wait(lambda: link.bytes_sent > before, 5, "heartbeat")


def overlaps(runs):
    """Pairs of runs of one task that were at work at the same time."""
    for number, first in enumerate(runs):
        for second in runs[number + 1:]:
            begin = max(first.began, second.began)
            end = min(first.ended, second.ended)
            if first.task == second.task and begin < end:
                yield first, second, end - begin


def case(folder, trouble):
    platform = Platform(folder, zones=("north", "south"),
                        work_s=lambda task: WORK_S, timeout_ms=DEADLINE_MS)
    try:
        for zone, count in (("north", 12), ("south", 4)):
            for number in range(count):
                platform.add_executor(f"i-{zone}-{number}", zone,
                                      ["a", f"r-{zone}"])
        entries = [platform.add_entry(zone)
                   for zone in platform.zones for _ in range(2)]
        platform.add_links()
        platform.start()
        platform.wait(lambda: all((entry.metric("peer_connections") or 0) >= 3
                                  for entry in entries), 5, "connections")
        time.sleep(1.5)
        north = [entry for entry in entries if entry.zone == "north"]
        south = [entry for entry in entries if entry.zone == "south"]
        remote_owner = platform.owner("north")
        own_owner = platform.owner("south")
        other = next(entry for entry in south if entry is not own_owner)
        wait_for_heartbeat(
            other.links[remote_owner.address("control_plane")])
        links = platform.links_between(north, south)
        if trouble:
            for link in links:
                link.cut()
            platform.record.write("the zones are cut off from each other")
        cut_at = time.monotonic()
        # Many users come at once in the south.
        threads = [threading.Thread(
            target=platform.post,
            args=(own_owner, f"f{number:015x}", job_body(), DEADLINE_MS))
            for number in range(16)]
        for thread in threads:
            thread.start()
        time.sleep(0.15)
        for job in JOBS:
            threads.append(threading.Thread(target=caller,
                                            args=(platform, other, job)))
            threads[-1].start()
            time.sleep(0.03)
        time.sleep(max(0.0, cut_at + CUT_S - time.monotonic()))
        if trouble:
            for link in links:
                link.heal()
            platform.record.write("the cut has healed")
        for thread in threads:
            thread.join()
        time.sleep(1.5)
        if not any(platform.runs_of(job) for job in JOBS):
            raise CannotRun("no job has started")
        if any(run.ended is None for run in platform.starts):
            raise CannotRun("a run has not ended")
        found = [pair for job in JOBS
                 for pair in overlaps(platform.runs_of(job))]
        for first, second, length in found:
            platform.record.write(
                f"TWICE: {first.task} ran on {first.executor.name} and on "
                f"{second.executor.name} at the same time for "
                f"{1000 * length:.0f} ms")
        return (f"TWICE: {len(found)} tasks had two runs at the same time"
                if found else None)
    finally:
        platform.close()


run_case(case, FOLDER)
