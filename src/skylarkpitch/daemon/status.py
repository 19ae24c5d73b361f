"""Gather what an entry host tells of itself."""

import dataclasses
from typing import Any, Protocol

from skylarkpitch.limits import service as limits
from skylarkpitch.membership import service as membership
from skylarkpitch.observability import histograms
from skylarkpitch.operators import host_requests
from skylarkpitch.peers import network

__all__ = ['EntryStatus']


class _Counting(Protocol):
    def counters(self) -> dict[str, float]:
        """Return plain numbers by name."""


class EntryStatus:
    """Read the counters and summaries of an entry host's parts."""

    def __init__(
        self,
        *,
        latencies: histograms.LatencyHistograms,
        limits: limits.OrganisationLimits,
        membership: membership.UpstreamMembership,
        parts: dict[str, _Counting],
    ) -> None:
        self._latencies = latencies
        self._limits = limits
        self._membership = membership
        self._parts = parts

    def counters(self) -> dict[str, float]:
        """Return every counter, named ``part.counter``."""
        return {
            f'{part}.{name}': float(value)
            for part, counting in self._parts.items()
            for name, value in counting.counters().items()
        }

    def report(self) -> dict[str, Any]:
        """Return what operators see of this host."""
        return {
            'counters': self.counters(),
            'latencies': [
                dataclasses.asdict(item)
                for item in self._latencies.summaries()
            ],
            'organisations': {
                name: dataclasses.asdict(usage)
                for name, usage in self._limits.usage().items()
            },
            'upstreams': [
                dataclasses.asdict(item)
                for item in self._membership.upstreams()
            ],
        }

    def answer_on(self, peers: network.Peers) -> None:
        """Answer the operators' questions that arrive over ``peers``."""
        peers.handle(host_requests.HistogramRequest, self._on_histograms)
        peers.handle(host_requests.StatusRequest, self._on_status)

    async def _on_histograms(
        self, _sender: str, _message: host_requests.HistogramRequest
    ) -> host_requests.HistogramResponse:
        return host_requests.HistogramResponse(
            encoded=self._latencies.encoded()
        )

    async def _on_status(
        self, _sender: str, _message: host_requests.StatusRequest
    ) -> host_requests.StatusResponse:
        return host_requests.StatusResponse(status=self.report())
