"""Generates the pages of docs/ that are derived from the code.

Usage:
  write_docs [--check]
  write_docs --help

Options:
  --check  Write nothing; list outdated pages, and exit with 1 if there are any.
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


def render_pages():
    """Return the text of each generated page by file name."""
    for module in pkgutil.walk_packages(cornelreach.__path__, "cornelreach."):
        importlib.import_module(module.name)
    return {
        "EVENTS.md": events.catalogue_markdown(),
        "reference-commands.md": tool.reference_markdown(),
        "reference-daemon.md": options.reference_markdown(),
        "reference-metrics.md": metrics.reference_markdown(),
    }


def outdated_pages():
    """Return the names of pages that differ from the generated text."""
    return [
        name
        for name, text in render_pages().items()
        if not (DOCS / name).exists() or (DOCS / name).read_text() != text
    ]


def main():
    """Write or check the generated pages."""
    arguments = docopt.docopt(__doc__)
    outdated = outdated_pages()
    if arguments["--check"]:
        print("\n".join(outdated) or "all generated pages are up to date")
        return 1 if outdated else 0
    for name in outdated:
        (DOCS / name).write_text(render_pages()[name])
        print(f"wrote docs/{name}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
