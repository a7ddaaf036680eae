"""Applies news to what the gateway decides by: routes, upstreams, evacuations."""

from __future__ import annotations

from collections.abc import Callable
from functools import singledispatchmethod
from typing import Final

from loguru import logger

from .book import UpstreamBook
from .config import CallerLimits, Config
from .news import (
    ConfigNews,
    EvacuationNews,
    News,
    OtherNews,
    UnreadableNews,
    UpstreamGone,
    UpstreamNews,
)
from .placement import Placement
from .routes import BackendPicker, RouteTable

# Time for which an entry that vanished around an outage of the store still counts:
# a live upstream has written it again by then.
LAPSE_HOLD_S: Final = 2.2


class View:
    """The configuration in force and the upstreams, as this host knows them."""

    __slots__ = (
        "_held",
        "_placement",
        "book",
        "config",
        "limits_listeners",
        "picker",
        "routes",
        "store_disturbed_until",
    )

    def __init__(self, book: UpstreamBook, placement: Placement) -> None:
        self.book = book
        self._placement = placement
        self.config: Config | None = None
        self.routes: RouteTable | None = None
        self.picker = BackendPicker()
        self.limits_listeners: list[Callable[[CallerLimits], None]] = []
        self.store_disturbed_until = 0.0
        self._held: dict[str, float] = {}  # vanished upstreams, and until when

    def apply(self, news: News, now: float) -> None:
        """Take one piece of news."""
        self._take(news, now)

    @singledispatchmethod
    def _take(self, news: object, now: float) -> None:
        raise TypeError(f"unknown news {type(news).__name__}")

    @_take.register
    def _(self, news: OtherNews, now: float) -> None:
        """Do nothing: the row does not concern the gateway."""

    @_take.register
    def _(self, news: UnreadableNews, now: float) -> None:
        logger.warning("row ignored", event="row_ignored", row=news.key, why=news.fault)

    @_take.register
    def _(self, news: ConfigNews, now: float) -> None:
        old, new = self.config, news.config
        if old is not None and old.version >= new.version:
            logger.warning(
                "older configuration ignored",
                event="config_ignored",
                version=new.version,
                in_force=old.version,
            )
            return
        self.config = new
        self.routes = RouteTable(new)
        self.picker.clear()
        self._placement.apply(new.services)
        for listener in self.limits_listeners:
            listener(new.limits)
        logger.info(
            "configuration in force",
            event="config_in_force",
            version=new.version,
            replaced=old.version if old is not None else 0,
            routes=len(new.routes),
        )

    @_take.register
    def _(self, news: EvacuationNews, now: float) -> None:
        self.book.evacuate(news.zone, news.active, self._longest_cold_s(), now)
        logger.info(
            "evacuation changed",
            event="evacuation",
            zone=news.zone,
            active=news.active,
        )

    @_take.register
    def _(self, news: UpstreamNews, now: float) -> None:
        entry = news.entry
        self._held.pop(entry.upstream, None)
        policy = self.config.services.get(entry.service) if self.config else None
        self.book.put(entry, policy.cold_s if policy else 0.0, now)
        logger.info(
            "upstream registered",
            event="upstream_entry",
            upstream=entry.upstream,
            service=entry.service,
            zone=entry.zone,
            draining=entry.draining,
            cold_left_s=entry.cold_left_s,
        )

    @_take.register
    def _(self, news: UpstreamGone, now: float) -> None:
        if now < self.store_disturbed_until:
            self._held[news.upstream] = now + LAPSE_HOLD_S
            held = True
        else:
            self.book.remove(news.upstream, now)
            held = False
        logger.info(
            "upstream entry removed",
            event="upstream_removed",
            upstream=news.upstream,
            held=held,
        )

    def expire_held(self, now: float) -> None:
        """Remove upstreams whose entry has not come back in time."""
        for name, until in list(self._held.items()):
            if now >= until:
                del self._held[name]
                self.book.remove(name, now)

    def _longest_cold_s(self) -> float:
        services = self.config.services.values() if self.config else ()
        return max((item.cold_s for item in services), default=0.0)
