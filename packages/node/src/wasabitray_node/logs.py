"""Structured logs: one JSON line for each change of state."""

from __future__ import annotations

import logging
import sys
from typing import Any

from pythonjsonlogger.json import JsonFormatter

_LOGGER = logging.getLogger("wasabitray")


def configure_logs(host: str) -> None:
    """Write logs as JSON lines to standard error."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        JsonFormatter(
            "%(asctime)s %(levelname)s %(message)s",
            rename_fields={"asctime": "time", "levelname": "level"},
            static_fields={"host": host},
        )
    )
    _LOGGER.handlers[:] = [handler]
    _LOGGER.setLevel(logging.INFO)
    _LOGGER.propagate = False


def log_change(event: str, **facts: Any) -> None:
    """Log a change of state."""
    _LOGGER.info(event, extra=facts)


def log_fault(event: str, error: BaseException, **facts: Any) -> None:
    """Log an unexpected error with its traceback."""
    _LOGGER.error(event, exc_info=error, extra=facts)
