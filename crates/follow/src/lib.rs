//! Monotonic spread of accepted service documents.
