"""The edge data plane: routing, admission control, resumable streams and batch items."""
