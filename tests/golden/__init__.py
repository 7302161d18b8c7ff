"""What earlier landings wrote: frames of each message, stores, and the messages' definitions as they were.

Each landing has a folder named after its revision. `python -m tests.golden.record REVISION` makes it, from
the revision's own source; nothing in it is ever changed by hand.
"""
