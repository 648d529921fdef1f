"""Applies each mutation and checks that a test notices it.

Runs on copies of the project in temporary folders; the project itself is not
changed. Prints a line for each mutation and exits with 1 if one is not noticed.
"""

from concurrent import futures
import pathlib
import shutil
import subprocess
import sys
import tempfile

import budget_mutations
import mutations
import platform_mutations

ROOT = pathlib.Path(__file__).parents[1]
COPIED_PATHS = (
    "src",
    "tests",
    "examples",
    "docs",
    "pyproject.toml",
    "KNOWN-RED.txt",
)
PROCESSES = 4
TIMEOUT_S = 600
ALL_PASSED = 0
SOME_FAILED = 1


class StaleMutationError(RuntimeError):
    """Raised when the text that a mutation replaces is not there once."""


def _copy_project(target: pathlib.Path) -> None:
    """Copies the source, tests and files that tests read to a folder."""
    for part in COPIED_PATHS:
        source = ROOT / part
        if source.is_dir():
            shutil.copytree(source, target / part)
        else:
            shutil.copy(source, target / part)


def _apply_edit(edit: mutations.Edit, folder: pathlib.Path) -> None:
    """Applies an edit to a copy of the project."""
    path = folder / edit.path
    text = path.read_text(encoding="utf-8")
    if text.count(edit.old) != 1:
        raise StaleMutationError(
            f"{edit.path} does not contain exactly once: {edit.old}"
        )
    path.write_text(text.replace(edit.old, edit.new), encoding="utf-8")


def _run_pytest(folder: pathlib.Path, tests: tuple[str, ...]) -> int:
    """Runs tests of a copy of the project and returns pytest's exit status."""
    command = [sys.executable, "-m", "pytest", "-q", "-x", *tests]
    run = subprocess.run(  # noqa: S603 - the project's own tests
        command, cwd=folder, capture_output=True, timeout=TIMEOUT_S, check=False
    )
    return run.returncode


def _run_mutation(
    mutation: mutations.Mutation,
) -> tuple[mutations.Mutation, str]:
    """Runs the tests without and with a mutation and returns the verdict."""
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        _copy_project(folder)
        if _run_pytest(folder, mutation.tests) != ALL_PASSED:
            return mutation, "red without the mutation"
        try:
            for edit in mutation.edits:
                _apply_edit(edit, folder)
        except StaleMutationError as error:
            return mutation, f"stale: {error}"
        code = _run_pytest(folder, mutation.tests)
    return mutation, "noticed" if code == SOME_FAILED else "NOT noticed"


def main() -> int:
    """Runs all mutations, or those named on the command line.

    Returns:
        The exit status: 0 if every mutation was noticed, else 1.
    """
    chosen = [
        each
        for each in (
            *mutations.MUTATIONS,
            *platform_mutations.MUTATIONS,
            *budget_mutations.MUTATIONS,
        )
        if not sys.argv[1:] or str(each.name) in sys.argv[1:]
    ]
    unnoticed_count = 0
    with futures.ThreadPoolExecutor(PROCESSES) as pool:
        for mutation, verdict in pool.map(_run_mutation, chosen):
            print(f"{mutation.invariant}: {mutation.name}: {verdict}")
            unnoticed_count += verdict != "noticed"
    print(f"{len(chosen)} mutations, {unnoticed_count} not noticed")
    return 1 if unnoticed_count else 0


if __name__ == "__main__":
    sys.exit(main())
