"""Guards against a second start, a different answer or an undetected conflict
when a caller submits the same id again, to its owner or through a peer."""

from harness import system
from harness.load import assert_complete


def main():
    with system.System(system.build_dir_argument(), instances=2) as running:
        owner, peer = running.instances
        body = system.job(20, run_ms=40)
        for first, second in ((owner, owner), (owner, peer), (peer, owner)):
            job_id = owner.new_ids()[0]
            answers = [first.submit(job_id, body), second.submit(job_id, body),
                       second.query(job_id)]
            for answer in answers:
                assert_complete(answer, 20)
                assert answer.body == answers[0].body, answers
        conflict = peer.submit(job_id, system.job(21, run_ms=40))
        assert conflict.status == 409, conflict
        assert conflict.body["error"]["name"] == "submission_conflict", conflict
        running.assert_single_starts()


if __name__ == "__main__":
    main()
