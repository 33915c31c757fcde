"""A client cancels its running job. The system acknowledges with 410 and goes
on starting the job's tasks."""

import asyncio
import os
import sys

sys.dont_write_bytecode = True
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "stand"))

from platform_stand import STOP_TIMEOUT_MS, World, call, job, now_s, run_case

CANCEL_MS = 3000
DEADLINE_MS = 15_000
STEPS = 8
WORK_MS = 1000
JOB = "00000000000000c1"


async def play(world, trouble):
    steps = [{"count": 2, "cpu": 2000, "mem_mb": 64, "estimated_ms": WORK_MS,
              **({"after": [index - 1]} if index else {})}
             for index in range(STEPS)]
    node = world.instances[0]
    request = asyncio.create_task(
        world.submit(node, JOB, job(steps, WORK_MS), DEADLINE_MS))
    breaks = []
    if trouble:
        await world.until(lambda: world.runs, 5, "start of the job")
        await asyncio.sleep(0.5)
        status, _ = await call(node.callers, "DELETE", world.prefix + JOB,
                               {"host": world.host})
        cancelled = now_s()
        world.record.write("client_cancels", job=JOB, to=node.name,
                           status=status)
        acknowledged = 200 <= status < 300 or status == 410
        if not acknowledged:
            breaks.append(f"the cancel was answered {status}")
    answer = await request
    if trouble and acknowledged:
        late = [run for run in world.runs
                if run["begin"] > cancelled + CANCEL_MS / 1000]
        on = [run for run in world.runs
              if (run["end"] or now_s()) > cancelled +
              (CANCEL_MS + STOP_TIMEOUT_MS) / 1000]
        if late or on:
            breaks.append(
                f"DELETE was answered {status} at {cancelled:.2f} s; later "
                f"than cancel_ms after it {len(late)} tasks were started, the "
                f"last {late[-1]['task']} {late[-1]['begin'] - cancelled:.2f} "
                f"s after it; the job was answered {answer}")
    if not trouble and answer != 200:
        breaks.append(f"the client got {answer}")
    return breaks


run_case(World(HERE, {"north": 2, "south": 1}, 3, timeout_ms=DEADLINE_MS,
               stretch=3), play)
