"""A simulated platform of leased executors, with entry instances that use it.

The store and the executors implement the platform's HTTP protocol: keyed
topics with long polls, and executors with limited capacity, leases, fencing
tokens and numbered task ends. Violations are recorded: two simultaneous runs
of one task, and a start with a payload that no caller has sent.

Tests can inject faults into the store and the executors and, with
`has_relays`, into the connections to them, and with `has_links` cut the links
between the instances."""

import base64
import json
import os
import random
import shutil
import struct
import subprocess
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlparse

from . import http_json
from .peer_link import PeerLink
from .processes import Process, free_port, loopback_address, wait_until
from .relay import Relay

LEASE_MS = 1000
STOP_S = 0.03


def now_ms():
    return int(time.monotonic() * 1000)


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *_):
        pass

    def respond(self):
        length = int(self.headers.get("content-length", 0))
        body = self.rfile.read(length)
        url = urlparse(self.path)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        answer = self.server.service.handle(url.path, query, body)
        if answer is None:
            # The call has taken effect and its response is lost.
            self.close_connection = True
            return
        status, content = answer
        try:
            self.send_response(status)
            self.send_header("content-length", str(len(content)))
            self.end_headers()
            self.wfile.write(content)
        except OSError:
            # The caller was killed or has abandoned the call.
            self.close_connection = True

    do_GET = respond
    do_POST = respond


class Server(ThreadingHTTPServer):
    daemon_threads = True
    # All instances connect at the same time after a joint start.
    request_queue_size = 128

    def handle_error(self, request, client_address):
        """Ignores errors, which are expected when a process is killed."""


class Service:
    """HTTP server in a thread of its own."""

    def __init__(self):
        self.http = Server(("127.0.0.1", 0), Handler)
        self.http.service = self
        self.address = f"127.0.0.1:{self.http.server_port}"
        threading.Thread(target=self.http.serve_forever, daemon=True).start()

    def close(self):
        self.http.shutdown()
        self.http.server_close()


class Store(Service):
    """Store with keyed topics.

    `down` makes each call fail, `slow_s` delays each call, and with
    `loses_answers` appends take effect but get no response.
    """

    def __init__(self):
        self.changed = threading.Condition()
        self.topics = {}
        self.first_offset = 0
        self.down = False
        self.slow_s = 0.0
        self.loses_responses = False
        super().__init__()

    def expire_history(self):
        """Expires all offsets so far; the newest record of a key remains."""
        with self.changed:
            self.first_offset = max(map(len, self.topics.values()))

    def put(self, topic, key, value):
        self.put_bytes(topic, key, json.dumps(value).encode())

    def put_bytes(self, topic, key, value):
        with self.changed:
            self.topics.setdefault(topic, []).append((key, value))
            self.changed.notify_all()

    def handle(self, path, query, body, links=None):
        """`links` replace the addresses of instances in what is read."""
        time.sleep(self.slow_s)
        if self.down:
            return 503, b""
        if path == "/api/log-append":
            answer = self.append(query["topic"], body)
            return None if self.loses_responses else answer
        if path == "/api/log-newest":
            return self.newest(query["topic"], links or {})
        return self.read(query["topic"], int(query["from"]),
                         int(query.get("wait_ms", 0)) / 1000, links or {})

    def append(self, topic, body):
        with self.changed:
            records = self.topics.setdefault(topic, [])
            first = len(records)
            while body:
                length = struct.unpack(">I", body[:4])[0]
                content, body = body[4:4 + length], body[4 + length:]
                key_length = content[0]
                records.append((content[1:1 + key_length].decode(),
                                content[1 + key_length:]))
            self.changed.notify_all()
            return 200, json.dumps({"offset": first,
                                    "end_offset": len(records)}).encode()

    def newest(self, topic, links):
        with self.changed:
            records = through_links(self.topics.get(topic, []), links)
            latest = {key: (value, offset)
                      for offset, (key, value) in enumerate(records)}
            items = [{"key": key, "offset": offset,
                      "value": base64.b64encode(value).decode()}
                     for key, (value, offset) in latest.items()]
            return 200, json.dumps({"items": items, "has_more": False,
                                    "end_offset": len(records)}).encode()

    def read(self, topic, start, wait_s, links):
        with self.changed:
            self.changed.wait_for(
                lambda: len(self.topics.get(topic, [])) > start, wait_s)
            records = self.topics.get(topic, [])
            if start < min(self.first_offset, len(records)):
                return 410, b""
            out = struct.pack(">QQ", len(records), 0)
            for key, value in through_links(records[start:], links):
                content = bytes([len(key)]) + key.encode() + value
                out += struct.pack(">I", len(content)) + content
            return 200, out


