"""Tests of the package, and the fakes and simulations they share."""
