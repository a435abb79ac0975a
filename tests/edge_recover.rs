//! Tests of `ggs-edge` as processes. The source is under `platform/`, as only that part of the tree
//! uses the platform's names; the test is compiled here because this package builds the program.

#[path = "../platform/tests/processes/recover.rs"]
mod recover;
mod support;
