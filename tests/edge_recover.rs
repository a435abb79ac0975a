//! `ggs-edge` as processes. The test stands in `platform/`, which alone knows the platform's names; the
//! program is built by this package.

#[path = "../platform/tests/processes/recover.rs"]
mod recover;
mod support;
