"""Lab for the scripts of the second review: starts the programs of deploy/system.toml as separate processes on loopback
addresses, with settings like those of a small deployment, and holds small stand-ins for platform, workers and clients.

The stand-ins follow PROTOCOL.md and DEPLOY.md. Only the standard library of Python 3 is used.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
FORWARD = os.path.join(ROOT, "target/bin/trackcove-forwardd")
REGISTRY = os.path.join(ROOT, "target/bin/trackcove-registryd")

# Bounds of sites/sacc-trackcove.toml, as SYSTEM.md lists them.
BOUNDS = {
    "seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 3000,
    "grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000, "downgrade_slack_ms": 250, "max_skew_ms": 5000,
    "retry_budget_ratio": 0.2, "budget_window_s": 10, "retry_slack": 62, "recovery_s": 12, "transit_ms": 120,
    "again_s": 5.6, "require_fencing": True, "lease_ms": 3000, "thaw_ms": 300, "ttl_max_s": 5,
}
ZONES = {"dakar-plateau": "dakar", "dakar-rufisque": "dakar", "dakar-thies": "dakar"}
HOST = "air.example"
STEADY = time.monotonic


class CannotRun(Exception):
    """The case could not be played: exit code 2."""


class Record:
    """record.txt of a case: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.began = STEADY()

    def __call__(self, *words):
        self.file.write("%9.3f  %s\n" % (STEADY() - self.began, " ".join(str(w) for w in words)))
        self.file.flush()

    def say(self, *words):
        self(*words)
        print(*words, flush=True)


# ===== Machines =====


