"""Writes the table of budgets in docs/design/time-budgets.md."""

import pathlib

from basiljunction.platform import _settings
from basiljunction.transport.jobs import _budget_chains
from basiljunction.transport.jobs import _budget_page

ROOT = pathlib.Path(__file__).parents[1]
SETTINGS_PATH = ROOT / "examples" / "platform" / "local.conf"
PAGE_PATH = ROOT / "docs" / "design" / "time-budgets.md"


def main() -> None:
    """Writes the page from the settings of the example."""
    settings = _settings.load_settings(SETTINGS_PATH)
    _budget_page.write_page(PAGE_PATH, _budget_chains.make_budgets(settings))


if __name__ == "__main__":
    main()
