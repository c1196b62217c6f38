"""Maps the columns of engines' load reports from the operators' names to the decision module's names."""

from __future__ import annotations

from collections.abc import Mapping

from grebeproxy.units import seconds

REPORT_NAMES = {
    "busy_reqs": "in_flight",
    "pending": "waiting",
    "cpu_share": "cpu",
    "svc_ms": "latency",
    "served_ps": "served_rate",
    "failed_ps": "error_rate",
    "x0": "memory_granted",
    "x1": "disks_busy",
    # Alternative names of some columns, which engines use on sockets.
    "inflight": "in_flight",
    "queue": "waiting",
    "util": "cpu",
    "latency_ms": "latency",
    "qps": "served_rate",
    "eps": "error_rate",
}
COLUMNS_IN_MS = {"svc_ms", "latency_ms"}


def load_report_from(columns: Mapping[str, float] | None) -> dict[str, float] | None:
    """Convert a load report to the decision module's names and to seconds, without unknown columns."""
    if not columns:
        return None
    return {
        REPORT_NAMES[column]: seconds(value) if column in COLUMNS_IN_MS else value
        for column, value in columns.items()
        if column in REPORT_NAMES
    }
