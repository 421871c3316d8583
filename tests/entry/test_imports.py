"""The modules of a package import each other in one direction."""

import ast
import unittest
from graphlib import TopologicalSorter
from pathlib import Path

import fireflyward

_ROOT = Path(fireflyward.__file__).parent


def siblings(path):
    """Return the modules of the same package that ``path`` imports, at any level."""
    names = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.level == 1:
            names |= (
                {node.module} if node.module else {alias.name for alias in node.names}
            )
    return names


class ImportTests(unittest.TestCase):
    def test_no_package_has_circular_imports(self):
        """Guards against an ImportError when an import moves to a module's top level.

        Modules that import each other work only while one of the imports is inside a
        function, and only in one order.
        """
        for package in sorted(_ROOT.rglob("__init__.py")):
            modules = [path for path in package.parent.glob("*.py") if path != package]
            graph = {path.stem: siblings(path) for path in modules}
            with self.subTest(package=package.parent.name):
                TopologicalSorter(graph).prepare()
