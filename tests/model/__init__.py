"""A deterministic model of a replicated group with its operators, readers and followers, in virtual time."""
