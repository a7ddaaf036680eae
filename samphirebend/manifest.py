"""The manifest: the operators' declared configuration of the whole system.

`read_manifest` turns a committed text into a `Manifest` or the list of all its
faults. A manifest is immutable once read; `manifestsync` decides which version
a host applies, and `shards` and `limits` derive each host's part from it. The
version number is not part of the text: it is assigned when the table service
accepts the text.
"""

from __future__ import annotations

import hashlib
import ipaddress
import re
from typing import Final

from result import Err, Ok, Result

from .addresses import Address, read_address
from .callerblocks import (
    MAX_BLOCK_REGIONS,
    BlockTable,
    BlockTableBuilder,
    empty_table,
    parse_prefix,
)
from .jsonfile import Fault, Reader, parse_steps
from .timeslices import Steps, run_all

FORMAT: Final = 1  # version of the manifest format
MAX_MANIFEST_BYTES: Final = 16 * 1024 * 1024
MAX_NAME_LENGTH: Final = 63
MAX_SLOTS: Final = 10_000  # slots of one upstream
MAX_CONNECTIONS: Final = 100_000  # connections to one upstream
MAX_MBIT_PER_S: Final = 10_000_000
MAX_REGIONS: Final = 256
MAX_FAILURE_DOMAINS: Final = 1_024  # failure domains of one region
MEASURES: Final = ("headroom", "latency")

# Entries and prefixes that are validated in one step. A host or an upstream
# takes about 20 us, a prefix about 2 us.
ITEMS_PER_STEP: Final = 128
PREFIXES_PER_STEP: Final = 1_024

_NON_SPACE: Final = re.compile(r"\S+")
# Service names are used unescaped in request paths and queries.
_SERVICE_NAME: Final = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]*")


class Region:
    """A region with its cap on requests in flight and its failure domains."""

    __slots__ = ("failure_domains", "max_in_flight", "name")

    def __init__(
        self, name: str, max_in_flight: int, failure_domains: list[str]
    ) -> None:
        self.name = name
        # Limit on the requests in flight to all upstreams of the region.
        self.max_in_flight = max_in_flight
        self.failure_domains = failure_domains


class Link:
    """The link between two regions; each direction has the full rate."""

    __slots__ = ("delay_ms", "mbit_per_s", "regions")

    def __init__(self, regions: tuple[str, str], mbit_per_s: int, delay_ms: int):
        self.regions = regions
        self.mbit_per_s = mbit_per_s
        self.delay_ms = delay_ms


class Host:
    """A configured host and the four addresses that it listens on."""

    __slots__ = ("admin", "entry", "failure_domain", "name", "peer", "region", "relay")

    def __init__(
        self,
        name: str,
        region: str,
        failure_domain: str,
        entry: Address,
        relay: Address,
        peer: Address,
        admin: Address,
    ) -> None:
        self.name = name
        self.region = region
        self.failure_domain = failure_domain
        self.entry = entry  # listener for callers
        self.relay = relay  # listener for requests that other hosts forward
        self.peer = peer  # listener for control messages
        self.admin = admin  # listener for operators


class Upstream:
    """One upstream of a service and its limits."""

    __slots__ = (
        "address",
        "connections",
        "failure_domain",
        "name",
        "region",
        "service",
        "slots",
    )

    def __init__(
        self,
        name: str,
        service: str,
        region: str,
        failure_domain: str,
        address: Address,
        slots: int,
        connections: int,
    ) -> None:
        self.name = name
        self.service = service
        self.region = region
        self.failure_domain = failure_domain
        self.address = address
        self.slots = slots  # limit on requests in flight
        self.connections = connections  # limit on open connections


class Service:
    """A service with its request limits and its upstreams."""

    __slots__ = ("idempotent", "max_body_bytes", "name", "timeout_s", "upstreams")

    def __init__(
        self,
        name: str,
        idempotent: bool,
        timeout_s: float,
        max_body_bytes: int,
        upstreams: list[Upstream],
    ) -> None:
        self.name = name
        self.idempotent = idempotent  # False: each request runs at most once
        self.timeout_s = timeout_s  # limit on the duration of one dispatch
        self.max_body_bytes = max_body_bytes
        self.upstreams = upstreams


