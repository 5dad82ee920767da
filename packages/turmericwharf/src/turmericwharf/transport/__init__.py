"""Network connections of a node, with one task for each connection and each peer."""

import lazy_loader

# `__init__.pyi` lists the public names. Each is imported on first use, so that a process loads only
# the modules that it runs.
__getattr__, __dir__, __all__ = lazy_loader.attach_stub(__name__, __file__)
