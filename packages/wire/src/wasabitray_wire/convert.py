"""Conversion between the core's messages and generated structs.

Both sides have the same names, so the converters are derived from the type
hints once and then called without reflection.
"""

from __future__ import annotations

import re
import types
import typing
from collections.abc import Callable
from enum import Enum
from functools import cache
from operator import attrgetter
from typing import Any

from msgspec import NODEFAULT, Struct

from wasabitray_wire.gen import ttypes

Converter = Callable[[Any], Any]

RESERVED_WORDS = frozenset({"service"})


def to_snake_case(name: str) -> str:
    """Return the name of a union's field for a class name."""
    return re.sub(r"(?<=[a-z0-9])(?=[A-Z])", "_", name).lower()


def get_field_name(name: str) -> str:
    """Return a message field's name in the generated struct."""
    return f"{name}_" if name in RESERVED_WORDS else name


def _identity(value: Any) -> Any:
    return value


def _is_union(hint: Any) -> bool:
    return isinstance(hint, types.UnionType)


def _is_message(hint: Any) -> bool:
    return isinstance(hint, type) and issubclass(hint, Struct)


def _get_optional_type(hint: Any) -> Any:
    """Return X if the hint is `X | None`, else None."""
    if not _is_union(hint):
        return None
    rest = [h for h in typing.get_args(hint) if h is not type(None)]
    return rest[0] if len(rest) == 1 else None


@cache
def _get_hints(kind: type) -> dict[str, Any]:
    return typing.get_type_hints(kind)


@cache
def get_item_kinds(kind: type) -> dict[str, type]:
    """Return the fields of a message that hold items, and their kinds."""
    return {
        get_field_name(name): typing.get_args(hint)[0]
        for name, hint in _get_hints(kind).items()
        if typing.get_origin(hint) is tuple
    }


@cache
def make_encoder(hint: Any, union: str = "") -> Converter:
    """Return the converter from a core value to a generated one.

    Args:
        hint: the core type.
        union: name of the generated union if the hint is a union; if empty,
            `Command`.
    """
    optional = _get_optional_type(hint)
    if optional is not None:
        inner = make_encoder(optional)
        return lambda v: None if v is None else inner(v)
    if _is_union(hint):
        return _make_union_encoder(hint, getattr(ttypes, union or "Command"))
    if typing.get_origin(hint) is tuple:
        item = make_encoder(typing.get_args(hint)[0])
        return lambda v: [item(i) for i in v]
    if _is_message(hint):
        return _make_struct_encoder(hint)
    if isinstance(hint, type) and issubclass(hint, Enum):
        return lambda v: v.value
    return _identity


def _make_struct_encoder(kind: type[Struct]) -> Converter:
    struct = getattr(ttypes, kind.__name__)
    hints = _get_hints(kind)
    names = kind.__struct_fields__
    encoders = [make_encoder(hints[name]) for name in names]
    converted = _select_converted(encoders, _identity)
    get_values = _make_getter(names)
    if not converted:
        return lambda value: struct(*get_values(value))

    def encode(value: Any) -> Any:
        values = list(get_values(value))
        for number, convert in converted:
            values[number] = convert(values[number])
        return struct(*values)

    return encode


def _make_getter(names: tuple[str, ...]) -> Callable[[Any], tuple[Any, ...]]:
    """Return the function that reads several attributes of an object."""
    if len(names) < 2:  # an attrgetter returns a tuple for two or more only
        return lambda value: tuple(getattr(value, name) for name in names)
    return attrgetter(*names)


def _select_converted(
    converters: list[Converter], trivial: Converter
) -> list[tuple[int, Converter]]:
    """Return the numbers and converters of the fields that change."""
    return [(n, c) for n, c in enumerate(converters) if c is not trivial]


def _make_union_encoder(hint: Any, union: type) -> Converter:
    converters = {
        kind: (
            get_field_name(to_snake_case(kind.__name__)),
            make_encoder(kind),
        )
        for kind in typing.get_args(hint)
    }

    def encode(value: Any) -> Any:
        name, convert = converters[type(value)]
        return union(**{name: convert(value)})

    return encode


@cache
def make_decoder(hint: Any) -> Converter:
    """Return the converter from a generated value to a core one.

    A field that is missing, such as one that an earlier version doesn't send,
    gets its default. The converter raises ValueError if it has none.
    """
    optional = _get_optional_type(hint)
    if optional is not None:
        inner = make_decoder(optional)
        return lambda v: None if v is None else inner(v)
    if _is_union(hint):
        return _make_union_decoder(hint)
    if typing.get_origin(hint) is tuple:
        item = make_decoder(typing.get_args(hint)[0])
        return lambda v: tuple([item(i) for i in _require(v)])
    if _is_message(hint):
        return _make_struct_decoder(hint)
    if isinstance(hint, type) and issubclass(hint, Enum):
        return _make_enum_decoder(hint)
    return _require


def _make_enum_decoder(kind: type[Enum]) -> Converter:
    """Return the converter to a member; a call of the class takes longer."""
    members = {member.value: member for member in kind}
    return lambda value: members.get(value) or kind(value)


def _require(value: Any) -> Any:
    if value is None:
        raise ValueError("a required field is missing")
    return value


def _make_struct_decoder(kind: type[Struct]) -> Converter:
    hints = _get_hints(kind)
    names = kind.__struct_fields__
    required = len(names) - len(kind.__struct_defaults__)
    defaults = (*[NODEFAULT] * required, *kind.__struct_defaults__)
    decoders = [make_decoder(hints[name]) for name in names]
    converted = _select_converted(decoders, _require)
    get_values = _make_getter(tuple(map(get_field_name, names)))

    def decode(value: Any) -> Any:
        values = get_values(_require(value))
        if None in values:
            return kind(*_fill_defaults(values, decoders, defaults))
        if not converted:
            return kind(*values)
        values = list(values)
        for number, convert in converted:
            values[number] = convert(values[number])
        return kind(*values)

    return decode


def _fill_defaults(
    values: tuple[Any, ...],
    decoders: list[Converter],
    defaults: tuple[Any, ...],
) -> list[Any]:
    """Return the decoded values, with the defaults of those missing.

    Raises:
        ValueError: a value without a default is missing.
    """
    return [
        default
        if value is None and default is not NODEFAULT
        else decode(value)
        for value, decode, default in zip(
            values, decoders, defaults, strict=True
        )
    ]


def _make_union_decoder(hint: Any) -> Converter:
    converters = [
        (get_field_name(to_snake_case(kind.__name__)), make_decoder(kind))
        for kind in typing.get_args(hint)
    ]

    def decode(value: Any) -> Any:
        for name, convert in converters:
            member = getattr(value, name, None)
            if member is not None:
                return convert(member)
        raise ValueError("a union is empty or of an unknown kind")

    return decode
