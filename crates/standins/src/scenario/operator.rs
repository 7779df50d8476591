//! Changes of the catalogue in the store, and questions to the nodes, as operators make them.

use anyhow::{Context, Result};
use quetzalhill::cmd::operator::{
    block_on, node_statuses, GuardSection, NodeTargets, OperatorSettings, StoreTarget,
};
use quetzalhill_core::catalogue::CatalogueSnapshot;
use quetzalhill_node::status::NodeStatus;
use quetzalhill_store::catalogue::commit::{commit, new_write_id, CommitError, CommitOutcome};
use quetzalhill_store::catalogue::load::load;
use quetzalhill_store::catalogue::plan::{plan_change, WriteStamp};
use std::net::SocketAddrV4;
use std::time::SystemTime;

/// How a change ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ChangeOutcome {
    /// It is in the store, with this catalogue revision.
    Accepted(u64),
    /// Another change was first.
    LostRace,
    /// Nothing was written.
    Refused(String),
    /// It may have been written.
    Doubtful(String),
}

/// Operators at work on one store and its nodes.
#[derive(Clone, Debug)]
pub struct ScenarioOperator {
    store: SocketAddrV4,
}

impl ScenarioOperator {
    /// Makes an operator of the store at this address.
    pub fn new(store: SocketAddrV4) -> Self {
        Self { store }
    }

    fn settings(&self, admin: Vec<SocketAddrV4>) -> OperatorSettings {
        OperatorSettings {
            store: StoreTarget {
                urls: vec![format!("http://{}", self.store)],
            },
            nodes: NodeTargets { admin },
            guards: GuardSection::default(),
        }
    }

    /// Makes one change.
    ///
    /// # Errors
    ///
    /// The HTTP client cannot be set up.
    pub fn apply(
        &self,
        edit: impl FnOnce(&mut CatalogueSnapshot) + 'static,
    ) -> Result<ChangeOutcome> {
        let mut outcomes = self.apply_concurrently(vec![Box::new(edit)])?;
        outcomes.pop().context("one change has one outcome")
    }

    /// Makes changes at the same time, all from the revision that was read before the first.
    ///
    /// # Errors
    ///
    /// The HTTP client cannot be set up.
    pub fn apply_concurrently(&self, edits: Vec<CatalogueEdit>) -> Result<Vec<ChangeOutcome>> {
        let settings = self.settings(Vec::new());
        block_on(async move {
            let store = settings.open_store().await?;
            let current = match load(&store).await {
                Ok(current) => current,
                Err(error) => {
                    let refused = ChangeOutcome::Refused(error.to_string());
                    return Ok(vec![refused; edits.len()]);
                }
            };
            let mut commits = Vec::with_capacity(edits.len());
            for (index, edit) in edits.into_iter().enumerate() {
                let mut changed = current.snapshot.clone();
                edit(&mut changed);
                let stamp = WriteStamp {
                    author: format!("operator-{index}"),
                    time: SystemTime::now(),
                    write_id: new_write_id(&mut rand::rng()),
                };
                let planned = plan_change(&current, changed.services, &stamp);
                let store = &store;
                commits.push(async move {
                    match planned {
                        Ok(planned) => outcome_of(commit(store, &planned).await),
                        Err(error) => ChangeOutcome::Refused(error.to_string()),
                    }
                });
            }
            Ok(futures_util::future::join_all(commits).await)
        })
    }

    /// Asks nodes for their status; one that does not answer has none.
    ///
    /// # Errors
    ///
    /// The HTTP client cannot be set up.
    pub fn fetch_statuses(&self, admin: Vec<SocketAddrV4>) -> Result<Vec<Option<NodeStatus>>> {
        let settings = self.settings(admin);
        block_on(async move {
            let answers = node_statuses(&settings).await;
            Ok(answers.into_iter().map(|node| node.answer.ok()).collect())
        })
    }
}

/// A change of a catalogue.
pub type CatalogueEdit = Box<dyn FnOnce(&mut CatalogueSnapshot)>;

fn outcome_of(result: Result<CommitOutcome, CommitError>) -> ChangeOutcome {
    match result {
        Ok(CommitOutcome::Committed(revision)) => ChangeOutcome::Accepted(revision),
        Ok(CommitOutcome::LostRace(_)) => ChangeOutcome::LostRace,
        Err(error @ CommitError::NotApplied(_)) => ChangeOutcome::Refused(error.to_string()),
        Err(error @ CommitError::Unknown { .. }) => ChangeOutcome::Doubtful(error.to_string()),
    }
}
