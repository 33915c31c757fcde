"""Guards against lost jobs, second runs and false answers when the owner of
leased executors is killed, stopped or paused, and while the store is away."""

import threading

from harness import http_json, system
from harness.leased import LeasedSystem
from harness.processes import wait_until

COMPLETED = {"state": "completed"}


def main():
    build_dir = system.build_dir_argument()
    with LeasedSystem(build_dir) as running:
        answers_what_it_is_asked(running)
        serves_without_the_store(running)
        each_instance_reads_the_configuration(running)
        planned_stop_cuts_off_nothing(running)
    with LeasedSystem(build_dir) as running:
        successor_adopts_runs(running)
    with LeasedSystem(build_dir) as running:
        paused_owner_is_succeeded(running)


def submit_later(instance, job_id, tasks, work_ms):
    """Submits in a thread; the returned list gets the answer."""
    answers = []
    thread = threading.Thread(target=lambda: answers.append(
        instance.submit(job_id, tasks, work_ms)))
    thread.start()
    return thread, answers


def answers_what_it_is_asked(running):
    instance = running.instances[0]
    answer = instance.submit(1, 4, 60)
    assert (answer.status, answer.body) == (200, COMPLETED), answer
    assert running.starts_of(1) == 4, running.starts
    for path, body, status in [("/other/0000000000000001", "{}", 404),
                               ("/desk/0001", "{}", 400),
                               ("/desk/0000000000000001", "{", 400),
                               ("/desk/0000000000000002",
                                '{"task_spec":"t","phases":[{"count":1}]}',
                                503)]:
        told = post(instance, path, body)
        assert told.status == status, (path, told)


def post(instance, path, body):
    return http_json.request(instance.callers, "POST", path, body)


def serves_without_the_store(running):
    running.store.down = True
    answer = running.instances[1].submit(10, 2, 60)
    assert (answer.status, answer.body) == (200, COMPLETED), answer
    running.store.down = False
    running.publish(2, 1400)
    wait_until(lambda: all(i.metric("configuration_version") == 2
                           for i in running.instances), "new configuration")


def each_instance_reads_the_configuration(running):
    """A configuration that all send to all fills the links of small instances
    (solis-sched-grown scale-2, 1,236 routes)."""
    running.publish(3, 1500)
    wait_until(lambda: all(i.metric("configuration_version") == 3
                           for i in running.instances), "new configuration")
    for instance in running.instances:
        lines = [line for line in instance.process.output().splitlines()
                 if '"configuration_in_force"' in line and
                 '"version":3' in line]
        assert len(lines) == 1 and '"source":"store"' in lines[0], lines


def planned_stop_cuts_off_nothing(running):
    owner = running.owner()
    other = next(i for i in running.instances if i is not owner)
    work = [submit_later(instance, 20 + n, 2, 500)
            for n, instance in enumerate([owner, other])]
    wait_until(lambda: running.starts_of(20) + running.starts_of(21) == 4,
               "starts")
    owner.process.terminate()
    for thread, answers in work:
        thread.join()
        assert answers[0] is not None and answers[0].status == 200, answers
    assert owner.process.wait() == 0
    assert not running.double_runs, running.double_runs
    assert running.starts_of(20) + running.starts_of(21) == 4, running.starts


def successor_adopts_runs(running):
    owner = running.owner()
    other = next(i for i in running.instances if i is not owner)
    thread, answers = submit_later(other, 30, 3, 900)
    wait_until(lambda: running.starts_of(30) == 3, "starts")
    owner.process.kill()
    thread.join()
    assert answers[0].status == 200, answers
    assert running.starts_of(30) == 3, running.starts
    assert not running.double_runs, running.double_runs


def paused_owner_is_succeeded(running):
    owner = running.owner()
    other = next(i for i in running.instances if i is not owner)
    owner.process.pause()
    wait_until(lambda: other.metric("owner") == 1, "succession")
    wait_until(lambda: other.metric("executors_claimed") ==
               len(running.executors), "claimed executors")
    answer = other.submit(40, 4, 60)
    assert answer.status == 200, answer
    owner.process.resume()
    wait_until(lambda: owner.metric("owner") == 0, "end of the old ownership")
    answer = owner.submit(41, 4, 60)
    assert answer.status == 200, answer
    assert not running.double_runs, running.double_runs


if __name__ == "__main__":
    main()