class Manifest:
    """A validated manifest with lookup tables by name."""

    __slots__ = (
        "_hosts_of",
        "caller_blocks",
        "hosts",
        "links",
        "measure",
        "organisation",
        "regions",
        "services",
        "upstreams",
    )

    def __init__(
        self,
        organisation: str,
        measure: str,
        regions: list[Region],
        links: list[Link],
        hosts: list[Host],
        services: list[Service],
        caller_blocks: BlockTable,
    ) -> None:
        self.organisation = organisation
        # Quantity that routing optimises, one of MEASURES.
        self.measure = measure
        self.regions = {region.name: region for region in regions}
        self.links = {frozenset(link.regions): link for link in links}
        self.hosts = {host.name: host for host in hosts}
        # Sorted names of the hosts, keyed by region. Computed once, because
        # leases and link shares use it several times a second.
        self._hosts_of: dict[str, list[str]] = {}
        for name in sorted(self.hosts):
            self._hosts_of.setdefault(self.hosts[name].region, []).append(name)
        self.services = {service.name: service for service in services}
        self.upstreams = {
            upstream.name: upstream
            for service in services
            for upstream in service.upstreams
        }
        self.caller_blocks = caller_blocks  # maps caller addresses to regions

    def hosts_of(self, region: str) -> list[str]:
        """Return the names of the hosts configured in a region, sorted."""
        return self._hosts_of.get(region, [])

    def link(self, region: str, other: str) -> Link | None:
        """Return the link between two regions, or None."""
        return self.links.get(frozenset((region, other)))


def read_manifest(text: str) -> Result[Manifest, list[Fault]]:
    """Validate a text; return the manifest or all faults of the text."""
    return run_all(read_manifest_steps(text))


def read_manifest_steps(
    text: str, previous: Manifest | None = None
) -> Steps[Result[Manifest, list[Fault]]]:
    """Validate a text in steps; return the manifest or all faults of the text.

    If the caller blocks equal those of the previous manifest, their table is
    reused, because validating the blocks takes most of the time.
    """
    parsed = yield from parse_steps(text, MAX_MANIFEST_BYTES)
    if isinstance(parsed, Err):
        return Err([parsed.err_value])
    table = previous.caller_blocks if previous is not None else empty_table()
    return (yield from _check_manifest_steps(parsed.ok_value, table))


def check_manifest(data: object) -> Result[Manifest, list[Fault]]:
    """Validate parsed JSON; return the manifest or all its faults."""
    return run_all(_check_manifest_steps(data, empty_table()))


def _check_manifest_steps(
    data: object, previous_blocks: BlockTable
) -> Steps[Result[Manifest, list[Fault]]]:
    faults: list[Fault] = []
    reader = Reader(data, "", faults)
    reader.integer("format", FORMAT, FORMAT)
    organisation = reader.text("organisation", max_length=MAX_NAME_LENGTH)
    measure = reader.choice("measure", MEASURES)
    regions = _read_regions(reader)
    domains = {name: r.name for r in regions for name in r.failure_domains}
    links = _read_links(reader, {region.name for region in regions})
    hosts = yield from _read_hosts(reader, domains)
    services = yield from _read_services(reader, domains)
    blocks = yield from _read_blocks(
        reader, {region.name for region in regions}, previous_blocks
    )
    reader.finish()
    yield
    manifest = Manifest(organisation, measure, regions, links, hosts, services, blocks)
    _check_consistency(reader, manifest, hosts)
    return Err(faults) if faults else Ok(manifest)


class _UniqueNames:
    """Reads the names of one list and reports duplicates."""

    __slots__ = ("_kind", "_seen")

    def __init__(self, kind: str) -> None:
        self._kind = kind
        self._seen: set[str] = set()

    def read(self, reader: Reader) -> str:
        """Read the field `name`; record a fault if an earlier entry has it."""
        name = reader.text("name", max_length=MAX_NAME_LENGTH)
        if name and name in self._seen:
            reader.fault("name", f"a name that no other {self._kind} has", name)
        self._seen.add(name)
        return name


