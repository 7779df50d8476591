//! Changes of the catalogue in the store, as an operator makes them.

use anyhow::{bail, Result};
use ntex::rt::{DefaultRuntime, System};
use quetzalhill_core::catalogue::{CatalogueSnapshot, ServiceEntry};
use quetzalhill_core::ids::ServiceName;
use quetzalhill_store::catalogue::commit::{commit, new_write_id, CommitOutcome};
use quetzalhill_store::catalogue::load::load;
use quetzalhill_store::catalogue::plan::{plan_change, WriteStamp};
use quetzalhill_store::etcd::{EtcdSettings, EtcdStore};
use std::collections::BTreeMap;
use std::thread;
use std::time::SystemTime;

/// Writes the services to the store at `url` and returns the new revision of the catalogue.
///
/// # Errors
///
/// Returns an error if nothing differs, the store does not take the change, or another writer was first.
pub fn write_catalogue(
    url: &str,
    services: BTreeMap<ServiceName, ServiceEntry>,
) -> Result<CatalogueSnapshot> {
    let settings = EtcdSettings::new(vec![url.into()]);
    // A thread of its own, because the caller may run a system already.
    let writer = thread::Builder::new()
        .name("operator".into())
        .spawn(move || {
            let system = System::new("operator", DefaultRuntime);
            system.block_on(write(settings, services))
        })?;
    match writer.join() {
        Ok(result) => result,
        Err(_) => bail!("the operator's thread panicked"),
    }
}

async fn write(
    settings: EtcdSettings,
    services: BTreeMap<ServiceName, ServiceEntry>,
) -> Result<CatalogueSnapshot> {
    let store = EtcdStore::new(settings).await?;
    let current = load(&store).await?;
    let stamp = WriteStamp {
        author: "testbed".into(),
        time: SystemTime::now(),
        write_id: new_write_id(&mut rand::rng()),
    };
    let planned = plan_change(&current, services, &stamp)?;
    match commit(&store, &planned).await? {
        CommitOutcome::Committed(_) => Ok(planned.snapshot),
        CommitOutcome::LostRace(_) => bail!("another operator was first"),
    }
}
