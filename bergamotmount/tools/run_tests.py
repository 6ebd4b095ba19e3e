"""Runs the unit tests; failures listed in KNOWN-RED.txt are tolerated."""

import argparse
import logging
import pathlib
import re
import sys
import unittest

KNOWN_RED = pathlib.Path('KNOWN-RED.txt')

_TEST_LINE = re.compile(r'^test: (\S+)$', re.MULTILINE)


def read_known_red() -> set[str]:
    """Return the names of the tests that KNOWN-RED.txt lists."""
    if not KNOWN_RED.exists():
        return set()
    return set(_TEST_LINE.findall(KNOWN_RED.read_text(encoding='utf-8')))


def main() -> None:
    """Run all or the named tests; exit with 1 on an unlisted failure."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('names', nargs='*', help='tests as module.Class.test')
    arguments = parser.parse_args()
    logging.disable(logging.CRITICAL)
    loader = unittest.TestLoader()
    if arguments.names:
        suite = loader.loadTestsFromNames(arguments.names)
    else:
        suite = loader.discover('bergamotmount/tests', top_level_dir='.')
    outcome = unittest.TextTestRunner(verbosity=1).run(suite)
    sys.exit(report(outcome))


def report(outcome: unittest.TestResult) -> int:
    """Print the result lines and return the exit code."""
    problems = outcome.failures + outcome.errors
    # The id of a subtest has its parameters after a space.
    failed = {test.id().split()[0] for test, _ in problems}
    listed = read_known_red()
    for name in sorted(failed & listed):
        sys.stdout.write(f'known red: {name}\n')
    for name in sorted(listed - failed):
        sys.stdout.write(f'listed as known red, but did not fail: {name}\n')
    passed = outcome.testsRun - len(failed)
    unexpected = failed - listed
    sys.stdout.write(f'{passed} passed, {len(failed)} failed\n')
    if not outcome.testsRun:
        return 1
    return 1 if unexpected or outcome.unexpectedSuccesses else 0


if __name__ == '__main__':
    main()
