"""Builds the single-file program from installed packages.

Nothing is downloaded: the runtime packages, pinned by requirements.txt, are
copied from the running interpreter's environment and packed by shiv.
"""

import compileall
from importlib import metadata
import pathlib
import py_compile
import shutil
import subprocess
import sys
import tomllib
import zipfile

from packaging import requirements
from packaging import utils

ROOT = pathlib.Path(__file__).parents[1]
SITE_FOLDER = ROOT / "build" / "site"
OUTPUT = ROOT / "dist" / "basiljunction"
SHIV_ROOT = "/tmp/basiljunction"  # noqa: S108 - the only writable folder of an instance, held in memory
PYTHON = "/usr/bin/env python3.11"

EXCLUDED_FOLDERS = frozenset({"..", "__pycache__", "tests"})
"""Path parts of files to leave out; ``..`` leads to installed scripts."""

EXCLUDED_SUFFIXES = frozenset({".c", ".cpp", ".h", ".pxd", ".pyx"})
"""Suffixes of source files of extension modules, which are left out."""

BUILD_ONLY = frozenset({"pbr", "setuptools"})
"""Packages declared as run-time dependencies but used only for builds."""


def list_runtime_packages() -> set[str]:
    """Returns the names of all direct and indirect run-time dependencies."""
    text = (ROOT / "pyproject.toml").read_text(encoding="utf-8")
    pending = list(tomllib.loads(text)["project"]["dependencies"])
    names: set[str] = set()
    while pending:
        requirement = requirements.Requirement(pending.pop())
        name = utils.canonicalize_name(requirement.name)
        marker = requirement.marker
        if name in names | BUILD_ONLY or (
            marker and not marker.evaluate({"extra": ""})
        ):
            continue
        names.add(name)
        pending.extend(metadata.requires(name) or ())
    return names


def copy_package(name: str) -> None:
    """Copies an installed package to the site folder, without its scripts."""
    distribution = metadata.distribution(name)
    for file in distribution.files or ():
        if (
            not EXCLUDED_FOLDERS.isdisjoint(file.parts)
            or file.suffix in EXCLUDED_SUFFIXES
        ):
            continue
        target = SITE_FOLDER / file
        target.parent.mkdir(parents=True, exist_ok=True)
        shutil.copyfile(str(distribution.locate_file(file)), target)


def collect_packages() -> None:
    """Fills the site folder with the dependencies and the project."""
    shutil.rmtree(SITE_FOLDER, ignore_errors=True)
    for name in sorted(list_runtime_packages()):
        copy_package(name)
    shutil.copytree(
        ROOT / "src" / "basiljunction",
        SITE_FOLDER / "basiljunction",
        ignore=shutil.ignore_patterns("__pycache__"),
    )


def build_archive() -> None:
    """Packs the site folder into one executable file with shiv."""
    OUTPUT.parent.mkdir(exist_ok=True)
    command = [
        str(pathlib.Path(sys.executable).with_name("shiv")),
        "--site-packages",
        str(SITE_FOLDER),
        "--entry-point",
        "basiljunction.cli:main",
        "--python",
        PYTHON,
        "--root",
        SHIV_ROOT,
        "--reproducible",
        "--compressed",
        "--output-file",
        str(OUTPUT),
    ]
    subprocess.run(command, check=True)  # noqa: S603 - a fixed command


def add_bytecode() -> None:
    """Adds compiled modules to the executable file, which shiv leaves out.

    Without them the program compiles its imports at each start. Shiv's option
    to compile them on the first run would start processes.
    """
    compileall.compile_dir(
        SITE_FOLDER,
        quiet=2,
        invalidation_mode=py_compile.PycInvalidationMode.UNCHECKED_HASH,
    )
    with zipfile.ZipFile(OUTPUT, "a", zipfile.ZIP_DEFLATED) as archive:
        for path in sorted(SITE_FOLDER.rglob("*.pyc")):
            archive.write(
                path, f"site-packages/{path.relative_to(SITE_FOLDER)}"
            )


if __name__ == "__main__":
    collect_packages()
    build_archive()
    add_bytecode()
    print(f"{OUTPUT}: {OUTPUT.stat().st_size / 1e6:.1f} MB")
