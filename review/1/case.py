"""Connections of one machine, the only one of its zone, are reset: some of its
clients', and those to the owner of another zone's executors, which runs the
clients' jobs. The clients send their jobs again to other machines."""

import asyncio
import os
import sys

sys.dont_write_bytecode = True
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "stand"))

from platform_stand import (CannotRun, Ingress, RESEND_MS, World, job, reset,
                            run_case)

DEADLINE_MS = 6000
WORK_MS = 4000
JOBS = 8


async def client(world, ingress, number, body, opened):
    """Sends a job until it has an answer, each time to another node."""
    tried = []
    for attempt in range(1, 4):
        node = ingress.node("south", number, tried)
        tried.append(node)
        status = await world.submit(node, f"{0xa00 + number:016x}", body,
                                    DEADLINE_MS, attempt,
                                    opened if attempt == 1 else None)
        if status not in (None, 502, 504):
            return status
        await asyncio.sleep(RESEND_MS / 1000)
    return None


def step(count, cpu):
    return {"count": count, "cpu": cpu, "mem_mb": 64, "estimated_ms": WORK_MS}


async def play(world, trouble):
    ingress = Ingress(world)
    gateway = next(i for i in world.instances if i.zone == "south")
    # Load: the executor of the zone is full, and tasks wait there.
    load = [asyncio.create_task(world.submit(
        gateway, f"{0xaf0 + number:016x}", job([step(2, 30000)], WORK_MS),
        2 * DEADLINE_MS)) for number in range(3)]
    await asyncio.sleep(0.5)
    before = len(world.runs)
    opened = []
    clients = [asyncio.create_task(client(
        world, ingress, number, job([step(1, 8000)], WORK_MS), opened))
        for number in range(JOBS)]
    if trouble:
        await world.until(lambda: len(world.runs) == before + JOBS, 3,
                          "all starts")
        await asyncio.sleep(0.5)
        zones = {run["executor"].zone for run in world.runs[before:]}
        owners = [await world.owner(zone) for zone in zones]
        if len(owners) != 1 or owners[0] not in world.instances[:3]:
            raise CannotRun(f"the jobs run in {zones}")
        # reset_conns: x (.5) of the connections of one machine. It has some to
        # each of nine machines, to the store and to its eleven clients; the two
        # to the owner of the executors that run the jobs, and four of the
        # clients', are reset.
        between = gateway.relay.reset(owners[0]) + \
            owners[0].relay.reset(gateway)
        for writer in opened[:JOBS // 2]:
            reset(writer)
        world.record.write("connections_reset", of=gateway.name,
                           to=owners[0].name, number=between,
                           of_clients=JOBS // 2)
        if between != 2:
            raise CannotRun(f"{between} connections to the owner")
    answers = await asyncio.gather(*clients, *load)
    await asyncio.sleep(0.5)
    ingress.task.cancel()
    world.record.write("answers", answers=answers)
    return [
        f"task {a['task']}: run {a['execution']} on {a['executor'].name} "
        f"({a['executor'].zone}, {a['how']}) and run {b['execution']} on "
        f"{b['executor'].name} ({b['executor'].zone}) at the same time for "
        f"{overlap * 1000:.0f} ms"
        for a, b, overlap in world.simultaneous_runs()]


# Ten machines, so that one of them is a share of 0.1.
run_case(World(HERE, {"south": 1, "east": 5, "north": 4},
               {"south": 1, "east": 4, "north": 4}, timeout_ms=2 * DEADLINE_MS,
               stretch=3, relays=True), play)
