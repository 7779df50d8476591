//! Simulation of the request pool of one service in virtual time, for tests of the dispatch code and for the replay of
//! traces.

pub mod central;
pub mod outcome;
pub mod sim;
pub mod workload;
