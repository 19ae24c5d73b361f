"""Join the control group, and remove lost voters from it."""

from collections.abc import Callable
import time
from typing import Any

import mode
import structlog

from skylarkpitch.consensus import members as member_sets
from skylarkpitch.consensus import service as consensus
from skylarkpitch import errors
from skylarkpitch.fleet import group
from skylarkpitch.messages import fleet as messages
from skylarkpitch.peers import network
from skylarkpitch import sentinels

__all__ = ['Membership']

JOIN_INTERVAL_S = 0.3
JOIN_TIMEOUT_S = 1.0
MAINTENANCE_INTERVAL_S = 0.5

_log = structlog.get_logger(__name__)


class Membership(mode.Service):
    """Membership of one control host in the control group.

    The host joins the group if ``is_voter``. ``tolerated_disks`` is the
    number of disk losses that the group must tolerate.
    """

    def __init__(
        self,
        *,
        peers: network.Peers,
        log: consensus.ReplicatedLog,
        seeds: Callable[[], tuple[str, ...]],
        tolerated_disks: int,
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
        """Request membership until this host is a member."""
        while self._is_voter and not self.should_stop:
            await self.sleep(JOIN_INTERVAL_S)
            status = self._replicated_log.status()
            identity = self._replicated_log.identity
            if identity in status.voters + status.learners:
                continue
            await self._request_membership(identity)

    async def _request_membership(self, identity: str) -> None:
        own_name = self._peers.directory.local_host.name
        candidates = set(self.control_hosts()) | self._notified_hosts
        request = messages.JoinRequest(identity=identity)
        for host in sorted((candidates | set(self._seeds())) - {own_name}):
            response = await self._peers.request(
                host, request, timeout_s=JOIN_TIMEOUT_S
            )
            if sentinels.is_absent(response):
                continue
            if response.leader and response.leader != own_name:
                response = await self._peers.request(
                    response.leader, request, timeout_s=JOIN_TIMEOUT_S
                )
            if not sentinels.is_absent(response) and response.is_member:
                return

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

    async def _remove_lost_voter(self, now_s: float) -> None:
        lost = group.removable_voter(
            self._replicated_log.status().voters,
            contact_ages_s=self._replicated_log.contact_ages_s(now_s=now_s),
            tolerated=self._tolerated_disks,
        )
        if lost is not None:
            await self._replicated_log.remove_member(lost)
            _log.info('member_removed', identity=lost)
