"""A complete system on the loopback interface: platform stub, backend server
stubs and entry instances, each in a process of its own."""

import argparse
import json
import os
import shutil
import sys
import tempfile
import uuid

from . import http_json
from .processes import Process, free_port, wait_until
from .relay import Relay

SETTINGS_TREE = {
    "services.roll-desk.default_run_time_ms": 50,
    "services.roll-desk.attempt_timeout_ms": 10000,
    "services.roll-desk.tolerance.repeatable": True,
    "services.roll-desk.stock-hold.repeatable": False,
    "teams.line-1.weight": 1,
    "teams.line-2.weight": 2,
}


class Server:
    """Backend server of a stub process."""

    def __init__(self, number, domain, address, process):
        self.number = number
        self.domain = domain
        self.address = address
        self.process = process
        self.leaving = False

    def control(self, **values):
        http_json.request(self.address, "POST", "/control", values)

    def starts(self):
        return http_json.request(self.address, "GET", "/starts?all=1").body

    def list_entry(self):
        return {"kind": "server", "id": self.number, "domain": self.domain,
                "rack": f"s{self.number % 4}", "address": self.address,
                "slots": 8, "state": "leaving" if self.leaving else "live"}


class Instance:
    """Entry instance."""

    def __init__(self, number, domain, callers_address, peers_address):
        self.number = number
        self.domain = domain
        self.address = callers_address
        self.peer_address = peers_address
        self.process = None
        self.relay = None
        self.starts = 0

    def request(self, method, path, body=None, timeout_s=60):
        return http_json.request(self.address, method, path, body, timeout_s)

    def try_request(self, method, path, body=None, timeout_s=60):
        return http_json.try_request(self.address, method, path, body,
                                     timeout_s)

    def ready(self):
        answer = self.try_request("GET", "/readyz", timeout_s=5)
        return answer is not None and answer.status == 200

    def new_ids(self, count=1):
        answer = self.request("POST", "/v1/ids", {"count": count})
        if answer.status != 200:
            raise AssertionError(f"no ids: {answer}")
        return answer.body["ids"]

    def submit(self, job_id, job, wait_ms=30000, timeout_s=60):
        return self.try_request("PUT", f"/v1/jobs/{job_id}?wait_ms={wait_ms}",
                                job, timeout_s)

    def query(self, job_id, wait_ms=0, timeout_s=60):
        return self.try_request("GET", f"/v1/jobs/{job_id}?wait_ms={wait_ms}",
                                timeout_s=timeout_s)

    def list_entry(self):
        return {"kind": "entry", "id": self.number, "domain": self.domain,
                "rack": f"r{self.number}", "address": self.address,
                "peer_address": self.relay.address if self.relay
                else self.peer_address, "state": "live"}


def job(tasks, service="roll-desk.tolerance", team="line-1", run_ms=50,
        **members):
    """Returns a job body with equal tasks."""
    payload = json.dumps({"run_ms": run_ms, "result": "ok"})
    return {"service": service, "team": team,
            "tasks": [{"payload": payload, "run_time_ms": max(1, int(run_ms))}
                      for _ in range(tasks)], **members}


