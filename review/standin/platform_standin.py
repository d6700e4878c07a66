"""Stand-ins of the users' platform for the scripts of the review.

They follow PROTOCOL.md: the metadata store, the minions and their machines, the machine service
(`cloud`), the operator and the clients. Everything listens on loopback and runs in one process;
the boxes are separate processes, started with the command of `deploy/system.toml`.

Where the page is silent, the stand-ins behave like a sound server. Nothing here knows the names or
the inner state of the scheduler.
"""

import asyncio
import base64
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
HOST = "h.example"

# Bounds of the small deployment `fiscalis-sched` (SYSTEM.md).
HOLD_MAX_MS = 6000
STOP_MS = 900
UPKEEP_S = 2.0
HEARTBEAT_S = 1.1
STORE_ANSWER_S = 0.004
CLOUD_ANSWER_S = 0.004
SERVICE = "aangifte"


class Record:
    """What was sent, answered and run, in order; written to record.txt."""

    def __init__(self):
        self.began = time.monotonic()
        self.lines = []

    def now(self):
        return time.monotonic() - self.began

    def add(self, text):
        self.lines.append("%9.3f s  %s" % (self.now(), text))

    def write(self, path):
        with open(path, "w", encoding="utf-8") as file:
            file.write("\n".join(self.lines) + "\n")


class Answer:
    def __init__(self, status, body=None, headers=()):
        self.status = status
        self.body = body
        self.headers = headers


class Silent(Exception):
    """The request gets no answer; its connection stays open and says nothing further."""


class Broken(Exception):
    """The connection ends without an answer."""


class HttpServer:
    """A small HTTP/1.1 server with connections that are kept open."""

    def __init__(self, handler):
        self.handler = handler
        self.port = 0
        self.connections = set()
        self.server = None

    async def open(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port, limit=1 << 22)
        self.port = self.server.sockets[0].getsockname()[1]

    @property
    def address(self):
        return "127.0.0.1:%d" % self.port

    def drop_connections(self):
        for writer in list(self.connections):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    if ":" in line:
                        name, value = line.split(":", 1)
                        headers[name.strip().lower()] = value.strip()
                length = int(headers.get("content-length", "0"))
                body = await reader.readexactly(length) if length else b""
                path, _, query = target.partition("?")
                parameters = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
                answer = await self.handler(method, path, parameters, headers, body)
                payload = b"" if answer.body is None else json.dumps(answer.body).encode()
                text = "HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n" % (
                    answer.status,
                    len(payload),
                )
                for name, value in answer.headers:
                    text += "%s: %s\r\n" % (name, value)
                writer.write(text.encode() + b"\r\n" + payload)
                await writer.drain()
        except Silent:
            # The machine says nothing: neither an answer nor the end of the connection.
            try:
                while await reader.read(65536):
                    pass
            except OSError:
                pass
        except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, Broken, OSError, ValueError):
            pass
        finally:
            self.connections.discard(writer)
            writer.transport.abort()


