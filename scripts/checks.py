"""What demos print: one line a check, and a sum at the end."""


class Checks:
    """Counts and prints the checks of a demo."""

    def __init__(self, system):
        self.system = system
        self.passed = 0
        self.failed = 0

    def check(self, what, holds, seen):
        self.passed += bool(holds)
        self.failed += not holds
        print(f"{'pass' if holds else 'FAIL'}: {what}: {seen}", flush=True)

    def sum_up(self, name):
        """Prints the sum and returns the exit code."""
        print(f"{name}: {self.passed} passed, {self.failed} failed")
        return 1 if self.failed else 0
