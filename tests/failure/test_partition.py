"""Guards against second starts and wrong fates while entry instances cannot
reach each other, and against refused jobs on either side of the partition."""

from harness import system
from harness.load import (assert_no_results, assert_fates_match_starts,
                          assert_complete)
from harness.processes import wait_until


def main():
    build_dir = system.build_dir_argument()
    between_failure_domains(build_dir)
    inside_a_failure_domain(build_dir)


def between_failure_domains(build_dir):
    with system.System(build_dir, domains=2, instances=1,
                       relays=True) as running:
        owner, remote = running.instances
        job_id = owner.new_ids()[0]
        body = system.job(4)
        assert_complete(owner.submit(job_id, body), 4)
        wait_until(lambda: is_done(remote.query(job_id)),
                   "answer through the other domain")
        running.cut_peers()
        # The other side of the partition cannot know the fate of the job.
        reported = wait_until(
            lambda: final(remote.submit(job_id, body, wait_ms=3000)),
            "answer of the other domain")
        assert reported.body.get("fate") == "unknown" or \
            reported.body.get("state") == "unknown", reported
        for instance in running.instances:
            assert_complete(instance.submit(instance.new_ids()[0], body), 4)
        running.reconnect_peers()
        wait_until(lambda: is_done(remote.query(job_id)),
                   "answer after the cut")
        running.assert_single_starts()


def inside_a_failure_domain(build_dir):
    with system.System(build_dir, instances=2, relays=True) as running:
        owner, peer = running.instances
        job_id = owner.new_ids()[0]
        owner.submit(job_id, system.job(80, run_ms=600), wait_ms=0)
        wait_until(lambda: any(task.startswith(job_id)
                               for task in running.task_starts()),
                   "start of a task")
        running.cut_peers()
        reported = [wait_until(lambda: final(peer.query(job_id, wait_ms=500)),
                               "fate from the copy"),
                    wait_until(lambda: final(owner.query(job_id, wait_ms=500)),
                               "end of the job at its owner")]
        wait_until(lambda: all(server.starts()["running"] == 0
                               for server in running.servers), "end of work")
        starts = running.task_starts()
        for answer in reported:
            if answer.body.get("tasks"):
                assert_no_results_or_complete(answer)
                assert_fates_match_starts(answer, starts)
        for instance in running.instances:
            assert_complete(instance.submit(instance.new_ids()[0],
                                            system.job(4)), 4)
        running.reconnect_peers()
        assert_complete(owner.submit(owner.new_ids()[0], system.job(4)), 4)
        running.assert_single_starts()


def assert_no_results_or_complete(answer):
    if answer.body["state"] == "done":
        assert_complete(answer, 80)
    else:
        assert_no_results(answer)


def is_done(answer):
    return answer is not None and answer.status == 200 and \
        answer.body["state"] == "done"


def final(answer):
    known = answer is not None and answer.body and (
        answer.body.get("state") in ("done", "failed", "unknown") or
        answer.body.get("fate") == "unknown")
    return answer if known else None


if __name__ == "__main__":
    main()
