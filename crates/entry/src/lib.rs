//! The entry, which forwards packets between callers and agents, and the commands for operators.

pub mod catalogue_file;
pub mod cmd;
pub mod control;
pub mod reader;
pub mod relay;
pub mod run;
pub mod settings;
pub mod shared;
pub mod traffic;
