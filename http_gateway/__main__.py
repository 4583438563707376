"""Entry point of `python -m http_gateway`, which runs one gateway process."""

from __future__ import annotations

import sys

# asyncio and hashlib import the bindings of OpenSSL if they are there, which takes 5 MB. The gateway uses
# neither TLS nor OpenSSL's hashes, and both libraries work without the bindings.
for _module in ("ssl", "_hashlib"):
    sys.modules.setdefault(_module, None)  # type: ignore[arg-type]

from http_gateway.service import main  # noqa: E402 the bindings are excluded first

if __name__ == "__main__":
    sys.exit(main())
