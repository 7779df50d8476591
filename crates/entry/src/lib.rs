//! The entry instance, which forwards packets between callers and agents, and the operators' commands.

pub mod control;
pub mod settings;
pub mod shared;
