//! Limits of every field, with units.

use std::ops::RangeInclusive;

/// Longest text of settings or of a document, in bytes.
pub const TEXT_LIMIT_BYTES: usize = 256 << 10;

/// Longest name of a host, data centre, service or partner, in characters.
pub const NAME_LIMIT_CHARS: usize = 63;

/// Longest method of a rule, in characters.
pub const METHOD_LIMIT_CHARS: usize = 20;

/// Longest path of a rule, in characters.
pub const PATH_LIMIT_CHARS: usize = 1_024;

/// Longest base URL, in characters.
pub const URL_LIMIT_CHARS: usize = 256;

/// Most rules in a document.
pub const RULE_LIMIT: usize = 200;

/// Most peers in a settings file.
pub const PEER_LIMIT: usize = 1_000;

/// `entry_ttl_ms`, in milliseconds.
pub const ENTRY_TTL_MS: RangeInclusive<u64> = 100..=60_000;

/// `body_limit`, in bytes.
pub const BODY_LIMIT_BYTES: RangeInclusive<u64> = 1..=(64 << 20);

/// `key_limit`, in keys.
pub const KEY_LIMIT: RangeInclusive<u64> = 1..=10_000_000;

/// `key_ttl_ms`, in milliseconds.
pub const KEY_TTL_MS: RangeInclusive<u64> = 100..=86_400_000;

/// `in_flight_limit`, in requests at one gate over all services.
pub const IN_FLIGHT_LIMIT: RangeInclusive<u64> = 1..=100_000;

/// `caller_stall_ms`, in milliseconds.
pub const CALLER_STALL_MS: RangeInclusive<u64> = 100..=600_000;

/// `deadline_ms`, in milliseconds.
pub const DEADLINE_MS: RangeInclusive<u64> = 1..=3_600_000;

/// `in_flight`, in requests at one gate.
pub const IN_FLIGHT: RangeInclusive<u64> = 1..=100_000;

/// `measuring.probes`, in probes a window.
pub const PROBES: RangeInclusive<u64> = 0..=1_000_000;

/// `measuring.window_ms`, in milliseconds.
pub const WINDOW_MS: RangeInclusive<u64> = 1_000..=86_400_000;

/// `retry_percent`, in percent of answered requests.
pub const RETRY_PERCENT: RangeInclusive<u64> = 0..=100;

/// `eject_percent`, in percent of a service's servers.
pub const EJECT_PERCENT: RangeInclusive<u64> = 0..=50;

/// `slots`, in requests that a server works on at once.
pub const SLOTS: RangeInclusive<u64> = 1..=10_000;

/// `connections`, in connections that a server takes.
pub const CONNECTIONS: RangeInclusive<u64> = 1..=100_000;
