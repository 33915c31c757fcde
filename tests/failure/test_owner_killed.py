"""Guards against lost or wrong fates and second starts when the owner of a
running job is killed and a peer answers from its copy."""

from harness import system
from harness.load import assert_no_results, assert_fates_match_starts
from harness.processes import wait_until


def main():
    with system.System(system.build_dir_argument(), instances=3) as running:
        owner, peer, other = running.instances
        done = owner.new_ids()[0]
        assert owner.submit(done, system.job(4)).body["state"] == "done"
        # 80 tasks on 32 slots: some run and some wait when the owner dies.
        open_job = owner.new_ids()[0]
        accepted = owner.submit(open_job, system.job(80, run_ms=1500),
                                wait_ms=0)
        assert accepted.status == 202, accepted
        wait_until(lambda: any(task.startswith(open_job)
                               for task in running.task_starts()),
                   "start of a task")
        owner.process.kill()

        for instance in (peer, other):
            answer = wait_until(
                lambda: fate_known(instance.query(open_job, wait_ms=500)),
                "fate from a peer")
            assert answer.body["state"] in ("failed", "unknown"), answer
            assert_no_results(answer)
            assert_fates_match_starts(answer, running.task_starts())
            resubmitted = instance.submit(open_job,
                                          system.job(80, run_ms=1500))
            assert resubmitted.body["state"] != "done", resubmitted
        finished = peer.query(done)
        assert finished.body["state"] in ("done", "unknown"), finished
        running.assert_single_starts()

        # The other instances of the failure domain still serve jobs.
        after = peer.submit(peer.new_ids()[0], system.job(4))
        assert after.body["state"] == "done", after


def fate_known(answer):
    known = answer is not None and answer.body and \
        answer.body.get("state") in ("failed", "unknown") and \
        "tasks" in answer.body
    return answer if known else None


if __name__ == "__main__":
    main()
