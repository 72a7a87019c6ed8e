"""Conversion between the core's dataclasses and generated structs.

Both sides have the same names, so the converters are derived from the type
hints once and then called without reflection.
"""

from __future__ import annotations

import re
import types
import typing
from collections.abc import Callable
from dataclasses import fields, is_dataclass
from enum import Enum
from functools import cache
from typing import Any

from wasabitray_wire.gen import ttypes

Convert = Callable[[Any], Any]

RESERVED_WORDS = frozenset({"service"})


def snake_case(name: str) -> str:
    """Return a class name as the field name of a union."""
    return re.sub(r"(?<=[a-z0-9])(?=[A-Z])", "_", name).lower()


def field_name(name: str) -> str:
    """Return a dataclass field's name in the generated struct."""
    return f"{name}_" if name in RESERVED_WORDS else name


def _identity(value: Any) -> Any:
    return value


def _is_union(hint: Any) -> bool:
    return isinstance(hint, types.UnionType)


def _optional_of(hint: Any) -> Any:
    """Return X when the hint is `X | None`, else None."""
    if not _is_union(hint):
        return None
    rest = [h for h in typing.get_args(hint) if h is not type(None)]
    return rest[0] if len(rest) == 1 else None


@cache
def _hints(kind: type) -> dict[str, Any]:
    return typing.get_type_hints(kind)


@cache
def encoder(hint: Any, union: str = "") -> Convert:
    """Return the converter from a core value to a generated one.

    Args:
        hint: the core type.
        union: name of the generated union when the hint is a union.
    """
    optional = _optional_of(hint)
    if optional is not None:
        inner = encoder(optional)
        return lambda v: None if v is None else inner(v)
    if _is_union(hint):
        return _union_encoder(hint, getattr(ttypes, union or "Command"))
    if typing.get_origin(hint) is tuple:
        item = encoder(typing.get_args(hint)[0])
        return lambda v: [item(i) for i in v]
    if is_dataclass(hint):
        return _struct_encoder(typing.cast(type, hint))
    if isinstance(hint, type) and issubclass(hint, Enum):
        return lambda v: v.value
    return _identity


def _struct_encoder(kind: type) -> Convert:
    struct = getattr(ttypes, kind.__name__)
    hints = _hints(kind)
    parts = [(f.name, encoder(hints[f.name])) for f in fields(kind)]
    return lambda v: struct(*[e(getattr(v, n)) for n, e in parts])


def _union_encoder(hint: Any, union: type) -> Convert:
    table = {
        kind: (field_name(snake_case(kind.__name__)), encoder(kind))
        for kind in typing.get_args(hint)
    }

    def encode(value: Any) -> Any:
        name, convert = table[type(value)]
        return union(**{name: convert(value)})

    return encode


@cache
def decoder(hint: Any) -> Convert:
    """Return the converter from a generated value to a core one.

    A missing field raises ValueError.
    """
    optional = _optional_of(hint)
    if optional is not None:
        inner = decoder(optional)
        return lambda v: None if v is None else inner(v)
    if _is_union(hint):
        return _union_decoder(hint)
    if typing.get_origin(hint) is tuple:
        item = decoder(typing.get_args(hint)[0])
        return lambda v: tuple([item(i) for i in _present(v)])
    if is_dataclass(hint):
        return _struct_decoder(typing.cast(type, hint))
    if isinstance(hint, type) and issubclass(hint, Enum):
        return hint
    return _present


def _present(value: Any) -> Any:
    if value is None:
        raise ValueError("a required field is missing")
    return value


def _struct_decoder(kind: type) -> Convert:
    hints = _hints(kind)
    parts = [
        (field_name(f.name), decoder(hints[f.name])) for f in fields(kind)
    ]
    return lambda v: kind(*[d(getattr(_present(v), n)) for n, d in parts])


def _union_decoder(hint: Any) -> Convert:
    table = [
        (field_name(snake_case(kind.__name__)), decoder(kind))
        for kind in typing.get_args(hint)
    ]

    def decode(value: Any) -> Any:
        for name, convert in table:
            found = getattr(value, name, None)
            if found is not None:
                return convert(found)
        raise ValueError("an empty or unknown union")

    return decode
