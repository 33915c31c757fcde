"""Submits jobs from threads and records the answers of each caller."""

import threading
import time

from .system import job


class Caller(threading.Thread):
    """Submits jobs one after the other, through each instance in turn."""

    def __init__(self, instances, tasks=4, run_ms=30, **members):
        super().__init__(daemon=True)
        self.instances = instances
        self.tasks = tasks
        self.run_ms = run_ms
        self.members = members
        self.answers = {}
        self.unanswered = []
        self._stop_requested = threading.Event()

    def run(self):
        turn = 0
        while not self._stop_requested.is_set():
            turn += 1
            instance = self.instances[turn % len(self.instances)]
            if not self._submit_one(instance):
                time.sleep(0.02)

    def _submit_one(self, instance):
        ids = instance.try_request("POST", "/v1/ids", {"count": 1})
        if ids is None or ids.status != 200:
            return False
        job_id = ids.body["ids"][0]
        answer = instance.submit(
            job_id, job(self.tasks, run_ms=self.run_ms, **self.members))
        if answer is None:
            self.unanswered.append(job_id)
        else:
            self.answers[job_id] = answer
        return True

    def finish(self):
        self._stop_requested.set()
        self.join()


def assert_complete(answer, tasks):
    """Fails unless the answer has the results of all tasks."""
    if answer is None or answer.status != 200:
        raise AssertionError(f"no complete answer: {answer}")
    if answer.body["state"] != "done":
        raise AssertionError(f"not done: {answer}")
    results = [task.get("result") for task in answer.body["tasks"]]
    if results != ["ok"] * tasks:
        raise AssertionError(f"partial answer: {answer}")


def assert_no_results(answer):
    """Fails if an answer that is not `done` has any result."""
    if any("result" in task for task in answer.body.get("tasks", [])):
        raise AssertionError(f"a failed answer has results: {answer}")


def assert_fates_match_starts(answer, starts):
    """Fails if a task that is reported as `not_run` was started."""
    job_id = answer.body["id"]
    for index, task in enumerate(answer.body.get("tasks", [])):
        if task["fate"] == "not_run" and f"{job_id}/{index}" in starts:
            raise AssertionError(f"{job_id}/{index} was started but is "
                                 "reported as not_run")
