"""Entry point of `python -m http_gateway`, which runs one gateway process."""

from __future__ import annotations

import sys

from http_gateway.service import main

if __name__ == "__main__":
    sys.exit(main())
