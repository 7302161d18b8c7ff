"""Entry point: `python -m eiderhub.sidecar` runs one sidecar."""

import sys

if __name__ == "__main__":
    # structlog imports rich where it is installed. That costs 4 MB per process and serves only traceback
    # rendering, which these logs don't use, so make the import fail.
    sys.modules["rich"] = None  # type: ignore[assignment]
    from eiderhub.sidecar.process import main

    sys.exit(main())
