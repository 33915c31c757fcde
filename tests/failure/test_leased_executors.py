"""Guards against lost jobs, duplicate runs and wrong answers when the owner of
leased executors is killed, stopped or paused, or the store is unavailable."""

import threading

from harness import http_json, system
from harness.leased import LeasedSystem
from harness.processes import wait_until

COMPLETED = {"state": "completed"}


def main():
    build_dir = system.build_dir_argument()
    with LeasedSystem(build_dir) as running:
        responds_to_valid_and_invalid_jobs(running)
        serves_without_the_store(running)
        each_instance_reads_the_configuration(running)
        planned_stop_interrupts_no_run(running)
    with LeasedSystem(build_dir) as running:
        successor_adopts_runs(running)
    with LeasedSystem(build_dir) as running:
        paused_owner_is_replaced(running)


def submit_in_thread(instance, job_id, tasks, work_ms):
    """Submits in a new thread; returns it with a list that gets the answer."""
    answers = []
    thread = threading.Thread(target=lambda: answers.append(
        instance.submit(job_id, tasks, work_ms)))
    thread.start()
    return thread, answers


def responds_to_valid_and_invalid_jobs(running):
    instance = running.instances[0]
    answer = instance.submit(1, 4, 60)
    assert (answer.status, answer.body) == (200, COMPLETED), answer
    assert running.start_count(1) == 4, running.starts
    for path, body, status in [("/other/0000000000000001", "{}", 404),
                               ("/desk/0001", "{}", 400),
                               ("/desk/0000000000000001", "{", 400),
                               ("/desk/0000000000000002",
                                '{"task_spec":"t","phases":[{"count":1}]}',
                                503)]:
        response = post(instance, path, body)
        assert response.status == status, (path, response)


def post(instance, path, body):
    return http_json.request(instance.callers_address, "POST", path, body)


def serves_without_the_store(running):
    running.store.down = True
    answer = running.instances[1].submit(10, 2, 60)
    assert (answer.status, answer.body) == (200, COMPLETED), answer
    running.store.down = False
    running.publish_configuration(2, 1400)
    wait_until(lambda: all(i.metric("configuration_version") == 2
                           for i in running.instances), "new configuration")


def each_instance_reads_the_configuration(running):
    """Guards against instances that forward the configuration to each other:
    with 1,236 routes, that saturated the links of small instances."""
    running.publish_configuration(3, 1500)
    wait_until(lambda: all(i.metric("configuration_version") == 3
                           for i in running.instances), "new configuration")
    for instance in running.instances:
        lines = [line for line in instance.process.output().splitlines()
                 if '"configuration_in_force"' in line and
                 '"version":3' in line]
        assert len(lines) == 1 and '"source":"store"' in lines[0], lines


def planned_stop_interrupts_no_run(running):
    owner = running.owner()
    other = next(i for i in running.instances if i is not owner)
    work = [submit_in_thread(instance, 20 + n, 2, 500)
            for n, instance in enumerate([owner, other])]
    wait_until(lambda: running.start_count(20) + running.start_count(21) == 4,
               "starts")
    owner.process.terminate()
    for thread, answers in work:
        thread.join()
        assert answers[0] is not None and answers[0].status == 200, answers
    assert owner.process.wait() == 0
    assert not running.duplicate_runs, running.duplicate_runs
    assert running.start_count(20) + running.start_count(21) == 4, \
        running.starts


def successor_adopts_runs(running):
    owner = running.owner()
    other = next(i for i in running.instances if i is not owner)
    thread, answers = submit_in_thread(other, 30, 3, 900)
    wait_until(lambda: running.start_count(30) == 3, "starts")
    owner.process.kill()
    thread.join()
    assert answers[0].status == 200, answers
    assert running.start_count(30) == 3, running.starts
    assert not running.duplicate_runs, running.duplicate_runs


def paused_owner_is_replaced(running):
    owner = running.owner()
    other = next(i for i in running.instances if i is not owner)
    owner.process.pause()
    wait_until(lambda: other.metric("owner") == 1, "change of the owner")
    wait_until(lambda: other.metric("executors_claimed") ==
               len(running.executors), "claimed executors")
    answer = other.submit(40, 4, 60)
    assert answer.status == 200, answer
    owner.process.resume()
    wait_until(lambda: owner.metric("owner") == 0,
               "end of the earlier ownership")
    answer = owner.submit(41, 4, 60)
    assert answer.status == 200, answer
    assert not running.duplicate_runs, running.duplicate_runs


if __name__ == "__main__":
    main()
