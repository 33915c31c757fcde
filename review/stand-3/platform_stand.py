"""Stand-ins of the platform for the cases of this review: a keyed store, the
executors and the start of entry instances with the commands of the deploy file.

They follow PROTOCOL.md and DEPLOY.md. All listeners have loopback addresses,
and all processes are ended by their process ids."""

import base64
import http.client
import json
import os
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlparse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))

# The bounds of the site kpc-rollworks.
BOUNDS = {"contact_ms": 3000, "ack_timeout_ms": 4000, "grace_period_s": 6,
          "drain_timeout_ms": 2000, "config_apply_ms": 2000,
          "max_hold_ms": 1000, "stop_timeout_ms": 50, "cancel_ms": 3000,
          "remote_factor": 2, "resend_ms": 1300}
HEARTBEAT_S = 1.5
# "Traffic starts 10 s after the machines do."
LEAD_S = 10
FOREVER = float("inf")


class CannotRun(Exception):
    """The case could not be set up; the script exits with 2."""


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.lock = threading.Lock()
        self.file = open(os.path.join(folder, "record.txt"), "w",
                         encoding="utf-8")

    def now(self):
        return time.monotonic() - self.began

    def write(self, text):
        with self.lock:
            self.file.write(f"{self.now():8.3f} s  {text}\n")
            self.file.flush()


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *_):
        pass

    def respond(self):
        length = int(self.headers.get("content-length", 0))
        body = self.rfile.read(length)
        url = urlparse(self.path)
        query = {key: values[0]
                 for key, values in parse_qs(url.query).items()}
        answer = self.server.service.handle(url.path, query, self.headers, body)
        if answer is None:
            self.close_connection = True
            return
        status, content = answer
        try:
            self.send_response(status)
            self.send_header("content-type", "application/json")
            self.send_header("content-length", str(len(content)))
            self.end_headers()
            self.wfile.write(content)
        except OSError:
            self.close_connection = True

    do_GET = respond
    do_POST = respond


class Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def __init__(self, address, service):
        self.service = service
        self.sockets = set()
        super().__init__(address, Handler)

    def process_request(self, request, client_address):
        self.sockets.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request):
        self.sockets.discard(request)
        super().shutdown_request(request)

    def handle_error(self, request, client_address):
        """Callers of a stand-in are killed and time out in some cases."""

    def abort(self):
        """Closes the listener and resets all connections."""
        self.shutdown()
        self.server_close()
        for opened in list(self.sockets):
            try:
                opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                  struct.pack("ii", 1, 0))
                opened.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


class Service:
    def __init__(self, host="127.0.0.1"):
        self.host = host
        self.port = 0
        self.http = None
        self.listen()

    def listen(self):
        self.http = Server((self.host, self.port), self)
        self.port = self.http.server_port
        self.address = f"{self.host}:{self.port}"
        threading.Thread(target=self.http.serve_forever, args=(0.02,),
                         daemon=True).start()

    def close(self):
        if self.http is not None:
            self.http.abort()
            self.http = None


