"""Guards on the module itself: its layout, its imports and its independence of any deployment."""

from __future__ import annotations

import ast
import re
import sys
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PACKAGE = ROOT / "kestreltrack" / "decision"
DECIDING = [
    ROOT / name
    for name in tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))["policy"]
]
INTERFACE = ("actions", "events", "outcomes", "settings")
# What stands beside the decisions: records, their bookkeeping and textbook arithmetic.
WITHOUT_A_CHOICE = {
    "__init__",
    "arithmetic",
    "endpoint_setup",
    "event_handling",
    "records",
    "state",
    *INTERFACE,
}
NAMES = """kigali kowhai poa entrega retrofit order-update stock-level order-change status-notice deposit
payment aviso cobranca grande pequeno member joinery installer wing umucyo ikaze isoko akeza nyota prato
cesta horta tempero mesa"""
TEXTS = {file: file.read_text(encoding="utf-8") for file in DECIDING}


def test_no_line_is_wider_than_the_layout() -> None:
    lines = [line for text in TEXTS.values() for line in text.splitlines()]
    assert max(map(len, lines)) <= 110


def test_each_module_of_the_package_decides_or_is_known_not_to() -> None:
    assert PACKAGE / "policy.py" in DECIDING
    deciding = {file.stem for file in DECIDING if file.parent == PACKAGE}
    assert len(deciding) == len(DECIDING) and deciding.isdisjoint(WITHOUT_A_CHOICE)
    assert deciding | WITHOUT_A_CHOICE == {file.stem for file in PACKAGE.glob("*.py")}


@pytest.mark.parametrize("name", sorted(WITHOUT_A_CHOICE - {"__init__", *INTERFACE}))
def test_no_threshold_stands_beside_the_decisions(name: str) -> None:
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
    # 2 and 16: when the key queues that are idle are forgotten, which changes no decision.
    assert set(compared) <= {0, 2, 16}


@pytest.mark.parametrize("file", DECIDING, ids=lambda file: file.stem)
def test_imports_are_the_standard_library_and_the_package_itself(file: Path) -> None:
    names = set()
    for node in ast.walk(ast.parse(TEXTS[file])):
        if isinstance(node, ast.ImportFrom):
            package = node.module == "kestreltrack.decision"
            found = {f"{node.module}.{alias.name}" for alias in node.names} if package else {str(node.module)}
            names |= found
        elif isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names}
    ours = {n for n in names if n.split(".")[0] not in sys.stdlib_module_names}
    assert ours <= {f"kestreltrack.decision.{other.stem}" for other in PACKAGE.glob("*.py")}


def test_no_name_of_a_deployment() -> None:
    words = set(NAMES.split())
    for text in TEXTS.values():
        found = set(re.findall(r"[a-z]+(?:-[a-z]+)*", text.lower()))
        assert found.isdisjoint(words)


def test_the_docstring_names_the_interface() -> None:
    docstring = ast.get_docstring(ast.parse(TEXTS[PACKAGE / "policy.py"])) or ""
    assert all(f"{name}.py" in docstring for name in INTERFACE)


def test_no_module_imports_in_a_circle() -> None:
    """Not only no package: each module stands above all that it imports, wherever in its text it does."""
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
    assert not imports, "these import in a circle"


def test_a_sender_knows_nothing_of_the_lab_and_the_fleet_nothing_of_a_sender() -> None:
    root = PACKAGE.parent
    for path in root.glob("**/*.py"):
        wing, text = path.relative_to(root).parts[0], path.read_text(encoding="utf-8")
        assert "kestreltrack.testing" not in text or wing in ("testing", "cli"), path
        assert "kestreltrack.sender" not in text or wing in ("sender", "testing", "cli", "__main__.py"), path
