//! Runs an entry together with the reader of the catalogue, until the entry starts the reader itself.

use anyhow::{Context, Result};
use quetzalhill::reader::{run as run_reader, ReaderInput, ReaderSetup};
use quetzalhill::settings::{check, EntrySettings};
use quetzalhill_core::ids::id_of;
use quetzalhill_node::settings::read;
use quetzalhill_store::etcd::{EtcdSettings, EtcdStore};
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;
use std::process::ExitCode;
use std::sync::Arc;
use tokio::sync::watch;

/// Runs an entry until SIGTERM.
pub(crate) fn run_entry(path: &str) -> ExitCode {
    match run(path) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("entry: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(path: &str) -> Result<()> {
    let settings: EntrySettings = read(path, check)?;
    quetzalhill_node::log::init(&settings.log)?;
    let mut signals = Signals::new([SIGTERM]).context("signal handlers")?;
    let entry = quetzalhill::run::start(settings.clone())?;
    let sender = entry.catalogue();
    std::thread::spawn(move || {
        let own = id_of(settings.node.control);
        let setup = ReaderSetup {
            // Each entry reads for itself, as if it was alone in its zone.
            zone: format!("{}-{own}", settings.node.zone),
            own,
            settings: Default::default(),
            seed: own,
        };
        let system = ntex::rt::System::new("reader", ntex::rt::DefaultRuntime);
        let result: Result<()> = system.block_on(async move {
            let store = EtcdStore::new(EtcdSettings::new(settings.store.urls)).await?;
            let (_input, input) = watch::channel(ReaderInput {
                live: vec![own],
                in_force: Arc::default(),
            });
            let (_stop, stop) = watch::channel(false);
            run_reader(store, setup, input, stop, move |snapshot| {
                sender.adopt(snapshot);
            })
            .await;
            Ok(())
        });
        if let Err(error) = result {
            eprintln!("reader: {error:#}");
        }
    });
    let _signal = signals.forever().next();
    entry.stop()
}