class Store(Service):
    """The platform's log with keyed topics. While `down` is set, it answers
    each call with 503 and does nothing."""

    def __init__(self):
        self.changed = threading.Condition()
        self.topics = {}
        self.down = False
        super().__init__()

    def put(self, topic, key, value):
        """A write of the operator or of an executor; returns whether the store
        has acknowledged it."""
        if self.down:
            return False
        content = b"" if value is None else json.dumps(value).encode()
        with self.changed:
            self.topics.setdefault(topic, []).append((key, content))
            self.changed.notify_all()
        return True

    def handle(self, path, query, _headers, body):
        if self.down:
            return 503, b"{}"
        time.sleep(0.004)
        if path == "/api/log-append":
            return self.append(query["topic"], body)
        if path == "/api/log-newest":
            return self.newest(query["topic"], self.unchanged)
        if path == "/api/log-read":
            return self.read(query["topic"], int(query["from"]),
                             int(query.get("wait_ms", 0)) / 1000,
                             self.unchanged)
        return 404, b"{}"

    @staticmethod
    def unchanged(_topic, key, value):
        return key, value

    def append(self, topic, body):
        with self.changed:
            records = self.topics.setdefault(topic, [])
            first = len(records)
            while body:
                size = struct.unpack(">I", body[:4])[0]
                content, body = body[4:4 + size], body[4 + size:]
                records.append((content[1:1 + content[0]].decode(),
                                content[1 + content[0]:]))
            self.changed.notify_all()
            return 200, json.dumps({"offset": first,
                                    "end_offset": len(records)}).encode()

    def newest(self, topic, seen_as):
        with self.changed:
            records = self.topics.get(topic, [])
            latest = {}
            for offset, (key, value) in enumerate(records):
                key, value = seen_as(topic, key, value)
                latest[key] = (value, offset)
            items = [{"key": key, "offset": offset,
                      "value": base64.b64encode(value).decode()}
                     for key, (value, offset) in latest.items() if value]
            return 200, json.dumps({"items": items, "has_more": False,
                                    "end_offset": len(records)}).encode()

    def read(self, topic, start, wait_s, seen_as):
        until = time.monotonic() + wait_s
        with self.changed:
            while len(self.topics.get(topic, [])) <= start and not self.down:
                left = until - time.monotonic()
                if left <= 0:
                    break
                self.changed.wait(min(left, 0.05))
            if self.down:
                return 503, b"{}"
            records = self.topics.get(topic, [])
            out = struct.pack(">QQ", len(records), 0)
            for key, value in records[start:]:
                key, value = seen_as(topic, key, value)
                content = bytes([len(key)]) + key.encode() + value
                out += struct.pack(">I", len(content)) + content
            return 200, out


class StoreFront(Service):
    """The store as one instance reaches it. The addresses of the other
    instances lead through the links of that instance, so that a case can cut
    them. While `cut` is set, calls get no answer."""

    def __init__(self, store, links):
        self.store = store
        self.links = links
        self.cut = False
        super().__init__()

    def seen_as(self, topic, key, value):
        if topic == "keyed.instances" and key in self.links:
            address = self.links[key].address
            return address, address.encode()
        return key, value

    def handle(self, path, query, headers, body):
        if self.cut:
            until = time.monotonic() + 2
            while self.cut and time.monotonic() < until:
                time.sleep(0.02)
            return None
        if path == "/api/log-newest":
            time.sleep(0.004)
            return self.store.newest(query["topic"], self.seen_as)
        if path == "/api/log-read":
            return self.store.read(query["topic"], int(query["from"]),
                                   int(query.get("wait_ms", 0)) / 1000,
                                   self.seen_as)
        return self.store.handle(path, query, headers, body)


