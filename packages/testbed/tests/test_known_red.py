"""Guard against a list of known failures that lets an unlisted test fail unnoticed.

The failure of a listed test must not fail the run; that of any other test must.
"""

from pathlib import Path

import pytest

pytest_plugins = ["pytester"]

LISTED = """\
test: inner/tests/test_listed.py::test_listed
command: pytest
seen: fails
issue: 0
"""


@pytest.fixture
def project(pytester: pytest.Pytester) -> Path:
    """Return a project whose pytest root is below the repository root, as the adapter's is."""
    root = pytester.path
    (root / "KNOWN-RED.txt").write_text(LISTED)
    tests = root / "inner" / "tests"
    tests.mkdir(parents=True)
    (root / "inner" / "pytest.ini").write_text("[pytest]\n")
    (tests / "test_listed.py").write_text(
        "def test_listed():\n    assert False\n\ndef test_other():\n    assert True\n"
    )
    return root / "inner"


def run(pytester: pytest.Pytester, folder: Path) -> pytest.RunResult:
    ini = str(folder / "pytest.ini")
    return pytester.runpytest_subprocess(
        "-c", ini, "--rootdir", str(folder), "-p", "redwingport_testbed.known_red", str(folder)
    )


def test_the_failure_of_a_listed_test_does_not_fail_the_run(
    pytester: pytest.Pytester, project: Path
) -> None:
    result = run(pytester, project)
    assert result.ret == pytest.ExitCode.OK
    result.stdout.fnmatch_lines(["*tests of KNOWN-RED.txt*", "*test_listed: failed"])


def test_the_failure_of_an_unlisted_test_fails_the_run(
    pytester: pytest.Pytester, project: Path
) -> None:
    (project / "tests" / "test_listed.py").write_text("def test_other():\n    assert False\n")
    assert run(pytester, project).ret == pytest.ExitCode.TESTS_FAILED
