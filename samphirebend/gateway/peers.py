"""Traffic between hosts: heartbeats over UDP, rows of the replica over HTTP.

Heartbeats carry the versions of the sender's newest rows. A host that learns
of newer rows in this way, and does not get them from the store in time,
fetches them from a peer. They also carry the ages of the sender's tables: a
host with the same rows is as up to date as the sender.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Iterable
from typing import Any, Final

import msgspec
from loguru import logger
from result import Err
from twisted.internet.defer import Deferred
from twisted.internet.protocol import DatagramProtocol

from ..addresses import Address, parse_address
from ..connectionpool import ConnectionPool
from ..httpcall import call
from ..httpserver import HttpServer
from ..serverrequest import ServerRequest
from ..suspects import Suspect
from .eraversion import era_of
from .feedback import Feedback
from .follower import Follower
from .gossip import Gossip, Receivers, decode_relayed
from .members import Member, Members
from .peerrows import decode_rows, encode_rows
from .quotagate import QuotaGate
from .quotas import Quotas
from .ratelimits import decode_reports, encode_reports
from .updates import InvalidRow

HEARTBEAT_INTERVAL_S: Final = 0.5
NOTIFY_DELAY_S: Final = 0.02  # changes within this time share one heartbeat
# Delay before newer rows are fetched from a peer. The store may still deliver
# them, because it is polled with pauses (`follower.ENTRIES_PAUSE_S`). With
# that pause at the peer and its next heartbeat, the departure of an upstream
# arrives within 2.1 s of the store's response to the peer.
FETCH_DELAY_S: Final = 0.6
# The same delay at a host that gets no responses from the store.
DISCONNECTED_FETCH_DELAY_S: Final = 0.1
FETCH_TIMEOUT_S: Final = 1.5
ROWS_PATH: Final = "/rows"


class Heartbeat(msgspec.Struct, array_like=True):
    """State that a host sends to other hosts."""

    host: str
    zone: str
    region: str
    front: str
    peer: str
    incarnation: int
    sequence: int
    ready: bool
    # Version of the newest row (see `eraversion`), keyed by table.
    row_versions: dict[str, int]
    capacity_per_s: float
    idle_limit_s: float  # see `idle`
    observations: bytes  # made since the last round; see `observations`
    suspects: list[tuple[int, int]]  # request fingerprints and crash counts
    relayed: bytes = b""  # state of other hosts; see `gossip`
    table_ages_s: dict[str, float] = {}  # see `freshness`; keyed by table
    limits: bytes = b""  # limits of upstreams; see `ratelimits`
    leaving: bytes = b""  # upstreams that leave; see `leaving`
    # Whether the receiver passes it on to the hosts of its failure domain.
    pass_on: bool = False
    quotas: bytes = b""  # see `quotareports`
    use: bytes = b""  # use of services since the last round; see `admissionuse`


_encoder: Final = msgspec.msgpack.Encoder()
_heartbeat_decoder: Final = msgspec.msgpack.Decoder(Heartbeat)


class Peers(DatagramProtocol):
    """Exchanges heartbeats with other hosts, and serves and fetches rows."""

    def __init__(
        self,
        members: Members,
        follower: Follower,
        feedback: Feedback,
        seeds: Iterable[Address],
        pool: ConnectionPool,
        reactor: Any,
        clock: Callable[[], float],
        rng: random.Random,
        quota_gate: QuotaGate | None = None,
    ) -> None:
        self._quota_gate = quota_gate or QuotaGate(Quotas(members.own.host))
        self._members = members
        self._follower = follower
        self._feedback = feedback
        self._seeds = list(seeds)
        self._pool = pool
        self._reactor = reactor
        self._clock = clock
        self._rng = rng
        self._server = HttpServer(self._serve_rows)
        self._port: Any = None
        self._heartbeat_timer: Any = None
        self._notify_timer: Any = None
        self._gossip = Gossip(members, rng)
        # Tables with a fetch in progress, and those with a delayed fetch.
        self._fetching: set[str] = set()
        self._scheduled_fetches: set[str] = set()
        # Hosts that were live in the last round.
        self._live_hosts: set[str] = set()

    def start(self) -> None:
        """Start listening and sending heartbeats."""
        own = self._members.own.peer
        self._port = self._reactor.listenUDP(own.port, self, interface=own.ip)
        self._server.listen(self._reactor, own)
        self._run_round()

    async def stop(self) -> None:
        """Stop sending and listening."""
        for timer in (self._heartbeat_timer, self._notify_timer):
            if timer is not None and timer.active():
                timer.cancel()
        if self._port is not None:
            await self._port.stopListening()
        await self._server.close_port()
        self._server.abort_all()

    def add_seeds(self, seeds: Iterable[Address]) -> None:
        """Add seeds, which get heartbeats until they are known hosts."""
        self._seeds += [seed for seed in seeds if seed not in self._seeds]

    def notify_all(self) -> None:
        """Schedule a heartbeat to all hosts, including those not live."""
        if self._notify_timer is None or not self._notify_timer.active():
            self._notify_timer = self._reactor.callLater(
                NOTIFY_DELAY_S, self._send_to_all
            )

    def announce_ages(self) -> None:
        """Send a heartbeat with new table ages to the hosts of one round."""
        self._send_round(self._gossip.receivers(self._clock()), b"")

    # Heartbeats.

    def _run_round(self) -> None:
        self._heartbeat_timer = self._reactor.callLater(
            HEARTBEAT_INTERVAL_S * self._rng.uniform(0.9, 1.1), self._run_round
        )
        self._gossip.next_round()
        now = self._clock()
        receivers = self._gossip.receivers(now)
        self._send_round(
            receivers,
            self._feedback.take_observations(),
            self._quota_gate.encode_report(),
            self._feedback.use.take_encoded(),
        )
        if self._gossip.includes_silent:
            self._contact_seeds()
        self._members.drop_silent(now)
        self._log_liveness_changes(now)

    def _log_liveness_changes(self, now: float) -> None:
        live = {member.host for member in self._members.live(now)}
        for host in live - self._live_hosts:
            logger.info("peer is live", event="peer_regained", peer=host)
        for host in self._live_hosts - live:
            logger.warning("peer lost", event="peer_lost", peer=host)
        self._live_hosts = live

    def _send_to_all(self) -> None:
        self._send(self._members.others(), b"")
        self._contact_seeds()

    def _contact_seeds(self) -> None:
        """Send a heartbeat to the seeds that are not known hosts yet."""
        known = {member.peer for member in self._members.others()}
        data = _encoder.encode(self._make_heartbeat(b""))
        for seed in self._seeds:
            if seed not in known and seed != self._members.own.peer:
                self._write(data, seed)

    def _send_round(
        self,
        receivers: Receivers,
        observations: bytes,
        quotas: bytes = b"",
        use: bytes = b"",
    ) -> None:
        heartbeat = self._make_heartbeat(observations)
        heartbeat.quotas = quotas
        heartbeat.use = use
        self._send_to(receivers.direct, heartbeat)
        if receivers.relays:
            heartbeat.pass_on = True
            self._send_to(receivers.relays, heartbeat)

    def _send(self, receivers: Iterable[Member], observations: bytes) -> None:
        self._send_to(receivers, self._make_heartbeat(observations))

    def _send_to(self, receivers: Iterable[Member], heartbeat: Heartbeat) -> None:
        data = _encoder.encode(heartbeat)
        for member in receivers:
            self._write(data, member.peer)

    def _pass_on(self, heartbeat: Heartbeat, now: float) -> None:
        """Send another host's heartbeat to the hosts of this failure domain."""
        heartbeat.pass_on = False
        self._send_to(self._gossip.neighbours(now), heartbeat)

    def _make_heartbeat(self, observations: bytes) -> Heartbeat:
        """Return the next heartbeat of this host."""
        own, now = self._members.own, self._clock()
        own.sequence += 1
        own.row_versions = self._follower.replica.newest_all()
        return Heartbeat(
            own.host,
            own.zone,
            own.region,
            str(own.front),
            str(own.peer),
            own.incarnation,
            own.sequence,
            own.ready,
            own.row_versions,
            own.capacity_per_s,
            self._feedback.idle_limit.allowed_s(True, now),
            observations,
            [
                (suspect.fingerprint, suspect.crashes)
                for suspect in self._feedback.crashes.suspects_to_share(now)
            ],
            self._gossip.encode_relayed(now),
            self._follower.freshness.ages_s(now),
            encode_reports(self._feedback.rate_limits.reports(now)),
            self._feedback.encode_leaving(now),
        )

    def _write(self, data: bytes, address: Address) -> None:
        if self.transport is None:
            return
        try:
            self.transport.write(data, (address.ip, address.port))
        except OSError as exc:
            # The next heartbeat makes up for the lost one.
            logger.debug("failed to send a heartbeat: {}", exc)

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:
        try:
            heartbeat = _heartbeat_decoder.decode(datagram)
        except (msgspec.DecodeError, RecursionError) as exc:
            _log_ignored(str(exc), addr)
            return
        front, peer = parse_address(heartbeat.front), parse_address(heartbeat.peer)
        if front is None or peer is None:
            _log_ignored("front or peer is not IP:PORT", addr)
            return
        numbers = (
            heartbeat.capacity_per_s,
            heartbeat.idle_limit_s,
            *heartbeat.table_ages_s.values(),
        )
        if not all(map(math.isfinite, numbers)):
            _log_ignored("a number is not finite", addr)
            return
        member = Member(heartbeat.host, heartbeat.zone, heartbeat.region)
        member.front, member.peer = front, peer
        member.incarnation = heartbeat.incarnation
        member.sequence = heartbeat.sequence
        member.ready = heartbeat.ready
        member.row_versions = heartbeat.row_versions
        member.capacity_per_s = heartbeat.capacity_per_s
        now = self._clock()
        was_live = self._members.is_live(member.host, now)
        if self._members.record_heartbeat(member, now):
            if heartbeat.pass_on:
                self._pass_on(heartbeat, now)
            suspects = [Suspect(*suspect) for suspect in heartbeat.suspects]
            self._feedback.merge(
                heartbeat.idle_limit_s, heartbeat.observations, suspects, now
            )
            if member.host not in self._members.without_share:
                reports = decode_reports(heartbeat.limits)
                self._feedback.rate_limits.merge(member.host, reports, now)
            quota_gate = self._quota_gate
            quota_gate.merge(member.host, member.incarnation, heartbeat.quotas)
            self._feedback.merge_leaving(heartbeat.leaving, now)
            self._feedback.use.merge(heartbeat.use, now)
            for relayed in decode_relayed(heartbeat.relayed):
                self._members.update_relayed(
                    relayed.host_fingerprint,
                    relayed.incarnation,
                    relayed.sequence,
                    relayed.ready,
                    now,
                )
            if not was_live:
                self._send([member], b"")
            self._confirm_tables(member, heartbeat.table_ages_s, now)
            self._fetch_newer(member)

    def _confirm_tables(
        self, member: Member, ages_s: dict[str, float], now: float
    ) -> None:
        """Confirm the tables in which a peer has no newer rows than this host."""
        replica = self._follower.replica
        for table in replica.versions():
            age_s, newest = ages_s.get(table), member.row_versions.get(table, 0)
            if age_s is not None and newest <= replica.known_to(table):
                self._follower.confirm(table, now - max(0.0, age_s))

    # Rows.

    def _fetch_newer(self, member: Member) -> None:
        """Schedule fetches of tables in which a peer has newer rows."""
        connected = self._follower.connected()
        delay_s = FETCH_DELAY_S if connected else DISCONNECTED_FETCH_DELAY_S
        replica = self._follower.replica
        for table in replica.versions():
            if (
                member.row_versions.get(table, 0) > replica.known_to(table)
                and table not in self._scheduled_fetches
            ):
                self._scheduled_fetches.add(table)
                self._reactor.callLater(delay_s, self._fetch_if_behind, table)

    def _newer_peer(self, table: str) -> Member | None:
        own = self._follower.replica.known_to(table)
        newer = [
            member
            for member in self._members.live(self._clock())
            if member.row_versions.get(table, 0) > own
        ]
        return self._rng.choice(newer) if newer else None

    def _fetch_if_behind(self, table: str) -> None:
        self._scheduled_fetches.discard(table)
        member = self._newer_peer(table)
        if member is None or table in self._fetching:
            return
        self._fetching.add(table)
        done = Deferred.fromCoroutine(self.fetch(table, member))
        done.addErrback(self._log_bug, table)
        done.addBoth(lambda _result: self._fetching.discard(table))

    async def fetch(
        self, table: str, member: Member, timeout_s: float = FETCH_TIMEOUT_S
    ) -> None:
        """Fetch newer rows of a table from a peer, and how old its copy is."""
        after = self._follower.replica.version(table)
        path = f"{ROWS_PATH}?table={table}&after={after}"
        credentials = self._follower.credentials
        sent_at, credentials_at = self._clock(), credentials.now()
        result = await call(
            self._pool, self._reactor, member.peer, "GET", path, b"", timeout_s
        )
        if isinstance(result, Err):
            self._log_not_fetched(member, result.err_value.value)
            return
        status, body = result.ok_value
        if status != 200:
            self._log_not_fetched(member, f"status {status}")
            return
        decoded = decode_rows(table, body)
        if isinstance(decoded, Err):
            invalid = InvalidRow(table, "", decoded.err_value)
            self._follower.record_invalid([invalid])
            self._log_not_fetched(member, decoded.err_value)
            return
        received = decoded.ok_value
        if received.invalid and self._follower.bounds_keys(table):
            # One of the rows may remove a key, and no later transfer has it.
            self._follower.record_invalid(received.invalid)
            self._log_not_fetched(member, "a row cannot be read")
            return
        transfer = received.transfer
        changed = self._follower.replica.apply_transfer(table, transfer)
        own_version = self._follower.replica.version(table)
        is_used = era_of(transfer.version) == era_of(own_version)
        if received.age_s is not None and is_used:
            self._follower.confirm(table, sent_at - received.age_s)
        if changed:
            logger.info(
                "rows fetched from a peer",
                event="rows_fetched",
                peer=member.host,
                table=table,
                after=after,
                version=transfer.version,
                whole=transfer.is_snapshot,
                changed=len(changed),
            )
        self._follower.record_invalid(received.invalid)
        self._follower.apply_rows(table, changed)
        age_s = received.credentials_age_s
        is_used = is_used and not received.invalid
        if age_s is not None and is_used:
            credentials.confirm(credentials_at - age_s)

    def _serve_rows(self, req: ServerRequest) -> None:
        path, _, query = req.target.partition("?")
        fields = dict(part.partition("=")[::2] for part in query.split("&"))
        table, after = fields.get("table", ""), fields.get("after", "")
        replica = self._follower.replica
        if path != ROWS_PATH or table not in replica.versions() or not after.isdigit():
            req.respond(404, [], b"")
            return
        transfer = replica.transfer(table, int(after))
        age_s = self._follower.freshness.ages_s(self._clock()).get(table)
        credentials_age_s = None
        if table == self._follower.operator_table:
            credentials_age_s = self._follower.credentials.age_s()
        body = encode_rows(transfer, age_s, credentials_age_s)
        req.respond(200, [], body)

    def _log_not_fetched(self, member: Member, why: str) -> None:
        logger.info(
            "failed to fetch rows from a peer",
            event="rows_not_fetched",
            peer=member.host,
            why=why,
        )

    def _log_bug(self, failure: Any, table: str) -> None:
        logger.opt(exception=failure.value).error(
            "unexpected error while fetching rows", event="bug", table=table
        )


def _log_ignored(why: str, sender: Any) -> None:
    logger.warning(
        "invalid heartbeat ignored", event="heartbeat_ignored", why=why, sender=sender
    )
