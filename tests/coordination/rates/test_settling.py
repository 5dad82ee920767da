"""Membership settling: shares follow a membership only once no node with standing can lack it."""

from turmericwharf.coordination import MembershipSettling, effective_settle_seconds
from turmericwharf.state import Member, Membership, TimingSettings


class _Clock:
    moment = 0.0

    def now(self):
        return self.moment


def _membership(version, instances):
    members = {name: Member(name, f'{name}-1', '127.0.0.1', 1, 'dc-1') for name in instances}
    return Membership(version, members)


def _settling(clock):
    local_member = Member('a', 'a-1', '127.0.0.1', 1, 'dc-1')
    settling = MembershipSettling(local_member, TimingSettings(), clock)
    settling.apply_membership(_membership(0, 'abc'), is_consecutive=True)
    settling.confirm(0)
    return settling


def test_each_membership_since_the_last_confirmed_needs_a_majority():
    """Guards against confirmation by a majority of the newest membership only.

    Such a majority may include none of the members of the older memberships.
    """
    settling = _settling(_Clock())
    settling.apply_membership(_membership(1, 'abcde'), is_consecutive=True)
    settling.apply_membership(_membership(2, 'ade'), is_consecutive=True)
    assert not settling.is_confirmed_by(frozenset('ade'))
    assert settling.is_confirmed_by(frozenset('abde'))


def test_state_with_a_gap_is_not_confirmed_here():
    """Guards against confirming across memberships that this node has not received.

    Their members are unknown here, so no majority of them can be checked.
    """
    settling = _settling(_Clock())
    settling.apply_membership(_membership(5, 'abc'), is_consecutive=False)
    assert not settling.is_confirmed_by(frozenset('abc'))
    assert not settling.is_settled


def test_removed_member_counts_until_its_removal_has_settled():
    """Guards against dividing a rate anew while the removed member still uses its share."""
    clock = _Clock()
    settling = _settling(clock)
    settling.apply_membership(_membership(1, 'ab'), is_consecutive=True)
    clock.moment += 1000
    assert sorted(settling.members_with_shares()) == ['a', 'b', 'c']
    settling.confirm(1)
    clock.moment += effective_settle_seconds(TimingSettings()) - 0.1
    assert sorted(settling.members_with_shares()) == ['a', 'b', 'c']
    clock.moment += 0.1
    assert sorted(settling.members_with_shares()) == ['a', 'b']


def test_short_settle_setting_is_raised():
    """Guards against a settle time that is shorter than the lifetime of loans and slices.

    A loan could then outlive the membership on which it was granted.
    """
    timing = TimingSettings(settle_seconds=1.0)
    max_lifetime = timing.standing_seconds + timing.loan_seconds + timing.slice_seconds
    assert effective_settle_seconds(timing) > max_lifetime
