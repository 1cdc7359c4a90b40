"""Pydantic models that validate the settings file."""

from __future__ import annotations

import ipaddress
from typing import Annotated, Literal

from pydantic import (
    AfterValidator,
    BaseModel,
    ConfigDict,
    Field,
    StringConstraints,
    model_validator,
)

from papayadyke_daemon.settings._settings import (
    Address,
    CallersSettings,
    FleetSettings,
    ListenerSettings,
    LogSettings,
    SeedVm,
    Settings,
    StatsdSettings,
    StoreAddress,
    TlsFiles,
    UpstreamAddress,
)

MAX_PORT = 65535
DAY_S = 86_400.0


def _check_ip(value: str) -> str:
    ipaddress.ip_address(value)
    return value


Name = Annotated[
    str, StringConstraints(pattern=r"^[a-z0-9]([a-z0-9._-]*[a-z0-9])?$", max_length=64)
]
IpAddress = Annotated[str, AfterValidator(_check_ip)]
Port = Annotated[int, Field(ge=0, le=MAX_PORT)]
Seconds = Annotated[float, Field(gt=0.0, le=DAY_S, allow_inf_nan=False)]


class _Model(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class AddressModel(_Model):
    """An IP address and a port; port 0 lets the operating system choose."""

    host: IpAddress = "127.0.0.1"
    port: Port

    def to_address(self) -> Address:
        """Convert to `Address`."""
        return Address(self.host, self.port)


class TlsModel(_Model):
    """Files of a certificate chain and its private key, in PEM."""

    certificate_file: str
    key_file: str

    def to_files(self) -> TlsFiles:
        """Convert to `TlsFiles`."""
        return TlsFiles(self.certificate_file, self.key_file)


class CallersModel(AddressModel):
    """The listener for callers, and its limits."""

    tls: TlsModel | None = None
    threads: int = Field(default=128, ge=2, le=4096)
    max_body_bytes: int = Field(default=1_000_000, ge=1, le=1_000_000_000)
    max_header_bytes: int = Field(default=16_384, ge=256, le=1_000_000)
    default_timeout_seconds: Seconds = 30.0
    max_timeout_seconds: Seconds = 3600.0
    receive_timeout_seconds: int = Field(default=10, ge=1, le=3600)

    def to_settings(self) -> CallersSettings:
        """Convert to `CallersSettings`."""
        return CallersSettings(
            address=self.to_address(),
            tls=None if self.tls is None else self.tls.to_files(),
            threads=self.threads,
            max_body_bytes=self.max_body_bytes,
            max_header_bytes=self.max_header_bytes,
            default_timeout_s=self.default_timeout_seconds,
            max_timeout_s=self.max_timeout_seconds,
            receive_timeout_s=self.receive_timeout_seconds,
        )


class UpstreamModel(AddressModel):
    """Name and address of an upstream of the zone."""

    name: Name


class SeedModel(AddressModel):
    """A VM to contact before any membership is known."""

    vm: Name
    availability_zone: Name
    region: Name = "default"

    def to_seed(self) -> SeedVm:
        """Convert to `SeedVm`."""
        return SeedVm(self.vm, self.availability_zone, self.region, self.to_address())


class StoreModel(AddressModel):
    """Address of the platform's key-value service."""

    timeout_seconds: Seconds = 1.0

    def to_store(self) -> StoreAddress:
        """Convert to `StoreAddress`."""
        return StoreAddress(self.to_address(), self.timeout_seconds)


class FleetModel(_Model):
    """Timing and connections of sessions with upstreams."""

    session_ttl_seconds: Seconds = 6.0
    expiry_margin_seconds: Seconds = 0.5
    task_lease_seconds: Seconds = 30.0
    connections: int = Field(default=60, ge=1, le=4096)

    @model_validator(mode="after")
    def _check_times(self) -> FleetModel:
        usable_s = self.session_ttl_seconds - self.expiry_margin_seconds
        if usable_s < self.session_ttl_seconds / 2:
            raise ValueError(
                "expiry_margin_seconds must be at most half of session_ttl_seconds"
            )
        if self.task_lease_seconds <= self.session_ttl_seconds:
            raise ValueError(
                "task_lease_seconds must be greater than session_ttl_seconds"
            )
        return self

    def to_settings(self) -> FleetSettings:
        """Convert to `FleetSettings`."""
        return FleetSettings(
            session_ttl_s=self.session_ttl_seconds,
            expiry_margin_s=self.expiry_margin_seconds,
            task_lease_s=self.task_lease_seconds,
            connections=self.connections,
        )


class StatsdModel(AddressModel):
    """Address and name prefix for StatsD metrics."""

    prefix: str = Field(default="papayadyke", max_length=64)

    def to_statsd(self) -> StatsdSettings:
        """Convert to `StatsdSettings`."""
        return StatsdSettings(self.to_address(), self.prefix)


class LogModel(_Model):
    """Format and level of the log."""

    format: Literal["plain", "json"] = "plain"
    level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"


class SettingsModel(_Model):
    """All settings in the settings file of a daemon."""

    vm: Name
    availability_zone: Name
    region: Name = "default"
    weight: float = Field(default=1.0, gt=0.0, le=1000.0)
    callers: CallersModel
    operators: AddressModel | None = None
    peers: AddressModel | None = None
    availability_zones: tuple[Name, ...] = Field(default=(), max_length=64)
    seeds: tuple[SeedModel, ...] = Field(default=(), max_length=1024)
    keys_file: str | None = None
    store: StoreModel | None = None
    vm_list: AddressModel | None = None
    upstreams: tuple[UpstreamModel, ...] = Field(default=(), max_length=4096)
    fleet: FleetModel = FleetModel()
    statsd: StatsdModel | None = None
    log: LogModel = LogModel()
    drain_settle_seconds: float = Field(default=2.0, ge=0.0, le=DAY_S)
    drain_timeout_seconds: Seconds = 60.0

    @model_validator(mode="after")
    def _check_consistency(self) -> SettingsModel:
        names = [upstream.name for upstream in self.upstreams]
        if len(set(names)) != len(names):
            raise ValueError("upstreams must have unique names")
        if (self.operators or self.peers) and self.keys_file is None:
            raise ValueError("operators and peers need keys_file")
        if self.peers is not None and self.peers.port == 0:
            raise ValueError(
                "peers needs a fixed port, because it is announced to other VMs"
            )
        return self

    def to_settings(self) -> Settings:
        """Convert to `Settings`."""
        return Settings(
            vm=self.vm,
            availability_zone=self.availability_zone,
            region=self.region,
            weight=self.weight,
            callers=self.callers.to_settings(),
            upstreams=tuple(
                UpstreamAddress(upstream.name, upstream.to_address())
                for upstream in self.upstreams
            ),
            operators=_to_listener(self.operators),
            peers=_to_listener(self.peers),
            availability_zones=self.availability_zones,
            seeds=tuple(seed.to_seed() for seed in self.seeds),
            keys_file=self.keys_file,
            store=None if self.store is None else self.store.to_store(),
            vm_list=None if self.vm_list is None else self.vm_list.to_address(),
            fleet=self.fleet.to_settings(),
            statsd=None if self.statsd is None else self.statsd.to_statsd(),
            log=LogSettings(self.log.format, self.log.level),
            drain_settle_s=self.drain_settle_seconds,
            drain_timeout_s=self.drain_timeout_seconds,
        )


def _to_listener(model: AddressModel | None) -> ListenerSettings | None:
    return None if model is None else ListenerSettings(model.to_address())
