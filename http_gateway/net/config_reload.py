"""Reload of the configuration in a running gateway."""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Mapping
from dataclasses import replace

from http_gateway.net.config import ConfigError, GatewayConfig, reload_config
from http_gateway.net.discovery.client import DiscoveryClient

log = logging.getLogger(__name__)

# Time between two reloads. Signals may come faster than the file can be read.
MIN_RELOAD_INTERVAL_S = 0.1


class ConfigReloader:
    """Applies a changed discovery address from the configuration file.

    All other changes need a restart. A file that cannot be read or is invalid changes nothing. The reloader
    owns the timer of a reload that was requested soon after another one.

    Args:
        config: The current configuration.
        discovery: The discovery client, which is switched to the new address.
        environment: The environment variables, which name the file.
        max_file_bytes: The largest file that is read.
    """

    def __init__(
        self,
        config: GatewayConfig,
        discovery: DiscoveryClient,
        environment: Mapping[str, str],
        max_file_bytes: int,
    ) -> None:
        self._config = config
        self._discovery = discovery
        self._environment = environment
        self._max_file_bytes = max_file_bytes
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self._reloaded_at_s = -math.inf
        self._requested_at_s = -math.inf  # the first request that the next reload answers

    def request_reload(self) -> None:
        """Reload soon; requests that come before that are answered by the same reload."""
        if self._timer is None:
            self._requested_at_s = self._loop.time()
            due_at_s = max(self._requested_at_s, self._reloaded_at_s + MIN_RELOAD_INTERVAL_S)
            self._timer = self._loop.call_at(due_at_s, self._reload)

    def stop(self) -> None:
        """Cancel a reload that is due."""
        if self._timer is not None:
            self._timer.cancel()

    def _reload(self) -> None:
        """Read the file again, and switch to another discovery service if the address has changed."""
        self._timer = None
        self._reloaded_at_s = self._loop.time()
        try:
            loaded = reload_config(self._environment, self._max_file_bytes)
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
        self._discovery.switch_to(loaded.discovery_address, self._requested_at_s)

    def _warn_about_ignored_changes(self, loaded: GatewayConfig) -> None:
        # Each new file has another seed and another cached list. The gateway uses both at startup only, so a
        # change to them is expected and logs no warning.
        comparable = replace(loaded, seed=self._config.seed, cached_list=self._config.cached_list)
        if comparable != self._config:
            log.warning("reload ignored changes that need a restart")
