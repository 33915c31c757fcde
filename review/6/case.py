"""Some clients leave and send their jobs again, while the owners of executors
freeze in turn; see claim.txt."""

import asyncio
import os
import random
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))), "stand-2"))
import loopback  # noqa: E402  pylint: disable=wrong-import-position

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LENGTH_S = 60.0
JOBS_PER_S = 50
WORK_S = 3.0
TIMEOUT_S = 6
# `give_up`: at most 0.4 of the clients, within 900 ms, for at most 6 s at a
# time.
LEAVING_SHARE = 0.4
LEAVES_WITHIN_S = 0.9
LEAVING_FOR_S = 6.0
# `node_freeze`: one machine, for at most 4 s.
FREEZES = 18
FROZEN_S = 0.4
PAUSE_S = 4.0


def main(record):
    random.seed(8)
    platform = loopback.Platform(record, entries=3)
    platform.add_service("desk")
    route = platform.add_route("release", "desk",
                               timeout_ms=TIMEOUT_S * 1000,
                               target_ms=TIMEOUT_S * 1000)
    for zone, _ in platform.zones:
        for rack in range(4):
            number = len(platform.executors) + 1
            platform.executors.append(loopback.Executor(
                platform, f"i-{number:08x}", f"127.32.0.{number}", zone,
                "desk", ["a", f"r{rack}-1"]))
    phase = {"count": 1, "cpu": 2500, "mem_mb": 64,
             "estimated_ms": int(WORK_S * 1000)}
    frozen = []
    leaving_until = 0.0

    def choose_entry():
        """The platform sends no new connections to an instance that is not
        ready."""
        return random.choice([entry for entry in platform.entries
                              if entry not in frozen])

    async def client():
        job = platform.new_job(route, [phase], [WORK_S])
        answer = asyncio.ensure_future(
            platform.post(job, choose_entry(), TIMEOUT_S))
        leaves = TROUBLE and record.now() < leaving_until and \
            random.random() < LEAVING_SHARE
        if leaves:
            await asyncio.sleep(random.uniform(0, LEAVES_WITHIN_S))
            answer.cancel()
            job.answers.append(None)
            record.note(f"client of {job.ident} leaves")
            await asyncio.sleep(loopback.RESEND)
            answer = asyncio.ensure_future(
                platform.post(job, choose_entry(), TIMEOUT_S))
        status, content = await answer
        if not TROUBLE and (status != 200 or b"completed" not in content):
            raise RuntimeError(f"{job.ident} was answered {status}")

    async def clients(end):
        open_clients = []
        while record.now() < end:
            open_clients.append(asyncio.ensure_future(client()))
            await asyncio.sleep(random.expovariate(JOBS_PER_S))
        await asyncio.gather(*open_clients)

    async def freeze_owner(zone):
        for entry in platform.entries:
            if entry.zone == zone and await entry.metric("owner") == 1:
                frozen.append(entry)
                entry.send(signal.SIGSTOP)
                record.note(f"{entry.name}, the owner, freezes")
                await asyncio.sleep(FROZEN_S)
                entry.send(signal.SIGCONT)
                record.note(f"{entry.name} wakes")
                frozen.remove(entry)
                return

    async def troubles():
        nonlocal leaving_until
        for number in range(FREEZES):
            if record.now() > leaving_until + 1:
                leaving_until = record.now() + LEAVING_FOR_S
            await asyncio.sleep(random.uniform(1, PAUSE_S - FROZEN_S))
            await freeze_owner(platform.zones[number % 3])

    async def work():
        await platform.start()
        end = record.now() + LENGTH_S
        if TROUBLE:
            await asyncio.gather(clients(end), troubles())
        else:
            await clients(end)

    return platform, work()


loopback.run(main)
