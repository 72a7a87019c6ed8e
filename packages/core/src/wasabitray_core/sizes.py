"""Approximate sizes of configurations, changes and log records."""

from __future__ import annotations

from collections.abc import Mapping
from functools import singledispatch
from typing import Any

from wasabitray_core.messages import (
    AnsweredChange,
    Change,
    ChangeSummary,
    DocumentEdit,
    LogRecord,
    Members,
    Noop,
    Snapshot,
)

ITEM_OVERHEAD_BYTES = 64


@singledispatch
def get_size(item: Any) -> int:
    """Return about how many bytes an item takes in memory or encoded."""
    raise TypeError(f"{item!r} has no size")


@get_size.register
def _(item: str) -> int:
    if item.isascii():
        return len(item)
    return len(item.encode(errors="surrogatepass"))


@get_size.register
def _(item: None) -> int:
    return 0


@get_size.register
def _(item: tuple) -> int:
    return sum(map(get_size, item))


@get_size.register
def _(item: Mapping) -> int:
    return get_size(tuple(item)) + get_size(tuple(item.values()))


@get_size.register
def _(item: DocumentEdit) -> int:
    return get_size(item.key) + get_size(item.body)


@get_size.register
def _(item: Change) -> int:
    texts = (item.change, item.author, item.wall_time)
    return ITEM_OVERHEAD_BYTES + get_size(texts) + get_size(item.edits)


@get_size.register
def _(item: ChangeSummary) -> int:
    texts = (item.change, item.author, item.wall_time)
    keys = (*item.written, *item.deleted)
    return ITEM_OVERHEAD_BYTES + get_size(texts) + get_size(keys)


@get_size.register
def _(item: AnsweredChange) -> int:
    return ITEM_OVERHEAD_BYTES + get_size(item.change) + get_size(item.digest)


@get_size.register
def _(item: Members) -> int:
    return ITEM_OVERHEAD_BYTES * (len(item.voters) + len(item.learners))


@get_size.register
def _(item: Noop) -> int:
    return 0


@get_size.register
def _(item: LogRecord) -> int:
    return ITEM_OVERHEAD_BYTES + get_size(item.command)


@get_size.register
def _(item: Snapshot) -> int:
    return get_size(item.documents) + get_size((*item.answered, *item.history))
