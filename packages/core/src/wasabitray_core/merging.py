"""Configuration messages that wait for a slow link."""

from __future__ import annotations

from collections.abc import Iterable
from functools import singledispatch
from typing import Any

from wasabitray_core.ids import Revision
from wasabitray_core.messages import (
    ConfigDelta,
    ConfigState,
    DocumentEdit,
    InstallSnapshot,
)


@singledispatch
def merge_waiting(newer: Any, waiting: Any) -> Any | None:
    """Return one message that replaces two messages to the same host.

    Args:
        newer: the message that was sent last.
        waiting: an earlier message.

    Returns:
        None if both are needed.
    """
    return None


@merge_waiting.register
def _(newer: InstallSnapshot, waiting: Any) -> Any | None:
    return newer if isinstance(waiting, InstallSnapshot) else None


@merge_waiting.register
def _(newer: ConfigState, waiting: Any) -> Any | None:
    return newer if is_configuration(waiting) else None


@merge_waiting.register
def _(newer: ConfigDelta, waiting: Any) -> Any | None:
    if not is_configuration(waiting):
        return None
    if newer.after <= _get_start(waiting):
        return newer
    if newer.after > waiting.revision:
        # The receiver asks for what is missing in between.
        return waiting
    return _extend(waiting, newer)


@singledispatch
def _extend(first: Any, second: ConfigDelta) -> Any:
    """Return a configuration message followed by a delta, as one."""
    raise TypeError(f"{first!r} can't be extended")


@_extend.register
def _(first: ConfigDelta, second: ConfigDelta) -> ConfigDelta:
    edits: dict[str, DocumentEdit] = {edit.key: edit for edit in first.edits}
    edits |= {edit.key: edit for edit in second.edits}
    return ConfigDelta(first.after, second.revision, tuple(edits.values()))


@_extend.register
def _(first: ConfigState, second: ConfigDelta) -> ConfigState:
    documents = dict(first.documents)
    for edit in second.edits:
        if edit.body is None:
            documents.pop(edit.key, None)
        else:
            documents[edit.key] = edit.body
    return ConfigState(second.revision, documents)


def is_configuration(message: Any) -> bool:
    """Return whether a message brings a host's configuration up to date."""
    return isinstance(message, (ConfigDelta, ConfigState))


def is_covered(message: Any, earlier: Iterable[Any]) -> bool:
    """Return whether a message adds nothing to earlier ones.

    Args:
        message: the message that was sent last.
        earlier: messages to the same host, in the order in which they
            arrive.
    """
    if not is_configuration(message):
        return False
    start, end = None, Revision(0)
    for other in filter(is_configuration, earlier):
        if start is None:
            start, end = _get_start(other), other.revision
        elif _get_start(other) <= end:
            end = max(end, other.revision)
    return (
        start is not None
        and start <= _get_start(message)
        and message.revision <= end
    )


@singledispatch
def _get_start(message: Any) -> Revision:
    """Return the revision from which a configuration message applies."""
    raise TypeError(f"{message!r} has no configuration")


@_get_start.register
def _(message: ConfigState) -> Revision:
    return Revision(0)


@_get_start.register
def _(message: ConfigDelta) -> Revision:
    return message.after
