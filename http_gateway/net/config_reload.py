"""Reload of the configuration in a running gateway."""

from __future__ import annotations

import logging
from collections.abc import Mapping
from dataclasses import replace

from http_gateway.net.config import ConfigError, GatewayConfig, reload_config
from http_gateway.net.discovery.client import DiscoveryClient

log = logging.getLogger(__name__)


class ConfigReloader:
    """Applies a changed discovery address from the configuration file.

    All other changes need a restart. A file that cannot be read or is invalid changes nothing.

    Args:
        config: The current configuration.
        discovery: The discovery client, which is switched to the new address.
        environment: The environment variables, which name the file.
    """

    def __init__(
        self, config: GatewayConfig, discovery: DiscoveryClient, environment: Mapping[str, str]
    ) -> None:
        self._config = config
        self._discovery = discovery
        self._environment = environment

    def reload(self) -> None:
        """Read the file again, and switch to another discovery service if the address has changed."""
        try:
            loaded = reload_config(self._environment)
        except ConfigError as error:
            log.error('reload failed reason="%s"', error)
            return
        self._apply_discovery_address(loaded)
        self._warn_about_ignored_changes(loaded)

    def _apply_discovery_address(self, loaded: GatewayConfig) -> None:
        if loaded.discovery_address == self._config.discovery_address:
            return
        self._config = replace(self._config, discovery_address=loaded.discovery_address)
        log.info("reload switched discovery address=%s:%d", *loaded.discovery_address)
        self._discovery.switch_to(loaded.discovery_address)

    def _warn_about_ignored_changes(self, loaded: GatewayConfig) -> None:
        # Each new file has another seed and another cached list. The gateway uses both at startup only, so a
        # change to them is expected and logs no warning.
        comparable = replace(loaded, seed=self._config.seed, cached_list=self._config.cached_list)
        if comparable != self._config:
            log.warning("reload ignored changes that need a restart")
