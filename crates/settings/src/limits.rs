//! Size limits of texts and valid ranges of the fields of settings and documents.
//!
//! They are public so that the operators' documentation can be tested against them.

use std::ops::RangeInclusive;

/// Maximum length of the text of settings or of a document, in bytes.
pub const TEXT_LIMIT_BYTES: usize = 256 << 10;

/// Maximum length of the name of a host, data centre, service or partner, in characters.
pub const NAME_LIMIT_CHARS: usize = 63;

/// Maximum length of the method of a rule, in characters.
pub const METHOD_LIMIT_CHARS: usize = 20;

/// Maximum length of the path prefix of a rule, in characters.
pub const PATH_LIMIT_CHARS: usize = 1_024;

/// Maximum length of a base URL, in characters.
pub const URL_LIMIT_CHARS: usize = 256;

/// Maximum number of rules in a document.
pub const RULE_LIMIT: usize = 200;

/// Maximum number of peers in a settings file.
pub const PEER_LIMIT: usize = 1_000;

/// `entry_ttl_ms`, the time to live of an entry answer, in milliseconds.
pub const ENTRY_TTL_MS: RangeInclusive<u64> = 100..=60_000;

/// `body_limit`, the size of a request body, in bytes.
pub const BODY_LIMIT_BYTES: RangeInclusive<u64> = 1..=(64 << 20);

/// `key_limit`, in idempotency keys kept at once.
pub const KEY_LIMIT: RangeInclusive<u64> = 1..=10_000_000;

/// `key_ttl_ms`, the time to live of an idempotency key, in milliseconds.
pub const KEY_TTL_MS: RangeInclusive<u64> = 100..=86_400_000;

/// `in_flight_limit`, in requests at one gate over all services.
pub const IN_FLIGHT_LIMIT: RangeInclusive<u64> = 1..=100_000;

/// `caller_stall_ms`, the time without write progress to a caller, in milliseconds.
pub const CALLER_STALL_MS: RangeInclusive<u64> = 100..=600_000;

/// `deadline_ms` of each class, in milliseconds.
pub const DEADLINE_MS: RangeInclusive<u64> = 1..=3_600_000;

/// `in_flight` of each class, in requests at one gate.
pub const IN_FLIGHT: RangeInclusive<u64> = 1..=100_000;

/// `measuring.probes`, in load probes per window; 0 allows none.
pub const PROBES: RangeInclusive<u64> = 0..=1_000_000;

/// `measuring.window_ms`, the length of a window, in milliseconds.
pub const WINDOW_MS: RangeInclusive<u64> = 1_000..=86_400_000;

/// `retry_percent`, the retry budget in percent of answered requests.
pub const RETRY_PERCENT: RangeInclusive<u64> = 0..=100;

/// `eject_percent`, the most servers of a service that are ejected at once, in percent.
pub const EJECT_PERCENT: RangeInclusive<u64> = 0..=50;

/// `slots`, in requests that a server processes concurrently.
pub const SLOTS: RangeInclusive<u64> = 1..=10_000;

/// `connections`, in connections that a server accepts from all gates together.
pub const CONNECTIONS: RangeInclusive<u64> = 1..=100_000;
