"""Guards against invalid requests that run tasks, crash the instance or affect
the requests of other callers."""

import json
import socket

from harness import system
from harness.load import assert_complete


def bad_bodies():
    job = system.job(1)
    yield "malformed_json", b'{"service":'
    yield "malformed_json", b""
    yield "invalid_utf8", b'{"service":"\xff\xfe"}'
    yield "too_many_tasks", system.job(1801)
    yield "invalid_field", {**job, "tasks": []}
    yield "unknown_service", {**job, "service": "no.such"}
    yield "unknown_team", {**job, "team": "no-such"}
    yield "invalid_field", {**job, "deadline_ms": 0}
    yield "invalid_field", {**job, "deadline_ms": -5}
    yield "invalid_field", {**job, "tasks": [{"payload": "",
                                              "run_time_ms": 0}]}
    yield "invalid_field", {**job, "tasks": [{"payload": "",
                                              "run_time_ms": -1}]}
    yield "invalid_field", {**job, "urgency": "later"}
    yield "invalid_field", {**job, "no_such_key": 1}
    yield "body_too_large", b" " * (9 * 1024 * 1024)


def main():
    with system.System(system.build_dir_argument(), instances=1) as running:
        instance = running.instances[0]
        incomplete = send_incomplete_request(instance.address)
        for name, body in bad_bodies():
            job_id = instance.new_ids()[0]
            answer = instance.submit(job_id, body)
            assert answer is not None, f"{name}: no answer"
            assert 400 <= answer.status < 500, (name, answer)
            assert answer.body["error"]["name"] == name, (name, answer)
            assert answer.body["fate"] == "not_run", (name, answer)
        for path in ("/v1/jobs/nonsense", "/v1/jobs/g1-1-1-1-1-1"):
            answer = instance.request("GET", path)
            assert answer.status == 400, answer
            assert answer.body["error"]["name"] == "invalid_submission_id"
        assert instance.request("POST", "/v1/ids",
                                {"count": 0}).status == 400
        assert instance.request("GET", "/no/such/path").status == 404
        assert not running.task_starts()
        assert_complete(instance.submit(instance.new_ids()[0], system.job(4)),
                        4)
        incomplete.close()


def send_incomplete_request(address):
    host, port = address.split(":")
    connection = socket.create_connection((host, int(port)))
    head = "PUT /v1/jobs/g1-1-1-1-1 HTTP/1.1\r\nhost: x\r\n" \
           "content-length: 100\r\n\r\n"
    connection.sendall(head.encode() + json.dumps({}).encode())
    connection.shutdown(socket.SHUT_WR)
    return connection


if __name__ == "__main__":
    main()
