"""Guards against an operator's command that hides a refusal, publishes twice,
overwrites the change of another operator or exits with the wrong code."""

import json
import os
import subprocess

from harness import system
from harness.processes import wait_until

SUCCESS, NEGATIVE, USAGE, REFUSED, CONFLICT, UNAVAILABLE, UNKNOWN = range(7)
TIMEOUT = "services.roll-desk.attempt_timeout_ms"


class Command:
    """Runs goldcrestgate against one entry instance."""

    def __init__(self, running, instance):
        self.program = running.binary("programs", "goldcrestgate")
        self.address = instance.address

    def run(self, *words, stdin=""):
        """Returns exit code, standard output and standard error."""
        completed = subprocess.run(
            [self.program, *words], input=stdin, text=True, timeout=90,
            capture_output=True, check=False,
            env={**os.environ, "GOLDCRESTGATE_ADDRESS": self.address})
        return completed.returncode, completed.stdout, completed.stderr

    def check(self, code, *words, stdin=""):
        """Runs a command and checks its exit code; returns standard output."""
        completed = self.run(*words, stdin=stdin)
        assert completed[0] == code, (words, completed)
        return completed[1]

    def json(self, *words, code=SUCCESS, stdin=""):
        return json.loads(self.check(code, *words, "--output", "json",
                                     stdin=stdin))


def check_settings(command, running, folder):
    before = command.json("settings", "get", TIMEOUT)
    assert before["value"] == 10000, before
    applied = command.json("settings", "set", TIMEOUT, "4000",
                           "services.roll-desk.release", "{}")
    assert applied["version"] > before["version"], applied
    assert command.json("settings", "get", TIMEOUT)["value"] == 4000
    effective = command.check(SUCCESS, "settings", "get", "--effective",
                              "services.roll-desk.release")
    assert "services.roll-desk\n" in effective, effective
    command.check(SUCCESS, "settings", "unset", TIMEOUT)
    command.check(USAGE, "settings", "unset", TIMEOUT)
    command.check(REFUSED, "settings", "set", TIMEOUT, "1")

    # The tree of a file is compared, published, and then equal.
    tree = command.json("settings", "get")["value"]
    tree["urgency"] = {"urgent_weight": 3}
    path = os.path.join(folder, "tree.json")
    with open(path, "w", encoding="utf-8") as file:
        json.dump(tree, file)
    changes = command.json("settings", "diff", path, code=NEGATIVE)
    assert changes == {"set": {"urgency": {"urgent_weight": 3}},
                       "unset": []}, changes
    # The log appends the record but loses the response; the command retries.
    running.platform(lose_answers=1)
    command.check(SUCCESS, "settings", "publish", path)
    command.check(SUCCESS, "settings", "diff", path)


def check_lists(command):
    services = command.json("services")["services"]
    assert [entry["path"] for entry in services] == [
        "roll-desk", "roll-desk.release", "roll-desk.stock-hold",
        "roll-desk.tolerance"], services
    assert "roll-desk.stock-hold" in command.check(SUCCESS, "services")
    teams = command.json("teams")["teams"]
    assert [entry["name"] for entry in teams] == ["line-1", "line-2"], teams
    assert len(command.json("servers")["servers"]) == 4
    assert command.json("instances")["instances"]
    assert command.json("settings", "status")["log"]["reachable"]


def check_jobs(command):
    body = json.dumps(system.job(3))
    answer = command.json("submit", stdin=body)
    assert answer["state"] == "done" and len(answer["tasks"]) == 3, answer
    shown = command.json("jobs", "show", answer["id"])
    assert shown["state"] == "done", shown
    decisions = command.json("explain", answer["id"], "0")["decisions"]
    assert decisions, decisions
    command.check(REFUSED, "explain", answer["id"], "9")
    command.check(REFUSED, "submit", stdin="{")
    command.check(USAGE, "jobs", "show", "g1-0")
    command.check(USAGE, "jobs")


def main():
    with system.System(system.build_dir_argument()) as running:
        first, second = running.instances
        command = Command(running, first)
        check_settings(command, running, running.folder)
        check_lists(command)
        check_jobs(command)

        running.platform(outage=True)
        command.check(UNAVAILABLE, "settings", "set", TIMEOUT, "5000")
        running.platform(outage=False)

        command.check(SUCCESS, "drain")
        wait_until(lambda: not first.process.running(), "end of the instance")
        command.check(UNAVAILABLE, "services")
        Command(running, second).check(SUCCESS, "services")


if __name__ == "__main__":
    main()
