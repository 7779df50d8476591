//! The entry instance, which forwards packets between callers and agents, and the operators' commands.

pub mod catalogue_file;
pub mod cmd;
pub mod control;
pub mod reader;
pub mod relay;
pub mod run;
pub mod settings;
pub mod shared;
pub mod traffic;
