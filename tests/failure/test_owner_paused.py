"""Guards against a start by an owner that resumes after a peer has reported
its unstarted tasks as `not_run`."""

from harness import system
from harness.load import assert_no_results, assert_fates_match_starts
from harness.processes import wait_until


def main():
    with system.System(system.build_dir_argument(), instances=3) as running:
        owner, peer, _ = running.instances
        job_id = owner.new_ids()[0]
        accepted = owner.submit(job_id, system.job(80, run_ms=400), wait_ms=0)
        assert accepted.status == 202, accepted
        wait_until(lambda: any(task.startswith(job_id)
                               for task in running.task_starts()),
                   "start of a task")
        owner.process.pause()
        reported = wait_until(lambda: final(peer.query(job_id, wait_ms=500)),
                              "fate from a peer")
        assert_no_results(reported)
        owner.process.resume()
        wait_until(lambda: final(owner.query(job_id, wait_ms=500)),
                   "end of the job at its owner")
        # A late start is visible in the counters once all work has ended.
        wait_until(lambda: all(server.starts()["running"] == 0
                               for server in running.servers), "end of work")
        assert_fates_match_starts(reported, running.task_starts())
        running.assert_single_starts()

        again = owner.submit(owner.new_ids()[0], system.job(4))
        assert again.body["state"] == "done", again


def final(answer):
    is_final = answer is not None and answer.body and \
        answer.body.get("state") in ("done", "failed", "unknown") and \
        "tasks" in answer.body
    return answer if is_final else None


if __name__ == "__main__":
    main()
