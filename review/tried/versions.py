"""Not a case: its rule stands on the board (issue 65), not in RULES.md. Streams that are taken up at a node that was
frozen while a second software version of their service appeared. Exits as the cases do; TROUBLE=0 leaves out the freeze.
"""

import asyncio
import os
import signal
import sys
import tempfile

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from lab import CannotRun, Engine, call, main

FREEZE_S = 1.6
CLIENTS = 24


def config():
    engine = {"slots": 128, "kv_tokens": 53213, "kv_bytes": 18432, "link_mbps": 350000.0, "moves": True,
              "backups": True, "stride": 11, "most": 12, "handle_ttl_s": 0.5, "stage_switch_s": 6.0, "pin_ms": 4000.0,
              "hold_ms": 2000.0, "models": [{"name": "m"}]}
    return {"version": 3,
            "routes": [{"name": "r", "host": "app.example", "path_prefix": "/digest/", "kind": "stream",
                        "timeout_ms": 14000, "target_latency_ms": 900, "priority": 1, "service": "lm",
                        "max_attempts": 2, "sticky_session": True, "resumable": True, "gap_aim_ms": 300}],
            "services": [{"name": "lm", "health_path": "/health", "max_connections": 630, "protocol": "h1",
                          "tls": False, "engine": engine}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000}}


def pieces(body):
    """Numbers of the pieces, and the workers that wrote them."""
    lines = [line.split() for line in body.decode().split("\n") if line.startswith("data: piece")]
    return [(int(words[2]), words[4]) for words in lines]


async def scenario(lab, trouble):
    await lab.start()
    readers = [Engine(lab, "lm", "i-read%d" % k, k, "prefill", zone=k) for k in range(2)]
    old = [Engine(lab, "lm", "i-old%d" % k, 3 + k, "decode", zone=k % 3, version="v1") for k in range(3)]
    new = [Engine(lab, "lm", "i-new%d" % k, 7 + k, "decode", zone=k % 3, version="v2") for k in range(6)]
    for e in readers + old + new:
        e.pieces, e.gap_ms, e.read_ms = 60, 50, 20
        await e.start()
    lab.instances = [e.entry for e in readers + old]
    if await lab.put(config()) != 200:
        raise CannotRun("the first config was not acknowledged")
    await lab.wait_ready()
    await asyncio.sleep(3)
    answer = await call(lab.addr(2, "control"), "GET", "/config/get", [("Host", "c")], b"", 1.0)
    frozen = 2 if answer.status == 307 else 1  # doesn't lead
    others = [i for i in range(3) if i != frozen]
    mixed, taken_up = [], []

    async def client(k):
        first, second = "%08x" % (0x1000 + k), "%08x" % (0x2000 + k)
        fields = [("Host", "app.example"), ("Deadline-Ms", "12000"), ("Model", "m"), ("Token-Count", "100,60"),
                  ("Prompt-Prefix", "aa:50,%x:50" % (0x100 + k))]
        answer = await call(lab.addr(others[k % 2], "front"), "POST", "/digest/x", fields + [("Attempt-Id", first)],
                            b"prompt", 10)
        got = pieces(answer.body)
        if answer.how == "complete" or not got:
            return
        lab.note("client %s: broken after piece %d by %s" % (first, *got[-1]))
        fields += [("Attempt-Id", second), ("Last-Event-Id", str(got[-1][0])), ("Resumes", first)]
        answer = await call(lab.addr(frozen, "front"), "POST", "/digest/x", fields, b"prompt", 10)
        more = pieces(answer.body)
        lab.note("client %s, taken up as %s: %s %d, goes on at %s"
                 % (first, second, answer.how, answer.status, more[0] if more else "none"))
        taken_up.append(answer.status)
        if len({name[:5] for _, name in got + more}) > 1:
            mixed.append(first)

    begun = lab.now()
    processes = [lab.forwards[frozen], lab.controls[frozen]]
    if trouble:
        for p in processes:
            p.signal(signal.SIGSTOP)
    lab.instances = [e.entry for e in readers + old + new]
    await asyncio.sleep(0.4)
    clients = []
    for k in range(CLIENTS):
        clients.append(asyncio.ensure_future(client(k)))
        await asyncio.sleep(0.04)
    await asyncio.sleep(max(0.0, begun + FREEZE_S - 0.2 - lab.now()))
    for worker in new:
        await worker.crash()
    await asyncio.sleep(max(0.0, begun + FREEZE_S - lab.now()))
    for p in processes:
        p.signal(signal.SIGCONT)
    await asyncio.wait(clients, timeout=25)
    lab.note("%d streams taken up, %d hold events of two versions" % (len(taken_up), len(mixed)))
    print("%d streams taken up, %d hold events of two versions" % (len(taken_up), len(mixed)))
    return ["ORDER: %d streams hold events of two versions" % len(mixed)] if len(mixed) > 2 else []


main(tempfile.gettempdir() if len(sys.argv) < 2 else sys.argv[1], scenario)
