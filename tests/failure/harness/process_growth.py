"""Growth of the memory and the descriptors of a process under load."""

import time


class ProcessGrowth:
    """Largest growth since the construction, and the present one."""

    def __init__(self, process):
        self.process = process
        self.memory_before = process.memory_bytes()
        self.descriptors_before = process.descriptors()
        self.memory = 0
        self.descriptors = 0

    def present_memory(self):
        self.process.check_running()
        return self.process.memory_bytes() - self.memory_before

    def measure(self):
        self.memory = max(self.memory, self.present_memory())
        self.descriptors = max(
            self.descriptors,
            self.process.descriptors() - self.descriptors_before)

    def settle(self):
        """Measures until the process has read what was sent to it."""
        changes_until = time.monotonic() + 2
        end = time.monotonic() + 20
        while time.monotonic() < min(changes_until, end):
            before = self.memory
            time.sleep(0.1)
            self.measure()
            if self.memory > before + 256 * 1024:
                changes_until = time.monotonic() + 2

    def faults(self, memory_bound, descriptor_bound):
        """Returns the bounds that were exceeded, as text."""
        print(f"{self.process.name}: memory growth {self.memory}, "
              f"descriptor growth {self.descriptors}", flush=True)
        found = []
        if self.memory > memory_bound:
            found.append(f"memory of {self.process.name} grew by "
                         f"{self.memory} bytes, bound {memory_bound}")
        if self.descriptors > descriptor_bound:
            found.append(f"{self.descriptors} more descriptors of "
                         f"{self.process.name}, bound {descriptor_bound}")
        return found
