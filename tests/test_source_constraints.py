"""Constraints on the source: layout, imports, import cycles, and decisions that are independent of deployments."""

from __future__ import annotations

import ast
import re
import sys
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PACKAGE = ROOT / "kestreltrack" / "decision"
POLICY_FILES = [
    ROOT / name
    for name in tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))["policy"]
]
INTERFACE = ("actions", "events", "outcomes", "settings")
# Modules of the decision package that make no decisions: records, their bookkeeping and arithmetic.
MODULES_WITHOUT_DECISIONS = {
    "__init__",
    "arithmetic",
    "endpoint_setup",
    "event_handling",
    "records",
    "state",
    *INTERFACE,
}
DEPLOYMENT_NAMES = """kigali kowhai poa entrega retrofit order-update stock-level order-change status-notice deposit
payment aviso cobranca grande pequeno member joinery installer wing umucyo ikaze isoko akeza nyota prato
cesta horta tempero mesa"""
SOURCES = {file: file.read_text(encoding="utf-8") for file in POLICY_FILES}


def test_no_line_of_a_policy_file_is_wider_than_110_characters() -> None:
    lines = [line for text in SOURCES.values() for line in text.splitlines()]
    assert max(map(len, lines)) <= 110


def test_each_decision_module_is_a_policy_file_or_listed_as_without_decisions() -> None:
    assert PACKAGE / "policy.py" in POLICY_FILES
    deciding = {file.stem for file in POLICY_FILES if file.parent == PACKAGE}
    assert len(deciding) == len(POLICY_FILES) and deciding.isdisjoint(MODULES_WITHOUT_DECISIONS)
    assert deciding | MODULES_WITHOUT_DECISIONS == {file.stem for file in PACKAGE.glob("*.py")}


@pytest.mark.parametrize("name", sorted(MODULES_WITHOUT_DECISIONS - {"__init__", *INTERFACE}))
def test_modules_without_decisions_have_no_thresholds(name: str) -> None:
    tree = ast.parse((PACKAGE / f"{name}.py").read_text(encoding="utf-8"))
    constants = {
        target.id
        for node in tree.body
        if isinstance(node, ast.Assign)
        for target in node.targets
        if isinstance(target, ast.Name)
    }
    assert constants <= {"NEVER", "UNLIMITED"}
    compared = [
        constant.value
        for node in ast.walk(tree)
        if isinstance(node, ast.Compare)
        for constant in ast.walk(node)
        if isinstance(constant, ast.Constant) and isinstance(constant.value, int | float)
    ]
    # 2 and 16 set when idle key queues are removed, which affects no decision.
    assert set(compared) <= {0, 2, 16}


@pytest.mark.parametrize("file", POLICY_FILES, ids=lambda file: file.stem)
def test_policy_files_import_only_the_standard_library_and_the_decision_package(file: Path) -> None:
    names = set()
    for node in ast.walk(ast.parse(SOURCES[file])):
        if isinstance(node, ast.ImportFrom):
            package = node.module == "kestreltrack.decision"
            found = {f"{node.module}.{alias.name}" for alias in node.names} if package else {str(node.module)}
            names |= found
        elif isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names}
    outside_standard_library = {n for n in names if n.split(".")[0] not in sys.stdlib_module_names}
    assert outside_standard_library <= {
        f"kestreltrack.decision.{other.stem}" for other in PACKAGE.glob("*.py")
    }


def test_policy_files_contain_no_name_of_a_deployment() -> None:
    words = set(DEPLOYMENT_NAMES.split())
    for text in SOURCES.values():
        found = set(re.findall(r"[a-z]+(?:-[a-z]+)*", text.lower()))
        assert found.isdisjoint(words)


def test_the_docstring_of_the_policy_names_the_modules_of_the_interface() -> None:
    docstring = ast.get_docstring(ast.parse(SOURCES[PACKAGE / "policy.py"])) or ""
    assert all(f"{name}.py" in docstring for name in INTERFACE)


def test_there_is_no_import_cycle_between_modules() -> None:
    """Imports inside functions count as well, not only those at the head of a module."""
    root = PACKAGE.parent
    files = {
        ".".join(path.relative_to(root.parent).with_suffix("").parts): path for path in root.glob("**/*.py")
    }
    modules = {name.removesuffix(".__init__"): path for name, path in files.items()}
    imports: dict[str, set[str]] = {}
    for module, path in modules.items():
        found = set[str]()
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            if isinstance(node, ast.ImportFrom):
                names = {f"{node.module}.{alias.name}" for alias in node.names}
                found |= names if names <= modules.keys() else {node.module or ""} | names
            elif isinstance(node, ast.Import):
                found |= {alias.name for alias in node.names}
        imports[module] = (found & modules.keys()) - {module}
    assert "kestreltrack.decision" in imports["kestreltrack.sender.delivery"]
    while free := {module for module, needs in imports.items() if not needs & imports.keys()}:
        for module in free:
            del imports[module]
    assert not imports, "these modules form or depend on an import cycle"


def test_only_listed_packages_use_the_testing_or_the_sender_package() -> None:
    root = PACKAGE.parent
    for path in root.glob("**/*.py"):
        package, text = path.relative_to(root).parts[0], path.read_text(encoding="utf-8")
        assert "kestreltrack.testing" not in text or package in ("testing", "cli"), path
        assert "kestreltrack.sender" not in text or package in ("sender", "testing", "cli", "__main__.py"), (
            path
        )
