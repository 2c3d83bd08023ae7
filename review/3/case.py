import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
from lab import CannotRun, Worker, call, header, main

BOXES = 6  # two in each zone run the role registry; the first three have a disk
# A path as an operator may write it for a recipe site. The same path in ASCII is the one without the disruption.
PATH = "/marmara/şube/tarif-özetleri-ve-alerjen-notları/haftalık-menü-önerileri/müşteri-görüşleri/"
PATH_ASCII = "/marmara/sube/tarif-ozetleri-ve-alerjen-notlari/haftalik-menu-onerileri-icin/musteri-gorusleri/"


def config(version, extra=None):
    def route(prefix, service):
        return {"name": "r-%d" % len(prefix), "host": "app.example", "path_prefix": prefix, "kind": "safe",
                "timeout_ms": 2000, "target_latency_ms": 300, "priority": 2, "service": service, "max_attempts": 2}

    return {"version": version,
            "routes": [route("/reads/", "app")] + ([route(extra, "sofra-app")] if extra else []),
            "services": [{"name": "app", "health_path": "/health", "max_connections": 110, "protocol": "h1",
                          "tls": False}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000}}


async def scenario(lab, trouble):
    await lab.start()
    workers = [Worker(lab, "app", "i-app%d" % i, i, zone=i) for i in range(3)]
    for w in workers:
        await w.start()
    lab.instances = [w.entry for w in workers]
    if await lab.put(config(3)) != 200:
        raise CannotRun("the first config was not acknowledged")
    await lab.wait_ready()
    await asyncio.sleep(2)
    # An invalid config: a route names a service that is not there. As the pages say, the operator sends a call without
    # a clear answer again, unchanged, to any node, and pauses for a time that grows.
    status = await lab.put(config(5, PATH if trouble else PATH_ASCII), 30, pause=0.2, growth=1.2)
    ends = [p.own_ends for p in lab.controls]
    lab.note("the invalid config was answered %d; ends of the control processes by themselves, by node: %s"
             % (status, ends))
    if sum(n >= 3 for n in ends[:3]) >= 2:
        return ["Fault: processes of the core ended by themselves: %s" % ends[:3]]
    return []


main(HERE, scenario, boxes=BOXES)
