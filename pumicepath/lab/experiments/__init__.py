"""Experiments: declared in files, run on all cores, summarized with confidence intervals and reports."""