class Machine:
    """A machine with a forward process and, where it has that role, a registry process."""

    def __init__(self, lab, index, zone, disk):
        self.lab, self.zone, self.disk = lab, zone, disk
        self.name = "front-%s-%d" % (zone, 1 if disk else 2)
        self.ip = "127.0.%d.%d" % (lab.net, 10 + index)
        self.data = os.path.join(lab.folder, self.name) if disk else ""
        self.processes = {}
        if disk:
            os.mkdir(self.data)

    def at(self, port):
        return "%s:%d" % (self.ip, self.lab.port + port)

    def settings(self, role, first):
        data = self.data if role == "registry" else ""
        serves = ["front", "directory"] if role == "forward" else ["control"]
        return {
            "node_name": self.name, "role": role, "machine_class": "front", "serves": serves, "ip": self.ip,
            "zone": self.zone, "region": "dakar", "zones": ZONES,
            "listen": {"front": self.at(0), "ready": self.at(1), "control": self.at(2), "directory": self.at(3)},
            "internal_ports": [self.lab.port + 10, self.lab.port + 25],
            "seeds": [m.at(2) for m in self.lab.machines if m.disk],
            "bootstrap": first, "counts_as_loss": self.disk,
            "limits": {"cpu_share": 0.45 if self.disk else 0.25, "cores": 1, "memory_mb": 110, "max_fds": 4100,
                       "link_mbps": 1000.0, "disk_mb": 64 if self.disk else 0},
            "data_dir": data, "discovery": "cloud_api", "entry": "directory", "heartbeat_ms": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "split", "stream", "engine"],
            "fault_tolerance": {"machines": 1, "zones": 0, "regions": 0}, "bounds": BOUNDS,
            "config_mode": "highest",
            "cloud": {"address": self.lab.platform.address, "rate_per_s": 44.0, "duties": [], "lag_ms": 800},
        }

    def start(self, role, first=False):
        path = os.path.join(self.lab.folder, "%s-%s.json" % (self.name, role))
        with open(path, "w", encoding="utf-8") as out:
            json.dump(self.settings(role, first), out)
        log = open(path[:-5] + ".log", "ab")
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment["TRACKCOVE_CONFIG"] = path
        program = FORWARD if role == "forward" else REGISTRY
        self.processes[role] = subprocess.Popen([program], cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
                                                stdout=log, stderr=log)
        log.close()

    def signal(self, role, number):
        self.processes[role].send_signal(number)

    def end(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()


# ===== HTTP =====


async def read_head(reader):
    """Returns the first line and the headers, with names in lower case; None at the end of the connection."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = text.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """Body by its length or in chunks. Raises when it does not come whole."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            part = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += part[:-2]
    return await reader.readexactly(int(headers.get("content-length", 0)))


class Reply:
    """What a caller got: a status, or 0 with the reason why there is none."""

    def __init__(self, status, headers=None, body=b"", why=""):
        self.status, self.headers, self.body, self.why = status, headers or {}, body, why


async def call(address, method, path, headers=(), body=b"", limit=5.0):
    """One request on a new connection."""
    ip, port = address.rsplit(":", 1)
    writer = None

    async def run():
        nonlocal writer
        reader, writer = await asyncio.open_connection(ip, int(port))
        head = "%s %s HTTP/1.1\r\n" % (method, path)
        head += "".join("%s: %s\r\n" % pair for pair in headers)
        if body or method != "GET":
            head += "Content-Length: %d\r\n" % len(body)
        writer.write(head.encode("latin-1") + b"\r\n" + body)
        got = await read_head(reader)
        if not got:
            return Reply(0, why="closed without an answer")
        return Reply(int(got[0].split()[1]), got[1], await read_body(reader, got[1]))

    try:
        return await asyncio.wait_for(run(), limit)
    except asyncio.TimeoutError:
        return Reply(0, why="no answer in %.1f s" % limit)
    except (OSError, EOFError, ValueError) as error:
        return Reply(0, why="connection failed: %s" % error)
    finally:
        if writer:
            writer.close()


# ===== Workers and platform =====


class Worker:
    """A plain worker: runs requests that name it, and tells its load."""

    def __init__(self, lab, service, zone, index, slots=6):
        self.lab, self.service, self.zone, self.slots = lab, service, zone, slots
        self.id = "i-%08x" % random.getrandbits(32)
        self.address = "127.0.%d.%d:%d" % (lab.net, 100 + index, lab.port)
        self.state = "ready"
        self.running, self.runs = 0, []
        self.server = None
        self.connections = set()
        self.hangs = False  # takes requests and answers none

    async def start(self):
        ip, port = self.address.split(":")
        self.server = await asyncio.start_server(self.serve, ip, int(port))

    def crash(self):
        """Ends at once: nothing listens any more, and open connections are reset."""
        self.hangs = False
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()

    async def restart(self):
        """A new incarnation at the same address."""
        self.id = "i-%08x" % random.getrandbits(32)
        await self.start()

    def entry(self):
        return {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
                "slots": self.slots, "state": self.state, "cold_left_ms": 0, "id": self.id}

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                got = await read_head(reader)
                if not got:
                    break
                line, headers = got
                body = await read_body(reader, headers)
                if not await self.answer(line, headers, body, writer):
                    break
        except (OSError, EOFError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    def head(self, status, headers, size):
        lines = ["HTTP/1.1 %s" % status] + ["%s: %s" % pair for pair in headers]
        lines += ["Server-Load: %d,0,%d" % (self.running, self.slots), "Keep-Alive: timeout=5"]
        if self.state == "draining":
            lines.append("Connection: close")
        lines.append("Content-Length: %d" % size)
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")

    async def answer(self, line, headers, body, writer):
        attempt = headers.get("attempt-id", "")
        expected = headers.get("expect-instance")
        if line.startswith("GET /health"):
            good = self.state == "ready"
            writer.write(self.head("200 OK" if good else "503 Service Unavailable", [("Instance-Id", self.id)], 0))
            return good
        if not attempt:
            writer.write(self.head("400 Bad Request", [("Not-Executed", "1")], 0))
            return True
        if expected and expected != self.id:
            writer.write(self.head("421 Misdirected Request", [("Attempt-Id", attempt), ("Not-Executed", "1")], 0))
            return True
        if self.running >= self.slots:
            writer.write(self.head("503 Service Unavailable", [("Attempt-Id", attempt), ("Not-Executed", "1")], 0))
            return True
        self.running += 1
        self.runs.append((STEADY(), attempt))
        self.lab.record("worker", self.id, "runs", attempt, line.rsplit(" ", 1)[0], "state", self.state)
        try:
            await asyncio.sleep(0.03 + 0.06 * random.random())
            while self.hangs:
                await asyncio.sleep(0.02)
        finally:
            self.running -= 1
        if writer.transport.is_closing():
            return False
        content = ("ran %s at %s" % (attempt, self.id)).encode()
        writer.write(self.head("200 OK", [("Attempt-Id", attempt), ("Server-Seal", "3e1b.%s" % attempt)],
                               len(content)) + content)
        await writer.drain()
        return self.state == "ready"


class Engine(Worker):
    """A model worker of one stage, as PROTOCOL.md tells of "Prefill and decode". Its streams have a piece every
    piece_s, as those of a worker with many requests."""

    def __init__(self, lab, service, zone, index, stage, pieces=150, piece_s=0.03):
        super().__init__(lab, service, zone, index, slots=128)
        self.stage, self.pieces, self.piece_s = stage, pieces, piece_s
        self.handles = {}
        self.streams = {}

    def entry(self):
        return {**super().entry(), "stage": self.stage, "models": [{"name": "m", "version": 1, "adapters": []}]}

    def reply(self, writer, status, headers=(), content=b""):
        writer.write(self.head(status, list(headers), len(content)) + content)
        return self.state == "ready"

    async def answer(self, line, headers, body, writer):
        method, path, _ = line.split(" ", 2)
        attempt = headers.get("attempt-id", "")
        own = [("Attempt-Id", attempt)]
        refused = own + [("Not-Executed", "1")]
        if path == "/report":
            told = {"stage": self.stage, "models": [{"name": "m", "version": 1, "adapters": []}], "busy": False,
                    "call_seq": 0, "waiting": 0, "running": len(self.streams), "kv_used": 0, "kv_total": 66897,
                    "handles": len(self.handles), "runs": [[a, 1460 + n, n, 5] for a, n in self.streams.items()],
                    "born": 1}
            return self.reply(writer, "200 OK", content=json.dumps(told).encode())
        if path == "/kv-list":
            return self.reply(writer, "200 OK", content=b'{"epoch":1,"next_token":1,"held":[]}')
        if path == "/hold-take":
            return self.reply(writer, "200 OK", content=b'{"hold":"%012x"}' % random.getrandbits(48))
        if path == "/order":
            return self.reply(writer, "409 Conflict")
        if method == "DELETE":
            self.handles.pop(path.rsplit("/", 1)[1], None)
            return self.reply(writer, "200 OK")
        if line.startswith("GET /health"):
            return await super().answer(line, headers, body, writer)
        if not attempt:
            return self.reply(writer, "400 Bad Request", [("Not-Executed", "1")])
        reads = headers.get("stage") == "prefill"
        if headers.get("expect-instance", self.id) != self.id or reads != (self.stage == "prefill"):
            return self.reply(writer, "421 Misdirected Request", refused)
        if reads:
            await asyncio.sleep(0.1)
            handle = "%012x" % random.getrandbits(48)
            self.handles[handle] = attempt
            content = json.dumps({"prefill_handle": handle, "tokens": 1460, "version": 1}).encode()
            return self.reply(writer, "200 OK", own, content)
        await self.stream(attempt, writer)
        return self.state == "ready"

    async def stream(self, attempt, writer):
        lines = ["HTTP/1.1 200 OK", "Attempt-Id: " + attempt, "Server-Seal: 3e1b." + attempt,
                 "Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        self.lab.record("engine", self.id, "runs", attempt)
        self.lab.started.add(attempt)
        self.streams[attempt] = 0
        try:
            for number in range(1, self.pieces + 1):
                event = b"id: %d\ndata: t%d\n\n" % (number, number)
                writer.write(b"%x\r\n" % len(event) + event + b"\r\n")
                await writer.drain()
                if writer.transport.is_closing():
                    raise EOFError
                self.streams[attempt] = number
                await asyncio.sleep(self.piece_s)
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            self.lab.record("engine", self.id, "ends", attempt)
        except (OSError, EOFError):
            self.lab.record("engine", self.id, "lost the caller of", attempt, "after", self.streams[attempt], "pieces")
            raise
        finally:
            del self.streams[attempt]


class Platform:
    """The list of workers, by pages of 50. Its entries trail reality by nothing here: lag_ms is the most."""

    def __init__(self, lab):
        self.lab = lab
        self.address = "127.0.%d.9:%d" % (lab.net, lab.port)
        self.workers = []
        self.foreign = []  # entries of another writer, as bytes
        self.reads = 0

    async def start(self):
        ip, port = self.address.split(":")
        self.server = await asyncio.start_server(self.serve, ip, int(port))

    def page(self):
        entries = [json.dumps(w.entry(), separators=(",", ":")).encode() for w in self.workers]
        return b'{"instances":[' + b",".join(entries + self.foreign) + b'],"next_token":null}'

    async def serve(self, reader, writer):
        try:
            while True:
                got = await read_head(reader)
                if not got:
                    break
                await read_body(reader, got[1])
                body = self.page()
                self.reads += 1
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                             % len(body) + body)
                await writer.drain()
        except (OSError, EOFError, ValueError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


# ===== The whole =====


class Lab:
    """A small deployment. Use as an asynchronous context manager: everything that it started ends with it."""

    def __init__(self, case_folder):
        if not (os.access(FORWARD, os.X_OK) and os.access(REGISTRY, os.X_OK)):
            raise CannotRun("target/bin is not built: run the build of deploy/system.toml")
        self.record = Record(case_folder)
        self.folder = tempfile.mkdtemp(prefix="trackcove-review-")
        self.net = 20 + os.getpid() % 200
        self.port = self.free_ports()
        self.platform = Platform(self)
        self.machines, self.workers = [], []
        self.started = set()  # attempts whose streams began at an engine
        self.tasks = []
        zones = list(ZONES)
        for disk in (True, False):
            for index, zone in enumerate(zones):
                self.machines.append(Machine(self, index + (0 if disk else len(zones)), zone, disk))

    def free_ports(self):
        """First of 30 ports that are free at the addresses used."""
        for _ in range(200):
            first = random.randrange(20000, 32000)
            try:
                for last in (9, 10, 15, 100, 103):
                    for port in range(first, first + 30):
                        with socket.socket() as probe:
                            probe.bind(("127.0.%d.%d" % (self.net, last), port))
                return first
            except OSError:
                continue
        raise CannotRun("no free ports")

    async def __aenter__(self):
        await self.platform.start()
        return self

    async def __aexit__(self, *_):
        for task in self.tasks:
            task.cancel()
        for machine in self.machines:
            machine.end()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)

    async def add_worker(self, service, zone, listed=True):
        worker = Worker(self, service, zone, len(self.workers))
        await worker.start()
        self.workers.append(worker)
        if listed:
            self.platform.workers.append(worker)
        return worker

    async def add_engine(self, service, zone, stage, **how):
        engine = Engine(self, service, zone, len(self.workers), stage, **how)
        await engine.start()
        self.workers.append(engine)
        self.platform.workers.append(engine)
        return engine

    def start_all(self):
        for machine in self.machines:
            machine.start("forward", first=True)
            machine.start("registry", first=True)

    async def put(self, config):
        """Sends a configuration as the operator does, until it is acknowledged. Returns the time of that."""
        body = json.dumps(config).encode()
        began = STEADY()
        nodes = [m.at(2) for m in self.machines]
        turn = random.randrange(len(nodes))
        while STEADY() - began < 15:
            address = nodes[turn % len(nodes)]
            turn += 1
            for _ in range(3):
                reply = await call(address, "POST", "/config/put", [("Host", "c")], body, 1.5)
                self.record("operator puts version", config["version"], "at", address, "->", reply.status, reply.why)
                if reply.status != 307:
                    break
                address = reply.headers["location"].split("//", 1)[1].split("/", 1)[0]
            if reply.status == 200:
                return STEADY()
            if 400 <= reply.status < 500:
                raise CannotRun("the configuration was refused: %d" % reply.status)
            await asyncio.sleep(0.2)
        raise CannotRun("version %d was not acknowledged" % config["version"])

    async def wait_ready(self, machines=None, limit=15):
        began = STEADY()
        for machine in machines or self.machines:
            while (await call(machine.at(1), "GET", "/readiness", [("Host", "r")], limit=1)).status != 200:
                if STEADY() - began > limit:
                    raise CannotRun("%s is not ready" % machine.name)
                await asyncio.sleep(0.1)

    def own_ends(self):
        """Processes that ended by themselves."""
        return [(m.name, role, p.returncode) for m in self.machines for role, p in m.processes.items()
                if p.poll() is not None]


def route(name, prefix, service, kind="unsafe", attempts=2):
    return {"name": name, "host": HOST, "path_prefix": prefix, "kind": kind, "timeout_ms": 1500,
            "target_latency_ms": 300, "priority": 2, "service": service, "max_attempts": attempts,
            "sticky_session": False, "resumable": False}


def service(name):
    return {"name": name, "health_path": "/health", "max_connections": 130, "protocol": "h1", "tls": False}


ENGINE = {"slots": 128, "kv_tokens": 66897, "kv_bytes": 18432, "link_mbps": 350000.0, "moves": True, "backups": True,
          "stride": 11, "most": 12, "handle_ttl_s": 0.5, "stage_switch_s": 6.0, "pin_ms": 4000.0, "hold_ms": 2000.0,
          "models": [{"name": "m"}]}


def stream_route(name, prefix, service, attempts=1, resumable=False):
    return {"name": name, "host": HOST, "path_prefix": prefix, "kind": "stream", "timeout_ms": 14000,
            "target_latency_ms": 900, "priority": 1, "service": service, "max_attempts": attempts,
            "sticky_session": True, "resumable": resumable, "gap_aim_ms": 300}


def config(version, routes, services):
    return {"version": version, "routes": routes, "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000}}


def new_attempt():
    return "%016x" % random.getrandbits(64)


async def request(machine, path, limit_ms=1500, body=b"x" * 600, method="POST", more=()):
    """One attempt of a client. Returns its id and the reply."""
    attempt = new_attempt()
    headers = [("Host", HOST), ("Attempt-Id", attempt), ("Deadline-Ms", str(limit_ms)), *more]
    reply = await call(machine.at(0), method, path, headers, body, limit_ms / 1000)
    machine.lab.record("client", attempt, path, "at", machine.name, "->", reply.status, reply.why)
    return attempt, reply


async def stream(machine, path):
    """One attempt of a client on a stream route."""
    more = [("Model", "m"), ("Token-Count", "1460,170"),
            ("Prompt-Prefix", "5c1e07a2:200,%08x:1260" % random.getrandbits(32))]
    return await request(machine, path, 14000, b"x" * 5000, "POST", more)


def main(folder, play):
    """Plays a case. play(lab, trouble) returns what broke the rule, or nothing."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        lab = Lab(folder)
        async with lab:
            broken = await asyncio.wait_for(play(lab, trouble), 110)
            for end in lab.own_ends():
                lab.record.say("ended by itself:", *end)
            for line in broken:
                lab.record.say("BROKEN:", line)
            lab.record.say("the rule was broken" if broken else "the rule held", "(TROUBLE=%d)" % trouble)
            return 1 if broken else 0

    try:
        status = asyncio.run(run())
    except (CannotRun, OSError, asyncio.TimeoutError) as error:
        print("could not run: %r" % error, file=sys.stderr)
        status = 2
    sys.exit(status)
