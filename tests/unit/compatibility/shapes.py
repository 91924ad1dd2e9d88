"""Describes the encoded form of a type (field order, map keys, enum values), and builds an example of it."""

from __future__ import annotations

import itertools
from collections.abc import Callable
from typing import Any

import msgspec
from msgspec import inspect

Shape = Any
"""JSON: the name of a plain type, or a list of a kind and its parts."""

_PLAIN = {
    inspect.AnyType: "any",
    inspect.BoolType: "bool",
    inspect.BytesType: "bytes",
    inspect.FloatType: "float",
    inspect.IntType: "int",
    inspect.CustomType: "custom",
    inspect.NoneType: "none",
    inspect.RawType: "raw",
    inspect.StrType: "str",
}


def shape_of(encoded_type: type) -> Shape:
    """Return the encoded form of a type, without names that are not encoded."""
    return _shape(inspect.type_info(encoded_type))


def example_of(encoded_type: type[msgspec.Struct]) -> Any:
    """Return a value with all fields set and unique plain values; every call returns the same value."""
    return _Filler().fill(inspect.type_info(encoded_type))


def _shape(info: inspect.Type) -> Shape:
    if isinstance(info, inspect.StructType):
        return _struct_shape(info)
    if isinstance(info, inspect.EnumType):
        return ["enum", *sorted(member.value for member in info.cls)]
    if isinstance(info, inspect.LiteralType):
        return ["enum", *sorted(info.values, key=str)]
    if isinstance(info, inspect.VarTupleType | inspect.ListType):
        return ["list", _shape(info.item_type)]
    if isinstance(info, inspect.TupleType):
        return ["tuple", *(_shape(item) for item in info.item_types)]
    if isinstance(info, inspect.DictType):
        return ["map", _shape(info.key_type), _shape(info.value_type)]
    if isinstance(info, inspect.UnionType):
        return ["one of", *sorted((_shape(each) for each in info.types), key=str)]
    return _PLAIN[type(info)]


def _struct_shape(info: inspect.StructType) -> Shape:
    kind = "array" if info.array_like else "object"
    fields = [
        [_shape(field.type), *(["optional"] if not field.required else [])]
        if info.array_like
        else [field.encode_name, _shape(field.type), *(["optional"] if not field.required else [])]
        for field in info.fields
    ]
    omits = ["omits defaults"] if info.cls.__struct_config__.omit_defaults else []
    return [kind, {"tag": info.tag} if info.tag is not None else {}, *omits, *fields]


class _Filler:
    """Fills types with values that differ from each other and from the defaults."""

    def __init__(self) -> None:
        self._numbers = itertools.count(101)

    def fill(self, info: inspect.Type) -> Any:
        if isinstance(info, inspect.StructType):
            return info.cls(**{field.name: self._field(field) for field in info.fields})
        if isinstance(info, inspect.EnumType):
            return list(info.cls)[-1]
        if isinstance(info, inspect.VarTupleType):
            return (self.fill(info.item_type), self.fill(info.item_type))
        if isinstance(info, inspect.ListType):
            return [self.fill(info.item_type), self.fill(info.item_type)]
        if isinstance(info, inspect.TupleType):
            return tuple(self.fill(item) for item in info.item_types)
        if isinstance(info, inspect.DictType):
            return {self.fill(info.key_type): self.fill(info.value_type)}
        if isinstance(info, inspect.UnionType):
            return self.fill(next(each for each in info.types if not isinstance(each, inspect.NoneType)))
        return self._plain(info)

    def _field(self, field: inspect.Field) -> Any:
        if isinstance(field.type, inspect.BoolType):
            return not field.default if isinstance(field.default, bool) else True
        value = self.fill(field.type)
        if isinstance(field.type, inspect.EnumType) and value == field.default:
            return next(member for member in field.type.cls if member != field.default)
        return value

    def _plain(self, info: inspect.Type) -> Any:
        number = next(self._numbers)
        values: dict[type, Callable[[], Any]] = {
            inspect.AnyType: lambda: f"any-{number}",
            inspect.BoolType: lambda: True,
            inspect.BytesType: lambda: f"bytes-{number}".encode(),
            inspect.FloatType: lambda: number + 0.25,
            inspect.IntType: lambda: number,
            inspect.StrType: lambda: f"text-{number}",
        }
        return values[type(info)]()
