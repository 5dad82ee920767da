"""Gossip traffic of a node in bytes per second, for several fleet sizes.

Nodes create, encode, decode and merge real messages; links are function calls on a virtual
clock. Every node holds as many reports as there are nodes, or `--servers` if that is more. Run
as `python -m benchmarks.gossip_bytes`.
"""

import argparse
import asyncio
import random
import time

from turmericwharf.coordination import MembershipView, Standing
from turmericwharf.coordination.configuration.control_log import ControlLog
from turmericwharf.coordination.membership.gossip import Gossiper
from turmericwharf.protocol import Frame, decode_frame, encode_frame
from turmericwharf.state import (
    PEER_UNREACHABLE,
    GossipRequest,
    IncarnationId,
    InstanceId,
    Member,
    Membership,
    ReportsRequest,
    ServerReport,
    ServerState,
    ServiceId,
    TimingSettings,
)

# Headers of a WebSocket frame, of TCP with timestamps and of IP; and one acknowledgement.
HEADER_BYTES = 4 + 32 + 20
ACKNOWLEDGEMENT_BYTES = 52
WARM_UP_ROUNDS = 8
ROUNDS = 12
# 590 instances a day restart, fail or are replaced; each changes its report about four times.
CHANGES_PER_SECOND_AT_500 = 590 * 4 / 86400


class Clock:
    def __init__(self) -> None:
        self.seconds = 1000.0

    def now(self) -> float:
        return self.seconds


class Links:
    def __init__(self, gossipers: dict[InstanceId, Gossiper]) -> None:
        self.gossipers = gossipers
        self.payload_bytes = 0
        self.frames = 0

    async def request(self, instance, message, *, timeout_seconds):
        peer = self.gossipers.get(instance)
        if peer is None:
            return PEER_UNREACHABLE
        handlers = {GossipRequest: peer.make_gossip, ReportsRequest: None}
        handler = handlers[type(message)] or (lambda: peer.answer_reports(message))
        encoded = encode_frame(Frame(100_000, message)), encode_frame(Frame(100_000, handler()))
        self.payload_bytes += sum(map(len, encoded))
        self.frames += 2
        return decode_frame(encoded[1]).message


def make_member(number: int) -> Member:
    name = InstanceId(f'node-{number:04d}')
    return Member(name, IncarnationId('019b00000000-abcdef12'), '10.0.0.1', 7000, 'dc')


def make_report(owner: Member, sequence: int) -> ServerReport:
    service = ServiceId(f'service-{hash(owner.instance) % 200}')
    return ServerReport(owner.instance, owner.incarnation, sequence, service, 4, ServerState.READY)


def build_fleet(
    nodes: int, reports: int, timing: TimingSettings, clock: Clock
) -> tuple[Links, dict[InstanceId, MembershipView]]:
    members = {member.instance: member for member in map(make_member, range(nodes))}
    links = Links({})
    views = {}
    for instance, local_member in members.items():
        view = MembershipView(local_member, timing, clock)
        standing = Standing(timing, clock)
        log = ControlLog(log=None, standing=standing, members=view, timing=timing, clock=clock)
        view.apply(Membership(1, members))
        view.is_caught_up = True
        for number in range(reports):
            view.report_table.put(make_report(make_member(number), 1), 0.0)
        views[instance] = view
        links.gossipers[instance] = Gossiper(
            members=view,
            control_log=log,
            standing=standing,
            links=links,
            timing=timing,
            clock=clock,
        )
    return links, views


async def measure(nodes: int, slots: int, peers: int) -> None:
    clock, timing = Clock(), TimingSettings(gossip_peers=peers)
    links, views = build_fleet(nodes, slots, timing, clock)
    gossipers = links.gossipers
    alive, standing_samples, samples, sequence, max_contact_age = 0.0, 0, 0, 1, 0.0
    rng = random.Random(1)
    order = list(gossipers)
    started_at = 0.0
    for round_number in range(WARM_UP_ROUNDS + ROUNDS):
        if round_number == WARM_UP_ROUNDS:
            links.payload_bytes = links.frames = 0
            started_at = time.process_time()
        peer_count = min(peers, nodes - 1)
        for part in range(peer_count):
            rng.shuffle(order)
            for instance in order:
                # Advance the clock for each node, so that gossip requests are not synchronised.
                clock.seconds += timing.gossip_seconds / nodes / peer_count
                if not part and rng.random() < CHANGES_PER_SECOND_AT_500 / 500:
                    sequence += 1
                    views[instance].record_report(make_report(views[instance].own, sequence))
                peer = gossipers[instance].choose_peer()
                await gossipers[instance].pull(peer)
        if round_number >= WARM_UP_ROUNDS:
            for view in list(views.values())[:20]:
                alive += len(view.live_members()) / nodes
                contact_at = view.majority_contact_at()
                standing_samples += clock.now() - contact_at <= timing.standing_seconds
                max_contact_age = max(max_contact_age, clock.now() - contact_at)
                samples += 1
    seconds = ROUNDS * timing.gossip_seconds
    payload = links.payload_bytes / nodes / seconds
    # Each frame is sent by one node and received by another.
    wire = payload + links.frames * (HEADER_BYTES + ACKNOWLEDGEMENT_BYTES) / nodes / seconds
    processor = (time.process_time() - started_at) / nodes / seconds
    print(
        f'{nodes:5d} nodes {slots:5d} reports {peers} peers: sent {payload:6.0f} B/s a node, '
        f'{wire:6.0f} with headers; seen alive {100 * alive / samples:5.1f} %, '
        f'majority fresh {100 * standing_samples / samples:5.1f} % '
        f'(oldest {max_contact_age:.2f} s), '
        f'processor {100 * processor:.2f} % of a core',
        flush=True,
    )


async def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument('--peers', type=int, nargs='*', default=[4])
    parser.add_argument('--sizes', type=int, nargs='*', default=[3, 30, 100, 500])
    parser.add_argument('--servers', type=int, default=0)
    arguments = parser.parse_args()
    for peers in arguments.peers:
        for nodes in arguments.sizes:
            await measure(nodes, max(nodes, arguments.servers), peers)


if __name__ == '__main__':
    asyncio.run(main())
