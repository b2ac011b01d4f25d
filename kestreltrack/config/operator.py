"""Loads the operator's file (`deploy/kestreltrack.toml`), which enables features that the platform does not require.

Every key can also be set by an environment variable (`directory.etcd.page` by `KESTRELTRACK_DIRECTORY_ETCD_PAGE`;
list items are separated by commas) and by a flag (`--set directory.etcd.page=500`).  Flags take precedence over
variables, variables over the file, and the file over the defaults.  Secrets are read from a separate file or from a
variable, never from a flag, and are never printed.

This module is imported only if a file, a variable or a flag is given: without them the sender has only the features
that the platform requires.
"""

from __future__ import annotations

import re
import tomllib
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

from kestreltrack.config.errors import ConfigError
from kestreltrack.config.operator_tables import OperatorConfig
from kestreltrack.config.operator_validation import PASSWORD_VARIABLE, validate

FILE_VARIABLE = "KESTRELTRACK_OPERATOR_FILE"
VARIABLE_PREFIX = "KESTRELTRACK_"
DEFAULT_ORIGIN = "default"
# Splits a msgspec error into description and key: "Expected `int` >= 1 - at `$.directory.etcd.page`".
ERROR_PATTERN = re.compile(r"^(?P<description>.*?)(?: - at `\$\.?(?P<key>[^`]*)`)?$", re.DOTALL)
UNKNOWN_FIELD_PATTERN = re.compile(r"unknown field `(?P<key>[^`]*)`")
LIST_INDEX_PATTERN = re.compile(r"\[[^]]*\]")


@dataclass(frozen=True, slots=True)
class LoadedOperatorConfig:
    """The operator's settings in effect.

    Attributes:
        config: The validated tables.
        origins: The source of each value (flag, variable, file or default) by dotted key.
        password: The etcd password; kept out of the tables so that it is never printed.
    """

    config: OperatorConfig
    origins: dict[str, str]
    password: str = field(default="", repr=False)


class EffectiveValue(NamedTuple):
    """The value of a key and the source that set it."""

    key: str
    value: Any
    origin: str


@dataclass(frozen=True, slots=True)
class KeyField:
    """The location and type of a key's value in `OperatorConfig`.

    Attributes:
        attributes: The attribute path from `OperatorConfig` to the value.
        value_type: The type of the value.
    """

    attributes: tuple[str, ...]
    value_type: Any


def _leaf_fields(
    struct_type: type[msgspec.Struct], prefix: str = "", parents: tuple[str, ...] = ()
) -> Iterator[tuple[str, KeyField]]:
    """Yield the dotted key, as written in the file, and the field of each value in a table and its subtables."""
    for item in msgspec.structs.fields(struct_type):
        key = f"{prefix}{item.encode_name}"
        attributes = (*parents, item.name)
        inner_table = _table_type(item.type)
        if inner_table is None:
            yield key, KeyField(attributes, item.type)
        else:
            yield from _leaf_fields(inner_table, f"{key}.", attributes)


def _table_type(field_type: Any) -> type[msgspec.Struct] | None:
    """Return the table type of a field that holds a table or an optional table; `None` for a plain value."""
    for option in getattr(field_type, "__args__", (field_type,)):
        if isinstance(option, type) and issubclass(option, msgspec.Struct):
            return option
    return None


FIELDS_BY_KEY = dict(_leaf_fields(OperatorConfig))


def variable_name(key: str) -> str:
    """Return the name of the environment variable that sets a key."""
    return VARIABLE_PREFIX + key.upper().replace(".", "_")


