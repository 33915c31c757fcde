"""Stand-ins of the platform of DEPLOY.md and PROTOCOL.md on loopback addresses:
the store, executors, clients, and the settings of entry instances.

Everything runs in one event loop. `Record` notes what was sent, answered and
run, and finds broken rules from that alone."""

import asyncio
import base64
import json
import os
import random
import re
import signal
import socket
import struct
import sys
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))

# Figures of the sites, in seconds.
MAX_HOLD = 1.0
STOP_TIMEOUT = 0.05
CANCEL = 3.0
RESEND = 1.3
HEARTBEAT = 1.5


def free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


class Record:
    """Notes events with their time, and broken rules."""

    def __init__(self, path=None):
        self.began = time.monotonic()
        self.file = open(path, "w", encoding="utf-8") if path else None
        self.broken = []

    def now(self):
        return time.monotonic() - self.began

    def note(self, text):
        if self.file:
            self.file.write(f"{self.now():8.3f}  {text}\n")

    def breaks(self, rule, text):
        self.broken.append((rule, text))
        self.note(f"BROKEN {rule}: {text}")

    def close(self):
        if self.file:
            self.file.close()


# --- HTTP ---

DROP = object()


class HttpService:
    """HTTP/1.1 server; `handle` returns a status and a body, or DROP to close
    the connection without a response."""

    def __init__(self, ip, port=0):
        self.ip = ip
        self.port = port or free_port(ip)
        self.server = None
        self.writers = set()

    @property
    def address(self):
        return f"{self.ip}:{self.port}"

    async def listen(self):
        self.server = await asyncio.start_server(
            self.serve, self.ip, self.port, backlog=256)

    async def shut(self):
        """Closes the port and resets all connections."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
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
                body = await reader.readexactly(
                    int(headers.get("content-length", 0)))
                url = urlsplit(target)
                query = {key: values[0]
                         for key, values in parse_qs(url.query).items()}
                answer = await self.handle(method, url.path, query, headers,
                                           body)
                if answer is DROP:
                    writer.transport.abort()
                    return
                status, content = answer
                writer.write(
                    f"HTTP/1.1 {status} S\r\ncontent-type: application/json"
                    f"\r\ncontent-length: {len(content)}\r\n\r\n".encode()
                    + content)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, method, path, query, headers, body):
        raise NotImplementedError


async def call(address, method, path, headers=None, body=b"", timeout=5.0):
    """Returns the status and the body, or (None, cause) without a response."""
    ip, port = address.split(":")
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(ip, int(port))
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
        lines.append(f"content-length: {len(body)}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await writer.drain()
        head = await reader.readuntil(b"\r\n\r\n")
        text = head.decode("latin-1")
        status = int(text.split(" ", 2)[1])
        length = re.search(r"content-length:\s*(\d+)", text, re.I)
        content = await reader.readexactly(int(length[1]) if length else 0)
        return status, content

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except asyncio.TimeoutError:
        return None, b"no response"
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None, b"broken connection"
    finally:
        if writer:
            writer.transport.abort()


# --- the store ---

class Store(HttpService):
    """Keyed topics with one partition each."""

    def __init__(self, ip="127.0.0.1"):
        super().__init__(ip)
        self.topics = {}
        self.changed = asyncio.Event()

    async def put(self, topic, key, value):
        await self.append(topic, [(key.encode(), value)])

    async def append(self, topic, records):
        log = self.topics.setdefault(topic, [])
        first = len(log)
        log.extend(records)
        self.changed.set()
        self.changed = asyncio.Event()
        return first, len(log)

    async def handle(self, method, path, query, headers, body):
        await asyncio.sleep(0.004)
        topic = query.get("topic", "")
        if path == "/api/log-append":
            if topic in ("keyed.op", "keyed.servers"):
                return 403, b"{}"
            records = []
            while body:
                length = struct.unpack(">I", body[:4])[0]
                content, body = body[4:4 + length], body[4 + length:]
                records.append((content[1:1 + content[0]],
                                content[1 + content[0]:]))
            first, end = await self.append(topic, records)
            return 200, json.dumps({"offset": first,
                                    "end_offset": end}).encode()
        if path == "/api/log-newest":
            log = self.topics.get(topic, [])
            newest = {}
            for offset, (key, value) in enumerate(log):
                newest[key] = (value, offset)
            items = [{"key": key.decode(), "offset": offset,
                      "value": base64.b64encode(value).decode()}
                     for key, (value, offset) in sorted(newest.items())
                     if value]
            return 200, json.dumps({"items": items, "has_more": False,
                                    "end_offset": len(log)}).encode()
        if path == "/api/log-read":
            start = int(query["from"])
            until = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
            while len(self.topics.get(topic, [])) <= start:
                left = until - time.monotonic()
                if left <= 0:
                    break
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    break
            log = self.topics.get(topic, [])
            out = struct.pack(">QQ", len(log), 0)
            for key, value in log[start:]:
                content = bytes([len(key)]) + key + value
                out += struct.pack(">I", len(content)) + content
            return 200, out
        return 404, b"{}"


# --- executors ---

class Run:
    def __init__(self, task, execution, work, now):
        self.task = task
        self.execution = execution
        self.work = work
        self.began = now
        self.timer = None


class Executor(HttpService):
    """One executor; `crash` and `restart` keep its id and its address."""

    def __init__(self, platform, name, ip, zone, service, labels,
                 cpu=64000, mem_mb=262144, guards=True):
        super().__init__(ip)
        self.platform = platform
        self.name = name
        self.zone = zone
        self.service = service
        self.labels = labels
        self.cpu = cpu
        self.mem_mb = mem_mb
        self.guards = guards
        self.up = False
        self.heart = None
        self.expiry = None
        self.on_order = None
        self.state = "ready"

    def reset(self):
        self.born_at = time.monotonic()
        self.born = int(time.time() * 1000)
        self.token = 0
        self.runs = {}
        self.finished = []
        self.ended = {}
        self.ends = 0
        self.lease_until = 0
        self.lease_timer = None
        self.sequence = 0
        self.news = asyncio.Event()

    def clock(self):
        return int((time.monotonic() - self.born_at) * 1000)

    def entry(self):
        self.sequence += 1
        return {"service": self.service, "address": self.address,
                "zone": self.zone, "version": "v1", "slots": 8,
                "state": self.state, "cold_remaining_ms": 0,
                "capacity": {"cpu": self.cpu, "mem_mb": self.mem_mb,
                             "gpus": 0},
                "labels": self.labels, "clock_ms": self.clock(),
                "born": self.born, "sequence": self.sequence}

    async def register(self):
        self.beat_at = time.monotonic()
        await self.platform.store.put("keyed.servers", self.name,
                                      json.dumps(self.entry()).encode())

    async def beat(self):
        while True:
            await self.register()
            await asyncio.sleep(HEARTBEAT)

    async def start(self):
        """Registers, then serves, then registers at each heartbeat."""
        if self.expiry:
            self.expiry.cancel()
        self.reset()
        await self.register()
        await self.listen()
        self.up = True
        self.heart = asyncio.ensure_future(self.beat())
        self.platform.record.note(f"{self.name} starts, labels {self.labels}, "
                                  f"cpu {self.cpu}")

    async def crash(self):
        self.up = False
        if self.heart:
            self.heart.cancel()
        for run in self.runs.values():
            run.timer.cancel()
        if self.lease_timer:
            self.lease_timer.cancel()
        lost = [f"{run.task}/{run.execution}" for run in self.runs.values()]
        self.runs = {}
        await self.shut()
        self.platform.record.note(f"{self.name} crashes with {lost}")
        born = self.born

        async def expire():
            await asyncio.sleep(3 * HEARTBEAT - (time.monotonic() -
                                                 self.beat_at))
            if not self.up and self.born == born:
                await self.platform.store.put("keyed.servers", self.name, b"")
                self.platform.record.note(f"the entry of {self.name} expires")
        self.expiry = asyncio.ensure_future(expire())

    def answer(self, status, **fields):
        return status, json.dumps({"clock_ms": self.clock(), "born": self.born,
                                   **fields}).encode()

    async def handle(self, method, path, query, headers, body):
        if not self.up:
            return DROP
        if headers.get("goldcrestgate-target-instance") != self.name:
            return 421, b"{}"
        request = json.loads(body)
        if self.on_order:
            decided = await self.on_order(self, path, request)
            if decided is not None:
                return decided
        return await self.carry_out(path, request)

    async def carry_out(self, path, request):
        if request.get("fencing_token", 0) < self.token:
            return self.answer(409, reason="fence")
        self.token = request.get("fencing_token", 0)
        if path == "/api/run-start":
            return self.run_start(request)
        if path == "/api/run-stop":
            task, execution = request["task"], request["execution"]
            self.ended[task] = max(self.ended.get(task, 0), execution)
            run = self.runs.get(task)
            if run and run.execution <= execution:
                self.end(run, "stopped")
            return self.answer(200)
        if path == "/api/hold":
            return await self.hold(request)
        return 404, b"{}"

    def renew(self, request):
        if "deadline_ms" not in request:
            return
        until = min(request["deadline_ms"],
                    self.clock() + int(MAX_HOLD * 1000))
        if until > self.lease_until:
            self.lease_until = until
            if self.lease_timer:
                self.lease_timer.cancel()
            self.lease_timer = asyncio.get_event_loop().call_later(
                max(0, (until - self.clock()) / 1000), self.lapse)

    def lapse(self):
        for run in list(self.runs.values()):
            self.end(run, "lapsed")

    def used_cpu(self):
        return sum(self.platform.jobs.cpu_of(task) for task in self.runs)

    def run_start(self, request):
        task, execution = request["task"], request["execution"]
        present = self.runs.get(task)
        if present and present.execution == execution:
            self.renew(request)
            return self.answer(200)
        if request["deadline_ms"] <= self.clock():
            return self.answer(409, reason="late")
        self.renew(request)
        if self.ended.get(task, 0) >= execution:
            return self.answer(409, reason="old")
        cpu = self.platform.jobs.cpu_of(task)
        if self.guards and self.used_cpu() + cpu > self.cpu:
            return self.answer(409, reason="room")
        work = self.platform.jobs.began(self, task, execution,
                                        request["task_spec"])
        run = Run(task, execution, work, time.monotonic())
        self.runs[task] = run
        run.timer = asyncio.get_event_loop().call_later(
            work, lambda: self.end(run, "done"))
        return self.answer(200)

    def end(self, run, how):
        if self.runs.get(run.task) is not run:
            return
        del self.runs[run.task]
        run.timer.cancel()
        self.ends += 1
        self.ended[run.task] = max(self.ended.get(run.task, 0), run.execution)
        self.finished.append([self.ends, run.task, run.execution, how, ""])
        self.platform.jobs.has_ended(self, run, how)
        self.news.set()
        self.news = asyncio.Event()

    async def hold(self, request):
        self.renew(request)
        seen = request.get("last_seen", 0)
        self.finished = [row for row in self.finished if row[0] > seen]
        wait = min(request.get("wait_ms", 0), 2000) / 1000
        if wait and not self.finished:
            try:
                await asyncio.wait_for(self.news.wait(), wait)
            except asyncio.TimeoutError:
                pass
        running = [[run.task, run.execution, "",
                    min(99, int(100 * (time.monotonic() - run.began) /
                                run.work)), run.work and 0]
                   for run in self.runs.values()]
        return self.answer(200, running=running, finished=self.finished[:500])


# --- jobs ---

class Job:
    def __init__(self, ident, route, body):
        self.ident = ident
        self.route = route
        self.body = body
        self.answers = []
        self.cancel_acknowledged = None
        self.done = set()
        self.starts = 0

    def tasks(self):
        return {(step, index)
                for step, phase in enumerate(self.body["phases"])
                for index in range(phase["count"])}


class Jobs:
    """All jobs that clients have sent, and what executors did with them."""

    def __init__(self, platform):
        self.platform = platform
        self.record = platform.record
        self.all = {}
        self.late_starts_allowed = False

    def find(self, task):
        ident, _, step, index = task.split(".")
        return self.all.get(ident), int(step), int(index)

    def cpu_of(self, task):
        job, step, _ = self.find(task)
        return job.body["phases"][step].get("cpu", 0) if job else 0

    def began(self, executor, task, execution, spec):
        job, step, index = self.find(task)
        record = self.record
        record.note(f"{executor.name} starts {task}/{execution}")
        if job is None or job.body["task_spec"] != spec:
            record.breaks("UNASKED", f"{executor.name} starts {task}/"
                          f"{execution}, which no client sent")
            return 1.0
        job.starts += 1
        phase = job.body["phases"][step]
        for earlier in phase.get("after", []):
            count = job.body["phases"][earlier]["count"]
            missing = [i for i in range(count) if (earlier, i) not in job.done]
            if missing:
                record.breaks("ORDER", f"{executor.name} starts {task}/"
                              f"{execution} before {missing} of step {earlier}"
                              " have ended done")
        label = phase.get("requirements")
        if executor.service != job.route["service"] or \
                (label and label not in executor.labels):
            record.breaks("ROUTE", f"{executor.name} of {executor.service} "
                          f"{executor.labels} starts {task}/{execution}, which "
                          f"requires {label} of {job.route['service']}")
        limit = phase.get("anti_affinity")
        beside = sum(1 for other in executor.runs
                     if other.rsplit(".", 1)[0] == task.rsplit(".", 1)[0])
        if limit and beside + 1 > limit:
            record.breaks("ROUTE", f"{executor.name} starts {task}/{execution}"
                          f" beside {beside} of its step, limit {limit}")
        if executor.used_cpu() + phase.get("cpu", 0) > executor.cpu:
            record.breaks("LIMIT", f"{executor.name} starts {task}/{execution}"
                          f" over its capacity of {executor.cpu}")
        for other in self.platform.executors:
            if other.up and task in other.runs:
                record.breaks("TWICE", f"{executor.name} starts {task}/"
                              f"{execution} while {other.name} runs "
                              f"{task}/{other.runs[task].execution}")
        cancelled = job.cancel_acknowledged
        if cancelled is not None and record.now() > cancelled + CANCEL:
            record.breaks("UNASKED", f"{executor.name} starts {task}/"
                          f"{execution} {record.now() - cancelled:.2f} s after"
                          " the cancel was acknowledged")
        return json.loads(spec)["work_s"][step]

    def has_ended(self, executor, run, how):
        job, step, index = self.find(run.task)
        self.record.note(f"{executor.name} ends {run.task}/{run.execution} "
                         f"{how}")
        if job is None:
            return
        if how == "done":
            job.done.add((step, index))
        cancelled = job.cancel_acknowledged
        late = self.record.now() - (cancelled or 0) - CANCEL - STOP_TIMEOUT
        if cancelled is not None and late > 0:
            self.record.breaks("UNASKED", f"{run.task}/{run.execution} on "
                               f"{executor.name} ran until {late:.2f} s after "
                               "it had to be gone, as its job was cancelled")

    def answered(self, job, status, content):
        job.answers.append(status)
        if status == 200 and b"completed" in content and \
                job.tasks() - job.done:
            self.record.breaks("MIXED", f"{job.ident} is shown as completed "
                               f"without {sorted(job.tasks() - job.done)[:4]}")

    def check_at_end(self):
        for job in self.all.values():
            rejected = job.answers and all(status in (429, 503, 404)
                                           for status in job.answers)
            if rejected and job.starts:
                self.record.breaks("REFUSED", f"{job.ident} was rejected by "
                                   f"{job.answers} and started {job.starts} "
                                   "times")


# --- entry instances ---

class Entry:
    """A process of the entry role, with the command and the template of the
    deploy file."""

    def __init__(self, platform, number, zone, seeds):
        self.platform = platform
        self.zone = zone
        self.ip = f"127.{20 + int(platform.net)}.{zone[1]}.{10 + number}"
        self.name = f"edge-{zone[0]}-{number}"
        self.ports = {name: free_port(self.ip)
                      for name in ("frontend", "ready", "control", "metrics")}
        self.seeds = seeds
        self.process = None
        self.starts = 0

    @property
    def frontend(self):
        return f"{self.ip}:{self.ports['frontend']}"

    @property
    def control(self):
        return f"{self.ip}:{self.ports['control']}"

    def settings(self):
        values = {
            "node_name": self.name, "zone": self.zone[0], "ip": self.ip,
            "limits.cpu_share": "0.25", "seed_nodes": ",".join(self.seeds),
            "bind_addresses.frontend": self.frontend,
            "bind_addresses.ready": f"{self.ip}:{self.ports['ready']}",
            "bind_addresses.control_plane": self.control,
            "internal_ports.0": str(self.ports["metrics"]),
            "platform.address": self.platform.store.address,
            "bounds.config_apply_ms": "2000", "bounds.max_hold_ms": "1000",
            "bounds.stop_timeout_ms": "50", "bounds.remote_factor": "2",
            "bounds.resend_ms": "1300"}
        with open(os.path.join(ROOT, "deploy", "entry.json"),
                  encoding="utf-8") as file:
            text = file.read()
        zones = ",".join(zone for zone, _ in self.platform.zones)
        text = text.replace("{{#zones}}{{@}}{{,}}{{/zones}}", zones)
        return re.sub(r"\{\{([\w.]+)\}\}", lambda m: values[m[1]], text)

    def start(self):
        self.starts += 1
        path = os.path.join(self.platform.folder, self.name + ".json")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings())
        log = open(os.path.join(self.platform.folder,
                                f"{self.name}-{self.starts}.log"), "wb")
        program = self.platform.program
        environment = {"PATH": os.environ.get("PATH", ""),
                       "HOME": os.environ.get("HOME", ""),
                       "LANG": os.environ.get("LANG", "C"),
                       "GOLDCRESTGATE_SETTINGS": path}
        self.pid = os.posix_spawn(
            program, [program], environment,
            file_actions=[(os.POSIX_SPAWN_DUP2, log.fileno(), 1),
                          (os.POSIX_SPAWN_DUP2, log.fileno(), 2)])
        log.close()
        self.process = self.pid
        self.platform.record.note(f"{self.name} starts")

    def ended(self):
        """Whether the process has ended by itself."""
        if self.process is None:
            return False
        pid, _ = os.waitpid(self.process, os.WNOHANG)
        if pid:
            self.process = None
        return bool(pid)

    def send(self, number):
        if self.process is not None:
            os.kill(self.process, number)

    def kill(self):
        if self.process is not None:
            os.kill(self.process, signal.SIGKILL)
            os.waitpid(self.process, 0)
            self.process = None
            self.platform.record.note(f"{self.name} is killed")

    async def ready(self):
        status, _ = await call(f"{self.ip}:{self.ports['ready']}", "GET",
                               "/api/readyz", timeout=1.0)
        return status == 200

    async def metric(self, name):
        _, text = await call(f"{self.ip}:{self.ports['metrics']}", "GET",
                             "/metrics", timeout=1.0)
        found = re.search(rf"^goldcrestgate_{name} (\S+)$",
                          text.decode(errors="replace"), re.M)
        return float(found[1]) if found else None


class Platform:
    def __init__(self, record, zones=("za", "zb", "zc"), entries=2, net=None):
        self.record = record
        self.net = os.getpid() % 200 if net is None else net
        self.zones = [(zone, index + 1) for index, zone in enumerate(zones)]
        self.folder = tempfile.mkdtemp(prefix="goldcrestgate-review-")
        self.program = os.path.join(ROOT, self.command())
        self.store = Store()
        self.jobs = Jobs(self)
        self.executors = []
        self.entries = []
        self.routes = []
        self.services = []
        self.version = 0
        seeds = []
        for zone in self.zones:
            for number in range(1, entries + 1):
                entry = Entry(self, number, zone, seeds)
                self.entries.append(entry)
                if len(seeds) < 3:
                    seeds.append(entry.control)

    @staticmethod
    def command():
        with open(os.path.join(ROOT, "deploy", "system.toml"),
                  encoding="utf-8") as file:
            return re.search(r'^run = "([^"]+)"', file.read(), re.M)[1]

    def add_route(self, name, service, timeout_ms=1500, target_ms=60,
                  priority=0, attempts=3):
        route = {"name": name, "hostname": f"{name}.example",
                 "path_prefix": f"/{name}/", "route_type": "non_idempotent",
                 "timeout_ms": timeout_ms, "target_latency_ms": target_ms,
                 "priority": priority, "service": service,
                 "max_attempts": attempts, "stretch_factor": 1.6}
        self.routes.append(route)
        return route

    def add_service(self, name, constraints=True):
        self.services.append({"name": name, "health_path": "/healthz",
                              "max_connections": 64, "protocol": "h1",
                              "tls": False, "constraints": constraints,
                              "standby": False})

    async def publish(self):
        self.version += 3
        document = {"version": self.version, "routes": self.routes,
                    "services": self.services,
                    "limits": {"max_header_bytes": 16384,
                               "max_body_bytes": 262144,
                               "header_timeout_ms": 3000,
                               "idle_timeout_ms": 15000}}
        await self.store.put("keyed.op", "config",
                             json.dumps(document).encode())

    async def start(self):
        await self.store.listen()
        await self.publish()
        for executor in self.executors:
            await executor.start()
        for entry in self.entries:
            entry.start()
        for _ in range(200):
            states = [await entry.ready() for entry in self.entries]
            if all(states):
                break
            await asyncio.sleep(0.1)
        else:
            raise TimeoutError("the entry instances are not ready")
        await asyncio.sleep(3.0)

    async def stop(self):
        for entry in self.entries:
            entry.kill()
        for executor in self.executors:
            if executor.expiry:
                executor.expiry.cancel()
            if executor.up:
                executor.up = False
                executor.heart.cancel()
                await executor.shut()
        await self.store.shut()

    def remove_folder(self):
        for name in os.listdir(self.folder):
            os.remove(os.path.join(self.folder, name))
        os.rmdir(self.folder)

    def new_job(self, route, phases, work_s, best_effort=True):
        ident = f"{random.getrandbits(64):016x}"
        spec = json.dumps({"job": ident, "work_s": work_s})
        body = {"task_spec": spec, "phases": phases}
        if best_effort:
            body["best_effort"] = True
        job = Job(ident, route, body)
        self.jobs.all[ident] = job
        return job

    async def post(self, job, entry, wait_s):
        """One attempt of a client."""
        self.record.note(f"client sends {job.ident} to {entry.name}")
        status, content = await call(
            entry.frontend, "POST", job.route["path_prefix"] + job.ident,
            {"host": job.route["hostname"], "content-type": "application/json",
             "goldcrestgate-deadline-ms": int(wait_s * 1000)},
            json.dumps(job.body).encode(), wait_s)
        self.record.note(f"client gets {status} for {job.ident}: "
                         f"{content.decode(errors='replace')[:80]}")
        self.jobs.answered(job, status, content)
        return status, content

    async def submit(self, job, wait_s=1.5, attempts=3, entries=None):
        """A client with the retries of the page; returns the last status."""
        for attempt in range(attempts):
            entry = random.choice(entries or self.entries)
            status, content = await self.post(job, entry, wait_s)
            if status not in (None, 502, 504):
                return status, content
            if attempt + 1 < attempts:
                await asyncio.sleep(RESEND)
        return status, content

    async def cancel(self, job, entry):
        status, content = await call(
            entry.frontend, "DELETE", job.route["path_prefix"] + job.ident,
            {"host": job.route["hostname"]}, timeout=2.0)
        self.record.note(f"client's cancel of {job.ident} at {entry.name}: "
                         f"{status}")
        if status == 410 or (status and 200 <= status < 300):
            if job.cancel_acknowledged is None:
                job.cancel_acknowledged = self.record.now()
        return status


def run(main):
    """Runs a case: exits with 1 if it found a broken rule, 0 if not, and 2 if
    it could not run."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    folder = sys.argv[1]
    record = Record(os.path.join(folder, "record.txt"))
    platform = None
    code = 2

    def finish():
        """Ends the processes, reports, and exits without waiting for the
        handlers that are still open."""
        if platform:
            for entry in platform.entries:
                entry.kill()
            platform.remove_folder()
        for rule, text in record.broken[:10]:
            print(f"broken {rule}: {text}")
        record.note(f"result {code}, {len(record.broken)} broken rules")
        record.close()
        sys.stdout.flush()
        os._exit(code)

    try:
        platform, work = main(record)

        async def whole():
            nonlocal code
            await asyncio.wait_for(work, 110)
            platform.jobs.check_at_end()
            code = 1 if record.broken else 0
            finish()
        asyncio.run(whole())
    except BaseException as failure:  # pylint: disable=broad-except
        code = 2
        record.note(f"the case could not run: {failure!r}")
        print(f"the case could not run: {failure!r}")
    finish()
