"""Reloads the configuration of a running gateway."""

from __future__ import annotations

import logging
from collections.abc import Mapping
from dataclasses import replace

from http_gateway.net.config import ConfigError, GatewayConfig, reload_config
from http_gateway.net.discovery.client import DiscoveryClient

log = logging.getLogger(__name__)


class ConfigReloader:
    """Takes over the address of discovery from a configuration file that has changed.

    All other changes need a restart. A file that cannot be read or used changes nothing.

    Args:
        config: The configuration in force.
        discovery: The client to move to another address.
        environment: The variables, which name the file.
    """

    def __init__(
        self, config: GatewayConfig, discovery: DiscoveryClient, environment: Mapping[str, str]
    ) -> None:
        self._config = config
        self._discovery = discovery
        self._environment = environment

    def reload(self) -> None:
        """Read the file again, and move discovery if its address has changed."""
        try:
            loaded = reload_config(self._environment)
        except ConfigError as error:
            log.error('reload failed reason="%s"', error)
            return
        self._move_discovery(loaded)
        self._warn_about_ignored_changes(loaded)

    def _move_discovery(self, loaded: GatewayConfig) -> None:
        if loaded.discovery_address == self._config.discovery_address:
            return
        self._config = replace(self._config, discovery_address=loaded.discovery_address)
        log.info("reload moves discovery address=%s:%d", *loaded.discovery_address)
        self._discovery.move_to(loaded.discovery_address)

    def _warn_about_ignored_changes(self, loaded: GatewayConfig) -> None:
        # Seed and cached list differ in every file, and matter at a start only.
        comparable = replace(loaded, seed=self._config.seed, cached_list=self._config.cached_list)
        if comparable != self._config:
            log.warning("reload ignored changes that need a restart")
