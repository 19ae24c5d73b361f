"""Keep the control group together: join it, and let go who is gone."""

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
UPKEEP_INTERVAL_S = 0.5

_log = structlog.get_logger(__name__)


class Membership(mode.Service):
    """The part of one control host in the group."""

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
        self._replicated = log
        self._seeds = seeds
        self._tolerated = tolerated_disks
        self._is_voter = is_voter
        self._clock = clock
        self._noticed: frozenset[str] = frozenset()
        super().__init__(**options)

    async def on_start(self) -> None:
        """Take part in the messages about members."""
        self._peers.handle(messages.JoinAsk, self._on_join)
        self._peers.handle(messages.GroupNotice, self._on_notice)
        self._connect()

    def check_large_enough(self) -> None:
        """Raise ``NotLeaderError`` while losses could not be borne."""
        voters = self._replicated.status().voters
        if not group.is_large_enough(voters, tolerated=self._tolerated):
            raise errors.NotLeaderError(
                f'the control group has {len(voters)} voters and must bear '
                f'the loss of {self._tolerated}; wait until more have joined',
                leader=None,
            )

    def control_hosts(self) -> tuple[str, ...]:
        """Return the hosts of the group, sorted."""
        status = self._replicated.status()
        everyone = status.voters + status.learners
        return tuple(sorted({member_sets.host_of(item) for item in everyone}))

    def _connect(self) -> None:
        """Connect to the group ahead of the next election.

        Only the leader speaks to the others meanwhile, so that the first
        questions of an election would find no connection.
        """
        own = self._peers.directory.own.name
        for host in self.control_hosts():
            if host != own:
                self._peers.connect(host)

    async def _on_join(
        self, sender: str, ask: messages.JoinAsk
    ) -> messages.JoinAnswer | None:
        status = self._replicated.status()
        if ask.identity in status.voters + status.learners:
            return messages.JoinAnswer(is_member=True)
        if not self._replicated.is_leader:
            return messages.JoinAnswer(
                is_member=False, leader=status.leader or ''
            )
        try:
            await self._replicated.add_member(
                member_sets.host_of(ask.identity), timeout_s=JOIN_TIMEOUT_S
            )
        except errors.SkylarkError as error:
            _log.info(
                'member_not_added', identity=ask.identity, reason=error.reason
            )
            return messages.JoinAnswer(is_member=False)
        _log.info('member_added', identity=ask.identity)
        return messages.JoinAnswer(is_member=True)

    async def _on_notice(
        self, sender: str, notice: messages.GroupNotice
    ) -> None:
        self._noticed = frozenset(notice.control_hosts)

    def _notice_seeds(self) -> None:
        """Tell seeds outside the group where it is.

        Hosts that start with seeds of which none is a member yet, as after
        all seeds were exchanged, find the group by this alone.
        """
        members = self.control_hosts()
        notice = messages.GroupNotice(control_hosts=members)
        for seed in set(self._seeds()) - set(members):
            self._peers.send(seed, notice)

    @mode.Service.task
    async def _join(self) -> None:
        """Ask to be a member until this host is one."""
        while self._is_voter and not self.should_stop:
            await self.sleep(JOIN_INTERVAL_S)
            status = self._replicated.status()
            identity = self._replicated.identity
            if identity in status.voters + status.learners:
                continue
            await self._ask_to_join(identity)

    async def _ask_to_join(self, identity: str) -> None:
        own = self._peers.directory.own.name
        known = set(self.control_hosts()) | self._noticed
        ask = messages.JoinAsk(identity=identity)
        for host in sorted((known | set(self._seeds())) - {own}):
            answer = await self._peers.ask(host, ask, timeout_s=JOIN_TIMEOUT_S)
            if sentinels.is_absent(answer):
                continue
            if answer.leader and answer.leader != own:
                answer = await self._peers.ask(
                    answer.leader, ask, timeout_s=JOIN_TIMEOUT_S
                )
            if not sentinels.is_absent(answer) and answer.is_member:
                return

    @mode.Service.task
    async def _upkeep(self) -> None:
        """As leader, tell seeds of the group and let go a lost voter."""
        while not self.should_stop:
            await self.sleep(UPKEEP_INTERVAL_S)
            self._connect()
            if not self._replicated.is_leader:
                continue
            self._notice_seeds()
            try:
                await self._let_go_voter(self._clock())
            except errors.SkylarkError as error:
                _log.info(
                    'member_not_removed',
                    reason=error.reason,
                    error=str(error),
                )

    async def _let_go_voter(self, now_s: float) -> None:
        gone = group.to_remove(
            self._replicated.status().voters,
            contact_ages_s=self._replicated.contact_ages_s(now_s=now_s),
            tolerated=self._tolerated,
        )
        if gone is not None:
            await self._replicated.remove_member(gone)
            _log.info('member_removed', identity=gone)
