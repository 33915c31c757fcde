"""A start order gets no answer. Its executor crashes and starts again under the
id that it had, and the new process carries the order out, while the task runs
on another executor."""

import asyncio
import os
import sys

sys.dont_write_bytecode = True
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "stand"))

import platform_stand
from platform_stand import Executor, World, job, run_case

ROUNDS = 4
DEADLINE_MS = 9000
WORK_MS = 5000
LATE_S = 2.4    # applied_late: carried out 2 to 12 s later
DOWN_S = 0.3    # srv_crash


class LateExecutor(Executor):
    """Leaves the first start unanswered that arrives while `world.holds`."""

    async def handle(self, method, target, headers, body):
        holds = getattr(self.world, "holds", None)
        if holds is not None and not holds and \
                target.startswith("/api/run-start"):
            holds.append((self, (method, target, headers, body)))
            self.world.record.write("order_unanswered", executor=self.name,
                                    body=body.decode())
            return None
        return await super().handle(method, target, headers, body)


async def play(world, trouble):
    body = job([{"count": 1, "cpu": 27000, "mem_mb": 64,
                 "estimated_ms": WORK_MS}], WORK_MS)
    node = next(i for i in world.instances if i.zone == "north")
    answers = []
    for turn in range(ROUNDS):
        holds = []
        world.holds = holds if trouble else None
        request = asyncio.create_task(world.submit(
            node, f"{0xf00 + turn:016x}", body, DEADLINE_MS))
        if trouble:
            await world.until(lambda: holds, 5, "a start order")
            executor, order = holds[0]
            await asyncio.sleep(LATE_S - DOWN_S)
            ip, port = executor.address.split(":")
            await executor.crash()
            world.record.write("executor_crashed", executor=executor.name)
            await asyncio.sleep(DOWN_S)
            await executor.begin(ip, int(port))
            world.record.write("executor_restarted", executor=executor.name)
            await Executor.handle(executor, *order)
        answers.append(await request)
    world.record.write("answers", answers=answers)
    return [
        f"task {a['task']}: run {a['execution']} on {a['executor'].name} and "
        f"run {b['execution']} on {b['executor'].name} at the same time for "
        f"{overlap * 1000:.0f} ms"
        for a, b, overlap in world.simultaneous_runs()]


platform_stand.Executor = LateExecutor
run_case(World(HERE, {"north": 2, "south": 1}, 8, timeout_ms=DEADLINE_MS,
               stretch=2), play)
