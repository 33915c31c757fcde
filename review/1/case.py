"""Half of the connections of one machine are reset: some of its clients', and
those to the owner of its zone's executors. The clients send their jobs again
elsewhere."""

import asyncio
import os
import sys

sys.dont_write_bytecode = True
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "stand"))

from platform_stand import CannotRun, RESEND_MS, World, job, reset, run_case

DEADLINE_MS = 6000
WORK_MS = 4000
JOBS = 8


async def client(world, nodes, job_id, body, opened):
    for attempt, node in enumerate(nodes, 1):
        status = await world.submit(node, job_id, body, DEADLINE_MS, attempt,
                                    opened if attempt == 1 else None)
        if status not in (None, 502, 504):
            return status
        await asyncio.sleep(RESEND_MS / 1000)
    return None


async def play(world, trouble):
    body = job([{"count": 1, "cpu": 8000, "mem_mb": 64,
                 "estimated_ms": WORK_MS}], WORK_MS)
    owner = await world.owner("north")
    gateway = next(i for i in world.instances
                   if i.zone == "north" and i is not owner)
    elsewhere = next(i for i in world.instances if i.zone == "east")
    opened = []
    clients = [asyncio.create_task(client(
        world, [gateway, elsewhere, owner], f"{0xa00 + number:016x}", body,
        opened)) for number in range(JOBS)]
    if trouble:
        await world.until(lambda: len(world.runs) == JOBS, 3, "all starts")
        await asyncio.sleep(0.5)
        # reset_conns: x (.5) of the connections of one machine. It has two to
        # the owner, two to the instance of the other zone, two or more to the
        # store and those of its clients; six of them are reset.
        between = gateway.relay.reset(owner) + owner.relay.reset(gateway)
        for writer in opened[:JOBS // 2]:
            reset(writer)
        world.record.write("connections_reset", of=gateway.name,
                           to_owner=between, of_clients=JOBS // 2)
        if between != 2:
            raise CannotRun(f"{between} connections to the owner")
    answers = await asyncio.gather(*clients)
    await asyncio.sleep(0.5)
    world.record.write("answers", answers=answers)
    return [
        f"task {a['task']}: run {a['execution']} on {a['executor'].name} "
        f"({a['executor'].zone}, {a['how']}) and run {b['execution']} on "
        f"{b['executor'].name} ({b['executor'].zone}) at the same time for "
        f"{overlap * 1000:.0f} ms"
        for a, b, overlap in world.simultaneous_runs()]


run_case(World(HERE, {"north": 2, "east": 1}, 5, timeout_ms=DEADLINE_MS,
               stretch=2, relays=True), play)
