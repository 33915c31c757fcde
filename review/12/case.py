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
from platform_stand import CannotRun, Platform, run_case  # noqa: E402

CUT_S = 2.75
DEADLINE_MS = 1500
WORK_S = 0.9
# A round in which the rule was broken is the last one.
ROUNDS = 3


def job_body():
    """A job like those of the class batch-release."""
    return {"task_spec": "release", "best_effort": True,
            "phases": [{"count": 2, "cpu": 27000, "mem_mb": 64,
                        "estimated_ms": 900}]}


def play_round(platform, instances, links, jobs, trouble):
    other, own_owner = instances
    platform.wait_for_heartbeat(other, "north")
    if trouble:
        for link in links:
            link.cut()
        platform.record.write("the zones are cut off from each other")
    cut_at = time.monotonic()
    # Jobs of the south, whose executors have room for two of them at a time.
    threads = []
    for number in range(6):
        threads.append(threading.Thread(
            target=platform.post,
            args=(own_owner, f"f{number:03x}{jobs[0][4:]}", job_body(),
                  DEADLINE_MS)))
        threads[-1].start()
        time.sleep(0.03)
    for job in jobs:
        threads.append(threading.Thread(
            target=platform.call_until_answered,
            args=([other, own_owner], job, job_body(), DEADLINE_MS)))
        threads[-1].start()
        time.sleep(0.03)
    time.sleep(max(0.0, cut_at + CUT_S - time.monotonic()))
    if trouble:
        for link in links:
            link.heal()
        platform.record.write("the cut has healed")
    for thread in threads:
        thread.join()
    # The heartbeats to the owner are back to one a second.
    time.sleep(4)


def case(folder, trouble):
    platform = Platform(folder, zones=("north", "south"),
                        work_s=lambda task: WORK_S, timeout_ms=DEADLINE_MS)
    try:
        for zone, count in (("north", 12), ("south", 2)):
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
        own_owner = platform.owner("south")
        other = next(entry for entry in south if entry is not own_owner)
        links = platform.links_between(north, south)
        for number in range(ROUNDS):
            jobs = [f"5c0e7a21d9{number:02x}{job:04x}" for job in range(4)]
            play_round(platform, (other, own_owner), links, jobs, trouble)
            if not any(platform.runs_of(job) for job in jobs):
                raise CannotRun("no job has started")
            broken = platform.twice(jobs)
            if broken:
                return broken
        return None
    finally:
        platform.close()


run_case(case, FOLDER)
