//! Translates steps that change the catalogue into edits of a snapshot.

use super::operator::CatalogueEdit;
use super::steps::{AddServiceStep, MoveAddressStep, ScenarioStep};
use super::testbed::ScenarioTestbed;
use super::values::LimitValue;
use anyhow::{bail, Context, Result};
use quetzalhill_core::catalogue::{CatalogueSnapshot, LimitSet, ServiceEntry};

/// Returns the edits of a step, to be committed concurrently; `add-service` first starts the endpoints.
///
/// # Errors
///
/// The endpoints of a new service cannot be started, the address to move does not exist, or the step does not change
/// the catalogue.
pub fn edits_of(testbed: &mut ScenarioTestbed, step: &ScenarioStep) -> Result<Vec<CatalogueEdit>> {
    Ok(match step {
        ScenarioStep::SetLimit(step) => vec![limit_edit(&step.service, &step.limit)],
        ScenarioStep::Race(step) => vec![
            limit_edit(&step.service, &step.first),
            limit_edit(&step.service, &step.second),
        ],
        ScenarioStep::SetClass(step) => {
            let class = step.class;
            vec![service_edit(&step.service, move |entry| {
                entry.class = class;
            })]
        }
        ScenarioStep::SetOwner(step) => {
            let owner = step.owner.clone();
            vec![service_edit(&step.service, move |entry| {
                entry.owner = owner;
            })]
        }
        ScenarioStep::RemoveService(step) => {
            let name = step.name.clone();
            vec![Box::new(move |snapshot| {
                snapshot.services.remove(&name);
            })]
        }
        ScenarioStep::MoveAddress(step) => vec![move_edit(testbed, step)?],
        ScenarioStep::AddService(step) => vec![add_service(testbed, step)?],
        _ => bail!("this step does not change the catalogue"),
    })
}

fn service_edit(service: &str, edit: impl FnOnce(&mut ServiceEntry) + 'static) -> CatalogueEdit {
    let name = service.to_string();
    Box::new(move |snapshot| {
        if let Some(entry) = snapshot.services.get_mut(&name) {
            edit(entry);
        }
    })
}

fn limit_edit(service: &str, limit: &LimitValue) -> CatalogueEdit {
    let limit = limit.clone();
    service_edit(service, move |entry| {
        // The name is known: `LimitValue::from_str` has checked it.
        let _ = limit.set(&mut entry.limits);
    })
}

fn move_edit(testbed: &ScenarioTestbed, step: &MoveAddressStep) -> Result<CatalogueEdit> {
    let address = testbed.address_of(&step.from, step.address);
    let address = address.context("the service was not defined with this address")?;
    let to = step.to.clone();
    Ok(Box::new(move |snapshot: &mut CatalogueSnapshot| {
        for entry in snapshot.services.values_mut() {
            entry.addresses.retain(|known| *known != address);
        }
        if let Some(entry) = snapshot.services.get_mut(&to) {
            entry.addresses.push(address);
        }
    }))
}

fn add_service(testbed: &mut ScenarioTestbed, step: &AddServiceStep) -> Result<CatalogueEdit> {
    testbed.start_endpoints(&step.name, step.endpoints, step.slots)?;
    let address = testbed.address_of(&step.name, 0);
    let entry = ServiceEntry {
        number: 0,
        owner: step.owner.clone(),
        class: step.class,
        addresses: address.into_iter().collect(),
        path_classes: Default::default(),
        limits: LimitSet::default(),
    };
    let name = step.name.clone();
    Ok(Box::new(move |snapshot| {
        snapshot.services.insert(name, entry);
    }))
}
