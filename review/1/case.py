"""One minion crashes again and again; a standing job is given up because of it."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin"))

import platform_standin as platform  # noqa: E402

# The largest dose of `srv_crash` in the site file: a share of 0.14, down for 4.5 s; one of 8 is less.
MINIONS = 8
DOWN_S = 4.5
EVERY_S = 10.0
CRASHES = 6
JOB = "00000000000000d1"
# Like `assess-watch`: tasks that last, one on each minion.
STEP = {"count": MINIONS, "cpu": 3200, "memMb": 6400, "estimatedMs": 500, "antiAffinity": 1,
        "longRunning": True}


async def crash(world, minion):
    """The minion crashes, is dark for a while and comes back with a new id."""
    minion.die("crash")
    await asyncio.sleep(DOWN_S)
    minion.begin_life()


def at_work(world):
    return sum(task.startswith(JOB) for minion in world.minions for task in minion.running)


async def case(world, trouble):
    if not await world.ready():
        return platform.NOT_RUN
    await asyncio.sleep(3)
    accepted = await world.submit(JOB, [STEP], "lasts")
    if accepted is None or accepted[0] != 200:
        return platform.NOT_RUN
    await asyncio.sleep(3)
    if at_work(world) != MINIONS:
        return platform.NOT_RUN
    for number in range(CRASHES):
        if trouble:
            world.record.add("crash number %d" % (number + 1))
            await crash(world, world.minions[2])
        else:
            await asyncio.sleep(DOWN_S)
        await asyncio.sleep(EVERY_S - DOWN_S)
        world.record.add("%d of %d tasks at work" % (at_work(world), MINIONS))
        if await world.state(JOB) == "failed":
            break
    # Calm again: nothing crashes any more and all minions are up.
    await asyncio.sleep(12)
    state = await world.state(JOB)
    ends = [row["end"] for row in world.runs if row["end"] not in (None, "stopped")]
    world.record.add(
        "the job is shown as %s; %d of %d tasks at work; ends of its runs before it was given up: %s"
        % (state, at_work(world), MINIONS, ends)
    )
    # LOST: shown as `failed` without cause; only ends `failed` count as attempts, and nobody
    # cancelled the job.
    return platform.BROKEN if state == "failed" and "failed" not in ends else platform.HELD


platform.main(case, HERE, boxes=6, minions=MINIONS)
