"""Tests that the example manifests and settings are valid and consistent."""

from __future__ import annotations

from pathlib import Path

import pytest

from samphirebend.manifest import Manifest, read_manifest
from samphirebend.options import read_options

EXAMPLES = Path(__file__).resolve().parents[2] / "examples"
USERS = ("linjeringsbyran", "badgegate")


def read_example(user: str) -> Manifest:
    """Return the example manifest of a user."""
    text = (EXAMPLES / user / "manifest.json").read_text()
    return read_manifest(text).expect(f"{user}: the manifest has faults")


@pytest.mark.parametrize(
    ("user", "measure", "regions", "mbit_per_s", "delay_ms", "read_slots"),
    [
        ("linjeringsbyran", "headroom", ("mellersta", "sodra", "norra"), 280, 35, 3),
        ("badgegate", "latency", ("bagmati", "koshi", "gandaki"), 4000, 20, 4),
    ],
)
def test_manifest_has_the_figures_of_the_design_page(
    user: str,
    measure: str,
    regions: tuple[str, ...],
    mbit_per_s: int,
    delay_ms: int,
    read_slots: int,
) -> None:
    """Guards against testing with other limits than the users have."""
    manifest = read_example(user)
    assert (manifest.measure, tuple(manifest.regions)) == (measure, regions)
    assert len(manifest.links) == 3
    for link in manifest.links.values():
        assert (link.mbit_per_s, link.delay_ms) == (mbit_per_s, delay_ms)
    assert len(manifest.hosts) == 7
    services = list(manifest.services.values())
    assert [len(service.upstreams) for service in services] == [14, 12, 12]
    assert [service.idempotent for service in services] == [True, False, True]
    for service, slots in zip(services, (read_slots, 3, 3), strict=True):
        assert {u.slots for u in service.upstreams} == {slots}
        assert {u.connections for u in service.upstreams} == {300}


@pytest.mark.parametrize("user", USERS)
def test_every_region_has_spread_upstreams_and_a_cap_below_its_slots(user: str) -> None:
    """Guards against unreachable caps and against unused failure domains."""
    manifest = read_example(user)
    for region in manifest.regions.values():
        assert len(region.failure_domains) == 2
        assert len(manifest.hosts_of(region.name)) >= 2
        slots = sum(
            u.slots for u in manifest.upstreams.values() if u.region == region.name
        )
        assert 0.9 * slots <= region.max_in_flight < slots
        for service in manifest.services.values():
            used = {u.failure_domain for u in service.upstreams}
            assert used >= set(region.failure_domains)


@pytest.mark.parametrize("user", USERS)
def test_settings_agree_with_the_manifest(user: str) -> None:
    """Guards against settings that were not updated with the manifest."""
    manifest = read_example(user)
    paths = sorted(p for p in (EXAMPLES / user).glob("*.json") if p.stem != "manifest")
    assert [path.stem for path in paths] == sorted(manifest.hosts)
    for path in paths:
        cfg = read_options(path.read_text()).expect(f"{path.name} has faults")
        host = manifest.hosts[path.stem]
        assert (cfg.host, cfg.region) == (host.name, host.region)
        assert cfg.failure_domain == host.failure_domain
        assert cfg.entry_address == host.entry
        assert cfg.relay_address == host.relay
        assert cfg.peer_address == host.peer
        assert cfg.admin_address == host.admin
        others = {h.peer for h in manifest.hosts.values() if h is not host}
        assert set(cfg.seeds) == others
