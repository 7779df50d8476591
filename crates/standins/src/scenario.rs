//! Scenario scripts: failure tests that operators and developers write, run against real processes on loopback.
//!
//! The language is described in docs/scenarios.md. [`report::run_file`] reads, checks and runs a file.

pub mod catalogue;
pub mod check;
pub mod evaluate;
pub mod faults;
pub mod loads;
pub mod measure;
pub mod operator;
pub mod pairs;
pub mod parse;
pub mod process;
pub mod report;
pub mod run;
pub mod steps;
pub mod testbed;
pub mod values;
pub mod words;