def _read_regions(reader: Reader) -> list[Region]:
    names = _UniqueNames("region")
    seen_domains: set[str] = set()
    regions = []
    for entry in reader.objects("regions"):
        region = Region(
            names.read(entry),
            entry.integer("max_in_flight", 1, MAX_SLOTS * 100),
            entry.texts("failure_domains"),
        )
        if not region.failure_domains:
            entry.fault("failure_domains", "at least one failure domain", "none")
        if len(region.failure_domains) > MAX_FAILURE_DOMAINS:
            expected = f"at most {MAX_FAILURE_DOMAINS} failure domains"
            entry.fault("failure_domains", expected, len(region.failure_domains))
        for index, domain in enumerate(region.failure_domains):
            if domain in seen_domains:
                path = f"failure_domains[{index}]"
                entry.fault(path, "a failure domain name used once", domain)
            seen_domains.add(domain)
        entry.finish()
        regions.append(region)
    if not regions:
        reader.fault("regions", "at least one region", "none")
    if len(regions) > MAX_REGIONS:
        reader.fault("regions", f"at most {MAX_REGIONS} regions", len(regions))
    return regions


def _read_links(reader: Reader, regions: set[str]) -> list[Link]:
    seen: set[frozenset[str]] = set()
    links = []
    for entry in reader.objects("links", []):
        between = entry.texts("between")
        if len(set(between)) != 2 or len(between) != 2:
            entry.fault("between", "two different regions", ", ".join(between))
            between = ["", ""]
        for index, name in enumerate(between):
            if name and name not in regions:
                entry.fault(f"between[{index}]", "a region of this manifest", name)
        pair = frozenset(between)
        if pair in seen and "" not in pair:
            entry.fault("between", "one link for each pair", " and ".join(between))
        seen.add(pair)
        rate = entry.integer("mbit_per_s", 1, MAX_MBIT_PER_S)
        links.append(
            Link((between[0], between[1]), rate, entry.integer("delay_ms", 0, 10_000))
        )
        entry.finish()
    return links


def _read_domain(entry: Reader, domains: dict[str, str]) -> tuple[str, str]:
    """Read a failure domain; return its name and its region.

    `domains` maps failure domains to regions. The region of an unknown domain
    is empty.
    """
    name = entry.text("failure_domain", max_length=MAX_NAME_LENGTH)
    if name and name not in domains:
        entry.fault("failure_domain", "a failure domain of some region", name)
    return name, domains.get(name, "")


def _read_unique_address(reader: Reader, field: str, used: set[Address]) -> Address:
    """Read an address that others can connect to and that is used once."""
    before = len(reader.faults)
    address = read_address(reader, field)
    if len(reader.faults) > before:
        return address
    ip = ipaddress.IPv4Address(address.ip)
    if ip.is_unspecified or ip.is_multicast:
        reader.fault(field, "an address that others can connect to", str(address))
    if address in used:
        reader.fault(field, "an address used once", str(address))
    used.add(address)
    return address


def _read_hosts(reader: Reader, domains: dict[str, str]) -> Steps[list[Host]]:
    names = _UniqueNames("host")
    used: set[Address] = set()
    hosts: list[Host] = []
    for entry in reader.objects("hosts"):
        if len(hosts) % ITEMS_PER_STEP == 0:
            yield
        domain, region = _read_domain(entry, domains)
        addresses = [
            _read_unique_address(entry, field, used)
            for field in ("entry", "relay", "peer", "admin")
        ]
        hosts.append(Host(names.read(entry), region, domain, *addresses))
        entry.finish()
    if not hosts:
        reader.fault("hosts", "at least one host", "none")
    return hosts


def _read_services(reader: Reader, domains: dict[str, str]) -> Steps[list[Service]]:
    names = _UniqueNames("service")
    upstream_names = _UniqueNames("upstream")
    used: set[Address] = set()
    services = []
    for entry in reader.objects("services"):
        name = names.read(entry)
        if name and _SERVICE_NAME.fullmatch(name) is None:
            entry.fault("name", "a name of A-Z, a-z, 0-9, '.', '_' and '-'", name)
        idempotent = entry.flag("idempotent")
        timeout_ms = entry.integer("timeout_ms", 10, 3_600_000)
        max_body = entry.integer("max_body_bytes", 0, 1 << 40)
        upstreams: list[Upstream] = []
        for upstream_entry in entry.objects("upstreams"):
            if len(upstreams) % ITEMS_PER_STEP == 0:
                yield
            upstreams.append(
                _read_upstream(upstream_entry, name, domains, upstream_names, used)
            )
        if not upstreams:
            entry.fault("upstreams", "at least one upstream", "none")
        entry.finish()
        services.append(
            Service(name, idempotent, timeout_ms / 1000, max_body, upstreams)
        )
    if not services:
        reader.fault("services", "at least one service", "none")
    return services


