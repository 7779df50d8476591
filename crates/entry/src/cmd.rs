//! The commands of the binary `quetzalhill`, one module each.

pub mod catalogue;
pub mod check_manifest;
pub mod check_settings;
pub mod operator;
pub mod relay;
pub mod run;
pub mod status;

use anyhow::Result;
use std::process::ExitCode;

/// Help text of `quetzalhill`, also printed if the command is missing or unknown.
pub const USAGE: &str = "\
quetzalhill is a layer-4 load balancer for long-lived connections.

Usage:
    quetzalhill <command> [<arguments>...]
    quetzalhill <command> --help

Commands:
    run             Run an entry instance.
    relay           Run an entry instance for opaque flows.
    catalogue       Read and change the catalogue of services.
    status          Show the status of the nodes.
    check-settings  Check a settings file without starting anything.
    check-manifest  Check a manifest before it is sent.
";

/// Exit code for an invalid command line, by the usual convention.
const EXIT_USAGE: u8 = 2;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CommandName {
    Run,
    Relay,
    Catalogue,
    Status,
    CheckSettings,
    CheckManifest,
}

impl CommandName {
    fn parse(name: &str) -> Option<Self> {
        match name {
            "run" => Some(CommandName::Run),
            "relay" => Some(CommandName::Relay),
            "catalogue" => Some(CommandName::Catalogue),
            "status" => Some(CommandName::Status),
            "check-settings" => Some(CommandName::CheckSettings),
            "check-manifest" => Some(CommandName::CheckManifest),
            _ => None,
        }
    }
}

/// Runs the command in `argv[1]` and returns the exit code of the process. `argv[0]` is the name of the program.
pub fn main(argv: &[&str]) -> ExitCode {
    if matches!(argv.get(1), Some(&("--help" | "help"))) {
        print!("{USAGE}");
        return ExitCode::SUCCESS;
    }
    let Some(command) = argv.get(1).and_then(|name| CommandName::parse(name)) else {
        eprint!("{USAGE}");
        return ExitCode::from(EXIT_USAGE);
    };
    match run(command, argv) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("quetzalhill: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(command: CommandName, argv: &[&str]) -> Result<ExitCode> {
    match command {
        CommandName::Run => run::run(argv),
        CommandName::Relay => relay::run(argv),
        CommandName::Catalogue => catalogue::run(argv),
        CommandName::Status => status::run(argv),
        CommandName::CheckSettings => check_settings::run(argv),
        CommandName::CheckManifest => check_manifest::run(argv),
    }
}

/// Parses the arguments of a command that follow its name in `argv[1]`; see [`parse_args_after`].
///
/// # Errors
///
/// As for [`parse_args_after`].
pub fn parse_args<T: argh::FromArgs>(argv: &[&str]) -> Result<T, ExitCode> {
    parse_args_after(argv, 2)
}

/// Parses the arguments of a command, which follow the first `words` items of `argv`. Prints the help if it is
/// requested, and a message if the arguments are not valid.
///
/// # Errors
///
/// Returns the exit code for the process if the help or a message was printed.
pub fn parse_args_after<T: argh::FromArgs>(argv: &[&str], words: usize) -> Result<T, ExitCode> {
    let split = argv.len().min(words);
    T::from_args(&argv[..split], &argv[split..]).map_err(|exit| match exit.status {
        Ok(()) => {
            println!("{}", exit.output);
            ExitCode::SUCCESS
        }
        Err(()) => {
            eprintln!("{}", exit.output);
            ExitCode::from(EXIT_USAGE)
        }
    })
}
