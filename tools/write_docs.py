"""Writes the pages of docs/ that follow from the code.

Usage:
  write_docs [--check]
  write_docs --help

Options:
  --check  Write nothing; name the pages that differ and end with 1.
  --help   Print this text.
"""

import importlib
import pathlib
import pkgutil
import sys

import docopt

import cornelreach
from cornelreach.reports import metrics
from cornelreach.ui import main as tool, options
from cornelreach.util import events

DOCS = pathlib.Path(__file__).resolve().parent.parent / "docs"


def pages():
    """Return the text of each written page by file name."""
    for module in pkgutil.walk_packages(cornelreach.__path__, "cornelreach."):
        importlib.import_module(module.name)
    return {
        "EVENTS.md": events.catalogue_markdown(),
        "reference-commands.md": tool.reference_markdown(),
        "reference-daemon.md": options.reference_markdown(),
        "reference-metrics.md": metrics.reference_markdown(),
    }


def differing():
    """Return the names of the pages that do not agree with the code."""
    return [
        name
        for name, text in pages().items()
        if not (DOCS / name).exists() or (DOCS / name).read_text() != text
    ]


def main():
    """Write or check the pages."""
    arguments = docopt.docopt(__doc__)
    found = differing()
    if arguments["--check"]:
        print("\n".join(found) or "every page agrees with the code")
        return 1 if found else 0
    for name in found:
        (DOCS / name).write_text(pages()[name])
        print(f"wrote docs/{name}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