class System:
    """Starts the system, and stops it on exit from a `with` block."""

    def __init__(self, build_dir, domains=1, instances=2, servers=4,
                 speeds=(1,), instance_settings=None, relays=False,
                 environment=None):
        """`environment` has variables of the entry instances."""
        self.build_dir = build_dir
        self.folder = tempfile.mkdtemp(prefix="goldcrestgate-test-")
        self.instance_settings = instance_settings or {}
        self.environment = environment
        self.processes = []
        self.platform_address = f"127.0.0.1:{free_port()}"
        self.servers = []
        self.instances = []
        for domain in range(1, domains + 1):
            for index in range(instances):
                self.instances.append(Instance(
                    domain * 10 + index, domain,
                    f"127.0.0.1:{free_port()}", f"127.0.0.1:{free_port()}"))
            for index in range(servers):
                self._start_server(domain, domain * 1000 + index,
                                   speeds[index % len(speeds)])
        if relays:
            for instance in self.instances:
                instance.relay = Relay(instance.peer_address)
        self._start_platform()
        for instance in self.instances:
            self.start(instance)

    def __enter__(self):
        try:
            self.wait_ready()
        except BaseException:
            self.print_logs()
            self.close()
            raise
        return self

    def __exit__(self, kind, value, trace):
        if kind is not None:
            self.print_logs()
        self.close()

    def binary(self, folder, name):
        return os.path.join(self.build_dir, folder, name)

    def _run(self, name, arguments, environment=None):
        process = Process(name, arguments,
                          os.path.join(self.folder, f"{name}.log"),
                          environment)
        self.processes.append(process)
        return process

    def _start_server(self, domain, number, speed):
        address = f"127.0.0.1:{free_port()}"
        process = self._run(f"server-{number}", [
            self.binary("tests", "backend_stub"), "--address", address,
            "--speed", str(speed)])
        self.servers.append(Server(number, domain, address, process))

    def _start_platform(self):
        start = {"instances": self.instance_list(), "streams": {"settings": [
            {"publication": "initial", "base": 0, "author": "test",
             "set": SETTINGS_TREE, "unset": []}]}}
        path = os.path.join(self.folder, "platform.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(start, file)
        self._run("platform", [
            self.binary("tests", "platform_stub"),
            "--address", self.platform_address, "--start-file", path])

    def instance_list(self):
        return [entry.list_entry() for entry in self.instances + self.servers]

    def start(self, instance, platform_address=None):
        """Starts or restarts an entry instance."""
        settings = {
            "instance": {"id": instance.number,
                         "failure_domain": instance.domain,
                         "rack": f"r{instance.number}"},
            "listen": {"callers_address": instance.address,
                       "peers_address": instance.peer_address},
            "platform": {"address":
                         platform_address or self.platform_address},
        }
        for section, values in self.instance_settings.items():
            settings.setdefault(section, {}).update(values)
        instance.starts += 1
        name = f"instance-{instance.number}-{instance.starts}"
        path = os.path.join(self.folder, f"{name}.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(settings, file, indent=1)
        instance.process = self._run(name, [
            self.binary("programs", "goldcrestgated"), "--settings", path],
            self.environment)

    def wait_ready(self, instances=None):
        for instance in instances or self.instances:
            wait_until(lambda: instance.ready() or
                       not instance.process.running(),
                       f"readiness of {instance.number}")
            if not instance.process.running():
                raise AssertionError(f"instance {instance.number} ended: "
                                     f"{instance.process.output()}")

    def platform(self, **values):
        """Changes faults or contents of the platform stub."""
        return http_json.request(self.platform_address, "POST", "/control",
                                 values).body

    def publish_list(self):
        self.platform(instances=self.instance_list())

    def task_starts(self):
        """Returns the started attempts of each task from all servers."""
        tasks = {}
        for server in self.servers:
            for task, attempts in server.starts()["started"].items():
                tasks.setdefault(task, []).extend(attempts)
        return tasks

    def assert_single_starts(self, repeatable=False):
        """Fails if an attempt started twice, or a task that must not repeat."""
        for task, attempts in self.task_starts().items():
            if len(set(attempts)) != len(attempts):
                raise AssertionError(f"{task}: one attempt started twice: "
                                     f"{attempts}")
            if not repeatable and len(attempts) > 1:
                raise AssertionError(f"{task} started {len(attempts)} times")

    def print_logs(self):
        for process in self.processes:
            if process.name.startswith("instance"):
                lines = process.output().splitlines()
                print(f"--- {process.name}: last of {len(lines)} lines",
                      file=sys.stderr)
                print("\n".join(lines[-25:]), file=sys.stderr)

    def cut_peers(self):
        """Drops all bytes between entry instances; needs `relays`."""
        for instance in self.instances:
            instance.relay.cut()

    def reconnect_peers(self):
        for instance in self.instances:
            instance.relay.clear_faults()

    def close(self):
        for instance in self.instances:
            if instance.relay:
                instance.relay.close()
        for process in self.processes:
            process.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def publication(base, values, author="test"):
    """Returns a settings publication with a new id."""
    return {"publication": f"p-{uuid.uuid4().hex}", "base": base,
            "author": author, "set": values, "unset": []}


def build_dir_argument():
    """Parses the command line that ctest passes to each failure test."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--build-dir", required=True)
    return parser.parse_args().build_dir
