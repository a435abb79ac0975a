//! Tail latency of policies on fake servers under a virtual clock.
//!
//! `cargo bench -p ggs-pick --bench policies [-- SECTION...]` with the sections `faults`, `reports`,
//! `exports`, `gates`, `peers` and `budget`; without one, all run.

mod agenda;
mod baseline;
mod case;
mod fault;
mod fleet;
mod plot;
mod policy;
mod server;
mod tables;

fn main() {
    // Cargo adds `--bench`, which is no section.
    let sections: Vec<String> = std::env::args()
        .skip(1)
        .filter(|argument| !argument.starts_with("--"))
        .collect();
    for (name, print) in tables::SECTIONS {
        if sections.is_empty() || sections.iter().any(|section| section == name) {
            print();
        }
    }
}