def through_links(records, links):
    """The records with the addresses of links in place of instances."""
    replaced = []
    for key, value in records:
        link = links.get(key)
        replaced.append((link.address, link.address.encode()) if link
                        else (key, value))
    return replaced


class StoreFront(Service):
    """The store as one instance sees it, whose links lead to the others."""

    def __init__(self, store, links):
        self.store = store
        self.links = links
        super().__init__()

    def handle(self, path, query, body):
        return self.store.handle(path, query, body, self.links)


class Executor(Service):
    """Executor with capacity for two tasks of 27 cores each.

    `fault` is one of None, "hang" (tasks make no progress), "fail" (tasks
    fail), "late" (starts get no response and take effect up to 2 s later) and
    "lost" (requests take effect and get no response).
    """

    def __init__(self, system, name, speed, domain="north"):
        self.system = system
        self.name = name
        self.speed = speed
        self.domain = domain
        self.fault = None
        self.relay = None
        self.changed = threading.Condition()
        self.reset()
        super().__init__()

    def entry(self):
        address = self.relay.address if self.relay else self.address
        return {"service": "desk", "address": address, "zone": self.domain,
                "version": "v1", "slots": 8, "state": "ready",
                "cold_remaining_ms": 0, "sequence": 1,
                "born": self.started_at_ms,
                "capacity": {"cpu": 64000, "mem_mb": 65536, "gpus": 0},
                "labels": ["a", "r1-1"], "clock_ms": now_ms()}

    def restart(self):
        """Ends all runs and loses all state, as a restarted process does."""
        with self.changed:
            self.reset()
            self.changed.notify_all()

    def reset(self):
        """Resets to the state of a process that has just started."""
        self.token = 0
        self.lease_until = 0
        self.runs = {}
        self.finished = []
        self.last_ended = {}
        self.end_count = 0
        self.started_at_ms = int(time.time() * 1000)

    def handle(self, path, _query, body):
        request = json.loads(body)
        if self.fault == "late" and path == "/api/run-start":
            time.sleep(random.uniform(0.2, 2.0))
            answer = self.process_request(path, request)
            self.system.record_order(self, path, request, answer)
            return None
        answer = self.process_request(path, request)
        self.system.record_order(self, path, request, answer)
        return None if self.fault == "lost" else answer

    def process_request(self, path, request):
        with self.changed:
            self.update_runs()
            if request.get("fencing_token", 0) < self.token:
                return self.respond(409, reason="fence")
            self.token = request.get("fencing_token", 0)
            if path == "/api/run-start":
                return self.start_run(request)
            if path == "/api/run-stop":
                key = (request["task"], request["execution"])
                self.last_ended[request["task"]] = max(
                    self.last_ended.get(request["task"], 0),
                    request["execution"])
                if key in self.runs:
                    self.end_run(key, "stopped")
                return self.respond(200)
            return self.poll(request)

    def respond(self, status, **fields):
        return status, json.dumps({"clock_ms": now_ms(),
                                   "born": self.started_at_ms,
                                   **fields}).encode()

    def renew_lease(self, request):
        if "deadline_ms" in request:
            self.lease_until = max(self.lease_until,
                                   min(request["deadline_ms"],
                                       now_ms() + LEASE_MS))

    def start_run(self, request):
        task, execution = request["task"], request["execution"]
        if request["deadline_ms"] <= now_ms():
            return self.respond(409, reason="late")
        if self.last_ended.get(task, 0) >= execution:
            return self.respond(409, reason="old")
        if len(self.runs) >= 2:
            return self.respond(409, reason="room")
        self.renew_lease(request)
        self.system.record_start(task, request["task_spec"], self)
        work_ms = json.loads(request["task_spec"])["work_ms"] / self.speed
        if self.fault == "hang":
            work_ms = 1e9
        self.runs[(task, execution)] = (now_ms(), now_ms() + work_ms)
        return self.respond(200)

    def poll(self, request):
        self.renew_lease(request)
        self.finished = [row for row in self.finished
                         if row[0] > request.get("last_seen", 0)]
        until = now_ms() + request.get("wait_ms", 0)
        while not self.finished and now_ms() < until:
            due = [end for _, end in self.runs.values()] + [until]
            self.changed.wait(max(0.001, (min(due) - now_ms()) / 1000))
            self.update_runs()
        running = [[task, execution, "",
                    min(99, int(100 * (now_ms() - begin) / (end - begin)))]
                   for (task, execution), (begin, end) in self.runs.items()]
        return self.respond(200, running=running, finished=self.finished)

    def update_runs(self):
        if self.runs and now_ms() >= self.lease_until:
            for key in list(self.runs):
                self.end_run(key, "lapsed")
        for key, (_, end) in list(self.runs.items()):
            if now_ms() >= end:
                self.end_run(key, "failed" if self.fault == "fail" else "done")

    def end_run(self, key, outcome):
        task, execution = key
        if self.runs.pop(key, None) is None:
            return
        self.end_count += 1
        self.finished.append([self.end_count, task, execution, outcome, ""])
        self.last_ended[task] = max(self.last_ended.get(task, 0), execution)
        self.changed.notify_all()

    def is_running(self, task):
        return any(name == task for name, _ in list(self.runs)) and \
            now_ms() < self.lease_until