class Link:
    """A proxy on the way from one instance to the peer address of another.

    While it is cut, bytes of open connections are held up in both directions
    and arrive when it heals, also if their sender has closed the connection
    meanwhile, but not if the sender has reset it. A connection that is opened
    during the cut hangs until it heals. Nothing is reset by the cut."""

    def __init__(self, target):
        self.target = target
        host, port = target.split(":")
        self.listener = socket.create_server((host, 0), backlog=64)
        self.address = f"{host}:{self.listener.getsockname()[1]}"
        self.open = threading.Event()
        self.open.set()
        self.closed = False
        # Bytes received from the instance that connects, and from the target.
        self.bytes_sent = 0
        self.bytes_back = 0
        self.sockets = []
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while not self.closed:
            try:
                caller, _ = self.listener.accept()
            except OSError:
                return
            self.sockets.append(caller)
            threading.Thread(target=self.serve, args=(caller,),
                             daemon=True).start()

    def serve(self, caller):
        self.open.wait()
        host, port = self.target.split(":")
        try:
            callee = socket.create_connection((host, int(port)), 1)
        except OSError:
            abort(caller)
            return
        callee.settimeout(None)
        self.sockets.append(callee)
        for end in (caller, callee):
            end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        threading.Thread(target=self.forward, args=(callee, caller, False),
                         daemon=True).start()
        self.forward(caller, callee, True)

    def forward(self, source, sink, counts):
        """Reads on during a cut, so that the sender can close or reset its
        connection, and delivers what it has sent when the cut heals."""
        held = []
        ready = threading.Condition()
        state = {"end": None}

        def deliver():
            while True:
                with ready:
                    while not held and state["end"] is None:
                        ready.wait()
                self.open.wait()
                with ready:
                    if state["end"] == "reset":
                        abort(sink)
                        return
                    data = b"".join(held)
                    held.clear()
                    ended = state["end"] is not None
                try:
                    if data:
                        sink.sendall(data)
                    elif ended:
                        sink.shutdown(socket.SHUT_WR)
                        return
                except OSError:
                    return

        threading.Thread(target=deliver, daemon=True).start()
        while True:
            try:
                data = source.recv(65536)
                end = None if data else "closed"
            except OSError:
                data, end = b"", "reset"
            with ready:
                if data:
                    held.append(data)
                    if counts:
                        self.bytes_sent += len(data)
                    else:
                        self.bytes_back += len(data)
                state["end"] = end
                ready.notify()
            if end is not None:
                return

    def cut(self):
        self.open.clear()

    def heal(self):
        self.open.set()

    def close(self):
        self.closed = True
        self.open.set()
        self.listener.close()
        for opened in self.sockets:
            try:
                opened.close()
            except OSError:
                pass


def abort(connection):
    """Resets a connection."""
    try:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                              struct.pack("ii", 1, 0))
        connection.close()
    except OSError:
        pass


class Run:
    """One run of a task, as the executor saw it."""

    def __init__(self, executor, task, execution, now):
        self.executor = executor
        self.task = task
        self.execution = execution
        self.began = now
        self.ended = None
        self.how = None
        self.due = FOREVER


