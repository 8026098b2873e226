"""The memory of a process."""

import pathlib

KIB_PER_MB = 1_024.0


def resident_mb(process_id: int) -> float:
    """Return the resident memory of a process, 0 if it has ended."""
    try:
        text = pathlib.Path(f"/proc/{process_id}/status").read_text()
    except OSError:
        return 0.0
    _, _, rest = text.partition("VmRSS:")
    return int(rest.split()[0]) / KIB_PER_MB if rest else 0.0
