"""docs/acceptance.md names tests and scenarios that exist."""

import re
from pathlib import Path

TESTS = Path(__file__).parent
PAGE = (TESTS.parent / "docs" / "acceptance.md").read_text()
WORDS = re.findall(r"`([^`\s]+)`", PAGE)


def test_every_test_that_the_page_names_is_one():
    source = "\n".join(path.read_text() for path in TESTS.rglob("test_*.py"))
    defined = re.findall(r"^def (test_\w+)\(", source, re.MULTILINE)
    named = [word for word in WORDS if word.startswith("test_") and not word.endswith(".py")]
    assert len(named) > 40
    for word in named:
        name, cut, _ = re.split(r"\[", word)[0].partition("...")
        assert any(one.startswith(name) if cut else one == name for one in defined), word


def test_every_file_that_the_page_names_is_there():
    named = [word for word in WORDS if re.fullmatch(r"[\w/*]+\.(txt|py)", word) and "NAME" not in word]
    assert len(named) > 20
    places = [
        TESTS.parent,
        TESTS.parent / "cottonspread",
        TESTS,
        TESTS / "reducer",
        TESTS / "crossings",
    ]
    for word in named:
        assert any(list(place.glob(word)) for place in places), word
