"""With `sync_replicas` 1, a primary crashes for 7 s as one of its replicas is lost for good. The remaining replica lacks
the last commits that these two had, and is promoted before the primary returns with its log."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-2"))
from world import finish, main  # noqa: E402

BOUNDS = {"drain_ms": 7000, "contact_ms": 5000, "grace_s": 6, "fencing_required": True}


async def case(world, trouble):
    await world.start(3, BOUNDS, heartbeat_s=1.2, promote_s=0.3, sync_replicas=1)
    group = world.group
    first = await group.add("i-first", "quito-norte", leads=True)
    second = await group.add("i-second", "guayaquil-sur", receive_s=0.008)
    await group.add("i-third", "cuenca-centro", receive_s=0.060)
    await world.wait_until_ready()
    await asyncio.sleep(3)
    for number in range(24):
        world.client(f"w{number}", number % 3, "primary", 0.01, "WRITE")
    await asyncio.sleep(3)
    if trouble:
        world.record("the first database crashes, the second is lost for good")
        first.crash()
        second.crash()
        await asyncio.sleep(7)
        world.record("the first database returns")
        await first.restart()
    await asyncio.sleep(5)
    world.log_events("failover_step")
    acknowledged = world.acknowledged()
    broken = []
    for moment, name, term, log in group.promotions:
        for request, database, committed_term, number, committed in group.committed:
            if committed < moment and acknowledged.get(request, moment) < moment and request not in log:
                broken.append(request)
                world.record(
                    f"LOST: {request}, committed at {database} ({committed_term}.{number}) and acknowledged at "
                    f"{world.at(acknowledged[request])}, is missing from the log of {name}, promoted to term {term} at {world.at(moment)}"
                )
    text = f"{len(acknowledged)} writes acknowledged, {len(group.promotions)} promotions, LOST broken by {len(broken)} writes"
    if len(acknowledged) < 500:
        world.record(text)
        world.stop()
        print("too little happened: " + text)
        os._exit(2)
    finish(world, bool(broken), text)


main(case)
