"""All three workers of a service crash at once and are back after two seconds. Sixteen clients poll one URL, together,
every two seconds, and others push alerts to the same service."""

import asyncio
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import lab_2 as lab  # noqa: E402

POLLERS, POLL_EVERY_S = 16, 2.0  # together 8 a second: reading-post in the sheet of sacc-trackcove
PUSHES_A_SECOND = 14            # alert-push there
BEFORE_S, DOWN_S, DAY_S = 6, 2.0, 70
CRASH_AFTER_POLL_S = 0.03
HANG_S = 1.0                     # with HANG=1: the workers hang for so long before they crash, from a random moment on


class Kind:
    """A kind of request: the attempts of its clients, with the time at which each was sent."""

    def __init__(self):
        self.replies = []

    def share(self, since=0.0):
        some = [reply.status for sent, reply in self.replies if sent >= since]
        return sum(status == 200 for status in some) / max(len(some), 1)


async def one(world, kind, machine, path, method, body):
    sent = lab.STEADY()
    _, reply = await lab.request(machine, path, body=body, method=method)
    kind.replies.append((sent, reply))


async def polls(world, kind, end):
    pending, turn = [], 0
    due = lab.STEADY()
    while due < end:
        for _ in range(POLLERS):
            machine = world.machines[turn % len(world.machines)]
            pending.append(asyncio.create_task(one(world, kind, machine, "/readings/latest", "GET", b"")))
            turn += 1
        due += POLL_EVERY_S
        await asyncio.sleep(due - lab.STEADY())
    await asyncio.gather(*pending)


async def pushes(world, kind, end):
    pending, turn = [], 0
    while lab.STEADY() < end:
        machine = world.machines[turn % len(world.machines)]
        body = b"alert %016x" % random.getrandbits(64)
        pending.append(asyncio.create_task(one(world, kind, machine, "/push/a", "POST", body)))
        turn += 1
        await asyncio.sleep(1 / PUSHES_A_SECOND)
    await asyncio.gather(*pending)


async def crash(world, workers):
    world.record("all workers crash")
    for worker in workers:
        worker.crash()
    await asyncio.sleep(DOWN_S)
    for worker in workers:
        await worker.restart()
    world.record("all workers are back, as new incarnations")


async def play(world, trouble):
    workers = [await world.add_worker("air-notify", zone) for zone in lab.ZONES]
    world.start_all()
    routes = [lab.route("r-1", "/readings/", "air-notify", kind="safe"),
              lab.route("r-2", "/push/", "air-notify", kind="unsafe")]
    await world.put(lab.config(1, routes, [lab.service("air-notify")]))
    await world.wait_ready()
    poll, push = Kind(), Kind()
    began = lab.STEADY()
    traffic = [asyncio.create_task(polls(world, poll, began + DAY_S)),
               asyncio.create_task(pushes(world, push, began + DAY_S))]
    await asyncio.sleep(began + BEFORE_S + CRASH_AFTER_POLL_S - lab.STEADY())
    if trouble and os.environ.get("HANG") == "1":
        await asyncio.sleep(random.uniform(0, POLL_EVERY_S))
        for worker in workers:
            worker.hangs = True
        world.record("all workers hang")
        await asyncio.sleep(HANG_S)
    if trouble:
        await crash(world, workers)
    settled = began + BEFORE_S + DOWN_S + 5
    await asyncio.gather(*traffic)
    every = Kind()
    every.replies = poll.replies + push.replies
    world.record.say("over the day: polls served %.3f of %d, pushes %.3f of %d, all requests %.3f"
                     % (poll.share(), len(poll.replies), push.share(), len(push.replies), every.share()))
    world.record.say("from 5 s after the workers are back: polls %.3f, pushes %.3f"
                     % (poll.share(settled), push.share(settled)))
    refused = [reply for sent, reply in poll.replies if sent >= settled and reply.status != 200]
    if refused:
        world.record.say("the last poll's answer: %d, Retry-After: %s s"
                         % (refused[-1].status, refused[-1].headers.get("retry-after")))
    if poll.share() < every.share() / 4:
        return ["Starved: polls are served %.3f as often as all requests" % (poll.share() / every.share())]
    return []


lab.main(FOLDER, play)
