"""Small deployment on loopback for the review's scripts: the project's two programs as separate processes, and stand-ins
for the platform's list, workers, clients and the operator, each of which does only what the users' pages allow."""

import asyncio
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
# Where the build command of deploy/system.toml puts the programs, else where `make platform` does
BIN = next((d for d in ("target/bin", "build/bin") if os.path.exists(os.path.join(ROOT, d, "trackcove-forwardd"))), "")
ZONES = ["z-a", "z-b", "z-c"]
OFFSETS = {"front": 0, "ready": 1, "directory": 2, "control": 3}
INTERNAL, PLATFORM, WORKER = 10, 30, 31  # offsets of other ports


class CannotRun(Exception):
    pass


def free_base(ips):
    """A port from which on all ports that the deployment uses are free on all addresses."""
    for base in range(21000, 30000, 64):
        taken = False
        for ip in ips:
            for offset in list(range(0, 4)) + list(range(INTERNAL, INTERNAL + 16)) + [PLATFORM, WORKER]:
                with socket.socket() as s:
                    s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    try:
                        s.bind((ip, base + offset))
                    except OSError:
                        taken = True
                        break
            if taken:
                break
        if not taken:
            return base
    raise CannotRun("no free ports")


# ===== HTTP =====


async def read_head(reader):
    """First line and headers (a list of pairs); None at an orderly end before the first byte."""
    raw = b""
    while not raw.endswith(b"\r\n\r\n"):
        line = await reader.readline()
        if not line:
            if not raw:
                return None
            raise ConnectionError("ended within a head")
        raw += line
    lines = raw.decode("latin-1").split("\r\n")
    pairs = [tuple(part.strip() for part in line.split(":", 1)) for line in lines[1:] if line]
    return lines[0], pairs


def header(pairs, name):
    for key, value in pairs:
        if key.lower() == name.lower():
            return value
    return None


async def read_body(reader, pairs):
    if "chunked" in (header(pairs, "Transfer-Encoding") or ""):
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                return body
    return await reader.readexactly(int(header(pairs, "Content-Length") or 0))


class Answer:
    """What a client saw. `how`: complete, refused (no connection), closed (before a whole answer) or timeout."""

    def __init__(self):
        self.status, self.headers, self.body, self.how = 0, [], b"", "timeout"


async def call(addr, method, target, headers=(), body=b"", timeout=5.0, on_bytes=None):
    answer = Answer()
    ip, port = addr.rsplit(":", 1)
    writer = None

    async def run():
        nonlocal writer
        try:
            reader, writer = await asyncio.open_connection(ip, int(port))
        except OSError:
            answer.how = "refused"
            return
        lines = ["%s %s HTTP/1.1" % (method, target)] + ["%s: %s" % pair for pair in headers]
        if body or method == "POST":
            lines.append("Content-Length: %d" % len(body))
        answer.how = "closed"
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        head = await read_head(reader)
        if head is None:
            return
        answer.status = int(head[0].split(" ")[1])
        answer.headers = head[1]
        if "chunked" not in (header(head[1], "Transfer-Encoding") or ""):
            answer.body = await read_body(reader, head[1])
            answer.how = "complete"
            return
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                answer.how = "complete"
                return
            answer.body += data[:-2]
            if on_bytes:
                on_bytes(answer)

    try:
        await asyncio.wait_for(run(), timeout)
    except asyncio.TimeoutError:
        answer.how = "timeout"
    except (OSError, ValueError, asyncio.IncompleteReadError, ConnectionError):
        answer.how = "closed"
    if writer:
        writer.close()
    return answer


