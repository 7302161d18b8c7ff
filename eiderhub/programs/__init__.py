"""The tier's programs: thin assemblies of the planes' libraries."""
