"""The packages import exactly the packages that the table in docs/architecture.md lists for them."""

from __future__ import annotations

import ast
from collections import defaultdict
from pathlib import Path

ROOT = Path(__file__).parent.parent
PACKAGE = ROOT / "kestreltrack"
PAGE = ROOT / "docs" / "architecture.md"
GROUPS = ("fleet", "testing")  # their subpackages are listed one by one
TOP_LEVEL = "(root)"  # the code in kestreltrack/__init__.py


def module_name(path: Path) -> str:
    """Return the dotted name of a module's file."""
    return ".".join(path.relative_to(ROOT).with_suffix("").parts).removesuffix(".__init__")


def package_of(module: str) -> str:
    """Return the package of a module, under its name in the documented table."""
    parts = module.split(".")[1:]
    if not parts:
        return TOP_LEVEL
    return ".".join(parts[:2]) if parts[0] in GROUPS else parts[0]


def imported_modules(path: Path, modules: set[str]) -> set[str]:
    """Return the modules of the project that a file imports, also inside functions."""
    found = set[str]()
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module:
            names = {f"{node.module}.{alias.name}" for alias in node.names}
            found |= {name if name in modules else node.module for name in names}
    return found & modules


def actual_imports() -> dict[str, set[str]]:
    """Return which packages each package imports."""
    files = {module_name(path): path for path in PACKAGE.glob("**/*.py")}
    imports: dict[str, set[str]] = defaultdict(set)
    for module, path in files.items():
        package = package_of(module)
        imports[package] |= {package_of(name) for name in imported_modules(path, set(files))} - {package}
    return dict(imports)


def documented_imports() -> dict[str, set[str]]:
    """Return the imports of each package, as listed in the table of the page."""
    table = PAGE.read_text(encoding="utf-8").partition("<!-- imports:begin -->")[2]
    rows = table.partition("<!-- imports:end -->")[0].strip().splitlines()[2:]
    imports = dict[str, set[str]]()
    for row in rows:
        package, _, names = (cell.strip() for cell in row.strip("|").split(" | "))
        imports[package.strip("`")] = {name.strip(" `") for name in names.split(",") if name.strip(" `-")}
    return imports


def test_packages_import_exactly_what_the_page_lists() -> None:
    actual = {package: names for package, names in actual_imports().items() if package not in GROUPS}
    assert documented_imports() == actual


def test_each_package_imports_only_packages_listed_below_it() -> None:
    imports = documented_imports()
    order = {package: position for position, package in enumerate(imports)}
    upward = [
        f"{package} imports {name}"
        for package, names in imports.items()
        for name in names
        if order[name] <= order[package]
    ]
    assert not upward


def test_imports_are_found_and_the_decision_package_has_none() -> None:
    imports = actual_imports()
    assert "decision" in imports["sender"]
    assert not imports["decision"], "the decision package must import no other package"
