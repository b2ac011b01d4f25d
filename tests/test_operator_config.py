"""The operator's settings: precedence of flag, variable, file and default; errors that name key and source."""

from __future__ import annotations

from pathlib import Path

import pytest

from kestreltrack.config.operator import (
    FIELDS_BY_KEY,
    effective_values,
    load_operator_config,
    variable_name,
)
from kestreltrack.config.operator_validation import PASSWORD_VARIABLE
from kestreltrack.config.sender import ConfigError

ETCD_TABLES = '[directory]\nsource = "etcd"\n[directory.etcd]\nmembers = ["127.0.0.1:2379"]\n'


def write_operator_file(folder: Path, text: str) -> dict[str, str]:
    path = folder / "operator.toml"
    path.write_text(text)
    return {"KESTRELTRACK_OPERATOR_FILE": str(path)}


def test_default_source_is_the_platform() -> None:
    loaded = load_operator_config({})
    assert loaded.config.directory.source == "platform"
    assert set(loaded.origins.values()) == {"default"}


def test_flags_override_variables_and_variables_override_the_file(tmp_path: Path) -> None:
    env = write_operator_file(tmp_path, ETCD_TABLES + "page = 7\nconfirm_ms = 70\nlease_s = 7\n")
    env |= {variable_name("directory.etcd.page"): "8", variable_name("directory.etcd.confirm_ms"): "80"}
    loaded = load_operator_config(env, {"directory.etcd.page": "9"})
    etcd = loaded.config.directory.etcd
    assert (etcd.page_size, etcd.confirm_interval_ms, etcd.lease_s, etcd.response_timeout_ms) == (
        9,
        80.0,
        7,
        1000.0,
    )
    assert loaded.origins["directory.etcd.page"] == "flag --set directory.etcd.page"
    assert loaded.origins["directory.etcd.confirm_ms"] == "variable KESTRELTRACK_DIRECTORY_ETCD_CONFIRM_MS"
    assert loaded.origins["directory.etcd.lease_s"].startswith("file ")


def test_each_key_has_a_distinct_variable() -> None:
    assert len({variable_name(key) for key in FIELDS_BY_KEY}) == len(FIELDS_BY_KEY) > 15


def test_variable_lists_are_separated_by_commas() -> None:
    env = {
        variable_name("directory.source"): "etcd",
        variable_name("directory.etcd.members"): "127.0.0.1:1, 127.0.0.1:2",
    }
    assert load_operator_config(env).config.directory.etcd.members == ("127.0.0.1:1", "127.0.0.1:2")


INVALID_FILES = {
    "an unknown key": ('[directory]\nsorce = "etcd"\n', "directory.sorce: no such key"),
    "an unknown table": ("[directry]\n", "directry: no such key"),
    "a wrong type": (ETCD_TABLES + "page = []\n", "directory.etcd.page: expected `int`"),
    "out of range": (ETCD_TABLES + "page = 0\n", "directory.etcd.page: expected `int` >= 1"),
    "not one of the choices": ('[directory]\nsource = "zk"\n', "directory.source: invalid enum value"),
    "not an address": ('[directory.etcd]\nmembers = ["x"]\n', "members: expected host:port, got 'x'"),
    "no members": ('[directory]\nsource = "etcd"\n', "directory.etcd.members: expected at least one"),
    "a prefix without a trailing slash": (
        ETCD_TABLES + 'prefix = "/kt"\n',
        "directory.etcd.prefix: expected `str`",
    ),
    "a user without a password": (
        ETCD_TABLES + 'user = "u"\n',
        "directory.etcd.user: expected together with",
    ),
    "a certificate without its key": (
        ETCD_TABLES + '[directory.etcd.tls]\nca = "a"\ncert = "c"\n',
        "tls.cert: expected together",
    ),
    "not TOML": ("[directory\n", "operator.toml: "),
}


@pytest.mark.parametrize("text, expected", INVALID_FILES.values(), ids=INVALID_FILES)
def test_error_is_one_line_with_source_and_key(tmp_path: Path, text: str, expected: str) -> None:
    with pytest.raises(ConfigError) as error:
        load_operator_config(write_operator_file(tmp_path, text))
    line = str(error.value)
    assert expected in line and "\n" not in line
    assert "operator.toml" in line or "default" in line


def test_error_names_the_variable_or_flag() -> None:
    page = variable_name("directory.etcd.page")
    with pytest.raises(ConfigError, match=f"variable {page}: directory.etcd.page: expected `int`"):
        load_operator_config({page: "many"})
    with pytest.raises(ConfigError, match=r"flag --set directory\.etcd\.page"):
        load_operator_config({}, {"directory.etcd.page": "0"})
    with pytest.raises(ConfigError, match=r"--set directory\.pages: no such key"):
        load_operator_config({}, {"directory.pages": "0"})
    with pytest.raises(ConfigError, match="KESTRELTRACK_DIRECTORY_PAGES: no such key"):
        load_operator_config({"KESTRELTRACK_DIRECTORY_PAGES": "1"})


def test_secret_readable_by_others_is_rejected_and_no_secret_is_printed(tmp_path: Path) -> None:
    secret = tmp_path / "password"
    secret.write_text("s3cret\n")
    secret.chmod(0o640)
    env = write_operator_file(tmp_path, ETCD_TABLES + f'user = "u"\npassword_file = "{secret}"\n')
    with pytest.raises(ConfigError, match=r"password_file: .*only its owner may read"):
        load_operator_config(env)
    secret.chmod(0o600)
    loaded = load_operator_config(env)
    assert loaded.password == "s3cret"
    assert "s3cret" not in repr(loaded) + str(effective_values(loaded))
    assert load_operator_config(env | {PASSWORD_VARIABLE: "other"}).password == "other"
    with pytest.raises(ConfigError, match="no such key"):
        load_operator_config({}, {"directory.etcd.password": "s3cret"})
