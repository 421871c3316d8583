"""What the scripts of the review share: node processes, callers and the record."""
