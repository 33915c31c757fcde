"""Three times, a zone is cut off for 4 s, just after an instance of the other zone has
offered a job to an owner across the cut. The owner goes on starting the job's
tasks for some 3 s, while the caller has got 504 and has sent the job again."""

import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "stand-3"))
from platform_stand import (  # noqa: E402
    CannotRun, Platform, bytes_between, run_case)

JOBS = [f"5c0e7a21d94b{number:04x}" for number in range(3)]
CUT_S = 4.0
DEADLINE_MS = 8000
JOB_WORK_S = 3.0
OTHER_WORK_S = 0.9
# A message with an offer is longer than a heartbeat of about 130 bytes.
OFFER_BYTES = 200


def body(tasks, work_s):
    return {"task_spec": "release", "best_effort": True,
            "phases": [{"count": tasks, "cpu": 27000, "mem_mb": 64,
                        "estimated_ms": int(1000 * work_s)}]}


def work_s(task):
    return JOB_WORK_S if task.split(".")[0] in JOBS else OTHER_WORK_S


class SteadyLoad:
    """Callers of one instance, eight jobs of one task a second."""

    def __init__(self, platform, entry):
        self.stopped = threading.Event()
        self.threads = []
        self.sender = threading.Thread(target=self.send,
                                       args=(platform, entry))
        self.sender.start()

    def send(self, platform, entry):
        number = 0
        while not self.stopped.wait(0.12):
            number += 1
            self.threads.append(threading.Thread(
                target=platform.post,
                args=(entry, f"a{number:015x}", body(1, OTHER_WORK_S),
                      DEADLINE_MS)))
            self.threads[-1].start()

    def end(self):
        self.stopped.set()
        self.sender.join()
        for thread in self.threads:
            thread.join()


def play_round(platform, job, instances, links, trouble):
    gateway, south_owner = instances
    owner = platform.wait_for_heartbeat(gateway, "north")
    heartbeat_at = time.monotonic()
    # Jobs of the south, whose executors have room for two of them at a time.
    threads = []
    for number in range(6):
        threads.append(threading.Thread(
            target=platform.post,
            args=(south_owner, f"f{number:03x}{job[4:]}",
                  body(2, OTHER_WORK_S), 2000)))
        threads[-1].start()
        time.sleep(0.03)
    time.sleep(max(0.0, heartbeat_at + 0.21 - time.monotonic()))
    before = bytes_between(gateway, owner)
    threads.append(threading.Thread(
        target=platform.call_until_answered,
        args=([gateway, south_owner], job, body(2, JOB_WORK_S), DEADLINE_MS)))
    threads[-1].start()
    platform.wait(
        lambda: bytes_between(gateway, owner) >= before + OFFER_BYTES,
        1, "offer to the owner of the other zone", interval_s=0.001)
    if trouble:
        for link in links:
            link.cut()
        platform.record.write("the zones are cut off from each other")
        time.sleep(CUT_S)
        for link in links:
            link.heal()
        platform.record.write("the cut has healed")
    for thread in threads:
        thread.join()
    # The heartbeats to the owner are back to one a second.
    time.sleep(4)


def case(folder, trouble):
    platform = Platform(folder, zones=("north", "south"), work_s=work_s,
                        timeout_ms=DEADLINE_MS)
    load = None
    try:
        for zone, count in (("north", 8), ("south", 2)):
            for number in range(count):
                platform.add_executor(f"i-{zone}-{number}", zone,
                                      ["a", f"r-{zone}"])
        entries = [platform.add_entry(zone)
                   for zone in platform.zones for _ in range(2)]
        platform.add_links()
        platform.start()
        platform.wait(lambda: all((entry.metric("peer_connections") or 0) >= 3
                                  for entry in entries), 5, "connections")
        north = [entry for entry in entries if entry.zone == "north"]
        south = [entry for entry in entries if entry.zone == "south"]
        owner = platform.owner("north")
        south_owner = platform.owner("south")
        gateway = next(entry for entry in south if entry is not south_owner)
        links = platform.links_between(north, south)
        load = SteadyLoad(platform, owner)
        time.sleep(3)
        for job in JOBS:
            play_round(platform, job, (gateway, south_owner), links,
                       trouble)
        load.end()
        time.sleep(1.5)
        if not all(platform.runs_of(job) for job in JOBS):
            raise CannotRun("a job has not started")
        return platform.twice(JOBS)
    finally:
        if load is not None:
            load.end()
        platform.close()


run_case(case, FOLDER)
