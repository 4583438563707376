"""Builds the preload library that holds a gateway process up or makes its accept calls fail."""

from __future__ import annotations

import subprocess
from pathlib import Path

SOURCE = Path(__file__).parent / "native" / "syscall_faults.c"


def build_library(folder: Path) -> Path:
    """Compile the library with the system's C compiler and return its path.

    Args:
        folder: The folder for the library.

    Raises:
        subprocess.CalledProcessError: The compiler reports an error.
        FileNotFoundError: There is no C compiler; the tests that need the library then fail.
    """
    library = folder / "syscall_faults.so"
    command = ["cc", "-shared", "-fPIC", "-O2", "-Wall", "-Werror", "-o", str(library), str(SOURCE), "-ldl"]
    subprocess.run(command, check=True)
    return library


def fault_variables(library: Path, **faults: object) -> dict[str, str]:
    """Return the environment variables that load the library and switch on the named faults."""
    return {
        "LD_PRELOAD": str(library),
        **{f"FAULT_{name.upper()}": str(value) for name, value in faults.items()},
    }
