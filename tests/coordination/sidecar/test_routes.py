import collections

from tests.coordination.sidecar.samples import make_route
from turmericwharf.coordination.sidecar.routes import HostRouteIndex, choose_service
from turmericwharf.state.sidecar import Destination


def test_longest_path_prefix_of_the_host_is_selected():
    """A request must not be served under the rules of another route."""
    short = make_route(route='short', path_prefix='/a/')
    long = make_route(route='long', path_prefix='/a/b/')
    other = make_route(route='other', host='b.example', path_prefix='/a/b/c/')
    index = HostRouteIndex((short, long, other))
    assert index.find('a.example', '/a/b/c/1?x=/') is long
    assert index.find('a.example', '/a/x') is short
    assert index.find('a.example', '/a') is None
    assert index.find('a.example', '/ab/') is None
    assert index.find('c.example', '/a/b/c/') is None


def test_root_prefix_matches_all_paths():
    """A route for the whole host must match every path."""
    root = make_route(path_prefix='/')
    assert HostRouteIndex((root,)).find('a.example', '/x/y') is root


def test_traffic_split_follows_the_weights():
    """A destination must not exceed its share, and one with weight 0 must get no request."""
    destinations = (Destination('a', 90), Destination('b', 10), Destination('c', 0))
    counts = collections.Counter(choose_service(destinations) for _ in range(20_000))
    assert counts['c'] == 0
    assert abs(counts['b'] / 20_000 - 0.1) < 0.02


def test_traffic_split_without_weights_has_no_service():
    """A route without weights must lead to a refusal, not to an exception."""
    assert choose_service((Destination('a', 0),)) is None
    assert choose_service(()) is None