class EntryInstance:
    def __init__(self, system, number, domain="north"):
        self.system = system
        self.domain = domain
        self.ip = loopback_address(number)
        self.name = f"entry-{number}"
        self.callers_address = f"{self.ip}:{free_port(self.ip)}"
        self.readiness_address = f"{self.ip}:{free_port(self.ip)}"
        self.peers_address = f"{self.ip}:{free_port(self.ip)}"
        self.metrics_address = f"{self.ip}:{free_port(self.ip)}"
        self.process = None
        self.starts = 0
        # Sections of settings and environment variables to add at a start.
        self.extra_settings = {}
        self.environment = {}
        # Links to the other instances by their addresses.
        self.links = {}
        self.store_front = None
        self.relay = Relay(system.store.address) if system.has_relays else None

    def start(self):
        self.starts += 1
        settings = {
            "instance": {"name": self.name, "failure_domain": self.domain,
                         "failure_domains": ",".join(self.system.domains),
                         # Instances that do not know each other tell their
                         # own addresses, which do not lead through links.
                         "seed_addresses": ",".join(
                             link.address for link in self.links.values()),
                         "cpu_share": 1.0},
            "listen": {"callers_address": self.callers_address,
                       "readiness_address": self.readiness_address,
                       "peers_address": self.peers_address,
                       "metrics_address": self.metrics_address},
            "platform": {"store_address": self.store_address()}}
        for section, values in self.known_settings().items():
            settings.setdefault(section, {}).update(values)
        path = os.path.join(self.system.folder, self.name + ".json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        self.process = Process(
            f"{self.name}-{self.starts}",
            [self.program(), "--settings", path],
            os.path.join(self.system.folder,
                         f"{self.name}-{self.starts}.log"),
            self.environment)

    def program(self):
        return os.path.join(self.system.build_dir, "programs",
                            "goldcrestgate_entryd")

    def known_settings(self):
        """The extra settings that the tested build knows."""
        if not self.extra_settings:
            return {}
        described = subprocess.run(
            [self.program(), "--describe-settings"], check=True,
            capture_output=True, text=True).stdout
        return {section: {key: value for key, value in values.items()
                          if f"`{section}.{key}`" in described}
                for section, values in self.extra_settings.items()}

    def store_address(self):
        return (self.store_front or self.relay or self.system.store).address

    def ready(self):
        self.process.check_running()
        answer = http_json.try_request(self.readiness_address, "GET",
                                       "/api/readyz", timeout_s=2)
        return answer is not None and answer.status == 200

    def metric(self, name):
        answer = http_json.try_request(self.metrics_address, "GET", "/metrics",
                                       timeout_s=2)
        for line in (answer.text if answer else "").splitlines():
            if line.startswith(f"goldcrestgate_{name} "):
                return float(line.split()[1])
        return None

    def job_body(self, job_id, tasks, work_ms, padding_bytes=0):
        payload = json.dumps({"work_ms": work_ms, "job": job_id,
                              "padding": "x" * padding_bytes})
        self.system.record_submission(job_id, payload)
        return {"task_spec": payload, "best_effort": True,
                "phases": [{"count": tasks, "cpu": 27000, "mem_mb": 64,
                            "estimated_ms": work_ms}]}

    def submit(self, job_id, tasks, work_ms, timeout_s=10):
        return http_json.try_request(
            self.callers_address, "POST", f"/desk/{job_id:016x}",
            self.job_body(job_id, tasks, work_ms), timeout_s)


