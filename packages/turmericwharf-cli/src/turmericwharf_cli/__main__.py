"""Entry point of `python -m turmericwharf_cli`."""

from turmericwharf_cli.main import main

main()
