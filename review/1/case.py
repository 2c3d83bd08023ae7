import asyncio
import multiprocessing
import os
import random
import signal
import struct
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
from lab import CannotRun, Worker, call, header, main

ROUTES = 2800  # of the config: twice as many as the largest big_config of the sheets
HEAD = 12  # bytes before each record of a log: its length and two checksums
CALM_S = 5.0  # more than catch_up_s


def config(version, rnd):
    def name(n):
        return "".join(rnd.choice("abcdefghijklmnopqrstuvwxyz0123456789") for _ in range(n))

    def route(prefix):
        return {"name": "r-" + name(60), "host": "app.example", "path_prefix": "/%s/" % prefix, "kind": "safe",
                "timeout_ms": 4000, "target_latency_ms": 900, "priority": 2, "service": "app", "max_attempts": 2,
                "sticky_session": False, "resumable": False}

    return {"version": version,
            "routes": [route("reads")] + [route(name(110)) for i in range(ROUTES)],
            "services": [{"name": "app", "health_path": "/health", "max_connections": 110, "protocol": "h1",
                          "tls": False}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000}}


def newest_log(folder):
    return os.path.join(folder, max(f for f in os.listdir(folder) if f.startswith("log-") and not f.endswith(".new")))


def lose_power(path, size, pids):
    """Runs apart, so that it is quick: ends both processes of a machine once its log has grown to `size`."""
    end = time.monotonic() + 20
    while time.monotonic() < end:
        try:
            if os.stat(path).st_size >= size:
                for pid in pids:
                    os.kill(pid, signal.SIGKILL)
                return
        except OSError:
            return


def records(path, at):
    """Offsets and sizes of the whole records from `at` on."""
    data = open(path, "rb").read()
    found = []
    while at + HEAD <= len(data):
        size = HEAD + struct.unpack("=I", data[at:at + 4])[0]
        if at + size > len(data):
            break
        found.append((at, size))
        at += size
    return found


async def leader(lab):
    """The node that answers for the operator: the others redirect to it."""
    for i in range(len(lab.ips)):
        answer = await call(lab.addr(i, "control"), "GET", "/config/get", [("Host", "c")], b"", 2.0)
        if answer.how == "complete" and answer.status == 200:
            return i
        if answer.how == "complete" and answer.status == 307:
            at = header(answer.headers, "Location").split("/")[2]
            return [lab.addr(k, "control") for k in range(len(lab.ips))].index(at)
    return None


async def scenario(lab, trouble):
    rnd = random.Random(1)
    await lab.start()
    workers = [Worker(lab, "app", "i-app%d" % i, i, zone=i) for i in range(3)]
    for w in workers:
        await w.start()
    lab.instances = [w.entry for w in workers]
    version = 3
    if await lab.put(config(version, rnd), 30, each=10.0) != 200:
        raise CannotRun("the first config was not acknowledged")
    await lab.wait_ready(40)
    acked = version

    struck = []
    while len(struck) < 2 and lab.now() < 75:
        await asyncio.sleep(CALM_S)
        i = await leader(lab)
        if i is None or (trouble and i in struck):
            lab.note("node %s leads; waits" % i)
            continue
        control, forward = lab.controls[i], lab.forwards[i]
        path = newest_log(control.data_dir)
        base = os.stat(path).st_size  # all of it is synced: what is acknowledged, and nothing is under way
        least = max(os.path.getsize(os.path.join(control.data_dir, f)) for f in os.listdir(control.data_dir)
                    if f.startswith("snapshot-")) // 65536  # the config before it, of the same size, is in the snapshot
        version += 2
        control.held = forward.held = True
        watch = multiprocessing.Process(target=lose_power, args=(path, base + 2 * 65536 + 1,
                                                                 [control.proc.pid, forward.proc.pid]))
        control.stopping = forward.stopping = True
        watch.start()
        await asyncio.sleep(0.3)
        change = config(version, rnd)
        first = asyncio.ensure_future(lab.put(change, 9.0, each=10.0, to=i))
        while watch.is_alive():
            await asyncio.sleep(0.01)
        watch.join()
        await first
        # Each record is one write of at most 64 KB and a head, and the log is synced only after all records of a change.
        # That there are fewer of them than the change needs shows that the sync hadn't begun.
        found = records(path, base) if os.path.exists(path) else []
        lab.note("node %d leads and loses power: its log has %d whole records of a change that needs %d or more"
                 % (i, len(found), least))
        unsynced = 2 <= len(found) < least
        if trouble and unsynced:
            with open(path, "r+b") as log:  # the first write since the last sync is missing, the later ones are there
                log.seek(found[0][0])
                log.write(b"\0" * found[0][1])
            lab.note("of the writes since the last sync, the first is missing, the others are there")
            struck.append(i)
        elif not trouble:
            struck.append(i)
        await asyncio.sleep(0.7)
        control.held = forward.held = False
        control.start_at = forward.start_at = 0
        if await lab.put(change, 10, each=10.0) == 200:
            acked = version
    if len(struck) < 2:
        raise CannotRun("the moment was missed")
    await asyncio.sleep(8)

    # The operator reads back.
    got = None
    end = lab.now() + 10
    while got is None and lab.now() < end:
        for i in range(len(lab.ips)):
            got = got or await lab.get(i)
        await asyncio.sleep(0.3)
    ends = [p.own_ends for p in lab.controls]
    lab.note("newest acknowledged config: %d; read back: %s; ends of the control processes by themselves: %s"
             % (acked, got, ends))
    violations = []
    if got is None or got < acked:
        violations.append("CONFIG: version %d was acknowledged; the config read back is %s" % (acked, got))
    if sum(n >= 3 for n in ends) >= 2:
        violations.append("Fault: processes of the core ended by themselves: %s" % ends)
    return violations


main(HERE, scenario)
