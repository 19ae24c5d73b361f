"""Join the control group, and remove lost voters from it."""

import asyncio
from collections.abc import Callable
import time
from typing import Any

import mode
import structlog

from skylarkpitch.consensus import members as member_sets
from skylarkpitch.consensus import service as consensus
from skylarkpitch import errors
from skylarkpitch.fleet import group
from skylarkpitch.fleet import liveness
from skylarkpitch.messages import fleet as messages
from skylarkpitch.peers import network
from skylarkpitch import sentinels

__all__ = ['Membership']

JOIN_INTERVAL_S = 0.3
JOIN_TIMEOUT_S = 1.0
# A member without a leader for longer may have been removed meanwhile.
LEADER_TIMEOUT_S = 2.0
MAINTENANCE_INTERVAL_S = 0.25
# Share of the time to catch up after which a silent voter is lost. The rest
# is for its removal and for the promotion of its successor.
LOST_AFTER_RATIO = 0.5

_log = structlog.get_logger(__name__)


class Membership(mode.Service):
    """Membership of one control host in the control group.

    The host joins the group if ``is_voter``. ``tolerated_disks`` is the
    number of disk losses that the group must tolerate, where a host that was
    replaced is no loss any more ``catch_up_s`` after its successor started.
    """

    def __init__(
        self,
        *,
        peers: network.Peers,
        log: consensus.ReplicatedLog,
        seeds: Callable[[], tuple[str, ...]],
        tolerated_disks: int,
        catch_up_s: float,
        is_voter: bool = True,
        clock: Callable[[], float] = time.monotonic,
        **options: Any,
    ) -> None:
        self._peers = peers
        self._replicated_log = log
        self._seeds = seeds
        self._tolerated_disks = tolerated_disks
        self._is_voter = is_voter
        self._clock = clock
        self._notified_hosts: frozenset[str] = frozenset()
        self._voters_contact = liveness.Liveness(
            timeout_s=LOST_AFTER_RATIO * catch_up_s
        )
        self._last_contacts_s: dict[str, float] = {}
        super().__init__(**options)

    async def on_start(self) -> None:
        """Register the message handlers and connect to the group."""
        self._peers.handle(messages.JoinRequest, self._on_join)
        self._peers.handle(messages.GroupNotice, self._on_notice)
        self._connect()

    def check_large_enough(self) -> None:
        """Raise ``NotLeaderError`` if the group tolerates too few losses."""
        voters = self._replicated_log.status().voters
        if not group.is_large_enough(voters, tolerated=self._tolerated_disks):
            raise errors.NotLeaderError(
                f'the control group has {len(voters)} voters and must '
                f'tolerate the loss of {self._tolerated_disks}; wait until '
                'more have joined',
                leader=None,
            )

    def control_hosts(self) -> tuple[str, ...]:
        """Return the hosts of voters and learners, sorted."""
        status = self._replicated_log.status()
        members = status.voters + status.learners
        return tuple(sorted({member_sets.host_of(item) for item in members}))

    def _connect(self) -> None:
        """Connect to all hosts of the group before the next election.

        Until then only the leader sends messages to the others, so the
        first vote requests of an election would find no connection.
        """
        own_name = self._peers.directory.local_host.name
        for host in self.control_hosts():
            if host != own_name:
                self._peers.connect(host)

    async def _on_join(
        self, sender: str, request: messages.JoinRequest
    ) -> messages.JoinResponse | None:
        status = self._replicated_log.status()
        if request.identity in status.voters + status.learners:
            return messages.JoinResponse(is_member=True)
        if not self._replicated_log.is_leader:
            return messages.JoinResponse(
                is_member=False, leader=status.leader or ''
            )
        try:
            await self._replicated_log.add_member(
                member_sets.host_of(request.identity), timeout_s=JOIN_TIMEOUT_S
            )
        except errors.SkylarkError as error:
            _log.info(
                'member_not_added',
                identity=request.identity,
                reason=error.reason,
            )
            return messages.JoinResponse(is_member=False)
        _log.info('member_added', identity=request.identity)
        return messages.JoinResponse(is_member=True)

    async def _on_notice(
        self, sender: str, notice: messages.GroupNotice
    ) -> None:
        self._notified_hosts = frozenset(notice.control_hosts)

    def _notify_seeds(self) -> None:
        """Send the members of the group to seeds outside of it.

        A host whose seeds are all outside the group, as after all seeds
        were replaced, has no other way to find the group.
        """
        members = self.control_hosts()
        notice = messages.GroupNotice(control_hosts=members)
        for seed in set(self._seeds()) - set(members):
            self._peers.send(seed, notice)

    @mode.Service.task
    async def _join(self) -> None:
        """Request membership while this host may be no member."""
        while self._is_voter and not self.should_stop:
            await self.sleep(JOIN_INTERVAL_S)
            if self._may_be_removed(self._clock()):
                await self._request_membership()

    def _may_be_removed(self, now_s: float) -> bool:
        """Return whether this host is no member, or may be none any more.

        A member that was removed while it was away has no entry of it. It
        sees only that no leader sends it anything.
        """
        log = self._replicated_log
        status = log.status()
        if log.identity not in status.voters + status.learners:
            return True
        return log.quorum_contact_age_s(now_s=now_s) > LEADER_TIMEOUT_S

    async def _request_membership(self) -> None:
        """Request membership from all known control hosts at once.

        One after the other, each host that is lost would delay the joining
        by the timeout.
        """
        own_name = self._peers.directory.local_host.name
        hosts = set(self.control_hosts()) | self._notified_hosts
        hosts |= set(self._seeds())
        leaders = await self._request_at(hosts - {own_name})
        await self._request_at(leaders - hosts - {own_name})

    async def _request_at(self, hosts: set[str]) -> set[str]:
        """Request membership; return the leaders that the hosts name."""
        request = messages.JoinRequest(identity=self._replicated_log.identity)
        responses = await asyncio.gather(
            *(
                self._peers.request(host, request, timeout_s=JOIN_TIMEOUT_S)
                for host in sorted(hosts)
            )
        )
        return {
            response.leader
            for response in responses
            if not sentinels.is_absent(response) and response.leader
        }

    @mode.Service.task
    async def _maintain(self) -> None:
        """Connect to the group; as leader, also maintain its members.

        The leader notifies seeds outside the group and removes a lost
        voter.
        """
        while not self.should_stop:
            await self.sleep(MAINTENANCE_INTERVAL_S)
            self._connect()
            if not self._replicated_log.is_leader:
                self._voters_contact.reset()
                self._last_contacts_s.clear()
                continue
            self._notify_seeds()
            try:
                await self._remove_lost_voter(self._clock())
            except errors.SkylarkError as error:
                _log.info(
                    'member_not_removed',
                    reason=error.reason,
                    error=str(error),
                )

    def _lost_voters(self, now_s: float) -> list[str]:
        """Return the voters that have not responded for too long."""
        contacts_s = self._replicated_log.contacts_s()
        for name, contact_s in contacts_s.items():
            if contact_s != self._last_contacts_s.get(name):
                self._voters_contact.record_contact(
                    name, revision=(0, 0), now_s=now_s
                )
        self._last_contacts_s = contacts_s
        voters = set(self._replicated_log.status().voters)
        return self._voters_contact.expired(
            voters.intersection(contacts_s), now_s=now_s
        )

    async def _remove_lost_voter(self, now_s: float) -> None:
        log = self._replicated_log
        removed = group.removable_voter(
            log.status().voters,
            lost=self._lost_voters(now_s),
            ready_learners=log.ready_learners(now_s=now_s),
            tolerated=self._tolerated_disks,
        )
        if removed is not None:
            await log.remove_member(removed)
            _log.info('member_removed', identity=removed)
