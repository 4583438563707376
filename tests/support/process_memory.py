"""Memory of a process as the operating system reports it."""

from __future__ import annotations

from pathlib import Path

BYTES_PER_KIB = 1024
BYTES_PER_MB = 1_000_000


def resident_bytes(process_id: int) -> int:
    """Return the resident memory of a process, in bytes."""
    return _status_bytes(process_id, "VmRSS")


def peak_resident_bytes(process_id: int) -> int:
    """Return the largest resident memory that a process has had so far, in bytes."""
    return _status_bytes(process_id, "VmHWM")


def open_descriptors(process_id: int) -> int:
    """Return the number of file descriptors that a process has open."""
    return len(list(Path(f"/proc/{process_id}/fd").iterdir()))


def cpu_s(process_id: int) -> float:
    """Return the processor time that a process has used so far, in seconds."""
    nanoseconds = int(Path(f"/proc/{process_id}/schedstat").read_text().split()[0])
    return nanoseconds / 1e9


def _status_bytes(process_id: int, name: str) -> int:
    for line in Path(f"/proc/{process_id}/status").read_text().splitlines():
        field, _, value = line.partition(":")
        if field == name:
            return int(value.split()[0]) * BYTES_PER_KIB
    raise ValueError(f"process {process_id} has no {name}")
