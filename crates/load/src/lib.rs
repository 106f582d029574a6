//! Limits, target choice and cold starts.
