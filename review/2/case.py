import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
from lab import CannotRun, Worker, call, main

APPLY_S = 2.0  # config_apply_ms
SLACK_S = 0.2  # loss_slack_ms


def config(version, split):
    def route(prefix, **more):
        return dict({"name": "r-" + prefix, "host": "app.example", "path_prefix": "/%s/" % prefix, "kind": "unsafe",
                     "timeout_ms": 4000, "target_latency_ms": 300, "priority": 2, "max_attempts": 1}, **more)

    return {"version": version,
            "routes": [route("orders", service="app"), route("reads", kind="safe", traffic_split=split)],
            "services": [{"name": name, "health_path": "/health", "max_connections": 110, "protocol": "h1",
                          "tls": False} for name in ("app", "canary")],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000}}


async def scenario(lab, trouble):
    await lab.start()
    workers = [Worker(lab, "app", "i-app%d" % i, i, zone=i, slots=12, work_ms=600) for i in range(3)]
    workers += [Worker(lab, "canary", "i-can%d" % i, 3 + i, zone=i, slots=12, work_ms=60) for i in range(3)]
    for w in workers:
        await w.start()
    lab.instances = [w.entry for w in workers]
    whole = [{"service": "app", "weight": 90}, {"service": "canary", "weight": 10}]
    small = [{"service": "app", "weight": 0.0009}, {"service": "canary", "weight": 0.0001}]
    if await lab.put(config(3, whole)) != 200:
        raise CannotRun("the first config was not acknowledged")
    await lab.wait_ready()

    sent = []
    stop = False

    async def client(k):
        """Sends one request after the other to one node; reads and orders in turn."""
        n = 0
        await asyncio.sleep(0.07 * k)  # not in step
        while not stop:
            attempt = "%02x%06x" % (k, n)
            box = (k + n) % len(lab.ips)
            prefix = "orders" if (k + n) % 2 == 0 else "reads"
            n += 1
            at = lab.now()
            answer = await call(lab.addr(box, "front"), "POST" if prefix == "orders" else "GET", "/%s/x" % prefix,
                                [("Host", "app.example"), ("Attempt-Id", attempt), ("Deadline-Ms", "4000")], b"", 4.5)
            sent.append((at, lab.now(), box, prefix, attempt, answer.how, answer.status))
            lab.note("client %s %s at node %d: %s %d after %.0f ms" % (attempt, prefix, box, answer.how, answer.status,
                                                                     1000 * (lab.now() - at)))
            await asyncio.sleep(0.05 if answer.how == "complete" else 0.3)

    clients = [asyncio.ensure_future(client(k)) for k in range(9)]
    await asyncio.sleep(4)
    split_at = lab.now()
    status = await lab.put(config(5, small if trouble else whole), 10)
    acked_at = lab.now()
    await asyncio.sleep(12)
    stop = True
    await asyncio.gather(*clients)

    runs = {}
    for w in workers:
        runs.update(w.runs)
    # LOST: passed on to a worker, the channel then ended without a whole answer, on a request cut between the sending of
    # the config and config_apply_ms + 1 s after its confirmation.
    lost = [s for s in sent if s[5] == "closed" and s[4] in runs and split_at <= s[1] <= acked_at + APPLY_S + 1]
    before = [s for s in sent if s[5] == "closed" and s[4] in runs and s[1] < split_at]
    # Read whole, never passed on, and cut later than loss_slack_ms after the last byte.
    unserved = [s for s in sent if s[5] in ("closed", "refused") and s[0] >= split_at]
    ends = [p.own_ends for p in lab.forwards]
    after = [s for s in sent if s[0] >= acked_at]
    served = [s for s in after if s[5] == "complete" and s[6] == 200]
    lab.note("config 5 answered %d; requests cut although passed on: %d (before: %d); requests without any answer: %d; "
             "served after it: %d of %d; ends of the forward processes by themselves: %s"
             % (status, len(lost), len(before), len(unserved), len(served), len(after), ends))
    violations = []
    if status == 200 and len(lost) > 3 * len(before):
        violations.append("LOST: %d requests that were passed on were cut around the config, %d before it"
                          % (len(lost), len(before)))
    if status == 200 and sum(n >= 3 for n in ends) >= 2:
        violations.append("Fault: processes ended by themselves %s times on %d machines" % (ends, len(ends)))
    return violations


main(HERE, scenario)
