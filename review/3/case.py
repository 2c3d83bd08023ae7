import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
from lab import Engine, Worker, call, header, main

ROUNDS = 6


def config():
    def route(prefix, service, kind, **more):
        return dict({"name": "r-" + prefix, "host": "app.example", "path_prefix": "/%s/" % prefix, "kind": kind,
                     "timeout_ms": 4000, "target_latency_ms": 900, "priority": 2, "service": service,
                     "max_attempts": 1}, **more)

    def service(name, **more):
        return dict({"name": name, "health_path": "/health", "max_connections": 110, "protocol": "h1", "tls": False},
                    **more)

    engine = {"slots": 128, "kv_tokens": 53213, "kv_bytes": 18432, "link_mbps": 350000.0, "moves": True,
              "backups": True, "stride": 11, "most": 12, "handle_ttl_s": 0.5, "stage_switch_s": 6.0, "pin_ms": 4000.0,
              "hold_ms": 2000.0, "models": [{"name": "m"}]}
    return {"version": 3,
            "routes": [route("orders", "app", "unsafe"),
                       route("digest", "lm", "stream", sticky_session=True, resumable=False, gap_aim_ms=300)],
            "services": [service("app"), service("lm", engine=engine)],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000}}


class RecordingEngine(Engine):
    """Notes the field Kv-From of each request that it runs."""

    async def run(self, attempt, target, headers, body, writer):
        if header(headers, "Stage") != "prefill":
            self.memory = getattr(self, "memory", {})
            self.memory[attempt] = [value for key, value in headers if key.lower() == "kv-from"]
        return await super().run(attempt, target, headers, body, writer)


async def scenario(lab, trouble):
    blank = " " if trouble else ""  # before the colon of a field's name
    await lab.start()
    apps = [Worker(lab, "app", "i-app%d" % i, i, zone=i) for i in range(3)]
    readers = [Engine(lab, "lm", "i-read%d" % i, 3 + i, "prefill", zone=i) for i in range(2)]
    writers = [RecordingEngine(lab, "lm", "i-write%d" % i, 6 + i, "decode", zone=i) for i in range(3)]
    for w in apps + readers + writers:
        w.pieces = 5
        await w.start()
    lab.instances = [w.entry for w in apps + readers + writers]
    if await lab.put(config()) != 200:
        raise RuntimeError("the first config was not acknowledged")
    await lab.wait_ready()

    sent = set()
    for n in range(ROUNDS):
        box = n % len(lab.ips)
        # A body in chunks. What it holds, once put together, looks like the end of a body and another request.
        outer, inner = "%08x" % (0x10000 + n), "%08x" % (0xbad0000 + n)
        payload = ("0\r\n\r\nPOST /orders/x HTTP/1.1\r\nHost: app.example\r\nAttempt-Id: %s\r\nContent-Length: 0\r\n\r\n"
                   % inner).encode()
        sent.add(outer)
        lab.note("client sends %s in chunks to node %d; its body holds the text of a request %s" % (outer, box, inner))
        ip, port = lab.addr(box, "front").split(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        writer.write(("POST /orders/x HTTP/1.1\r\nHost: app.example\r\nAttempt-Id: %s\r\nDeadline-Ms: 4000\r\n"
                      "Transfer-Encoding%s: chunked\r\n\r\n%x\r\n" % (outer, blank, len(payload))).encode()
                     + payload + b"\r\n0\r\n\r\n")
        try:
            answer = await asyncio.wait_for(reader.read(300), 4.5)
            lab.note("client %s: %r" % (outer, answer[:60]))
        except (OSError, asyncio.TimeoutError) as error:
            lab.note("client %s: %r" % (outer, error))
        writer.close()

    named = {}
    for n in range(ROUNDS):
        box = n % len(lab.ips)
        attempt = "%08x" % (0x20000 + n)
        named[attempt] = "%s/%012x" % (readers[0].addr, 0xfeed00 + n)
        sent.add(attempt)
        lab.note("client sends %s to node %d with Kv-From %s" % (attempt, box, named[attempt]))
        answer = await call(lab.addr(box, "front"), "POST", "/digest/x",
                            [("Host", "app.example"), ("Attempt-Id", attempt), ("Deadline-Ms", "4000"),
                             ("Kv-From" + blank, named[attempt]), ("Model", "m"), ("Token-Count", "100,20"),
                             ("Prompt-Prefix", "aa01:50,%s:50" % attempt)], b"prompt", 4.5)
        lab.note("client %s: %s %d" % (attempt, answer.how, answer.status))
    await asyncio.sleep(0.5)

    runs, memory = {}, {}
    for w in apps + writers:
        runs.update(w.runs)
        memory.update(getattr(w, "memory", {}))
    smuggled = sorted(set(runs) - sent)
    taken = sorted(a for a in named if named[a] in memory.get(a, []))
    lab.note("requests run that no client sent: %s" % smuggled)
    lab.note("requests run with the Kv-From that the client sent: %s" % taken)
    violations = []
    if smuggled:
        violations.append("UNASKED: workers ran %d requests that were smuggled inside others" % len(smuggled))
    if taken:
        violations.append("UNASKED: workers ran %d requests with the Kv-From that the client sent" % len(taken))
    return violations


main(HERE, scenario)
