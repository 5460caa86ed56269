"""The layers of the package: which module may import which, checked on the sources alone.

Imports go to lower layers only, and there are no cycles.
"""

import ast
import functools
from pathlib import Path

import pytest

PACKAGE = Path(__file__).parent.parent.parent / "cottonspread"

# Which others each folder, or top-level module, may import; `cli` may import all.
MAY_IMPORT = {
    "__main__": {"cli"},
    "fleet": {"config", "configstore", "lists"},
    "lab": {"config", "configstore", "front", "interface", "net", "policy", "state", "structures"},
    "drill": {"config", "front", "interface", "policy"},
    "net": {"config", "front", "interface", "lists", "policy", "state", "structures"},
    "lists": {"config", "interface"},
    "front": {"interface", "policy"},
    "configstore": {"config", "interface", "lists"},
    "policy": {"driver", "interface", "state", "structures"},
    "driver": {"interface", "state", "structures"},
    "structures": {"interface", "state"},
    "state": {"interface"},
    "config": {"interface"},
    "interface": set(),
}
# Single imports beyond this table, each with its reason.
EXCEPTIONS = {
    # the package's only HTTP client; it imports nothing
    ("cottonspread.configstore.callers", "cottonspread.net.http"),
}
SERVING_MODULES = ("cottonspread.cli.node", "cottonspread.cli.instance")


def sources():
    """Returns {module: its source}."""
    found = {}
    for path in sorted(PACKAGE.rglob("*.py")):
        words = path.relative_to(PACKAGE.parent).with_suffix("").parts
        found[".".join(words[:-1] if words[-1] == "__init__" else words)] = path.read_text()
    return found


@functools.cache
def imports(text, in_functions):
    """Returns the import statements of a source."""
    found = statements(ast.parse(text), in_functions)
    return [node for node in found if isinstance(node, (ast.Import, ast.ImportFrom))]


def statements(tree, in_functions):
    """Yields all nodes; without those of functions, only what runs when the module is imported."""
    for node in ast.iter_child_nodes(tree):
        if in_functions or not isinstance(node, (ast.FunctionDef, ast.AsyncFunctionDef, ast.Lambda)):
            yield node
            yield from statements(node, in_functions)


def graph(texts, in_functions=True):
    """Returns {module: modules of the package that it imports}."""
    edges = {}
    for name, text in texts.items():
        wanted = set()
        for node in imports(text, in_functions):
            if isinstance(node, ast.Import):
                wanted.update(alias.name for alias in node.names)
            else:
                assert not node.level, f"{name}: a relative import is not followed here"
                for alias in node.names:
                    whole = f"{node.module}.{alias.name}"
                    wanted.add(whole if whole in texts else node.module)
        edges[name] = {module for module in wanted if module in texts and module != name}
    return edges


def layer(module):
    return (module.split(".") + [""])[1]


def forbidden(edges):
    """Returns imports that the table does not allow; those within a folder and of the version are allowed."""
    return [
        f"{name} imports {other}"
        for name, others in edges.items()
        for other in sorted(others)
        if (name, other) not in EXCEPTIONS
        and layer(name) not in (layer(other), "cli")
        and layer(other)
        and layer(other) not in MAY_IMPORT.get(layer(name), set())
    ]


def reached(edges, starts):
    """Returns all modules that these import, directly or indirectly."""
    seen, left = set(), list(starts)
    while left:
        name = left.pop()
        if name not in seen:
            seen.add(name)
            left += edges[name]
    return seen


def cycles(edges):
    """Returns modules that import themselves indirectly."""
    return sorted(name for name in edges if name in reached(edges, edges[name]))


def with_parents(edges):
    """Adds the parent packages of each import, which importing a module runs as well."""

    def parents(name):
        words = name.split(".")
        return {".".join(words[:n]) for n in range(1, len(words))}

    return {
        name: others | parents(name) | {p for other in others for p in parents(other)}
        for name, others in edges.items()
    }


def lab_modules_of_serve(texts):
    """Returns modules of the lab that a serving node loads, or that its command may load later."""
    loaded = reached(
        with_parents(graph(texts, in_functions=False)), ["cottonspread.__main__", *SERVING_MODULES]
    )
    return sorted(name for name in loaded | reached(graph(texts), SERVING_MODULES) if layer(name) == "lab")


def violations(texts):
    return forbidden(graph(texts)) + cycles(graph(texts)) + lab_modules_of_serve(texts)


def test_imports_follow_the_layers_without_a_cycle():
    assert len(sources()) > 60
    assert violations(sources()) == []


def test_each_exception_is_needed():
    edges = graph(sources())
    assert all(other in edges[name] and not edges[other] for name, other in EXCEPTIONS)


def test_every_folder_has_its_layer():
    assert {layer(name) for name in sources()} <= MAY_IMPORT.keys() | {"", "cli"}


@pytest.mark.parametrize(
    "module, line, found",
    [
        (
            "config.platform",
            "from cottonspread.net import lines",
            "config.platform imports cottonspread.net.lines",
        ),
        ("interface", "from cottonspread import state", "interface imports cottonspread.state"),
        ("policy.path", "import cottonspread.net.reducer", "policy.path imports cottonspread.net.reducer"),
        (
            "fleet.core",
            "def f():\n    from cottonspread.net import node",
            "fleet.core imports cottonspread.net.node",
        ),
        ("lab.fleet", "def f():\n    from cottonspread.lab import run", "cottonspread.lab.run"),
        ("net.lines", "from cottonspread.net import reducer", "cottonspread.net.reducer"),
        ("cli", "from cottonspread.lab import wire", "cottonspread.lab.wire"),
        ("cli.node", "def f():\n    from cottonspread.lab import plan", "cottonspread.lab.plan"),
    ],
)
def test_a_forbidden_import_is_found(module, line, found):
    """One more line in one module, as a change could add it."""
    texts = sources()
    texts[f"cottonspread.{module}"] += f"\n{line}\n"
    assert any(violation.endswith(found) for violation in violations(texts)), violations(texts)
