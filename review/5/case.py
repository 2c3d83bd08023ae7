"""An entry of another writer in the platform's list, with a byte that cannot be read; then a service is added."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import lab_2 as lab  # noqa: E402

# Variants of what cannot be read in a text of the entry; FOREIGN picks one.
UNREADABLE = {"control": b"rack 7\x01", "surrogate": b"rack \\ud83d", "latin1": b"r\xe9seau"}
CALM_S = 15


def foreign_entry():
    note = UNREADABLE[os.environ.get("FOREIGN", "control")]
    return b'{"id":"x-17","service":"inventory","note":"' + note + b'","state":"stored"}'


async def traffic(world, path, seconds, replies):
    """20 requests a second, one machine after the other."""
    end = lab.STEADY() + seconds
    turn = 0
    pending = []

    async def one(machine):
        sent = lab.STEADY()
        _, reply = await lab.request(machine, path)
        replies.append((sent, reply.status))

    while lab.STEADY() < end:
        pending.append(asyncio.create_task(one(world.machines[turn % len(world.machines)])))
        turn += 1
        await asyncio.sleep(0.05)
    await asyncio.gather(*pending)


def share(replies, since):
    late = [status for sent, status in replies if sent >= since]
    return len(late), sum(status == 200 for status in late) / max(len(late), 1)


async def play(world, trouble):
    for zone in lab.ZONES:
        await world.add_worker("air-notify", zone)
    world.start_all()
    first = [lab.route("r-1", "/push/", "air-notify")]
    await world.put(lab.config(1, first, [lab.service("air-notify")]))
    await world.wait_ready()
    old, new = [], []
    await traffic(world, "/push/a", 4, old)
    world.record("platform lists an entry of another writer:", trouble)
    if trouble:
        world.platform.foreign.append(foreign_entry())
    await asyncio.sleep(1)
    # The new service's workers are listed before the operator adds their route.
    for zone in lab.ZONES:
        await world.add_worker("air-archive", zone)
    await asyncio.sleep(3)
    both = first + [lab.route("r-2", "/archive/", "air-archive")]
    confirmed = await world.put(lab.config(2, both, [lab.service("air-notify"), lab.service("air-archive")]))
    settled = confirmed + lab.BOUNDS["config_apply_ms"] / 1000
    await asyncio.gather(traffic(world, "/push/a", CALM_S, old), traffic(world, "/archive/a", CALM_S, new))
    old_n, old_share = share(old, settled)
    new_n, new_share = share(new, settled)
    world.record.say("later than config_apply_ms after the confirmation: first route %d requests, %.3f served; "
                     "added route %d requests, %.3f served" % (old_n, old_share, new_n, new_share))
    statuses = sorted({status for sent, status in new if sent >= settled})
    world.record.say("statuses on the added route:", statuses, "reads of the list:", world.platform.reads)
    if old_share < 0.9 or new_n < 20:
        raise lab.CannotRun("the first route was not served either")
    if new_share < old_share / 4:
        return ["machines in touch served the added route %.3f as often as the first one" % (new_share / old_share)]
    return []


lab.main(FOLDER, play)
