"""Entry points and services of the tier's processes: edge sidecars, control nodes and storage nodes."""
