"""Runs the unit tests and the integration tests and prints the totals on the last line."""

import concurrent.futures
import pathlib
import re
import subprocess
import sys
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
# Most tests wait for timeouts of real processes; with more classes in parallel they would compete for CPU time.
PARALLEL_CLASSES = 3


def run_unit_tests():
    """Runs the CppUTest program and returns the numbers of passed and failed tests."""
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
    """Returns the names of the tests that KNOWN-RED.txt lists as known to fail (lines 'test: NAME')."""
    if not KNOWN_RED.exists():
        return set()
    return set(re.findall(r"^test: (\S+)", KNOWN_RED.read_text(encoding="utf-8"), re.M))


def flatten(suite):
    """Yields the individual tests of a suite."""
    for item in suite:
        if isinstance(item, unittest.TestSuite):
            yield from flatten(item)
        else:
            yield item


def run_class(test_ids):
    """Runs the tests of one class in a separate process; returns its output and the numbers of tests and failures."""
    run = subprocess.run([sys.executable, "-B", "-m", "unittest", "-v", *test_ids], capture_output=True, text=True,
                         cwd=ROOT / "Tests" / "Integration", check=False)
    output = run.stdout + run.stderr
    failed = sum(int(count) for count in re.findall(r"(?:failures|errors|unexpected successes)=(\d+)", output))
    if run.returncode and not failed:
        failed = len(test_ids)
    return output, len(test_ids), failed


def run_integration_tests(patterns):
    """Runs Tests/Integration and returns the numbers of passed and failed tests. Prints and skips known red tests."""
    sys.path.insert(0, str(ROOT / "Tests" / "Integration"))
    loader = unittest.TestLoader()
    if patterns:
        loader.testNamePatterns = [f"*{pattern}*" for pattern in patterns]
    known_red = known_red_tests()
    classes = {}
    for test in flatten(loader.discover(str(ROOT / "Tests" / "Integration"), pattern="test_*.py")):
        if test.id() in known_red:
            print(f"known red, not run: {test.id()}")
        else:
            classes.setdefault(type(test), []).append(test.id())
    passed = failed = 0
    with concurrent.futures.ThreadPoolExecutor(PARALLEL_CLASSES) as pool:
        for output, count, failures in pool.map(run_class, classes.values()):
            print(output, flush=True)
            passed += count - failures
            failed += failures
    return passed, failed


def main():
    """Runs all tests, or only the integration tests whose names contain one of the given patterns."""
    patterns = sys.argv[1:]
    unit = (0, 0) if patterns else run_unit_tests()
    integration = run_integration_tests(patterns)
    failed = unit[1] + integration[1]
    print(f"unit tests: {unit[0]} passed, {unit[1]} failed; "
          f"integration tests: {integration[0]} passed, {integration[1]} failed")
    print(f"{unit[0] + integration[0]} passed, {failed} failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