class LeasedSystem:
    """Store, executors and entry instances; stops them on exit from `with`."""

    def __init__(self, build_dir, instances=2, speeds=(1, 1, 2, 2),
                 has_relays=False, domains=("north",), has_links=False):
        """`instances` and `speeds` are those of each failure domain."""
        self.build_dir = build_dir
        self.domains = domains
        self.has_relays = has_relays
        self.folder = tempfile.mkdtemp(prefix="goldcrestgate-test-")
        self.lock = threading.Lock()
        self.duplicate_runs = []
        self.orders = []
        self.unknown_starts = []
        self.starts = {}
        self.payloads = {}
        self.store = Store()
        self.executors = [
            Executor(self, f"i-{index}", speed, domain)
            for index, (domain, speed) in enumerate(
                (domain, speed) for domain in domains for speed in speeds)]
        for executor in self.executors:
            if has_relays:
                executor.relay = Relay(executor.address)
            self.list_executor(executor)
        self.publish_configuration(1, 1500)
        self.instances = [
            EntryInstance(self, 2 + index, domain)
            for index, domain in enumerate(
                domain for domain in domains for _ in range(instances))]
        if has_links:
            self.add_links()

    def add_links(self):
        for instance in self.instances:
            instance.links = {other.peers_address: PeerLink(other.peers_address)
                              for other in self.instances
                              if other is not instance}
            instance.store_front = StoreFront(self.store, instance.links)

    def links_between(self, some, others):
        """Pairs of a link and whether an instance of `some` opens it."""
        pairs = [(one, other) for one in some for other in others]
        return [(one.links[other.peers_address], True)
                for one, other in pairs] + \
            [(other.links[one.peers_address], False) for one, other in pairs]

    def __enter__(self):
        for instance in self.instances:
            instance.start()
        try:
            wait_until(lambda: all(i.ready() for i in self.instances),
                       "readiness")
            wait_until(self.all_claimed, "claimed executors")
        except (TimeoutError, RuntimeError):
            # close() removes the logs, and nothing else shows the cause.
            for instance in self.instances:
                print(instance.name, instance.process.output()[-4000:])
            self.close()
            raise
        return self

    def __exit__(self, failure, *_):
        if failure is not None:
            self.keep_logs()
        self.close()

    def keep_logs(self):
        """Keeps the logs of the instances, and the orders that the executors
        received, of a run that has failed."""
        kept = tempfile.mkdtemp(prefix="goldcrestgate-failed-")
        shutil.copytree(self.folder, kept, dirs_exist_ok=True)
        with open(os.path.join(kept, "orders.jsonl"), "w",
                  encoding="utf-8") as file:
            file.writelines(json.dumps(order) + "\n" for order in self.orders)
        print("logs and orders are kept in", kept, flush=True)

    def close(self):
        for instance in self.instances:
            instance.process.close()
        for service in [*self.relays(), self.store, *self.executors]:
            service.close()
        for instance in self.instances:
            if instance.store_front:
                instance.store_front.close()
            for link in instance.links.values():
                link.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    def list_executor(self, executor):
        self.store.put("keyed.servers", executor.name, executor.entry())

    def relays(self):
        return [part.relay for part in [*self.instances, *self.executors]
                if part.relay]

    def publish_configuration(self, version, timeout_ms):
        self.store.put("keyed.op", "config", {
            "version": version, "services": [{"name": "desk"}],
            # The Host header of callers is the address that they connect to.
            "routes": [{"name": f"r{number}",
                        "hostname": loopback_address(number),
                        "path_prefix": "/desk/", "service": "desk",
                        "timeout_ms": timeout_ms, "target_latency_ms": 500,
                        "priority": 0, "max_attempts": 2,
                        "stretch_factor": 3} for number in range(2, 12)]})

    def all_claimed(self):
        """Whether the owners have claimed all executors."""
        owners = [i for i in self.instances if i.metric("owner") == 1]
        return sum(i.metric("executors_claimed") or 0
                   for i in owners) == len(self.executors)

    def owner(self):
        for instance in self.instances:
            if instance.process is not None and \
                    instance.metric("owner") == 1:
                return instance
        return None

    def record_submission(self, job_id, payload):
        with self.lock:
            self.payloads[f"{job_id:016x}"] = payload

    def record_start(self, task, payload, executor):
        with self.lock:
            if self.payloads.get(task.split(".")[0]) != payload:
                self.unknown_starts.append((task, payload))
            self.starts[task] = self.starts.get(task, 0) + 1
            for other in self.executors:
                if other is not executor and other.is_running(task):
                    self.duplicate_runs.append(
                        (task, executor.name, other.name))

    def runs_in(self, domain):
        """The number of runs that go on in a failure domain."""
        return sum(len(executor.runs) for executor in self.executors
                   if executor.domain == domain)

    def record_order(self, executor, path, request, answer):
        self.orders.append({
            "time_ms": int(time.time() * 1000), "clock_ms": now_ms(),
            "executor": executor.name, "path": path, "status": answer[0],
            **{key: value for key, value in request.items()
               if key != "task_spec"},
            **({} if path.endswith("hold") else
               {"answer": json.loads(answer[1])})})

    def start_count(self, job_id):
        with self.lock:
            return sum(count for task, count in self.starts.items()
                       if task.startswith(f"{job_id:016x}."))