class Executor(Service):
    """A sound executor that guards its capacity."""

    def __init__(self, platform, name, zone, labels, cpu=64000, host="127.0.0.1",
                 work_s=None):
        self.platform = platform
        self.name = name
        self.zone = zone
        self.labels = labels
        self.cpu = cpu
        self.work_s = work_s or platform.work_s
        self.changed = threading.Condition()
        self.alive = True
        self.sequence = 0
        self.begin_life()
        super().__init__(host)
        threading.Thread(target=self.beat, daemon=True).start()
        threading.Thread(target=self.watch_runs, daemon=True).start()

    # --- lives ---

    def begin_life(self):
        self.started = time.monotonic()
        self.born = int(time.time() * 1000)
        self.token = 0
        self.lease_until = 0
        self.runs = {}
        self.finished = []
        self.highest = {}
        self.end_count = 0

    def crash(self):
        """The process ends; all that ran is gone."""
        with self.changed:
            self.alive = False
            for run in self.runs.values():
                self.note_end(run, "crashed")
            self.runs = {}
            self.changed.notify_all()
        self.close()
        self.platform.record.write(f"executor {self.name} crashes")

    def restart(self, labels=None):
        """A new life under the same id and address."""
        with self.changed:
            self.labels = labels or self.labels
            self.begin_life()
            self.alive = True
        self.listen()
        self.platform.record.write(
            f"executor {self.name} starts again, labels {self.labels}")
        self.register()

    def clock_ms(self):
        return int((time.monotonic() - self.started) * 1000)

    # --- entry in the store ---

    def entry(self):
        self.sequence += 1
        return {"service": self.platform.service, "address": self.address,
                "zone": self.zone, "version": "v1", "slots": 8,
                "state": "ready", "cold_remaining_ms": 0,
                "capacity": {"cpu": self.cpu, "mem_mb": 262144, "gpus": 0},
                "labels": self.labels, "clock_ms": self.clock_ms(),
                "born": self.born, "sequence": self.sequence}

    def register(self):
        if self.alive and self.platform.store.put("keyed.servers", self.name,
                                                  self.entry()):
            return True
        return False

    def beat(self):
        while not self.platform.closed:
            # A write that the store refuses is repeated soon.
            time.sleep(HEARTBEAT_S if self.register() else 0.2)

    # --- orders ---

    def handle(self, path, _query, headers, body):
        if not self.alive:
            return None
        target = headers.get("Goldcrestgate-Target-Instance")
        if target is not None and target != self.name:
            return 421, json.dumps({"clock_ms": self.clock_ms()}).encode()
        try:
            request = json.loads(body)
        except ValueError:
            return 400, b"{}"
        with self.changed:
            self.update()
            if request.get("fencing_token", 0) < self.token:
                return self.answer(409, reason="fence")
            self.token = request.get("fencing_token", 0)
            if path == "/api/run-start":
                return self.start(request)
            if path == "/api/run-stop":
                return self.stop(request)
            if path == "/api/hold":
                return self.hold(request)
        return 404, b"{}"

    def answer(self, status, **fields):
        return status, json.dumps({"clock_ms": self.clock_ms(),
                                   "born": self.born, **fields}).encode()

    def renew(self, request):
        if "deadline_ms" in request:
            self.lease_until = max(
                self.lease_until,
                min(request["deadline_ms"],
                    self.clock_ms() + BOUNDS["max_hold_ms"]))

    def start(self, request):
        task, execution = request["task"], request["execution"]
        if (task, execution) in self.runs:
            return self.answer(200)
        if request["deadline_ms"] <= self.clock_ms():
            return self.answer(409, reason="late")
        self.renew(request)
        if self.highest.get(task, 0) >= execution:
            return self.answer(409, reason="old")
        spec = self.platform.spec_of(task)
        cpu = spec["cpu"] if spec else 0
        if self.used_cpu() + cpu > self.cpu:
            return self.answer(409, reason="room")
        now = time.monotonic()
        run = Run(self, task, execution, now)
        run.cpu = cpu
        run.labels = list(self.labels)
        run.task_spec = request["task_spec"]
        run.due = now + self.work_s(task)
        self.runs[(task, execution)] = run
        self.platform.note_start(run)
        self.changed.notify_all()
        return self.answer(200)

    def used_cpu(self):
        return sum(run.cpu for run in self.runs.values())

    def stop(self, request):
        key = (request["task"], request["execution"])
        self.highest[key[0]] = max(self.highest.get(key[0], 0), key[1])
        if key in self.runs:
            self.end(key, "stopped")
        return self.answer(200)

    def hold(self, request):
        self.renew(request)
        last_seen = request.get("last_seen", 0)
        self.finished = [row for row in self.finished if row[0] > last_seen]
        until = time.monotonic() + request.get("wait_ms", 0) / 1000
        while not self.finished and self.alive:
            left = until - time.monotonic()
            if left <= 0:
                break
            self.changed.wait(left)
        now = time.monotonic()
        rows = [[run.task, run.execution, "",
                 min(99, int(100 * (now - run.began) /
                             max(run.due - run.began, 0.001))), run.cpu]
                for run in self.runs.values()]
        return self.answer(200, running=rows, finished=self.finished[:500])

    def watch_runs(self):
        while not self.platform.closed:
            with self.changed:
                self.update()
            time.sleep(0.005)

    def update(self):
        if not self.alive:
            return
        if self.runs and self.clock_ms() >= self.lease_until:
            for key in list(self.runs):
                self.end(key, "lapsed")
        now = time.monotonic()
        for key, run in list(self.runs.items()):
            if now >= run.due:
                self.end(key, "done")

    def end(self, key, how):
        run = self.runs.pop(key)
        self.note_end(run, how)
        self.highest[run.task] = max(self.highest.get(run.task, 0),
                                     run.execution)
        self.end_count += 1
        self.finished.append([self.end_count, run.task, run.execution, how, ""])
        self.changed.notify_all()

    def note_end(self, run, how):
        run.ended = time.monotonic()
        run.how = how
        self.platform.record.write(
            f"run ends    {run.task} execution {run.execution} on "
            f"{self.name}: {how}")


