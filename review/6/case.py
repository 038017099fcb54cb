"""A replaced primary that was told to step down in a term that is too low goes on beside its successor."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-2"))
from world import finish, main  # noqa: E402

BOUNDS = {"drain_ms": 7000, "contact_ms": 5000, "grace_s": 6}


async def case(world, trouble):
    # As rutaviva's page says: the promote takes 300 ms, and the old primary goes on until STEPDOWN or until a second
    # after it can reach the new one.
    await world.start(3, BOUNDS, heartbeat_s=1.2, promote_s=0.3, old_goes_on=True)
    group = world.group
    first = await group.add("i-first", "quito-norte", leads=True)
    await group.add("i-second", "guayaquil-sur")
    third = await group.add("i-third", "cuenca-centro")
    await world.wait_until_ready()
    await asyncio.sleep(3)
    for number in range(30):
        world.client(f"w{number}", number % 3, "primary", 0.015, "WRITE")
    await asyncio.sleep(2)
    if trouble:
        world.record("the third database receives nothing from now on")
        third.deaf = True
        await asyncio.sleep(0.8)
        world.record("the first database crashes")
        first.crash()
        await asyncio.sleep(2.2)
    leading = group.newest_leader()
    world.record(f"{leading.name} says that it is draining")
    leading.draining = True
    leading.announce()
    await asyncio.sleep(3.3)
    if trouble:
        world.record("the third database receives again; the first one returns")
        third.deaf = False
        await first.restart()
    await asyncio.sleep(3)
    world.log_events("failover_step")
    acknowledged = world.acknowledged()
    broken = []
    for moment, name, term, _ in group.promotions:
        for request, database, committed_term, number, committed in group.committed:
            if committed_term < term and committed > moment and request in acknowledged:
                broken.append((request, database, committed_term, number, committed))
                world.record(
                    f"ONE: {request} was committed at {database} ({committed_term}.{number}) "
                    f"{(committed - moment) * 1000:.0f} ms after {name} had been promoted to term {term}, and acknowledged"
                )
    served = len(acknowledged)
    text = f"{served} writes acknowledged, {len(group.promotions)} promotions, ONE broken by {len(broken)} writes"
    if served < 500 or len(group.promotions) < (2 if trouble else 1):
        world.record(text)
        world.stop()
        print("too little happened: " + text)
        os._exit(2)
    finish(world, bool(broken), text)


main(case)
