"""Judges FAULT and LOST of gateway nodes that run as real processes, by the users' pages."""
