"""Minions crash, one at a time; jobs whose tasks they carried, or were to carry, are given up."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin"))

import platform_standin as platform  # noqa: E402

# The largest dose of `srv_crash` in the site file: a share of 0.14, down for 4.5 s; one of 8 is less.
MINIONS = 8
DOWN_S = 4.5
WARM = "00000000000000a0"
# A job of one task, handed in just after the first of three crashes.
SHORT = "00000000000000b1"
SHORT_STEP = {"count": 1, "cpu": 1800, "memMb": 3200, "estimatedMs": 1000}
# About how long after its last answer a silent minion's tasks are given to another one.
SILENCE_S = 4.9
# A standing job, one task on each minion. One of them crashes again and again.
STANDING = "00000000000000d1"
STANDING_STEP = {"count": MINIONS, "cpu": 3200, "memMb": 6400, "estimatedMs": 500, "antiAffinity": 1,
                 "longRunning": True}
EVERY_S = 9.0
CRASHES = 5


async def crash(world, minion):
    """The minion crashes, is dark for a while and comes back with a new id."""
    minion.die("crash")
    await asyncio.sleep(DOWN_S)
    minion.begin_life()


def ends_of(world, job):
    return [row["end"] for row in world.runs if row["task"].startswith(job) and row["end"] != "stopped"]


def at_work(world):
    return sum(task.startswith(STANDING) for minion in world.minions for task in minion.running)


async def three_crashes(world, trouble):
    """Three minions crash, each shortly before the task of the one before is started anew."""
    crashes = []
    if trouble:
        crashes.append(asyncio.create_task(crash(world, world.minions[0])))
        await asyncio.sleep(0.3)
    accepted = await world.submit(SHORT, [SHORT_STEP], "ms=1000")
    if accepted is None or accepted[0] != 200:
        return None
    last = world.minions[0]
    crashed = time.monotonic() - 0.3
    for minion in world.minions[1:3]:
        if not trouble:
            break
        due = min(last.last_answer_of_life + SILENCE_S - 0.35, crashed + DOWN_S - 0.05)
        await asyncio.sleep(max(0.0, due - time.monotonic()))
        crashed = time.monotonic()
        crashes.append(asyncio.create_task(crash(world, minion)))
        await asyncio.sleep(0)
        last = minion
    state = ""
    for _ in range(16):
        await asyncio.sleep(1)
        state = await world.state(SHORT)
        if state in ("completed", "failed", "cancelled"):
            break
    await asyncio.gather(*crashes)
    world.record.add(
        "the short job is shown as %s; ends of its runs: %s" % (state, ends_of(world, SHORT) or "it had no run")
    )
    return state


async def flaky_minion(world, trouble):
    """One minion crashes five times, 9 s apart."""
    accepted = await world.submit(STANDING, [STANDING_STEP], "lasts")
    if accepted is None or accepted[0] != 200:
        return None
    await asyncio.sleep(3)
    if at_work(world) != MINIONS:
        return None
    state = ""
    for number in range(CRASHES):
        if trouble:
            world.record.add("crash number %d of the flaky minion" % (number + 1))
            await crash(world, world.minions[4])
        else:
            await asyncio.sleep(DOWN_S)
        await asyncio.sleep(EVERY_S - DOWN_S)
        world.record.add("%d of %d tasks at work" % (at_work(world), MINIONS))
    # Calm again: nothing crashes any more and all minions are up.
    await asyncio.sleep(6)
    state = await world.state(STANDING)
    world.record.add(
        "the standing job is shown as %s; %d of %d tasks at work; ends of its runs before it was given up: %s"
        % (state, at_work(world), MINIONS, ends_of(world, STANDING))
    )
    return state


async def case(world, trouble):
    if not await world.ready():
        return platform.NOT_RUN
    await asyncio.sleep(3)
    # A job before the trouble, with one task on each minion.
    warm = {"count": MINIONS, "cpu": 1000, "memMb": 64, "estimatedMs": 300, "antiAffinity": 1}
    if await world.submit(WARM, [warm], "ms=300") is None:
        return platform.NOT_RUN
    await asyncio.sleep(3)
    if await world.state(WARM) != "completed":
        return platform.NOT_RUN
    states = {SHORT: await three_crashes(world, trouble)}
    await asyncio.sleep(3)
    states[STANDING] = await flaky_minion(world, trouble)
    if None in states.values():
        return platform.NOT_RUN
    # LOST: shown as `failed` without cause; only ends `failed` count as attempts, and nobody
    # cancelled the jobs.
    broken = [job for job, state in states.items() if state == "failed" and "failed" not in ends_of(world, job)]
    world.record.add("LOST: shown as failed without cause: %s" % (", ".join(broken) or "none"))
    return platform.BROKEN if broken else platform.HELD


platform.main(case, HERE, boxes=6, minions=MINIONS)
