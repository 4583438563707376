"""Reads the configuration of a gateway from environment variables and the configuration file."""

from __future__ import annotations

import resource
from collections.abc import Mapping
from dataclasses import dataclass, field
from hashlib import blake2b
from typing import Any

import orjson

from http_gateway.json_fields import FieldError, JsonFields
from http_gateway.net.address import Address, AddressError, parse_address
from http_gateway.net.discovery.endpoint_list import EndpointList, EndpointListError, read_endpoint_list
from http_gateway.net.memory.plan import BYTES_PER_MB
from http_gateway.policy.settings import InvalidSettingsError, Settings
from http_gateway.policy.time_units import US_PER_S
from http_gateway.settings_reader import read_settings

MAX_FILE_BYTES = 16 * 1024 * 1024  # a file that lists thousands of endpoints is smaller than 1 MiB
DEFAULT_IDLE_TIMEOUT_US = 15 * US_PER_S
DEFAULT_MAX_DESCRIPTORS = 1024
DEFAULT_MEMORY_MB = 192

# Fields of the file that an environment variable overrides. The variables for `name` and `listen` apply at
# startup and at each reload. PROXY_DISCOVERY applies at startup only, so that a reload can change the
# discovery address.
_RELOAD_VARIABLES = {"name": "PROXY_NAME", "listen": "PROXY_LISTEN"}
_STARTUP_VARIABLES = {**_RELOAD_VARIABLES, "discovery": "PROXY_DISCOVERY"}


class ConfigError(Exception):
    """Raised when the configuration cannot be read or is invalid."""


@dataclass(frozen=True, slots=True)
class GatewayConfig:
    """The configuration of one gateway."""

    name: str
    listen_address: Address
    discovery_address: Address
    seed: int
    cached_list: EndpointList  # the last endpoint list that an earlier process received
    settings: Settings
    connect_timeout_s: float
    idle_timeout_s: float  # endpoints close idle connections after this time or earlier
    max_descriptors: int  # file descriptors that the process may open
    memory_limit_bytes: int  # resident memory over which the process is killed
    file_bytes: int = field(compare=False)  # size of the configuration file


def load_config(environment: Mapping[str, str]) -> GatewayConfig:
    """Read the configuration at startup; environment variables override fields of the file.

    Args:
        environment: The environment variables.

    Returns:
        The configuration.

    Raises:
        ConfigError: The configuration cannot be read or is invalid.
    """
    return _load(environment, _STARTUP_VARIABLES, MAX_FILE_BYTES)


def reload_config(environment: Mapping[str, str], max_file_bytes: int) -> GatewayConfig:
    """Read the configuration again in a running gateway.

    The discovery address comes from the file even if PROXY_DISCOVERY is set, as the file is newer than the
    variable. The cached endpoint list is not read, since a running gateway does not use it and reading the
    list of a large fleet would hold up the event loop.

    Args:
        environment: The environment variables.
        max_file_bytes: The largest file that is read.

    Returns:
        The configuration, with an empty endpoint list.

    Raises:
        ConfigError: The configuration cannot be read or is invalid.
    """
    return _load(environment, _RELOAD_VARIABLES, max_file_bytes, reads_cached_list=False)


def _load(
    environment: Mapping[str, str],
    variables: Mapping[str, str],
    max_file_bytes: int,
    *,
    reads_cached_list: bool = True,
) -> GatewayConfig:
    path = environment.get("PROXY_CONFIG")
    if not path:
        raise ConfigError("PROXY_CONFIG is not set or is empty")
    content = _read_file(path, max_file_bytes)
    document = _decode_document(content)
    if not reads_cached_list:
        document.pop("known", None)
    overrides = {field: environment[name] for field, name in variables.items() if environment.get(name)}
    try:
        return _read_config(JsonFields({**document, **overrides}), len(content))
    except (FieldError, InvalidSettingsError) as error:
        raise ConfigError(f"invalid configuration: {error}") from None


def _decode_document(content: bytes) -> dict[str, Any]:
    try:
        document = orjson.loads(content)
    except orjson.JSONDecodeError as error:
        raise ConfigError(f"the file named by PROXY_CONFIG is not valid JSON: {error}") from None
    if not isinstance(document, dict):
        raise ConfigError("the file named by PROXY_CONFIG does not contain a JSON object")
    return document


def _read_file(path: str, max_file_bytes: int) -> bytes:
    try:
        with open(path, "rb") as file:
            content = file.read(max_file_bytes + 1)
    except OSError as error:
        raise ConfigError(f"cannot read the file named by PROXY_CONFIG: {error.strerror}") from None
    if len(content) > max_file_bytes:
        raise ConfigError(f"the file named by PROXY_CONFIG exceeds {max_file_bytes} bytes")
    return content


def _read_config(fields: JsonFields, file_bytes: int) -> GatewayConfig:
    settings = read_settings(fields.value("settings"))
    permissions = fields.child("settings").child("permissions")
    idle_timeout_us = permissions.integer("connIdle", DEFAULT_IDLE_TIMEOUT_US)
    limits = fields.child("limits")
    max_descriptors = limits.integer("sockets", DEFAULT_MAX_DESCRIPTORS)
    memory_mb = limits.integer("memory_mb", DEFAULT_MEMORY_MB)
    return GatewayConfig(
        name=fields.text("name"),
        listen_address=_read_address(fields, "listen", min_port=0),
        discovery_address=_read_address(fields, "discovery"),
        seed=_read_seed(fields),
        cached_list=_read_cached_list(fields),
        settings=settings,
        connect_timeout_s=settings.connect_timeout_us / US_PER_S,
        idle_timeout_s=idle_timeout_us / US_PER_S,
        max_descriptors=_limit_descriptors(max_descriptors),
        memory_limit_bytes=memory_mb * BYTES_PER_MB,
        file_bytes=file_bytes,
    )


def _read_address(fields: JsonFields, name: str, min_port: int = 1) -> Address:
    if fields.value(name) is None:
        raise FieldError(fields.path(name), "is missing")
    try:
        return parse_address(str(fields.value(name)), min_port)
    except AddressError as error:
        raise FieldError(fields.path(name), f"is invalid: {error}") from None


def _read_seed(fields: JsonFields) -> int:
    digest = blake2b(str(fields.value("seed")).encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def _read_cached_list(fields: JsonFields) -> EndpointList:
    try:
        return read_endpoint_list(fields.value("known") or {"members": []})
    except EndpointListError as error:
        raise FieldError(fields.path("known"), f"is invalid: {error}") from None


def _limit_descriptors(configured: int) -> int:
    """Return the configured limit on file descriptors, or the soft limit of the process if that is lower."""
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft_limit == resource.RLIM_INFINITY:
        return configured
    return min(configured, soft_limit)
