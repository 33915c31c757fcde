"""The only entry instance of a zone is killed and restarted by the platform a
short time later, in the last rounds twice in a row. Its clients send their jobs
again in another zone."""

import asyncio
import os
import signal
import sys

sys.dont_write_bytecode = True
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "stand"))

from platform_stand import Ingress, RESEND_MS, World, job, run_case

DEADLINE_MS = 6000
WORK_MS = 2500
JOBS = 12
# "restarted after a short delay": one round with one kill for each.
RESTART_DELAYS_S = [0.5, 0.62, 0.66, 0.68, 0.7, 0.72, 0.74, 0.76]
# Then rounds with a second kill, this long after the restart.
SECOND_KILLS_S = [0.35, 0.45]
SECOND_RESTART_DELAY_S = 0.5


async def client(world, ingress, job_id, number, body):
    """Sends a job until it has an answer, each time to another node."""
    tried = []
    for attempt in range(1, 4):
        node = ingress.node("south", number, tried)
        tried.append(node)
        status = await world.submit(node, job_id, body, DEADLINE_MS, attempt)
        if status not in (None, 502, 504):
            return status
        await asyncio.sleep(RESEND_MS / 1000)
    return None


def broken_rounds(world):
    """The number of doubled tasks and the longest overlap of each round."""
    rounds = {}
    for first, _, overlap in world.simultaneous_runs():
        turn = (int(first["task"].split(".")[0], 16) - 0xe00) // 16
        rounds.setdefault(turn, []).append(overlap)
    return [f"round {turn}: {len(overlaps)} tasks, for up to "
            f"{max(overlaps) * 1000:.0f} ms"
            for turn, overlaps in sorted(rounds.items())]


async def play(world, trouble):
    body = job([{"count": 1, "cpu": 2000, "mem_mb": 64,
                 "estimated_ms": WORK_MS}], WORK_MS)
    single = next(i for i in world.instances if i.zone == "south")
    ingress = Ingress(world)
    turns = [(delay_s, None) for delay_s in RESTART_DELAYS_S]
    turns += [(SECOND_RESTART_DELAY_S, second_s)
              for second_s in SECOND_KILLS_S]
    for turn, (delay_s, second_s) in enumerate(turns):
        clients = []
        for number in range(JOBS):
            clients.append(asyncio.create_task(client(
                world, ingress, f"{0xe00 + 16 * turn + number:016x}", number,
                body)))
            await asyncio.sleep(0.05)
        if trouble:
            single.signal(signal.SIGKILL)
            single.process.wait()
            await asyncio.sleep(delay_s)
            single.start()
            if second_s is not None:
                await asyncio.sleep(second_s)
                single.signal(signal.SIGKILL)
                single.process.wait()
                await asyncio.sleep(SECOND_RESTART_DELAY_S)
                single.start()
        answers = await asyncio.gather(*clients)
        world.record.write("round", restart_delay_s=delay_s,
                           second_kill_s=second_s, answers=answers)
        await world.until(world.all_ready, 10, "readiness")
        await world.until(world.all_claimed, 10, "owners of all executors")
        await world.until(lambda: ingress.in_rotation(single), 5, "rotation")
    ingress.task.cancel()
    for text in broken_rounds(world):
        world.record.write("in_round", text=text)
    return [
        f"task {a['task']}: run {a['execution']} on {a['executor'].name} "
        f"({a['executor'].zone}, {a['how']}) and run {b['execution']} on "
        f"{b['executor'].name} ({b['executor'].zone}) at the same time for "
        f"{overlap * 1000:.0f} ms"
        for a, b, overlap in world.simultaneous_runs()]


run_case(World(HERE, {"north": 2, "south": 1}, 5, timeout_ms=DEADLINE_MS,
               stretch=3), play)
