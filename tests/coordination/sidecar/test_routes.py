import collections

from tests.coordination.sidecar.samples import make_route
from turmericwharf.coordination.sidecar.routes import RouteTable, choose_service
from turmericwharf.state.sidecar import Destination


def test_longest_prefix_of_the_host_wins():
    """A request would run under the rules of another route."""
    short = make_route(route='short', path_prefix='/a/')
    long = make_route(route='long', path_prefix='/a/b/')
    other = make_route(route='other', host='b.example', path_prefix='/a/b/c/')
    table = RouteTable((short, long, other))
    assert table.find('a.example', '/a/b/c/1?x=/') is long
    assert table.find('a.example', '/a/x') is short
    assert table.find('a.example', '/a') is None
    assert table.find('a.example', '/ab/') is None
    assert table.find('c.example', '/a/b/c/') is None


def test_root_prefix_catches_all_paths():
    """A route of the whole host would be missed."""
    root = make_route(path_prefix='/')
    assert RouteTable((root,)).find('a.example', '/x/y') is root


def test_split_follows_weights():
    """A part of a split would get more than its share, or a part with weight 0 any request."""
    parts = (Destination('a', 90), Destination('b', 10), Destination('c', 0))
    counts = collections.Counter(choose_service(parts) for _ in range(20_000))
    assert counts['c'] == 0
    assert abs(counts['b'] / 20_000 - 0.1) < 0.02


def test_split_without_weight_has_no_service():
    """A route with no weights at all would raise instead of refusing."""
    assert choose_service((Destination('a', 0),)) is None
    assert choose_service(()) is None
