"""Entry point of `python -m turmericwharf_node`."""

from turmericwharf_node.main import main

main()
