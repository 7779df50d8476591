//! Writes catalogue changes to the store in the same way as the operators' commands.

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

/// Replaces the services of the catalogue in the store at `url` and returns the new catalogue.
///
/// # Errors
///
/// Returns an error if the services are unchanged or invalid, the store rejects the change, or another writer
/// committed a change first.
pub fn write_catalogue(
    url: &str,
    services: BTreeMap<ServiceName, ServiceEntry>,
) -> Result<CatalogueSnapshot> {
    let settings = EtcdSettings::new(vec![url.into()]);
    // The ntex system needs a separate thread because the calling thread may already run one.
    let writer = thread::Builder::new()
        .name("operator".into())
        .spawn(move || {
            let system = System::new("operator", DefaultRuntime);
            system.block_on(commit_services(settings, services))
        })?;
    match writer.join() {
        Ok(result) => result,
        Err(_) => bail!("the thread that writes the catalogue panicked"),
    }
}

async fn commit_services(
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
        CommitOutcome::LostRace(_) => {
            bail!("another writer committed a change of the catalogue first")
        }
    }
}
