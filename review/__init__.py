"""An independent review: cases that are run by hand and are not part of the tests."""
