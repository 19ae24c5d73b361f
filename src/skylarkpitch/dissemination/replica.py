"""A host's copy of the control state, with the proof of its age.

A proof is a time, by the local clock, at which the copy was certainly current.
"""

from collections.abc import Iterable
import dataclasses

from skylarkpitch.config import parts
from skylarkpitch.config import view as views
from skylarkpitch.dissemination import freshness
from skylarkpitch.dissemination import responses
from skylarkpitch.messages import dissemination as messages

__all__ = ['Replica', 'ResponseEffect']


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ResponseEffect:
    """What a response changed.

    ``kinds`` are the first components of the changed parts' keys.
    """

    is_proof: bool = False
    kinds: frozenset[str] = frozenset()

    @property
    def is_useful(self) -> bool:
        """Return whether the response brought parts or a newer proof."""
        return self.is_proof or bool(self.kinds)


class Replica:
    """Parts that a host stores for itself and for those that request them.

    The version never decreases: a response with an older one changes no part.
    Its proof still counts, since a state that is newer than one that was
    current at a time includes everything accepted by that time.
    """

    def __init__(self, *, site: str) -> None:
        self.store = parts.PartStore()
        self.view = views.StateView()
        self.proven_at_s = freshness.NEVER_S
        self.digest_mismatches = 0
        self.whole_responses = 0
        self._sites = {site}
        self._complete_sites: frozenset[str] = frozenset()
        self._needs_full_state = False

    @property
    def version(self) -> int:
        """Return the version of the stored parts."""
        return self.store.version

    def add_sites(self, sites: Iterable[str]) -> None:
        """Request these sites too, for hosts that use this one as source."""
        self._sites.update(sites)

    def build_request(
        self, *, now_s: float, hold_s: float, wants_parts: bool = True
    ) -> messages.StateRequest:
        """Return the request to send now.

        ``hold_s`` is the longest time that the source may hold it.
        """
        no_version = messages.NO_VERSION
        version = no_version if self._needs_full_state else self.version
        age_s = messages.UNPROVEN_S
        if self.proven_at_s > freshness.NEVER_S:
            age_s = max(0.0, now_s - self.proven_at_s)
        return messages.StateRequest(
            version=version,
            sites={
                site: version if site in self._complete_sites else no_version
                for site in sorted(self._sites)
            },
            age_s=age_s,
            hold_s=hold_s,
            wants_parts=wants_parts,
        )

    def apply_response(
        self,
        request: messages.StateRequest,
        response: messages.StateResponse,
        *,
        sent_at_s: float,
        drift: float,
    ) -> ResponseEffect:
        """Apply the response to a request sent at ``sent_at_s``.

        A response that arrives twice, late or out of order does no harm.
        """
        kinds: frozenset[str] = frozenset()
        if request.wants_parts and response.version >= self.version:
            kinds = self._apply_parts(request, response)
            if response.digest != self.store.digest(request.sites):
                self.invalidate()
        if response.version > self.version or response.age_s < 0:
            return ResponseEffect(kinds=kinds)
        if self._needs_full_state:
            return ResponseEffect(kinds=kinds)
        proven_at_s = freshness.proven_at_s(
            sent_at_s=sent_at_s,
            held_s=response.held_s,
            age_s=response.age_s,
            drift=drift,
        )
        is_proof = proven_at_s > self.proven_at_s
        self.proven_at_s = max(self.proven_at_s, proven_at_s)
        return ResponseEffect(is_proof=is_proof, kinds=kinds)

    def invalidate(self) -> None:
        """Discard the proof and request the whole state next."""
        self.digest_mismatches += 1
        self.proven_at_s = freshness.NEVER_S
        self._needs_full_state = True

    def has_updates(
        self, request: messages.StateRequest, *, received_at_s: float
    ) -> bool:
        """Return whether a response now would bring parts or a newer proof."""
        return responses.has_updates(
            request,
            store=self.store,
            sites=self._complete_sites,
            proven_at_s=self.proven_at_s,
            received_at_s=received_at_s,
        )

    def build_response(
        self,
        request: messages.StateRequest,
        *,
        received_at_s: float,
        now_s: float,
    ) -> messages.StateResponse | None:
        """Return the response, or None when a site is not stored yet."""
        if not responses.covers_sites(request, self._complete_sites):
            return None
        return responses.build_response(
            request,
            store=self.store,
            proven_at_s=self.proven_at_s,
            received_at_s=received_at_s,
            now_s=now_s,
        )

    def _apply_parts(
        self, request: messages.StateRequest, response: messages.StateResponse
    ) -> frozenset[str]:
        if response.whole:
            return self._replace_all(request, response)
        if request.version > self.version:
            return frozenset()
        is_newer = response.version > self.version
        self.store.merge(response.rows)
        self.store.advance(response.version)
        for key, _, value in response.rows:
            self.view.put(key, value)
        requested_sites = frozenset(request.sites)
        self._complete_sites = (
            requested_sites
            if is_newer
            else self._complete_sites | requested_sites
        )
        return frozenset(row[0][0] for row in response.rows)

    def _replace_all(
        self, request: messages.StateRequest, response: messages.StateResponse
    ) -> frozenset[str]:
        store = parts.PartStore()
        store.merge(response.rows)
        store.floor_version = response.version
        store.advance(response.version)
        view = views.StateView()
        for key, _, value in response.rows:
            view.put(key, value)
        self.store = store
        self.view = view
        self._complete_sites = frozenset(request.sites)
        self._needs_full_state = False
        self.whole_responses += 1
        return frozenset({'base', 'overlay', 'key', 'drain', 'leaving'})
