"""Benchmarks that compare the product to a named baseline in the same run."""
