"""Another writer lists its own service on the machines of some workers, under the workers' ids."""

import asyncio
import json
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import lab_2 as lab  # noqa: E402

BEFORE_S, DAY_S = 4, 60
A_SECOND = 10  # requests of each kind


def agent_entry(worker):
    """An entry that names a service which is not in the configuration."""
    host = worker.address.split(":")[0]
    return json.dumps({"id": worker.id, "service": "node-agent", "address": host + ":9100", "zone": worker.zone,
                       "version": "7", "state": "ready"}).encode()


async def traffic(world, path, seconds, replies):
    end = lab.STEADY() + seconds
    turn, pending = 0, []

    async def one(machine):
        sent = lab.STEADY()
        _, reply = await lab.request(machine, path)
        replies.append((sent, reply.status))

    while lab.STEADY() < end:
        pending.append(asyncio.create_task(one(world.machines[turn % len(world.machines)])))
        turn += 1
        await asyncio.sleep(1 / A_SECOND)
    await asyncio.gather(*pending)


def share(replies, since=0.0):
    some = [status for sent, status in replies if sent >= since]
    return sum(status == 200 for status in some) / max(len(some), 1)


async def play(world, trouble):
    for service in ("air-notify", "air-archive"):
        for zone in lab.ZONES:
            await world.add_worker(service, zone)
    world.start_all()
    await world.put(lab.config(1, [lab.route("r-1", "/push/", "air-notify"), lab.route("r-2", "/archive/", "air-archive")],
                               [lab.service("air-notify"), lab.service("air-archive")]))
    await world.wait_ready()
    began = lab.STEADY()
    push, archive = [], []
    kinds = [asyncio.create_task(traffic(world, "/push/a", DAY_S, push)),
             asyncio.create_task(traffic(world, "/archive/a", DAY_S, archive))]
    await asyncio.sleep(BEFORE_S)
    if trouble:
        for worker in world.workers:
            if worker.service == "air-notify":
                world.platform.foreign.append(agent_entry(worker))
        world.record("the platform lists the entries of another writer")
    await asyncio.gather(*kinds)
    settled = began + BEFORE_S + 5
    world.record.say("over the day: first kind served %.3f of %d, second kind %.3f of %d, all %.3f"
                     % (share(push), len(push), share(archive), len(archive), share(push + archive)))
    world.record.say("from 5 s after the entries: first kind %.3f, second kind %.3f"
                     % (share(push, settled), share(archive, settled)))
    if share(push) < share(push + archive) / 4:
        return ["Starved: the first kind is served %.3f as often as all requests"
                % (share(push) / share(push + archive))]
    return []


lab.main(FOLDER, play)
