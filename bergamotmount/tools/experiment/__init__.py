"""Experiments: variants of the decisions against the product, in emulations."""
