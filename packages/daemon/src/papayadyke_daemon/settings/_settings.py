"""Data classes of the settings; docs/SETTINGS.md describes each setting."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Address:
    """An IP address and a port."""

    host: str
    port: int


@dataclass(frozen=True, slots=True)
class TlsFiles:
    """Files of a certificate chain and its private key, in PEM."""

    certificate_file: str
    key_file: str


@dataclass(frozen=True, slots=True)
class ListenerSettings:
    """A listener for operators or peers."""

    address: Address


@dataclass(frozen=True, slots=True)
class CallersSettings:
    """The listener for callers, and its limits."""

    address: Address
    tls: TlsFiles | None = None
    threads: int = 128
    max_body_bytes: int = 1_000_000
    max_header_bytes: int = 16_384
    default_timeout_s: float = 30.0
    max_timeout_s: float = 3600.0
    receive_timeout_s: int = 10


@dataclass(frozen=True, slots=True)
class UpstreamAddress:
    """Name and address of an upstream of the zone."""

    name: str
    address: Address


@dataclass(frozen=True, slots=True)
class SeedVm:
    """A VM to contact before any membership is known."""

    vm: str
    availability_zone: str
    region: str
    address: Address


@dataclass(frozen=True, slots=True)
class StoreAddress:
    """Address of the platform's key-value service, and the time-out of its calls."""

    address: Address
    timeout_s: float = 1.0


@dataclass(frozen=True, slots=True)
class FleetSettings:
    """Timing and connections of sessions with upstreams."""

    session_ttl_s: float = 6.0
    expiry_margin_s: float = 0.5
    task_lease_s: float = 30.0
    connections: int = 60


@dataclass(frozen=True, slots=True)
class StatsdSettings:
    """Address and name prefix for StatsD metrics."""

    address: Address
    prefix: str = "papayadyke"


@dataclass(frozen=True, slots=True)
class LogSettings:
    """Format and level of the log."""

    format: str = "plain"
    level: str = "INFO"


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings of one daemon."""

    vm: str
    availability_zone: str
    callers: CallersSettings
    region: str = "default"
    weight: float = 1.0
    upstreams: tuple[UpstreamAddress, ...] = ()
    operators: ListenerSettings | None = None
    peers: ListenerSettings | None = None
    availability_zones: tuple[str, ...] = ()
    seeds: tuple[SeedVm, ...] = ()
    keys_file: str | None = None
    store: StoreAddress | None = None
    vm_list: Address | None = None
    fleet: FleetSettings = field(default_factory=FleetSettings)
    statsd: StatsdSettings | None = None
    log: LogSettings = field(default_factory=LogSettings)
    drain_settle_s: float = 2.0
    drain_timeout_s: float = 60.0