def load_operator_config(
    env: Mapping[str, str], flags: Mapping[str, str] | None = None
) -> LoadedOperatorConfig:
    """Load and validate the operator's file, variables and flags.

    Raises:
        ConfigError: A value is invalid; the one-line message names its source, its key and what was expected.
    """
    path = env.get(FILE_VARIABLE, "")
    table = _read_file(path)
    origins = dict.fromkeys(_flatten_keys(table), f"file {path}")
    _apply_variables(table, origins, env)
    _apply_flags(table, origins, flags or {})
    try:
        config = msgspec.convert(table, OperatorConfig, strict=False)
    except msgspec.ValidationError as error:
        raise ConfigError(_format_error(str(error), origins, path)) from None
    for key in FIELDS_BY_KEY:
        origins.setdefault(key, DEFAULT_ORIGIN)
    password = validate(config, origins, env)
    return LoadedOperatorConfig(config, origins, password)


def effective_values(operator_config: LoadedOperatorConfig) -> list[EffectiveValue]:
    """Return each key with its value and origin, without secrets."""
    rows = list[EffectiveValue]()
    for key, key_field in FIELDS_BY_KEY.items():
        value: Any = operator_config.config
        for attribute in key_field.attributes:
            # The keys of an optional table that is not set have no value.
            value = None if value is None else getattr(value, attribute)
        rows.append(EffectiveValue(key, value, operator_config.origins[key]))
    return rows


def _read_file(path: str) -> dict[str, Any]:
    if not path:
        return {}
    try:
        return tomllib.loads(Path(path).read_text())
    except (OSError, ValueError) as error:
        raise ConfigError(f"{path}: {error}") from error


def _flatten_keys(table: Mapping[str, Any], prefix: str = "") -> Iterator[str]:
    """Yield the dotted keys that a table sets."""
    for name, value in table.items():
        key = f"{prefix}{name}"
        if isinstance(value, dict) and key not in FIELDS_BY_KEY:
            yield from _flatten_keys(value, f"{key}.")
        else:
            yield key


def _apply_variables(table: dict[str, Any], origins: dict[str, str], env: Mapping[str, str]) -> None:
    key_by_variable = {variable_name(key): key for key in FIELDS_BY_KEY}
    for name, text in env.items():
        if name in key_by_variable:
            key = key_by_variable[name]
            _set_key(table, key, _split_if_list(key, text))
            origins[key] = f"variable {name}"
        elif name.startswith(VARIABLE_PREFIX) and name not in (FILE_VARIABLE, PASSWORD_VARIABLE):
            raise ConfigError(
                f"{name}: no such key; variables have names like {variable_name('directory.source')}"
            )


def _apply_flags(table: dict[str, Any], origins: dict[str, str], flags: Mapping[str, str]) -> None:
    for key, text in flags.items():
        if key not in FIELDS_BY_KEY:
            raise ConfigError(f"--set {key}: no such key")
        _set_key(table, key, _split_if_list(key, text))
        origins[key] = f"flag --set {key}"


def _set_key(table: dict[str, Any], key: str, value: Any) -> None:
    *path, last = key.split(".")
    for part in path:
        inner = table.setdefault(part, {})
        if not isinstance(inner, dict):
            # A plain value where a table belongs: the type validation reports it.
            return
        table = inner
    table[last] = value


def _split_if_list(key: str, text: str) -> str | list[str]:
    """Split the text of a variable or flag if the key holds a list; other types are converted during validation."""
    if "tuple" not in str(FIELDS_BY_KEY[key].value_type):
        return text
    return [part.strip() for part in text.split(",") if part.strip()]


def _format_error(text: str, origins: Mapping[str, str], path: str) -> str:
    """Return the message of a msgspec error as one line that names the source and the key."""
    found = ERROR_PATTERN.match(text)
    description = found["description"] if found else text
    key = (found["key"] or "") if found else ""
    key = LIST_INDEX_PATTERN.sub("", key)
    unknown = UNKNOWN_FIELD_PATTERN.search(description)
    if unknown:
        key = f"{key}.{unknown['key']}".lstrip(".")
        description = "no such key"
    source = origins.get(key) or (f"file {path}" if path else "operator's settings")
    return f"{source}: {key}: {description[:1].lower()}{description[1:]}"
