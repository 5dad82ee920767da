"""Dispatches each message from a peer to the coordination call that handles it."""

from functools import singledispatch

from turmericwharf.coordination import Node, not_run
from turmericwharf.state import (
    ALREADY_RUN,
    Acknowledged,
    Answered,
    Cancel,
    ClaimFailed,
    ClaimFinish,
    ClaimGranted,
    ClaimOutcomeRequest,
    ClaimRelease,
    ClaimRequest,
    ClaimTaken,
    ControlSnapshot,
    Execute,
    Gossip,
    GossipRequest,
    InForceAnswer,
    InForceRequest,
    LoanGranted,
    LoanRefused,
    LoanRequest,
    KeptAnswerRequest,
    Message,
    NotRun,
    Outcome,
    OutlierHint,
    PeerIntroduction,
    ProtocolFailure,
    Reason,
    SliceGranted,
    SliceRequest,
    Reports,
    ReportsRequest,
    SnapshotRequest,
)


@singledispatch
async def handle_message(message: object, node: Node) -> Message | ProtocolFailure:
    """Handle a message from a peer and return the answer.

    Returns
    -------
    Message or ProtocolFailure
        A failure if peers may not send messages of this type as requests.
    """
    return ProtocolFailure(
        Reason.FRAME_TYPE_UNKNOWN, f'unexpected message type {type(message).__name__}'
    )


@handle_message.register
async def _(message: Execute, node: Node) -> Outcome:
    outcome = await node.executor.execute(message)
    if isinstance(outcome, NotRun) and outcome.reason is Reason.MEMORY_EXHAUSTED:
        # Nodes of earlier builds do not know this reason.
        return NotRun(Reason.QUEUE_FULL, outcome.detail)
    return outcome


@handle_message.register
async def _(message: Cancel, node: Node) -> Acknowledged:
    node.executor.cancel(message.request)
    return Acknowledged()


@handle_message.register
async def _(message: ClaimRequest, node: Node) -> ClaimGranted | ClaimTaken | ClaimFailed:
    return await node.ledger.claim(message)


@handle_message.register
async def _(message: ClaimRelease, node: Node) -> Acknowledged | ClaimFailed:
    return await node.ledger.release(message)


@handle_message.register
async def _(message: ClaimFinish, node: Node) -> Acknowledged | ClaimFailed:
    return await node.ledger.finish(message)


@handle_message.register
async def _(message: ClaimOutcomeRequest, node: Node) -> ClaimTaken | ClaimFailed:
    return await node.ledger.wait_for_outcome(message)


@handle_message.register
async def _(message: KeptAnswerRequest, node: Node) -> Answered | NotRun:
    return node.claims.kept_answers.find(message.claim) or not_run(ALREADY_RUN)


@handle_message.register
async def _(message: LoanRequest, node: Node) -> LoanGranted | LoanRefused:
    return node.limiter.loans.lend(message)


@handle_message.register
async def _(message: SliceRequest, node: Node) -> SliceGranted:
    return node.limiter.buckets.grant(message)


@handle_message.register
async def _(message: GossipRequest, node: Node) -> Gossip:
    return node.gossiper.make_gossip()


@handle_message.register
async def _(message: ReportsRequest, node: Node) -> Reports:
    return node.gossiper.answer_reports(message)


@handle_message.register
async def _(message: Reports, node: Node) -> Acknowledged:
    node.gossiper.merge_reports(message.reports)
    return Acknowledged()


@handle_message.register
async def _(message: OutlierHint, node: Node) -> Acknowledged:
    node.router.receive_hint(message)
    return Acknowledged()


@handle_message.register
async def _(message: PeerIntroduction, node: Node) -> Acknowledged:
    node.gossiper.introduce(message.member)
    return Acknowledged()


@handle_message.register
async def _(message: SnapshotRequest, node: Node) -> ControlSnapshot:
    control_log = node.control_log
    is_newer = control_log.is_ready and control_log.state.version > message.version
    return ControlSnapshot(control_log.state if is_newer else None)


@handle_message.register
async def _(message: InForceRequest, node: Node) -> InForceAnswer:
    return InForceAnswer(
        instance=node.members.own.instance,
        version=node.control_log.state.version,
        standing=node.standing.has_standing,
    )
