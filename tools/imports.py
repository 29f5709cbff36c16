"""Print the imports between packages, the import cycles, and long files and functions.

Imports at load time, inside functions and under `TYPE_CHECKING` are counted separately.
"""

from __future__ import annotations

import ast
from collections import Counter
from enum import Enum
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PACKAGE = "troutstand"
_FOLDERS = (PACKAGE, "benchmarks", "tools", "platform")
_MAX_FILE_LINES = 400
_MAX_FUNCTION_LINES = 40


class ImportTime(Enum):
    """Enumerate when an import is executed."""

    LOAD = "when loaded"
    CALL = "inside functions"
    TYPE_CHECK = "for type checkers only"


Graph = dict[str, set[str]]


def find_modules() -> dict[str, Path]:
    """Return the paths of the package's modules, without tests, by dotted name."""
    modules = {}
    for path in sorted((ROOT / PACKAGE).rglob("*.py")):
        parts = path.relative_to(ROOT).with_suffix("").parts
        if "tests" not in parts:
            modules[".".join(p for p in parts if p != "__init__")] = path
    return modules


def _is_type_checking_block(node: ast.AST) -> bool:
    return isinstance(node, ast.If) and "TYPE_CHECKING" in ast.unparse(node.test)


def _list_imported_names(node: ast.AST) -> list[str]:
    match node:
        case ast.Import(names):
            return [alias.name for alias in names]
        case ast.ImportFrom(module, names, 0):
            return [name for a in names for name in (f"{module}.{a.name}", str(module))]
        case _:
            return []


class ImportGraphs:
    """Hold the imports of each module, by the time when they are executed."""

    def __init__(self, modules: dict[str, Path]) -> None:
        self.graphs: dict[ImportTime, Graph] = {time: {} for time in ImportTime}
        self._modules = modules
        for name, path in modules.items():
            self._collect(name, ast.parse(path.read_text()), ImportTime.LOAD)

    def _collect(self, module: str, node: ast.AST, time: ImportTime) -> None:
        for child in ast.iter_child_nodes(node):
            known = [n for n in _list_imported_names(child) if n in self._modules]
            if known and known[0] != module:
                # `from package import module` counts as an import of the module only.
                self.graphs[time].setdefault(module, set()).update(
                    n for n in known if not any(k.startswith(f"{n}.") for k in known)
                )
            inner = time
            if _is_type_checking_block(child):
                inner = ImportTime.TYPE_CHECK
            elif isinstance(child, ast.FunctionDef | ast.AsyncFunctionDef):
                inner = ImportTime.CALL if time is ImportTime.LOAD else time
            self._collect(module, child, inner)

    def merge(self, times: list[ImportTime]) -> Graph:
        """Return the union of the graphs of some import times."""
        graph: Graph = {}
        for time in times:
            for module, imported in self.graphs[time].items():
                graph.setdefault(module, set()).update(imported)
        return graph


def get_package(module: str) -> str:
    """Return the first two parts of a dotted name, such as troutstand.core."""
    return ".".join(module.split(".")[:2])


def count_package_imports(graph: Graph) -> Counter[tuple[str, str]]:
    """Count the imports from one package to another."""
    pairs = [(get_package(m), get_package(i)) for m, found in graph.items() for i in found]
    return Counter(pair for pair in pairs if pair[0] != pair[1])


def _find_reachable(graph: Graph, start: str) -> set[str]:
    reached: set[str] = set()
    pending = [start]
    while pending:
        for successor in graph.get(pending.pop(), set()) - reached:
            reached.add(successor)
            pending.append(successor)
    return reached


def find_cycles(graph: Graph) -> list[list[str]]:
    """Return the groups of nodes that import each other, directly or not."""
    reached = {node: _find_reachable(graph, node) for node in graph}
    groups = {
        tuple(sorted(other for other in found if node in reached.get(other, set())))
        for node, found in reached.items()
        if node in found
    }
    return [list(group) for group in sorted(groups)]


def _print_cycles(title: str, graph: Graph) -> None:
    packages: Graph = {}
    for source, target in count_package_imports(graph):
        packages.setdefault(source, set()).add(target)
    for node_type, nodes in (("modules", graph), ("packages", packages)):
        cycles = find_cycles(nodes)
        print(f"cycles of {node_type}, {title}: {len(cycles)}")
        for cycle in cycles:
            print(f"  {' '.join(cycle)}")


def _print_lengths() -> None:
    paths = [path for folder in _FOLDERS for path in sorted((ROOT / folder).rglob("*.py"))]
    for path in paths:
        text = path.read_text()
        lines = len(text.splitlines())
        if lines > _MAX_FILE_LINES:
            print(f"file of {lines} lines: {path.relative_to(ROOT)}")
        for node in ast.walk(ast.parse(text)):
            if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef):
                length = (node.end_lineno or node.lineno) - node.lineno + 1
                if length > _MAX_FUNCTION_LINES:
                    print(f"function of {length} lines: {path.relative_to(ROOT)} {node.name}")


def main() -> None:
    """Print imports, cycles and lengths."""
    modules = find_modules()
    imports = ImportGraphs(modules)
    for (source, target), count in sorted(
        count_package_imports(imports.merge(list(ImportTime))).items()
    ):
        loading = count_package_imports(imports.graphs[ImportTime.LOAD])[source, target]
        print(f"{source} -> {target}: {count} imports, {loading} when loaded")
    _print_cycles("when loaded", imports.graphs[ImportTime.LOAD])
    _print_cycles("and inside functions", imports.merge([ImportTime.LOAD, ImportTime.CALL]))
    _print_cycles("and for type checkers", imports.merge(list(ImportTime)))
    line_counts: Counter[str] = Counter()
    module_counts: Counter[str] = Counter()
    for name, path in modules.items():
        line_counts[get_package(name)] += len(path.read_text().splitlines())
        module_counts[get_package(name)] += path.name != "__init__.py"
    for package in sorted(line_counts):
        print(f"{package}: {line_counts[package]} lines, {module_counts[package]} modules")
    _print_lengths()


if __name__ == "__main__":
    main()