def free_port(host):
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


def deploy_file():
    """The command and the template of the deploy file."""
    with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
        role = tomllib.load(file)["roles"]["entry"]
    command = role["run"].split()
    if not os.access(os.path.join(ROOT, command[0]), os.X_OK):
        raise CannotRun(f"{command[0]} is not built")
    with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as file:
        return command, file.read()


def lookup(fields, path):
    value = fields
    for part in path.split("."):
        if isinstance(value, list):
            value = value[int(part)]
        elif isinstance(value, dict) and part in value:
            value = value[part]
        else:
            raise CannotRun(f"the template asks for {path}")
    return value


def plain(value):
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return ",".join(map(plain, value))
    return str(value)


def render(template, fields):
    """Fills in a template as DEPLOY.md describes, as far as it is used."""
    def section(match):
        value = lookup(fields, match.group(1))
        keys = list(value if isinstance(value, dict) else range(len(value)))
        return "".join(
            match.group(2).replace("{{@}}", str(key)).replace(
                "{{,}}", "," if index + 1 < len(keys) else "")
            for index, key in enumerate(keys))

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template,
                  flags=re.S)
    text = re.sub(r"\{\{([\w.]+)\}\}",
                  lambda match: plain(lookup(fields, match.group(1))), text)
    if "{{" in text:
        raise CannotRun("a placeholder of the template is not known")
    return text


