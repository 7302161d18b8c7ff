"""State on disk: lmdb environments, their syncs, versions and checks."""
