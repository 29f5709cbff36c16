"""Print which packages import which, the circles among them, and what is long.

Only `import` statements count; those for type checkers alone (`TYPE_CHECKING`) and
those inside functions are told apart.
"""

from __future__ import annotations

import ast
from collections import Counter
from enum import Enum
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PACKAGE = "troutstand"
_FOLDERS = (PACKAGE, "benchmarks", "tools", "platform")
_MOST_FILE_LINES = 400
_MOST_FUNCTION_LINES = 40


class Kind(Enum):
    """Say when an import is carried out."""

    LOADING = "when loaded"
    CALLING = "inside functions"
    CHECKING = "for type checkers only"


Graph = dict[str, set[str]]


def find_modules() -> dict[str, Path]:
    """Return the product's modules, without its tests, by dotted name."""
    modules = {}
    for path in sorted((ROOT / PACKAGE).rglob("*.py")):
        parts = path.relative_to(ROOT).with_suffix("").parts
        if "tests" not in parts:
            modules[".".join(p for p in parts if p != "__init__")] = path
    return modules


def _is_checking(node: ast.AST) -> bool:
    return isinstance(node, ast.If) and "TYPE_CHECKING" in ast.unparse(node.test)


def _list_names(node: ast.AST) -> list[str]:
    match node:
        case ast.Import(names):
            return [alias.name for alias in names]
        case ast.ImportFrom(module, names, 0):
            return [name for a in names for name in (f"{module}.{a.name}", str(module))]
        case _:
            return []


class Imports:
    """Hold what each module imports, by when it does."""

    def __init__(self, modules: dict[str, Path]) -> None:
        self.graphs: dict[Kind, Graph] = {kind: {} for kind in Kind}
        self._modules = modules
        for name, path in modules.items():
            self._read(name, ast.parse(path.read_text()), Kind.LOADING)

    def _read(self, module: str, node: ast.AST, kind: Kind) -> None:
        for child in ast.iter_child_nodes(node):
            known = [n for n in _list_names(child) if n in self._modules]
            if known and known[0] != module:
                # Of `from package import module` the module counts, not its package.
                self.graphs[kind].setdefault(module, set()).update(
                    n for n in known if not any(k.startswith(f"{n}.") for k in known)
                )
            inner = kind
            if _is_checking(child):
                inner = Kind.CHECKING
            elif isinstance(child, ast.FunctionDef | ast.AsyncFunctionDef):
                inner = Kind.CALLING if kind is Kind.LOADING else kind
            self._read(module, child, inner)

    def merge(self, kinds: list[Kind]) -> Graph:
        """Return the imports of some kinds together."""
        graph: Graph = {}
        for kind in kinds:
            for module, imported in self.graphs[kind].items():
                graph.setdefault(module, set()).update(imported)
        return graph


def name_package(module: str) -> str:
    """Return the package of a module."""
    return ".".join(module.split(".")[:2])


def count_arrows(graph: Graph) -> Counter[tuple[str, str]]:
    """Count the imports from one package to another."""
    pairs = [(name_package(m), name_package(i)) for m, found in graph.items() for i in found]
    return Counter(pair for pair in pairs if pair[0] != pair[1])


def _reach(graph: Graph, start: str) -> set[str]:
    reached: set[str] = set()
    waiting = [start]
    while waiting:
        for following in graph.get(waiting.pop(), set()) - reached:
            reached.add(following)
            waiting.append(following)
    return reached


def find_circles(graph: Graph) -> list[list[str]]:
    """Return the groups of nodes that reach each other."""
    reached = {node: _reach(graph, node) for node in graph}
    groups = {
        tuple(sorted(other for other in found if node in reached.get(other, set())))
        for node, found in reached.items()
        if node in found
    }
    return [list(group) for group in sorted(groups)]


def _print_circles(title: str, graph: Graph) -> None:
    packages: Graph = {}
    for source, target in count_arrows(graph):
        packages.setdefault(source, set()).add(target)
    for what, nodes in (("modules", graph), ("packages", packages)):
        circles = find_circles(nodes)
        print(f"circles of {what}, {title}: {len(circles)}")
        for circle in circles:
            print(f"  {' '.join(circle)}")


def _print_lengths() -> None:
    paths = [path for folder in _FOLDERS for path in sorted((ROOT / folder).rglob("*.py"))]
    for path in paths:
        text = path.read_text()
        lines = len(text.splitlines())
        if lines > _MOST_FILE_LINES:
            print(f"file of {lines} lines: {path.relative_to(ROOT)}")
        for node in ast.walk(ast.parse(text)):
            if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef):
                length = (node.end_lineno or node.lineno) - node.lineno + 1
                if length > _MOST_FUNCTION_LINES:
                    print(f"function of {length} lines: {path.relative_to(ROOT)} {node.name}")


def main() -> None:
    """Print imports, circles and lengths."""
    modules = find_modules()
    imports = Imports(modules)
    for (source, target), count in sorted(count_arrows(imports.merge(list(Kind))).items()):
        loading = count_arrows(imports.graphs[Kind.LOADING])[source, target]
        print(f"{source} -> {target}: {count} imports, {loading} when loaded")
    _print_circles("when loaded", imports.graphs[Kind.LOADING])
    _print_circles("and inside functions", imports.merge([Kind.LOADING, Kind.CALLING]))
    _print_circles("and for type checkers", imports.merge(list(Kind)))
    sums: Counter[str] = Counter()
    counts: Counter[str] = Counter()
    for name, path in modules.items():
        sums[name_package(name)] += len(path.read_text().splitlines())
        counts[name_package(name)] += path.name != "__init__.py"
    for package in sorted(sums):
        print(f"{package}: {sums[package]} lines, {counts[package]} modules")
    _print_lengths()


if __name__ == "__main__":
    main()
