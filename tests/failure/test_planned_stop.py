"""Guards against requests that a graceful stop leaves unanswered, while each
instance in turn is stopped and restarted under load."""

import time

from harness import system
from harness.load import Caller, assert_complete


def main():
    with system.System(system.build_dir_argument(), instances=3) as running:
        callers = [Caller(running.instances) for _ in range(6)]
        for caller in callers:
            caller.start()
        for instance in running.instances:
            time.sleep(0.5)
            instance.process.terminate()
            assert instance.process.wait() == 0, instance.process.output()
            running.start(instance)
            running.wait_ready([instance])
        for caller in callers:
            caller.finish()
        served = 0
        for caller in callers:
            assert not caller.unanswered, f"no answer for {caller.unanswered}"
            for answer in caller.answers.values():
                if answer.status == 503:
                    # A stopping instance refused the job, which did not run.
                    assert answer.body["fate"] == "not_run", answer
                else:
                    assert_complete(answer, 4)
                    served += 1
        assert served > 0
        running.assert_single_starts()


if __name__ == "__main__":
    main()
