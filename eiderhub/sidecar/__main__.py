"""`python -m eiderhub.sidecar`: one sidecar, as the platform starts it."""

import sys

if __name__ == "__main__":
    # structlog imports all of rich where that is installed: 4 MB in each of many processes, for tracebacks
    # that no log of ours shows. As if it were absent:
    sys.modules["rich"] = None  # type: ignore[assignment]
    from eiderhub.sidecar.process import main

    sys.exit(main())
