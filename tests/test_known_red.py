"""Tests of the marking of known failures."""

import pathlib

import pytest

import known_red

_TEXT = """\
Tests that are known to fail:

- test: tests/a/test_b.py::TestC::test_d[1]
  command: make test
- test: tests/a/test_b.py::TestC::test_e
- HARM on hunted days, no test of CI
"""


class TestKnownRed:
    """Only the tests listed in KNOWN-RED.txt may fail."""

    def test_the_list_holds_tests_only(self) -> None:
        assert known_red.parse_test_ids(_TEXT) == [
            "tests/a/test_b.py::TestC::test_d[1]",
            "tests/a/test_b.py::TestC::test_e",
        ]

    @pytest.mark.parametrize(
        ("node", "is_listed"),
        [
            ("tests/a/test_b.py::TestC::test_d[1]", True),
            ("tests/a/test_b.py::TestC::test_d[2]", False),
            ("tests/a/test_b.py::TestC::test_e", True),
            ("tests/a/test_b.py::TestC::test_e[case]", True),
            ("tests/a/test_b.py::TestC::test_f", False),
            ("tests/a/test_b.py::TestC::test_e_too", False),
        ],
    )
    def test_a_test_or_all_its_cases(self, node: str, is_listed: bool) -> None:
        names = known_red.parse_test_ids(_TEXT)
        assert known_red.is_listed(node, names) == is_listed

    def test_every_listed_test_exists(
        self, request: pytest.FixtureRequest
    ) -> None:
        """Guards against entries that are left after a test was renamed."""
        text = known_red.LIST_PATH.read_text(encoding="utf-8")
        for name in known_red.parse_test_ids(text):
            path, _, rest = name.partition("::")
            source = pathlib.Path(request.config.rootpath) / path
            owner, _, function = rest.partition("[")[0].rpartition("::")
            # A state machine of hypothesis inherits its only test, runTest.
            is_inherited = function == "runTest"
            definition = f"\n{owner} = " if is_inherited else f"def {function}("
            assert definition in source.read_text(encoding="utf-8")


@pytest.mark.parametrize("is_known", [True, False])
def test_a_failing_test_fails_the_run_unless_it_is_listed(
    pytester: pytest.Pytester, is_known: bool
) -> None:
    pytester.makeconftest(
        f"""
        import sys
        sys.path.insert(0, {str(pathlib.Path(__file__).parent)!r})
        import known_red
        def pytest_collection_modifyitems(items):
            known_red.mark_expected_failures(
                items, ["test_x.py::test_red"] * {int(is_known)}
            )
        """
    )
    pytester.makepyfile(test_x="def test_red(): assert False")
    result = pytester.runpytest_inprocess("-p", "no:cacheprovider")
    assert result.ret == (0 if is_known else 1)
