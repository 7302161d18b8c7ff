"""Data recorded from older revisions: frames of each message, stores, and the definitions of messages.

Each revision has a folder with its name, which `python -m tests.golden.record REVISION` creates from the
source of that revision. The files in it are never changed by hand.
"""
