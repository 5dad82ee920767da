"""Metrics of a node, made from the state dump when they are asked for."""

import dataclasses
from collections.abc import Mapping
from types import MappingProxyType

from aioprometheus.collectors import Collector, Counter, Gauge, Registry
from aioprometheus.renderer import render

from turmericwharf.coordination import Node, dump_parts
from turmericwharf.coordination.sidecar import SidecarNode
from turmericwharf.protocol import HttpAnswer

_OK = 200
_COUNTER_SUFFIX = '_total'
_NUMBERS = (bool, int, float)
_COLLECTORS_BY_GROWTH: Mapping[bool, type[Collector]] = MappingProxyType(
    {True: Counter, False: Gauge},
)


def render_metrics(node: Node | SidecarNode) -> HttpAnswer:
    """Return all numbers of the state dump in the text format of Prometheus."""
    registry = Registry()
    for part, dump in dump_parts(node).items():
        for field in dataclasses.fields(dump):  # type: ignore[arg-type]
            _collect(registry, f'{part}_{field.name}', getattr(dump, field.name))
    body, headers = render(registry, ['text/plain'])
    return HttpAnswer(_OK, tuple(headers.items()), body)


def _collect(registry: Registry, name: str, found: object) -> None:
    numbers = {'': found} if isinstance(found, _NUMBERS) else found
    if not isinstance(numbers, Mapping):
        return
    numbers = {label: one for label, one in numbers.items() if isinstance(one, _NUMBERS)}
    if not numbers:
        return
    collector_type = _COLLECTORS_BY_GROWTH[name.endswith(_COUNTER_SUFFIX)]
    collector = collector_type(
        f'turmericwharf_{name}',
        f'Field {name} of the state dump',
        registry=registry,
    )
    for label, number in numbers.items():
        collector.set_value({'of': label} if label else {}, float(number))
