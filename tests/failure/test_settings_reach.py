"""Guards against settings that are lost when log records expire, and settings
that do not reach a failure domain that has lost the log but not its peers."""

import sys

from harness import http_json, system
from harness.processes import wait_until
from harness.relay import Relay

PATH = "services.roll-desk.attempt_timeout_ms"
PUBLICATIONS = 60


def settings(instance):
    return instance.request("GET", "/v1/admin/settings").body


def value(instance):
    return settings(instance)["tree"]["services"]["roll-desk"][
        "attempt_timeout_ms"]


def publish(instance, number):
    def accepted():
        record = system.publication(settings(instance)["version"],
                                    {PATH: number})
        return instance.request("POST", "/v1/admin/settings",
                                record).status == 200

    wait_until(accepted, f"publication of {number}")


def check_expiry(build_dir):
    """Restarts the only instance after the first log records have expired."""
    limits = {"settings": {"snapshot_record_limit": 16}}
    with system.System(build_dir, instances=1, servers=1,
                       instance_settings=limits) as running:
        only = running.instances[0]
        for number in range(PUBLICATIONS):
            publish(only, 1000 + number)
        wait_until(lambda: "settings_snapshot" in only.process.output(),
                   "a snapshot in the log")
        # The log retains the snapshot and expires the records before it.
        running.platform(retained_records=PUBLICATIONS // 2)
        publish(only, 2000)
        expired = http_json.request(running.platform_address, "GET",
                                    "/log/settings?from=0&limit=1")
        assert expired.status == 410, expired
        before = settings(only)
        only.process.kill()
        running.start(only)
        running.wait_ready()
        after = settings(only)
        assert after["tree"] == before["tree"], (before, after)
        assert after["version"] >= before["version"], (before, after)
        publish(only, 9000)
        assert value(only) == 9000


def check_lists_both_domains(instance, other):
    """Checks that an operator sees the version in force in each domain."""
    def status():
        return {entry["domain"]: entry for entry in instance.request(
            "GET", "/v1/admin/settings/status").body["instances"]}

    wait_until(lambda: status()[other.domain].get("version")
               == settings(other)["version"], "the other domain's version")
    assert status()[instance.domain]["self"] is True, status()
    listed = {entry["id"]: entry for entry in instance.request(
        "GET", "/v1/admin/instances").body["instances"]}
    assert listed[other.number]["state"] == "live", listed
    assert listed[other.number]["settings_version"] == \
        settings(other)["version"], listed
    assert listed[instance.number]["self"] is True, listed


def check_cut_off_domain(build_dir):
    """Cuts domain 2 off from the platform but not from its peers."""
    with system.System(build_dir, domains=2, instances=1,
                       servers=1) as running:
        first, second = running.instances
        relay = Relay(running.platform_address)
        second.process.kill()
        running.start(second, platform_address=relay.address)
        running.wait_ready()
        relay.cut()
        publish(first, 4321)
        wait_until(lambda: value(second) == 4321, "setting in the second domain")
        relay.clear_faults()
        publish(second, 5432)
        wait_until(lambda: value(first) == 5432, "setting in the first domain")
        assert settings(second)["tree"] == settings(first)["tree"]
        check_lists_both_domains(first, second)
        check_lists_both_domains(second, first)
        relay.close()


def main():
    build_dir = system.build_dir_argument()
    check_expiry(build_dir)
    check_cut_off_domain(build_dir)


if __name__ == "__main__":
    sys.exit(main())
