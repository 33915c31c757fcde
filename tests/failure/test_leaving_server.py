"""Guards against new starts on a leaving backend server, whether the instance
list or a refusal of the server reports that it is leaving."""

from harness import system
from harness.load import Caller
from harness.processes import wait_until


def main():
    with system.System(system.build_dir_argument(), instances=2) as running:
        by_list, by_refusal = running.servers[:2]
        callers = [Caller(running.instances, tasks=8) for _ in range(4)]
        for caller in callers:
            caller.start()
        wait_until(lambda: by_list.starts()["starts"] > 0 and
                   by_refusal.starts()["starts"] > 0, "starts on both servers")
        by_refusal.control(mode="leaving")
        by_list.leaving = True
        running.publish_list()
        wait_until(lambda: all(shows_as_leaving(instance, by_list)
                               for instance in running.instances),
                   "leaving server in the list of both instances")
        wait_until(lambda: by_list.starts()["running"] == 0, "end of its work")
        # A read of an unchanged list does not transfer the list.
        wait_until(lambda: running.platform()["unmodified_lists"] > 0,
                   "read of an unchanged list")
        before = [by_list.starts()["starts"], by_refusal.starts()["starts"]]
        answered = sum(len(caller.answers) for caller in callers)
        wait_until(lambda: sum(len(caller.answers) for caller in callers) >
                   answered + 40, "more answers")
        after = [by_list.starts()["starts"], by_refusal.starts()["starts"]]
        for caller in callers:
            caller.finish()
        assert before == after, f"starts on leaving servers: {before} {after}"
        for caller in callers:
            for answer in caller.answers.values():
                assert answer.body["state"] == "done", answer


def shows_as_leaving(instance, server):
    entries = instance.request("GET", "/v1/admin/servers").body["servers"]
    return any(entry["id"] == server.number and entry["state"] == "leaving"
               for entry in entries)


if __name__ == "__main__":
    main()