async def serve(addr, handler):
    """`handler(line, headers, body, reader, writer)` returns whether the channel is kept."""

    async def on_channel(reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                body = await read_body(reader, head[1])
                if not await handler(head[0], head[1], body, reader, writer):
                    break
        except (OSError, ValueError, asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    ip, port = addr.rsplit(":", 1)
    return await asyncio.start_server(on_channel, ip, int(port))


def respond(writer, status, headers=(), body=b""):
    lines = ["HTTP/1.1 %d X" % status] + ["%s: %s" % pair for pair in headers] + ["Content-Length: %d" % len(body)]
    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)


def respond_json(writer, status, value):
    respond(writer, status, [("Content-Type", "application/json")], json.dumps(value).encode())


# ===== The deployment =====


class Process:
    def __init__(self, lab, program, settings, log):
        self.lab, self.program, self.settings, self.log = lab, program, settings, log
        self.proc = None
        self.stopping = False
        self.own_ends = 0  # ends that nobody asked for
        self.held = False  # not to be started again for now

    def start(self):
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["TRACKCOVE_CONFIG"] = self.settings
        self.stopping = False
        with open(self.log, "ab") as out:
            self.proc = subprocess.Popen([os.path.join(BIN, self.program)], cwd=ROOT, env=env, stdout=out, stderr=out,
                                         stdin=subprocess.DEVNULL)
        self.lab.note("start %s pid %d" % (os.path.basename(self.settings), self.proc.pid))

    def signal(self, number):
        if self.proc and self.proc.poll() is None:
            self.lab.note("%s to %s" % (signal.Signals(number).name, os.path.basename(self.settings)))
            if number in (signal.SIGKILL, signal.SIGTERM):
                self.stopping = True
            self.proc.send_signal(number)


class Lab:
    def __init__(self, folder, boxes=3, disks=3, extra_settings=None):
        if not BIN:
            raise CannotRun("the programs are not built: run the build command of deploy/system.toml")
        self.folder = folder
        self.record = open(os.path.join(folder, "record.txt"), "w")
        self.began = time.monotonic()
        self.temp = tempfile.mkdtemp(prefix="trackcove-review-")
        self.net = "127.%d.%d" % (64 + os.getpid() % 128, os.getpid() // 128 % 250 + 1)
        self.ips = ["%s.%d" % (self.net, 10 + i) for i in range(boxes)]
        self.worker_ips = ["%s.%d" % (self.net, 100 + i) for i in range(30)]
        self.base = free_base(self.ips + [self.net + ".2"] + self.worker_ips[:1])
        self.disks = disks
        self.extra = extra_settings or {}
        self.platform_addr = "%s.2:%d" % (self.net, self.base + PLATFORM)
        self.instances = []  # entries of the platform's list
        self.list_calls = 0
        self.processes, self.forwards, self.controls = [], [], []
        self.servers = []
        self.restarting = True
        self.version = 0

    def now(self):
        return time.monotonic() - self.began

    def note(self, text):
        self.record.write("%9.3f %s\n" % (self.now(), text))
        self.record.flush()

    def addr(self, i, what):
        return "%s:%d" % (self.ips[i], self.base + OFFSETS[what])

    def settings(self, i, role, bootstrap, data_dir):
        text = {
            "node_name": "front-%d" % i, "role": role, "machine_class": "front", "ip": self.ips[i],
            "serves": ["front", "directory"] if role == "forward" else ["control"],
            "zone": ZONES[i % 3], "region": "r", "zones": {z: "r" for z in ZONES},
            "listen": {what: self.addr(i, what) for what in OFFSETS},
            "internal_ports": [self.base + INTERNAL, self.base + INTERNAL + 15],
            "seeds": [self.addr(k, "control") for k in range(3)],
            "bootstrap": bootstrap, "counts_as_loss": i < self.disks,
            "limits": {"cpu_share": 0.45, "cores": 1, "memory_mb": 260, "max_fds": 4100, "link_mbps": 1000.0,
                       "disk_mb": 64},
            "data_dir": data_dir, "discovery": "cloud_api", "entry": "directory", "heartbeat_ms": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "split", "stream", "engine"],
            "fault_tolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": {"seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4,
                       "drain_ms": 3000, "grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000,
                       "downgrade_slack_ms": 250, "max_skew_ms": 5000, "retry_budget_ratio": 0.2,
                       "budget_window_s": 10, "retry_slack": 58, "recovery_s": 12, "transit_ms": 120, "again_s": 7.2,
                       "require_fencing": True, "lease_ms": 3000, "thaw_ms": 300, "ttl_max_s": 5},
            "config_mode": "highest",
            "cloud": {"address": self.platform_addr, "rate_per_s": 40.0, "duties": [], "lag_ms": 800},
        }
        text.update(self.extra)
        return text

    def write_settings(self, path, i, role, bootstrap, data_dir):
        with open(path + ".new", "w") as out:
            json.dump(self.settings(i, role, bootstrap, data_dir), out)
        os.rename(path + ".new", path)

    def add_process(self, i, role):
        program = "trackcove-forwardd" if role == "forward" else "trackcove-registryd"
        path = os.path.join(self.temp, "%s-%d.json" % (role, i))
        data_dir = os.path.join(self.temp, "data-%s-%d" % (role, i)) if i < self.disks else ""
        if data_dir:
            os.mkdir(data_dir)
        self.write_settings(path, i, role, True, data_dir)
        process = Process(self, program, path, os.path.join(self.temp, "%s-%d.log" % (role, i)))
        process.index, process.role, process.data_dir = i, role, data_dir
        self.processes.append(process)
        (self.forwards if role == "forward" else self.controls).append(process)
        process.start()
        return process

    async def start(self):
        self.servers.append(await serve(self.platform_addr, self.on_platform))
        for i in range(len(self.ips)):
            self.add_process(i, "registry")
            self.add_process(i, "forward")
        self.watcher = asyncio.ensure_future(self.watch())

    async def watch(self):
        """As the platform: an ended process is started again after a short delay."""
        while True:
            for p in self.processes:
                if not p.proc or p.proc.poll() is None:
                    continue
                status = p.proc.returncode
                p.proc = None
                if not p.stopping:
                    p.own_ends += 1
                    self.note("OWN END %s status %d" % (os.path.basename(p.settings), status))
                p.start_at = self.now() + 0.3
            for p in self.processes:
                if not p.proc and self.restarting and not p.held and self.now() >= p.start_at:
                    self.write_settings(p.settings, p.index, p.role, False, p.data_dir)  # bootstrap: first start only
                    p.start()
            await asyncio.sleep(0.01)

    async def on_platform(self, line, headers, body, reader, writer):
        self.list_calls += 1
        respond_json(writer, 200, {"instances": self.instances, "next_token": None})
        return True

    # ===== Operator and clients =====

    async def put(self, config, patience=20.0, pause=0.2, growth=1.0, each=1.0, to=None):
        """Sends a config until it is acknowledged or refused, to any node, or once to node `to`. Returns the last status."""
        body = json.dumps(config).encode()
        end, at, status = self.now() + patience, 0, 0
        while self.now() < end:
            target = self.addr(at % len(self.controls) if to is None else to, "control")
            at += 1
            for _ in range(3):
                answer = await call(target, "POST", "/config/put",
                                    [("Host", "c"), ("Content-Type", "application/json")], body, each)
                if answer.how != "complete" or answer.status != 307:
                    break
                target = header(answer.headers, "Location").split("/")[2]
            status = answer.status if answer.how == "complete" else 0
            self.note("put version %d to %s: %s %d" % (config["version"], target, answer.how, status))
            if status == 200 or status in (400, 409, 412, 413, 422) or to is not None:
                return status
            await asyncio.sleep(pause)
            pause = min(pause * growth, 2.0)
        return status

    async def get(self, i):
        target = self.addr(i, "control")
        for _ in range(3):
            answer = await call(target, "GET", "/config/get", [("Host", "c")], b"", 1.0)
            if answer.how != "complete" or answer.status != 307:
                break
            target = header(answer.headers, "Location").split("/")[2]
        return json.loads(answer.body)["version"] if answer.how == "complete" and answer.status == 200 else None

    async def wait_ready(self, patience=20.0):
        end = self.now() + patience
        while self.now() < end:
            states = [await call(self.addr(p.index, "ready"), "GET", "/readiness", [("Host", "r")], b"", 1.0)
                      for p in self.forwards]
            if all(a.how == "complete" and a.status == 200 for a in states):
                return
            await asyncio.sleep(0.1)
        raise CannotRun("the deployment did not become ready")

    def end(self):
        self.restarting = False
        if hasattr(self, "watcher"):
            self.watcher.cancel()
        for p in self.processes:
            if p.proc and p.proc.poll() is None:
                p.proc.send_signal(signal.SIGCONT)
                p.proc.kill()
                p.proc.wait()
        for server in self.servers:
            server.close()
        if os.environ.get("KEEP") == "1":
            print("kept", self.temp)
        else:
            shutil.rmtree(self.temp, ignore_errors=True)
        self.record.close()


# ===== Workers =====


class Worker:
    """A plain worker. Records each request that it runs."""

    def __init__(self, lab, service, worker_id, ip_index, zone=0, slots=6, work_ms=60, version="v1"):
        self.lab, self.service, self.id, self.slots, self.work_ms = lab, service, worker_id, slots, work_ms
        self.addr = "%s:%d" % (lab.worker_ips[ip_index], lab.base + WORKER)
        self.entry = {"id": worker_id, "service": service, "address": self.addr, "zone": ZONES[zone],
                      "version": version, "slots": slots, "state": "ready", "cold_left_ms": 0}
        self.runs = {}  # Attempt-Id -> times begun
        self.running = 0

    async def start(self):
        self.server = await serve(self.addr, self.handle)
        self.lab.servers.append(self.server)

    def seal(self, body):
        return "3e1b.07.5a2.%d.0.c9f2a4d1" % len(body)

    async def handle(self, line, headers, body, reader, writer):
        method, target, _ = line.split(" ")
        attempt = header(headers, "Attempt-Id")
        if target == "/health":
            respond(writer, 200, [("Instance-Id", self.id), ("Server-Load", "%d,0,%d" % (self.running, self.slots))])
            return True
        if header(headers, "Expect-Instance") not in (None, self.id):
            respond(writer, 421, [("Attempt-Id", attempt or ""), ("Not-Executed", "1")])
            return True
        if not attempt:
            respond(writer, 400, [("Not-Executed", "1")])
            return True
        if self.running >= self.slots:
            respond(writer, 503, [("Attempt-Id", attempt), ("Not-Executed", "1")])
            return True
        return await self.run(attempt, target, headers, body, writer)

    async def run(self, attempt, target, headers, body, writer):
        self.running += 1
        self.runs[attempt] = self.runs.get(attempt, 0) + 1
        self.lab.note("run %s at %s" % (attempt, self.id))
        try:
            await asyncio.sleep(self.work_ms / 1000)
        finally:
            self.running -= 1
        answer = ("answer to %s" % attempt).encode()
        respond(writer, 200, [("Attempt-Id", attempt), ("Server-Seal", self.seal(answer)),
                              ("Server-Load", "%d,0,%d" % (self.running, self.slots))], answer)
        return True


class Engine(Worker):
    """A model worker: reads prompts (`stage` prefill) or streams answers (decode)."""

    def __init__(self, lab, service, worker_id, ip_index, stage, **more):
        super().__init__(lab, service, worker_id, ip_index, slots=128, **more)
        self.stage = self.entry["stage"] = stage
        self.entry["models"] = [{"name": "m", "version": 1, "adapters": []}]
        self.read_ms, self.first_ms, self.gap_ms, self.pieces = 60, 30, 30, 20
        self.made = 0
        self.orders, self.call_seq = [], 0
        self.writers = set()

    async def handle(self, line, headers, body, reader, writer):
        method, target, _ = line.split(" ")
        if target == "/report":
            respond_json(writer, 200, {"stage": self.stage, "models": self.entry["models"], "busy": False,
                                       "call_seq": self.call_seq, "waiting": 0, "running": self.running, "kv_used": 0,
                                       "kv_total": 53213, "handles": 0, "pinned": 0, "held": 0, "next_token": 0,
                                       "runs": []})
            return True
        if target == "/hold-take":
            self.made += 1
            self.lab.note("hold taken at %s" % self.id)
            respond_json(writer, 200, {"hold": "%012x" % self.made})
            return True
        if target == "/kv-list":
            respond_json(writer, 200, {"epoch": 1, "next_token": 0, "held": []})
            return True
        if target == "/order":
            self.orders.append((self.lab.now(), json.loads(body)))
            self.lab.note("order at %s: %s" % (self.id, body.decode()))
            respond_json(writer, 200, {})
            return True
        if method == "DELETE":
            respond(writer, 200)
            return True
        return await super().handle(line, headers, body, reader, writer)

    async def run(self, attempt, target, headers, body, writer):
        if header(headers, "Stage") == "prefill":
            if self.stage != "prefill":
                respond(writer, 421, [("Attempt-Id", attempt), ("Not-Executed", "1")])
                return True
            self.made += 1
            handle = "%012x" % (self.made + 1000)
            self.lab.note("prompt of %s read at %s" % (attempt, self.id))
            await asyncio.sleep(self.read_ms / 1000)
            text = json.dumps({"prefill_handle": handle, "tokens": 100, "version": 1}).encode()
            respond(writer, 200, [("Attempt-Id", attempt), ("Content-Type", "application/json")], text)
            return True
        if self.stage != "decode":
            respond(writer, 421, [("Attempt-Id", attempt), ("Not-Executed", "1")])
            return True
        self.running += 1
        self.runs[attempt] = self.runs.get(attempt, 0) + 1
        last = int(header(headers, "Last-Event-Id") or 0)
        self.lab.note("run %s at %s after event %d" % (attempt, self.id, last))
        self.writers.add(writer)
        try:
            await asyncio.sleep(self.first_ms / 1000)
            writer.write(("HTTP/1.1 200 X\r\nAttempt-Id: %s\r\nServer-Seal: 3e1b.07.5a2.0.0.c9f2a4d1\r\nVersions: 1\r\n"
                          "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" % attempt).encode())
            for piece in range(last + 1, self.pieces + 1):
                event = ("id: %d\ndata: piece %d by %s\n\n" % (piece, piece, self.id)).encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
                await asyncio.sleep(self.gap_ms / 1000)
            writer.write(b"0\r\n\r\n")
        finally:
            self.running -= 1
            self.writers.discard(writer)
        return True

    async def crash(self):
        """Ends: the port refuses, and all channels are reset."""
        self.lab.note("worker %s crashes" % self.id)
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


def main(folder, scenario, limit=110.0, **options):
    """Runs `scenario(lab, trouble)`, which returns a list of violations, and exits as the review asks."""
    trouble = os.environ.get("TROUBLE") != "0"
    code = 2
    lab = None
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # the processes are ended all the same
    try:
        lab = Lab(folder, **options)
        violations = asyncio.run(asyncio.wait_for(scenario(lab, trouble), limit))
        for text in violations:
            lab.note("VIOLATED " + text)
            print("violated:", text)
        code = 1 if violations else 0
        lab.note("exit %d" % code)
    except Exception as error:  # neither broken nor held
        print("cannot run:", repr(error))
        if not isinstance(error, (CannotRun, asyncio.TimeoutError)):
            traceback.print_exc()
    finally:
        if lab:
            lab.end()
    sys.exit(code)
