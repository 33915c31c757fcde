"""Load of untrusted clients on `goldcrestgated`."""

from . import request_load, system
from .process_growth import ProcessGrowth
from .request_load import try_send


class LoadedDaemon:
    """A `goldcrestgated` with lowered limits."""

    def __init__(self, callers_settings):
        self.running = system.System(
            system.build_dir_argument(), instances=1,
            instance_settings={"callers": callers_settings},
            environment=request_load.ENVIRONMENT)
        self.instance = self.running.instances[0]
        self.connections = []

    def __enter__(self):
        self.running.__enter__()
        self.check_job(system.job(2))
        self.growth = ProcessGrowth(self.instance.process)
        return self

    def __exit__(self, *failure):
        for connection in self.connections:
            connection.close()
        self.running.__exit__(*failure)

    def send_unfinished_bodies(self, clients, declared_bytes, sent_bytes):
        head = ("PUT /v1/jobs/x HTTP/1.1\r\nhost: x\r\n"
                f"content-length: {declared_bytes}\r\n\r\n").encode()
        body = b"x" * sent_bytes
        for _ in range(clients):
            connection = request_load.connect(self.instance.address, 1)[0]
            connection.settimeout(20)
            self.connections.append(connection)
            try_send(connection, head + body)
            self.growth.measure()
        self.growth.settle()

    def check_job(self, job):
        answer = self.instance.submit(self.instance.new_ids()[0], job)
        assert answer is not None and answer.status == 200, \
            f"normal job: {answer}"
