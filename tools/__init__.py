"""Hold what builds the repository, not the product."""