class Entry:
    """An entry instance, started with the command of the deploy file."""

    def __init__(self, platform, number, zone):
        self.platform = platform
        self.zone = zone
        # Scripts that run side by side use different addresses.
        self.ip = f"127.0.{5 + os.getpid() % 200}.{number}"
        self.name = f"edge-{zone}-{number}"
        self.ports = {name: free_port(self.ip)
                      for name in ("frontend", "ready", "control_plane")}
        self.internal = free_port(self.ip)
        self.process = None
        # Links to the other instances by their address, with has_links.
        self.links = {}
        self.front = None

    def address(self, name):
        return f"{self.ip}:{self.ports[name]}"

    def path_to(self, other):
        """The address at which this instance reaches another one."""
        address = other.address("control_plane")
        return self.links[address].address if address in self.links \
            else address

    def start(self):
        command, template = deploy_file()
        platform = self.platform
        fields = {
            "node_name": self.name, "zone": self.zone, "ip": self.ip,
            "zones": {zone: "imereti" for zone in platform.zones},
            "seed_nodes": [self.path_to(entry)
                           for entry in platform.entries[:3]],
            "bind_addresses": {name: self.address(name)
                               for name in self.ports},
            "internal_ports": [self.internal, self.internal],
            "limits": {"cpu_share": 0.25, "memory_mb": 260, "max_fds": 4100},
            "bounds": BOUNDS,
            "platform": {"address": (self.front or platform.store).address}}
        path = os.path.join(platform.folder, self.name + ".json")
        with open(path, "w", encoding="utf-8") as file:
            file.write(render(template, fields))
        self.log = open(os.path.join(platform.folder, self.name + ".log"), "ab")
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG")
                       if key in os.environ}
        environment["GOLDCRESTGATE_SETTINGS"] = path
        self.process = subprocess.Popen(
            [os.path.join(ROOT, command[0]), *command[1:]], cwd=ROOT,
            env=environment, stdout=self.log, stderr=subprocess.STDOUT)
        platform.record.write(f"entry instance {self.name} started")

    def ready(self):
        if self.process.poll() is not None:
            raise CannotRun(f"{self.name} ended with {self.process.returncode}")
        try:
            return request(self.address("ready"), "GET", "/api/readyz",
                           timeout_s=1).status == 200
        except OSError:
            return False

    def metric(self, name):
        try:
            text = request(f"{self.ip}:{self.internal}", "GET", "/metrics",
                           timeout_s=1).body.decode()
        except OSError:
            return None
        for line in text.splitlines():
            if line.startswith(f"goldcrestgate_{name} "):
                return float(line.split()[1])
        return None

    def close(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


def bytes_between(sender, receiver):
    """Bytes that an instance has sent to another one, on connections that
    either of them has opened; needs links."""
    return (sender.links[receiver.address("control_plane")].bytes_sent +
            receiver.links[sender.address("control_plane")].bytes_back)


def overlaps(runs):
    """Pairs of runs of one task that were at work at the same time, and for
    how long."""
    for number, first in enumerate(runs):
        for second in runs[number + 1:]:
            begin = max(first.began, second.began)
            end = min(first.ended, second.ended)
            if first.task == second.task and begin < end:
                yield first, second, end - begin


class Answer:
    def __init__(self, status, body, headers):
        self.status = status
        self.body = body
        self.headers = headers


def request(address, method, path, body=None, headers=None, timeout_s=10):
    """One request on a connection of its own; raises OSError without an
    answer."""
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
    try:
        connection.request(method, path, body, headers or {})
        answer = connection.getresponse()
        return Answer(answer.status, answer.read(), dict(answer.getheaders()))
    except http.client.HTTPException as failure:
        raise OSError(str(failure)) from failure
    finally:
        connection.close()


class Platform:
    """Store, executors and entry instances of a small deployment."""

    def __init__(self, folder, zones=("north",), work_s=None,
                 timeout_ms=1500):
        self.record = Record(folder)
        self.zones = zones
        self.service = "desk"
        self.host = "desk.example"
        self.prefix = "/desk/"
        self.work_s = work_s or (lambda task: 0.2)
        self.timeout_ms = timeout_ms
        self.closed = False
        self.lock = threading.Lock()
        self.starts = []
        self.jobs = {}
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.store = Store()
        self.executors = []
        self.entries = []
        self.publish(1)

    def publish(self, version, **changes):
        route = {"name": "r-desk", "hostname": self.host,
                 "path_prefix": self.prefix, "route_type": "non_idempotent",
                 "timeout_ms": self.timeout_ms, "target_latency_ms": 60,
                 "priority": 0, "service": self.service, "max_attempts": 2,
                 "stretch_factor": 1.6, **changes}
        self.store.put("keyed.op", "config", {
            "version": version, "routes": [route],
            "services": [{"name": self.service, "health_path": "/healthz",
                          "max_connections": 64, "protocol": "h1",
                          "tls": False, "constraints": True,
                          "standby": False}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})

    def add_executor(self, name, zone, labels, **options):
        executor = Executor(self, name, zone, labels, **options)
        self.executors.append(executor)
        return executor

    def add_entry(self, zone):
        entry = Entry(self, len(self.entries) + 2, zone)
        self.entries.append(entry)
        return entry

    def add_links(self):
        """Puts a proxy between each pair of instances."""
        for entry in self.entries:
            for other in self.entries:
                if other is not entry:
                    address = other.address("control_plane")
                    entry.links[address] = Link(address)
            entry.front = StoreFront(self.store, entry.links)

    def links_between(self, some, others):
        """The links between two sets of instances, in both directions."""
        pairs = [(a, b) for a in some for b in others]
        return [a.links[b.address("control_plane")]
                for a, b in pairs + [(b, a) for a, b in pairs]]

    def start(self):
        traffic_at = time.monotonic() + LEAD_S
        for entry in self.entries:
            entry.start()
        self.wait(lambda: all(entry.ready() for entry in self.entries),
                  20, "readiness")
        self.wait(lambda: sum(entry.metric("executors_claimed") or 0
                              for entry in self.entries
                              if entry.metric("owner") == 1) ==
                  len(self.executors), 10, "claimed executors")
        time.sleep(max(0.0, traffic_at - time.monotonic()))

    @staticmethod
    def wait(condition, limit_s, what, interval_s=0.02):
        until = time.monotonic() + limit_s
        while not condition():
            if time.monotonic() > until:
                raise CannotRun(f"no {what} within {limit_s} s")
            time.sleep(interval_s)

    def owner(self, zone):
        for entry in self.entries:
            if entry.zone == zone and entry.metric("owner") == 1:
                return entry
        raise CannotRun(f"{zone} has no owner")

    def wait_for_heartbeat(self, sender, zone):
        """Waits until an instance without jobs at the owner of another zone
        has sent it a heartbeat, and returns the owner. The instance sends one
        about once a second."""
        for _ in range(4):
            owner = self.owner(zone)
            before = bytes_between(sender, owner)
            until = time.monotonic() + 2
            while time.monotonic() < until:
                if bytes_between(sender, owner) > before:
                    return owner
                time.sleep(0.001)
            # The owner may have changed meanwhile.
        raise CannotRun("no heartbeat to the owner of another zone")

    # --- jobs ---

    def spec_of(self, task):
        job, _, step, _ = task.split(".")
        body = self.jobs.get(job)
        return body["phases"][int(step)] if body else None

    def note_start(self, run):
        with self.lock:
            self.starts.append(run)
        self.record.write(f"run starts  {run.task} execution {run.execution} "
                          f"on {run.executor.name}")

    def runs_of(self, job_id):
        with self.lock:
            return [run for run in self.starts
                    if run.task.startswith(job_id + ".")]

    def call_until_answered(self, entries, job_id, body, deadline_ms):
        """Submits a job, and after 502, 504 or no answer again to the next one
        of the entry instances: "Retries reach other nodes." """
        for entry in entries:
            answer = self.post(entry, job_id, body, deadline_ms)
            if answer is not None and answer.status not in (502, 504):
                return
            time.sleep(BOUNDS["resend_ms"] / 1000)

    def twice(self, job_ids):
        """The broken rule as a text, or None; records each pair of runs."""
        if any(run.ended is None for run in self.starts):
            raise CannotRun("a run has not ended")
        found = [pair for job_id in job_ids
                 for pair in overlaps(self.runs_of(job_id))]
        for first, second, length in found:
            self.record.write(
                f"TWICE: {first.task} ran on {first.executor.name} and on "
                f"{second.executor.name} at the same time for "
                f"{1000 * length:.0f} ms")
        tasks = {first.task for first, _, _ in found}
        return (f"TWICE: {len(tasks)} tasks had two runs at the same time"
                if tasks else None)

    def post(self, entry, job_id, body, deadline_ms, timeout_s=None):
        """Submits a job and returns the answer, or None without one."""
        self.jobs[job_id] = body
        self.record.write(f"POST {job_id} to {entry.name}")
        try:
            answer = request(
                entry.address("frontend"), "POST", self.prefix + job_id,
                json.dumps(body),
                {"Host": self.host, "Content-Type": "application/json",
                 "Goldcrestgate-Deadline-Ms": str(deadline_ms)},
                timeout_s or deadline_ms / 1000 + 0.5)
        except OSError as failure:
            self.record.write(f"POST {job_id}: no answer ({failure})")
            return None
        self.record.write(f"POST {job_id}: {answer.status} "
                          f"{answer.body.decode(errors='replace')[:80]}")
        return answer

    def call(self, entry, method, path):
        self.record.write(f"{method} {path} to {entry.name}")
        answer = request(entry.address("frontend"), method, path, None,
                         {"Host": self.host})
        self.record.write(f"{method} {path}: {answer.status}")
        return answer

    def close(self):
        self.closed = True
        for entry in self.entries:
            entry.close()
            for link in entry.links.values():
                link.close()
        fronts = [entry.front for entry in self.entries if entry.front]
        for service in [*self.executors, *fronts, self.store]:
            service.close()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print("kept", self.folder)


# Python itself exits with 1 after an exception, so that run.sh translates this.
RULE_BROKEN = 10


def run_case(case, folder):
    """Runs `case(folder, trouble)`, which returns the broken rule as a text or
    None, and ends the process with RULE_BROKEN, 0, or 2 if it could not run."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        broken = case(folder, trouble)
    except (CannotRun, OSError) as failure:
        print("could not run:", failure)
        sys.exit(2)
    print(broken or "held")
    sys.exit(RULE_BROKEN if broken else 0)
