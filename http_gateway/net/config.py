"""Environment and JSON to settings."""

from __future__ import annotations

import resource
from collections.abc import Mapping
from dataclasses import dataclass
from hashlib import blake2b
from pathlib import Path
from typing import Any

import orjson

from http_gateway.net.address import Address, parse_address
from http_gateway.net.discovery.endpoint_list import EndpointList, read_endpoint_list
from http_gateway.policy.settings import Settings
from http_gateway.policy.time_units import US_PER_S
from http_gateway.settings_reader import read_settings

MAX_FILE = 16 * 1024 * 1024  # bytes; with a list of thousands of hosts it has less than one
_FIXED = {"name": "PROXY_NAME", "listen": "PROXY_LISTEN"}  # for the life of the process


class ConfigError(Exception):
    """The gateway cannot start with what it was told."""


@dataclass(frozen=True, slots=True)
class GatewayConfig:
    name: str
    listen_address: Address
    discovery_address: Address
    seed: int
    cached_list: EndpointList
    settings: Settings
    connect_timeout_s: float  # seconds after which a connection that is not made has failed
    idle_timeout_s: float  # seconds after which a host closes an idle connection at the latest
    max_descriptors: int  # descriptors that the process may hold


def load_config(environment: Mapping[str, str]) -> GatewayConfig:
    """What to start with."""
    # The environment comes first: an operator may set a variable for one start.
    return _load(environment, {**_FIXED, "discovery": "PROXY_DISCOVERY"})


def reload_config(environment: Mapping[str, str]) -> GatewayConfig:
    """What to go on with: the variables are as old as the start, so the file's word on discovery is newer."""
    return _load(environment, _FIXED)


def _load(environment: Mapping[str, str], overrides: Mapping[str, str]) -> GatewayConfig:
    path = environment.get("PROXY_CONFIG")
    if not path:
        raise ConfigError("PROXY_CONFIG names no file")
    try:
        told = orjson.loads(_read(Path(path)))
    except OSError as error:
        raise ConfigError(f"cannot read PROXY_CONFIG: {error.strerror}") from None
    except orjson.JSONDecodeError as error:
        raise ConfigError(f"PROXY_CONFIG is not JSON: {error}") from None
    if not isinstance(told, dict):
        raise ConfigError("PROXY_CONFIG holds no object")
    told |= {key: environment[name] for key, name in overrides.items() if environment.get(name)}
    try:
        return _config(told)
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        raise ConfigError(f"the configuration is no good: {type(error).__name__}: {error}") from None


def _read(path: Path) -> bytes:
    with path.open("rb") as file:
        text = file.read(MAX_FILE + 1)
    if len(text) > MAX_FILE:
        raise ConfigError(f"PROXY_CONFIG holds more than {MAX_FILE} bytes")
    return text


def _descriptors(told: int) -> int:
    """How many the process may hold: the system may allow it less than the file says."""
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return told if allowed == resource.RLIM_INFINITY else min(told, allowed)


def _config(told: Mapping[str, Any]) -> GatewayConfig:
    setup = told["settings"]
    settings = read_settings(setup)
    limits, allowed = told.get("limits") or {}, setup.get("permissions") or {}
    return GatewayConfig(
        name=str(told.get("name") or ""),
        listen_address=parse_address(str(told["listen"]), min_port=0),
        discovery_address=parse_address(str(told["discovery"])),
        seed=int.from_bytes(blake2b(str(told.get("seed")).encode(), digest_size=8).digest(), "big"),
        cached_list=read_endpoint_list(told.get("known") or {"members": []}),
        settings=settings,
        connect_timeout_s=settings.connect_timeout_us / US_PER_S,
        idle_timeout_s=int(allowed.get("connIdle") or 15 * US_PER_S) / US_PER_S,
        max_descriptors=_descriptors(int(limits.get("sockets") or 1024)),
    )