def _read_upstream(
    entry: Reader,
    service: str,
    domains: dict[str, str],
    names: _UniqueNames,
    used: set[Address],
) -> Upstream:
    domain, region = _read_domain(entry, domains)
    slots = entry.integer("slots", 0, MAX_SLOTS)
    connections = entry.integer("connections", 1, MAX_CONNECTIONS)
    if connections < slots:
        entry.fault("connections", f"at least its {slots} slots", connections)
    upstream = Upstream(
        names.read(entry),
        service,
        region,
        domain,
        _read_unique_address(entry, "address", used),
        slots,
        connections,
    )
    entry.finish()
    return upstream


def _digest_blocks(entries: object) -> Steps[bytes]:
    """Return a digest of the `caller_blocks` entries; empty if malformed."""
    if not isinstance(entries, list):
        return b""
    digest = hashlib.sha256()
    for index, entry in enumerate(entries):
        if index % ITEMS_PER_STEP == 0:
            yield
        if not isinstance(entry, dict):
            return b""
        for field, value in sorted(entry.items()):
            if not isinstance(value, str):
                return b""
            # The lengths delimit the texts. Without them, entries that divide
            # the same characters differently would have the same digest.
            digest.update(f"{len(field)} {len(value)} ".encode())
            digest.update(field.encode("utf-8", "surrogatepass"))
            digest.update(value.encode("utf-8", "surrogatepass"))
        digest.update(b";")
    return digest.digest()


def _read_blocks(
    reader: Reader, regions: set[str], previous: BlockTable
) -> Steps[BlockTable]:
    digest = yield from _digest_blocks(reader.value("caller_blocks"))
    if (
        digest
        and digest == previous.source_digest
        and regions.issuperset(previous.regions)
    ):
        return previous
    blocks = BlockTableBuilder()
    for index, entry in enumerate(reader.objects("caller_blocks", [])):
        if index % ITEMS_PER_STEP == 0:
            yield
        region = entry.text("region")
        if region and region not in regions:
            entry.fault("region", "a region of this manifest", region)
        if entry.has("prefixes"):
            text = entry.text("prefixes", max_length=MAX_MANIFEST_BYTES, lines=True)
            yield from _read_prefixes(entry, "prefixes", text, region, blocks)
        else:
            text = entry.text("prefix")
            if text:
                _read_prefix(entry, "prefix", text, region, blocks)
        entry.finish()
    table = yield from blocks.build()
    table.source_digest = digest
    if blocks.repeated is not None:
        reader.fault("caller_blocks", "each prefix once", blocks.repeated)
    return table


def _read_prefixes(
    entry: Reader, field: str, text: str, region: str, blocks: BlockTableBuilder
) -> Steps[None]:
    for index, match in enumerate(_NON_SPACE.finditer(text)):
        if index % PREFIXES_PER_STEP == 0:
            yield
        _read_prefix(entry, field, match[0], region, blocks)


def _read_prefix(
    entry: Reader, field: str, text: str, region: str, blocks: BlockTableBuilder
) -> None:
    prefix = parse_prefix(text)
    if prefix is None:
        entry.fault(field, "an IPv4 prefix such as 10.1.0.0/16", text)
    elif not blocks.add(*prefix, region):
        entry.fault("region", f"at most {MAX_BLOCK_REGIONS} regions", region)


def _check_consistency(reader: Reader, manifest: Manifest, hosts: list[Host]) -> None:
    """Record faults that concern several parts of the manifest."""
    names = sorted(manifest.regions)[:MAX_REGIONS]
    for index, region in enumerate(names):
        for other in names[index + 1 :]:
            if region and other and manifest.link(region, other) is None:
                reader.fault("links", f"a link between {region} and {other}", "none")
    # `manifest.hosts` has only one host of each name, so the list is used. A
    # host in an unknown failure domain may be in any region, so that no region
    # can be reported as having no host.
    regions_with_hosts = {host.region for host in hosts}
    if "" in regions_with_hosts:
        return
    regions_with_upstreams = {
        upstream.region for upstream in manifest.upstreams.values()
    }
    for region in sorted(regions_with_upstreams - regions_with_hosts):
        if region:
            reader.fault(
                "hosts", f"a host in region {region}, which has upstreams", "none"
            )
