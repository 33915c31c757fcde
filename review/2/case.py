"""The only entry instance of a zone stands still for some seconds. Its
clients get no answer within their time and send their jobs again, as the
pages say. When the machine wakes, it runs what they sent first."""

import asyncio
import os
import signal
import sys

sys.dont_write_bytecode = True
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "stand"))

from platform_stand import Ingress, RESEND_MS, World, job, run_case

FREEZE_S = 4.0      # node_freeze, for_s = 4.0
DEADLINE_MS = 1500  # batch-release
WORK_MS = 900       # batch-release
JOBS = 24           # of the zone's clients, one each 150 ms
ATTEMPTS = 3


async def client(world, ingress, number, body):
    """Sends a job until it has an answer, each time to another node."""
    tried = []
    for attempt in range(1, ATTEMPTS + 1):
        node = ingress.node("south", number, tried)
        tried.append(node)
        status = await world.submit(node, f"{0xb00 + number:016x}", body,
                                    DEADLINE_MS, attempt)
        if status not in (None, 502, 504):
            return status
        await asyncio.sleep(RESEND_MS / 1000)
    return None


async def play(world, trouble):
    ingress = Ingress(world)
    await asyncio.sleep(1.0)
    body = job([{"count": 1, "cpu": 20000, "mem_mb": 64,
                 "estimated_ms": WORK_MS}], WORK_MS)
    frozen = next(i for i in world.instances if i.zone == "south")
    if trouble:
        frozen.signal(signal.SIGSTOP)
        asyncio.get_running_loop().call_later(
            FREEZE_S, frozen.signal, signal.SIGCONT)
    clients = []
    for number in range(JOBS):
        await asyncio.sleep(0.15)
        clients.append(asyncio.create_task(
            client(world, ingress, number, body)))
    answers = await asyncio.gather(*clients)
    await asyncio.sleep(1.5)
    ingress.task.cancel()
    world.record.write("answers", answers=answers)
    return [
        f"task {a['task']}: run {a['execution']} on {a['executor'].name} "
        f"({a['executor'].zone}) and run {b['execution']} on "
        f"{b['executor'].name} ({b['executor'].zone}) at the same time for "
        f"{overlap * 1000:.0f} ms"
        for a, b, overlap in world.simultaneous_runs()]


run_case(World(HERE, {"north": 2, "east": 2, "south": 1}, 6), play)
