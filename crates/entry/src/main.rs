//! The binary `quetzalhill`: runs an entry or a command for operators.

use std::process::ExitCode;

fn main() -> ExitCode {
    let argv: Vec<String> = std::env::args().collect();
    let argv: Vec<&str> = argv.iter().map(String::as_str).collect();
    quetzalhill::cmd::main(&argv)
}
