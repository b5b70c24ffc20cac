"""Limits of what a message may hold; longer bodies are passed on piece by piece."""

from __future__ import annotations

MAX_HEAD_BYTES = 16 * 1024
MAX_HEADERS = 100
MAX_BODY_BYTES = 64 * 1024
