//! Catalogue changes and status requests, made with the code behind the operators' commands.

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

/// Outcome of a catalogue change. Scenario output prints it with `Debug`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ChangeOutcome {
    /// The change was committed as this catalogue revision.
    Accepted(u64),
    /// Another change was committed first, and nothing of this one was written.
    LostRace,
    /// The change failed before anything was written; carries the error.
    Refused(String),
    /// The commit failed with an unknown outcome; carries the error.
    Doubtful(String),
}

/// Client of one store and of the nodes' admin addresses.
#[derive(Clone, Debug)]
pub struct ScenarioOperator {
    store: SocketAddrV4,
}

impl ScenarioOperator {
    /// Creates a client of the store at this address; does not connect yet.
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

    /// Commits one change of the newest catalogue.
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

    /// Commits changes concurrently, all based on the same revision, so that at most one is accepted. Returns one
    /// outcome for each edit, in the same order.
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

    /// Fetches the status of nodes, in the order of the addresses; `None` for a node that does not answer.
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

/// An edit of a copy of the catalogue, which is then committed.
pub type CatalogueEdit = Box<dyn FnOnce(&mut CatalogueSnapshot)>;

fn outcome_of(result: Result<CommitOutcome, CommitError>) -> ChangeOutcome {
    match result {
        Ok(CommitOutcome::Committed(revision)) => ChangeOutcome::Accepted(revision),
        Ok(CommitOutcome::LostRace(_)) => ChangeOutcome::LostRace,
        Err(error @ CommitError::NotApplied(_)) => ChangeOutcome::Refused(error.to_string()),
        Err(error @ CommitError::Unknown { .. }) => ChangeOutcome::Doubtful(error.to_string()),
    }
}