class Store:
    """The platform's metadata store."""

    def __init__(self):
        self.revision = 0
        self.items = {}
        self.leases = {}
        self.history = []
        self.changed = asyncio.Condition()
        self.http = HttpServer(self.handle)

    async def open(self):
        await self.http.open()
        asyncio.get_running_loop().create_task(self.expire())

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            ended = [lease for lease, (until, _) in self.leases.items() if until <= now]
            if ended:
                for lease in ended:
                    del self.leases[lease]
                keys = [key for key, item in self.items.items() if item["lease"] in ended]
                await self.change([], keys)

    async def change(self, puts, removes):
        """Applies writes under one revision."""
        async with self.changed:
            self.revision += 1
            for key, value, lease in puts:
                made = self.items[key]["made"] if key in self.items else self.revision
                item = {
                    "privateKey": key,
                    "value": value,
                    "revision": self.revision,
                    "made": made,
                    "lease": lease,
                }
                self.items[key] = item
                self.history.append((self.revision, key, dict(item)))
            for key in removes:
                if self.items.pop(key, None) is not None:
                    gone = {"privateKey": key, "revision": self.revision, "gone": True}
                    self.history.append((self.revision, key, gone))
            self.changed.notify_all()

    async def put(self, key, value):
        """Writes as the operator or a minion does."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        await self.change([(key, text, 0)], [])

    async def remove(self, key):
        if key in self.items:
            await self.change([], [key])

    def value(self, key):
        item = self.items.get(key)
        return json.loads(base64.b64decode(item["value"])) if item else None

    async def handle(self, method, path, parameters, headers, body):
        await asyncio.sleep(STORE_ANSWER_S)
        if method == "GET" and path == "/kv-key":
            item = self.items.get(parameters.get("privateKey", ""))
            if item is None:
                return Answer(404, {"at": self.revision})
            return Answer(200, dict(item, at=self.revision))
        if method == "GET" and path == "/kv-range":
            prefix, after = parameters.get("pathPrefix", ""), parameters.get("after", "")
            keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
            items = [self.items[key] for key in keys[:500]]
            return Answer(200, {"items": items, "more": len(keys) > 500, "at": self.revision})
        if method == "GET" and path == "/kv-watch":
            return await self.watch(parameters)
        call = json.loads(body) if body else {}
        if method == "POST" and path == "/kv-txn":
            return await self.transact(call)
        if method == "POST" and path == "/kv-lease":
            ttl = int(call["ttl_ms"])
            self.revision += 1
            lease = self.revision
            self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
            return Answer(200, {"lease": lease, "ttl_ms": ttl})
        if method == "POST" and path.startswith("/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases or self.leases[lease][0] <= time.monotonic():
                return Answer(404, {})
            ttl = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
            return Answer(200, {"ttl_ms": ttl})
        if method == "DELETE" and path.startswith("/kv-lease-end/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease in self.leases:
                self.leases[lease] = (0, 0)
            return Answer(200, {})
        return Answer(404, {})

    async def watch(self, parameters):
        prefix, after = parameters.get("pathPrefix", ""), int(parameters["after"])
        until = time.monotonic() + int(parameters.get("waitMs", "0")) / 1000
        async with self.changed:
            while True:
                events = []
                for revision, key, event in reversed(self.history):
                    if revision <= after:
                        break
                    if key.startswith(prefix):
                        events.append(event)
                events.reverse()
                left = until - time.monotonic()
                if events or left <= 0:
                    return Answer(200, {"events": events, "at": self.revision})
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def transact(self, call):
        expect, puts = call.get("expectedRevision", []), call.get("put", [])
        removes = call.get("remove", [])
        keys = [put["privateKey"] for put in puts] + removes
        if any(key.startswith(("op/", "servers/")) for key in keys):
            return Answer(403, {})
        if len(expect) + len(puts) + len(removes) > 32:
            return Answer(400, {})
        for row in expect:
            item = self.items.get(row["privateKey"])
            if (item["revision"] if item else 0) != row["revision"]:
                found = [self.items.get(other["privateKey"]) for other in expect]
                return Answer(412, {"items": [item for item in found if item]})
        now = time.monotonic()
        for put in puts:
            lease = put.get("lease", 0)
            if lease and self.leases.get(lease, (0, 0))[0] <= now:
                return Answer(404, {})
        await self.change(
            [(put["privateKey"], put["value"], put.get("lease", 0)) for put in puts], removes
        )
        return Answer(200, {"revision": self.revision})


class Run:
    def __init__(self, number, cpu_ms, began):
        self.number = number
        self.length = cpu_ms
        self.began = began
        self.stopping = False
        self.timer = None


class Minion:
    """One place for minions: an address at which one life follows the other.

    The specification of a job is `ms=N`: each of its tasks works for N milliseconds; `lasts`: until
    it is stopped.
    """

    def __init__(self, world, number, cores, kind):
        self.world = world
        self.number = number
        self.cores = cores
        self.kind = kind
        self.machine = "m-%02d" % number
        self.zone = "mechelen-a"
        self.rack = "r1-%d" % (number // 8 + 1)
        self.lives = 0
        self.id = ""
        self.up = False
        self.on_start = None
        self.http = HttpServer(self.handle)

    async def open(self):
        await self.http.open()
        self.begin_life()
        asyncio.get_running_loop().create_task(self.beat())
        asyncio.get_running_loop().create_task(self.watch_lease())

    def begin_life(self):
        """Begins a new life: a new id, nothing runs, no fencing token was seen."""
        self.lives += 1
        self.id = "i-%02d%02d" % (self.lives, self.number)
        self.up = True
        self.clock_began = time.monotonic() - 1000.0
        self.fence = 0
        self.lease = 0
        self.running = {}
        self.highest = {}
        self.ended = []
        self.count = 0
        self.sequence = 0
        self.last_answer = time.monotonic()
        self.news = asyncio.Event()
        self.entry_due = time.monotonic()
        self.world.record.add("%s begins its life on %s" % (self.id, self.machine))

    def die(self, cause):
        """Ends a life: what runs on it dies, and nothing is said of it."""
        self.up = False
        self.last_answer_of_life = self.last_answer
        for task, run in self.running.items():
            run.timer.cancel()
            self.world.ran(self, task, run, "gone")
        self.running = {}
        self.world.record.add("%s ends: %s" % (self.id, cause))

    async def beat(self):
        """Writes the entry of the life; the platform removes it after three silent heartbeats."""
        written = {}
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            if self.up and now >= self.entry_due:
                self.entry_due = now + HEARTBEAT_S
                self.sequence += 1
                written[self.id] = now
                entry = {
                    "service": SERVICE,
                    "address": self.http.address,
                    "zone": self.zone,
                    "version": "v1",
                    "slots": 8,
                    "state": "ready",
                    "coldRemainingMs": 0,
                    "capacity": {"cpu": self.cores * 1000, "memMb": 64000, "gpus": 0},
                    "labels": [self.kind, self.rack],
                    "clockMs": self.clock(),
                    "sequence": self.sequence,
                }
                await self.world.store.put("servers/" + self.id, entry)
            for name in [name for name, at in written.items() if now >= at + 3 * HEARTBEAT_S]:
                del written[name]
                await self.world.store.remove("servers/" + name)

    def clock(self):
        return int((time.monotonic() - self.clock_began) * 1000)

    async def watch_lease(self):
        while True:
            await asyncio.sleep(0.02)
            if self.up and self.running and self.clock() > self.lease:
                for task in list(self.running):
                    self.end(task, "lapsed")

    def end(self, task, how):
        run = self.running.pop(task)
        run.timer.cancel()
        self.count += 1
        self.highest[task] = max(self.highest.get(task, 0), run.number)
        self.ended.append([self.count, task, run.number, how, ""])
        self.world.ran(self, task, run, how)
        self.news.set()

    def work_ended(self, life, task, number):
        run = self.running.get(task)
        if self.id == life and run and run.number == number and not run.stopping:
            self.end(task, "done")

    def stop_ended(self, life, task, number):
        run = self.running.get(task)
        if self.id == life and run and run.number == number:
            self.end(task, "stopped")

    def extend(self, call):
        if "deadlineMs" in call:
            most = self.clock() + HOLD_MAX_MS
            self.lease = max(self.lease, min(int(call["deadlineMs"]), most))

    async def handle(self, method, path, parameters, headers, body):
        if not self.up:
            if path == "/run-start":
                call = json.loads(body)
                self.world.record.add(
                    "%s is dark: the start of %s run %d gets no answer" % (self.id, call["task"], call["run"])
                )
            raise Silent()
        life = self.id
        answer = await self.answer(path, headers, json.loads(body) if body else {})
        if not self.up or self.id != life:
            raise Silent()
        return answer

    async def answer(self, path, headers, call):
        expected = headers.get("expected-instance", "")
        if expected and expected != self.id:
            return Answer(421, {})
        if path in ("/run-start", "/run-stop", "/hold", "/pace"):
            fence = int(call.get("fencingToken", 0))
            if fence < self.fence:
                return Answer(409, {"clockMs": self.clock(), "reason": "fence"})
            self.fence = fence
        if path == "/run-start":
            return self.start(call)
        if path == "/run-stop":
            return self.stop(call)
        if path == "/pace":
            return Answer(200, {"clockMs": self.clock()})
        if path == "/hold":
            return await self.hold(call)
        return Answer(200 if path == "/health" else 404, {}, [("Instance-Id", self.id)])

    def start(self, call):
        task, number = call["task"], int(call["run"])
        if self.on_start is not None:
            self.on_start(self, task, number)
        clock = self.clock()
        present = self.running.get(task)
        if present and present.number == number:
            return Answer(200, {"clockMs": clock})
        if clock > int(call["deadlineMs"]):
            return Answer(409, {"clockMs": clock, "reason": "late"})
        self.extend(call)
        if number <= self.highest.get(task, 0) or (present and number < present.number):
            return Answer(409, {"clockMs": clock, "reason": "old"})
        cpu = self.world.cpu_of(task)
        used = sum(self.world.cpu_of(name) for name in self.running)
        if used + cpu > self.cores * 1000:
            return Answer(409, {"clockMs": clock, "reason": "room"})
        text = call["specification"]
        length = 1e9 if text == "lasts" else float(text.split("=")[1])
        run = Run(number, length, time.monotonic())
        loop = asyncio.get_running_loop()
        run.timer = loop.call_later(length / 1000, self.work_ended, self.id, task, number)
        self.running[task] = run
        self.world.started(self, task, number)
        return Answer(200, {"clockMs": clock})

    def stop(self, call):
        task, number = call["task"], int(call["run"])
        self.highest[task] = max(self.highest.get(task, 0), number)
        run = self.running.get(task)
        if run and run.number <= number and not run.stopping:
            run.stopping = True
            loop = asyncio.get_running_loop()
            loop.call_later(STOP_MS / 2000, self.stop_ended, self.id, task, run.number)
        return Answer(200, {"clockMs": self.clock()})

    async def hold(self, call):
        seen = int(call.get("lastSeen", 0))
        self.ended = [end for end in self.ended if end[0] > seen]
        self.extend(call)
        until = time.monotonic() + min(int(call.get("waitMs", 0)), 2000) / 1000
        while not self.ended and time.monotonic() < until and self.up:
            self.news.clear()
            try:
                await asyncio.wait_for(self.news.wait(), max(0.001, until - time.monotonic()))
            except asyncio.TimeoutError:
                break
        now = time.monotonic()
        running = []
        for task, run in self.running.items():
            percent = int(min(99, 100 * (now - run.began) * 1000 / run.length))
            running.append([task, run.number, "", percent, self.world.cpu_of(task)])
        body = {"clockMs": self.clock(), "running": running, "ended": self.ended[:500]}
        self.last_answer = time.monotonic()
        return Answer(200, body)


class Cloud:
    """The machine service."""

    def __init__(self, world):
        self.world = world
        self.state = {}
        self.wave_done = {}
        self.on_upkeep = None
        self.orders = []
        self.http = HttpServer(self.handle)

    async def handle(self, method, path, parameters, headers, body):
        if method == "GET" and path == "/machines":
            await asyncio.sleep(CLOUD_ANSWER_S)
            rows = []
            for minion in self.world.minions:
                state = self.state.get(minion.machine, "up")
                if state == "up" and not minion.up:
                    state = "down"
                rows.append(
                    {
                        "machine": minion.machine,
                        "pool": SERVICE,
                        "state": state,
                        "zone": minion.zone,
                        "labels": [minion.kind, minion.rack],
                        "capacity": {"cpu": minion.cores * 1000, "memMb": 64000, "gpus": 0},
                        "id": minion.id if state == "up" else "",
                    }
                )
            return Answer(200, {"machines": rows, "nextPageToken": None})
        if method == "POST" and path == "/machine-upkeep":
            return await self.upkeep(headers, json.loads(body))
        return Answer(404, {})

    def down_for_upkeep(self, wave):
        """Machines that are down for their own upkeep of this wave."""
        return sorted(name for name, state in self.state.items() if state == "upkeep")

    async def upkeep(self, headers, call):
        name, wave = call["machine"], int(call["wave"])
        holder, fence = headers.get("lease-holder", ""), int(headers.get("fencing-token", "0"))
        if self.on_upkeep is not None:
            self.on_upkeep(name, wave, holder, fence)
        order = {
            "at": self.world.record.now(),
            "machine": name,
            "wave": wave,
            "holder": holder,
            "fence": fence,
            "down": self.down_for_upkeep(wave),
        }
        self.orders.append(order)
        minion = next((minion for minion in self.world.minions if minion.machine == name), None)
        status, reason = 200, ""
        if minion is None:
            status = 400
        elif self.state.get(name, "up") == "upkeep" or (name, wave) in self.wave_done:
            reason = "already done"
        elif not minion.up:
            status, reason = 409, "busy"
        else:
            order["begins"] = True
            self.wave_done[name, wave] = True
            self.state[name] = "upkeep"
            minion.die("upkeep of wave %d" % wave)
            asyncio.get_running_loop().create_task(self.come_back(minion))
        self.world.record.add(
            "cloud: upkeep of %s for wave %d, holder %s, fencing token %d, down already: %s -> %d %s"
            % (name, wave, holder, fence, " ".join(order["down"]) or "none", status, reason)
        )
        await asyncio.sleep(CLOUD_ANSWER_S)
        return Answer(status, {"reason": reason} if status == 409 else {})

    async def come_back(self, minion):
        await asyncio.sleep(UPKEEP_S)
        self.state[minion.machine] = "up"
        minion.begin_life()


class Box:
    """One machine of the system, with one process of the role of the deploy file."""

    def __init__(self, world, number):
        self.world = world
        self.name = "front-%d" % number
        self.process = None
        ports = free_ports(4)
        self.callers, self.ready, self.inside, self.metrics = ports
        self.settings = os.path.join(world.folder, self.name + ".conf")
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(
                "MAGPIE_NAME=%s\nMAGPIE_HALL=mechelen-a\nMAGPIE_SHARE=0.25\nMAGPIE_LINK=1000.0\n"
                "MAGPIE_CALLERS=127.0.0.1:%d\nMAGPIE_READY=127.0.0.1:%d\nMAGPIE_INSIDE=127.0.0.1\n"
                "MAGPIE_PORTS=%d,%d\nMAGPIE_METRICS=127.0.0.1:%d\nMAGPIE_STORE=%s\nMAGPIE_ADVISOR=\n"
                "MAGPIE_MACHINES=%s\nMAGPIE_LEASE_MS=%d\nMAGPIE_STOP_MS=%d\nMAGPIE_PACE_MS=100\n"
                "MAGPIE_DRAIN_MS=2000\nMAGPIE_RETENTION=120\n"
                % (
                    self.name,
                    self.callers,
                    self.ready,
                    self.inside,
                    self.inside,
                    self.metrics,
                    world.store.http.address,
                    world.cloud.http.address,
                    HOLD_MAX_MS,
                    STOP_MS,
                )
            )

    def start(self):
        """Starts the process as the deploy file does, with the settings file in a temporary folder."""
        program = os.path.join(ROOT, "target", "release", "magpie-box")
        log = open(os.path.join(self.world.folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen(
            [program, "--settings", self.settings],
            cwd=ROOT,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
            env={"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", "/")},
        )
        log.close()
        self.world.record.add("%s starts" % self.name)

    def signal(self, number):
        self.world.record.add("%s gets %s" % (self.name, signal.Signals(number).name))
        self.process.send_signal(number)

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


def free_ports(count):
    """Ports that are free on the loopback address."""
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind(("127.0.0.1", 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


class World:
    """A small deployment on loopback."""

    def __init__(self, boxes=6, minions=7, cores=16, kinds=None):
        self.record = Record()
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.store = Store()
        self.cloud = Cloud(self)
        kinds = kinds or {}
        self.minions = [
            Minion(self, number, cores, kinds.get(number, "a")) for number in range(1, minions + 1)
        ]
        self.box_count = boxes
        self.boxes = []
        self.jobs = {}
        self.runs = []

    def cpu_of(self, task):
        job, _, step, _ = task.split(".")
        return self.jobs.get(job, {"steps": [{"cpu": 1000}] * 99})["steps"][int(step)]["cpu"]

    def started(self, minion, task, number):
        self.runs.append({"task": task, "run": number, "minion": minion.id, "end": None})
        self.record.add("%s starts %s run %d" % (minion.id, task, number))

    def ran(self, minion, task, run, how):
        for row in self.runs:
            if (row["task"], row["run"], row["minion"]) == (task, run.number, minion.id):
                row["end"] = how
        self.record.add("%s ends %s run %d: %s" % (minion.id, task, run.number, how))

    async def open(self):
        await self.store.open()
        await self.cloud.http.open()
        for minion in self.minions:
            await minion.open()
        self.boxes = [Box(self, number) for number in range(1, self.box_count + 1)]
        await self.store.put("op/config", self.config(1))
        for box in self.boxes:
            box.start()

    def config(self, version):
        route = {
            "name": "r-1",
            "host": HOST,
            "pathPrefix": "/q/",
            "kind": "unsafe",
            "timeoutMs": 3000,
            "targetLatencyMs": 1000,
            "priority": 2,
            "service": SERVICE,
            "retryAttempts": 4,
            "stretch": 2.0,
        }
        service = {
            "name": SERVICE,
            "healthCheckPath": "/health",
            "maxConnections": 64,
            "protocol": "h1",
            "tls": False,
            "rejectsOverload": True,
            "spare": False,
        }
        limits = {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 262144,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        }
        return {"version": version, "routes": [route], "services": [service], "limits": limits}

    async def request(self, box, method, path, body=None, timeout=4.0):
        """One request of a client on a connection of its own. None: no answer."""

        async def send():
            reader, writer = await asyncio.open_connection("127.0.0.1", box.callers)
            try:
                payload = b"" if body is None else json.dumps(body).encode()
                head = "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n" % (
                    method,
                    path,
                    HOST,
                )
                head += "Deadline-Ms: 3000\r\nContent-Length: %d\r\n\r\n" % len(payload)
                writer.write(head.encode() + payload)
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                status = int(head.split(" ", 2)[1])
                length = 0
                for line in head.split("\r\n"):
                    if line.lower().startswith("content-length:"):
                        length = int(line.split(":")[1])
                text = (await reader.readexactly(length)).decode() if length else ""
                return status, text
            finally:
                writer.transport.abort()

        try:
            return await asyncio.wait_for(send(), timeout)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return None

    async def any_box(self, method, path, body=None, tries=40):
        """A client's request with retries at other boxes, until one of them decides on it."""
        for attempt in range(tries):
            box = self.boxes[attempt % len(self.boxes)]
            answer = await self.request(box, method, path, body)
            self.record.add(
                "client: %s %s to %s -> %s"
                % (method, path, box.name, answer if answer is None else "%d %s" % answer)
            )
            if answer is not None and answer[0] not in (429, 502, 503, 504):
                return answer
            await asyncio.sleep(0.5)
        return None

    async def submit(self, job, steps, text):
        self.jobs[job] = {"steps": steps}
        body = {"specification": text, "steps": steps}
        return await self.any_box("POST", "/q/" + job, body)

    async def state(self, job):
        answer = await self.any_box("GET", "/q/" + job)
        if answer is None:
            return None
        return json.loads(answer[1]).get("state", "") if answer[0] == 200 else str(answer[0])

    async def ready(self, timeout=20.0):
        """Waits until a job has run through, so that the system is known to work."""
        until = time.monotonic() + timeout
        while time.monotonic() < until:
            answers = [await self.request(box, "GET", "/q/") for box in self.boxes]
            if all(answer is not None and answer[0] == 200 for answer in answers):
                return True
            await asyncio.sleep(0.25)
        return False

    def close(self, record_path):
        for box in self.boxes:
            box.end()
        self.record.write(record_path)
        keep = os.environ.get("KEEP", "")
        if keep:
            print("logs of the boxes: " + self.folder)
            return
        for name in os.listdir(self.folder):
            os.unlink(os.path.join(self.folder, name))
        os.rmdir(self.folder)


HELD, BROKEN, NOT_RUN = 0, 1, 2


def main(case, folder, limit_s=115, **sizes):
    """Runs a case and exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""

    async def run():
        world = World(**sizes)
        code = NOT_RUN
        try:
            await world.open()
            trouble = os.environ.get("TROUBLE", "1") != "0"
            code = await asyncio.wait_for(case(world, trouble), limit_s)
        except asyncio.TimeoutError:
            world.record.add("the case took too long")
        except Exception as error:  # noqa: BLE001
            world.record.add("the case could not run: %r" % error)
        world.record.add({HELD: "held", BROKEN: "broken", NOT_RUN: "could not run"}[code])
        world.close(os.path.join(folder, "record.txt"))
        print(world.record.lines[-1].split("  ")[-1])
        sys.stdout.flush()
        os._exit(code)

    asyncio.run(run())
