"""Runs the unit tests and the integration tests, and prints one line of totals."""

import pathlib
import re
import subprocess
import sys
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"


def run_unit_tests():
    """Returns the passed and the failed count of the CppUTest binary."""
    run = subprocess.run([ROOT / "build" / "toucan-unit-tests", "-v"], capture_output=True, text=True, check=False)
    ran = re.search(r"\((?:(\d+) failures, )?\d+ tests, (\d+) ran", run.stdout)
    if not ran:
        print(run.stdout[-4000:], run.stderr[-4000:])
        return 0, 1
    failed = len(set(re.findall(r"error: Failure in (TEST\(.*?\))", run.stdout)))
    if run.returncode and not failed:
        failed = 1
    if failed:
        print(run.stdout[-8000:])
    return int(ran.group(2)) - failed, failed


def known_red_tests():
    """Returns the names of the tests that KNOWN-RED.txt lists (lines 'test: NAME')."""
    if not KNOWN_RED.exists():
        return set()
    return set(re.findall(r"^test: (\S+)", KNOWN_RED.read_text(encoding="utf-8"), re.M))


def flatten(suite):
    """Yields the single tests of a suite."""
    for item in suite:
        if isinstance(item, unittest.TestSuite):
            yield from flatten(item)
        else:
            yield item


def run_integration_tests(patterns):
    """Returns the passed and the failed count of Tests/Integration; known red tests are printed and left out."""
    sys.path.insert(0, str(ROOT / "Tests" / "Integration"))
    loader = unittest.TestLoader()
    if patterns:
        loader.testNamePatterns = [f"*{pattern}*" for pattern in patterns]
    found = list(flatten(loader.discover(str(ROOT / "Tests" / "Integration"), pattern="test_*.py")))
    red = known_red_tests()
    for test in found:
        if test.id() in red:
            print(f"known red, not run: {test.id()}")
    chosen = unittest.TestSuite(test for test in found if test.id() not in red)
    count = chosen.countTestCases()
    result = unittest.TextTestRunner(stream=sys.stdout, verbosity=2).run(chosen)
    failed = len(result.failures) + len(result.errors) + len(result.unexpectedSuccesses)
    return count - failed, failed


def main():
    """Runs everything, or only the integration tests that match the given patterns."""
    patterns = sys.argv[1:]
    unit = (0, 0) if patterns else run_unit_tests()
    integration = run_integration_tests(patterns)
    failed = unit[1] + integration[1]
    print(f"unit tests: {unit[0]} passed, {unit[1]} failed; integration tests: {integration[0]} passed, {integration[1]} failed")
    print(f"{unit[0] + integration[0]} passed, {failed} failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
