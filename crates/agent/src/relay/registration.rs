//! Store calls that register the agent's endpoint under a lease and renew it.

use quetzalhill_core::ids::{address_of, StoreEra};
use quetzalhill_core::relay::era::EraChange;
use quetzalhill_core::relay::fleet::ListedEndpoint;
use quetzalhill_core::relay::registration::{
    RegistrationAction, RegistrationController, RegistrationOutcome, LEASE_TTL,
};
use quetzalhill_node::event::{emit, EventCode};
use quetzalhill_node::relay::era::EraCounters;
use quetzalhill_node::relay::settings::ENDPOINT_PREFIX;
use quetzalhill_store::api::{CallEnd, CatalogueStore, DeleteOp, PutOp, StoreError, Transaction};
use quetzalhill_wire::relay::{encode_endpoint, record_key};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::fmt::Display;
use std::time::Instant;
use tokio::sync::watch;
use tokio::time::timeout_at;

/// Keeps the endpoint in `target` registered in the store, or no endpoint if it is `None`. Ends when the sender of
/// `target` is dropped.
pub async fn keep_registered<S: CatalogueStore>(
    store: S,
    mut target: watch::Receiver<Option<ListedEndpoint>>,
    counters: EraCounters,
) {
    let mut controller = RegistrationController::new();
    let mut rng = SmallRng::from_os_rng();
    let mut unavailable = false;
    let mut restored: Option<RestoredEra> = None;
    loop {
        controller.set_target(target.borrow_and_update().clone());
        let action = controller.next_action(Instant::now());
        if let RegistrationAction::Wait(until) = action {
            if let Ok(Err(_)) = timeout_at(until.into(), target.changed()).await {
                return;
            }
            continue;
        }
        let result = execute(&store, &action).await;
        let failed = matches!(result, Err(ref error) if !is_lease_lost(error));
        if failed != unavailable {
            unavailable = failed;
            log_store_state(result.as_ref().err());
        }
        let now = Instant::now();
        let era = store.era();
        let change = controller.observe_era(era, rng.random_range(0.0..1.0), now);
        counters.record(change, era, FOLLOWS);
        if let EraChange::Restored { .. } = change {
            restored = Some(RestoredEra { era, noticed: now });
        }
        let outcome = outcome_of(result);
        log_outcome(&action, outcome);
        controller.finish(&action, outcome, rng.random_range(0.0..1.0), now);
        if controller.is_registered() {
            log_registered_again(restored.take(), &action, now);
        }
    }
}

/// Name of the registration in the log fields `follows` and `source`.
const FOLLOWS: &str = "registration";

/// A restore of the store after which the endpoint has not been registered again.
#[derive(Clone, Copy, Debug)]
struct RestoredEra {
    era: StoreEra,
    noticed: Instant,
}

fn log_registered_again(restored: Option<RestoredEra>, action: &RegistrationAction, now: Instant) {
    if let (Some(restored), RegistrationAction::Write(endpoint, lease)) = (restored, action) {
        emit(
            EventCode::EndpointRegisteredAgain,
            &[
                ("endpoint", &address_of(endpoint.id)),
                ("lease", lease),
                ("era", &restored.era),
                ("after_ms", &(now - restored.noticed).as_millis()),
            ],
        );
    }
}

fn is_lease_lost(error: &StoreError) -> bool {
    matches!(error, StoreError::LeaseNotFound { .. })
}

fn log_store_state(error: Option<&StoreError>) {
    match error {
        Some(error) => emit(
            EventCode::StoreUnavailable,
            &[("follows", &FOLLOWS), ("error", error)],
        ),
        None => emit(EventCode::StoreAvailable, &[("follows", &FOLLOWS)]),
    }
}

async fn execute<S: CatalogueStore>(
    store: &S,
    action: &RegistrationAction,
) -> Result<RegistrationOutcome, StoreError> {
    match action {
        RegistrationAction::Wait(_) => Ok(RegistrationOutcome::Renewed),
        RegistrationAction::Grant => {
            let grant = store.grant(LEASE_TTL).await?;
            Ok(RegistrationOutcome::Granted(grant.id))
        }
        RegistrationAction::Write(endpoint, lease) => {
            let value = encode_endpoint(endpoint).map_err(|error| StoreError::NotApplied {
                end: CallEnd::NotMade,
                cause: format!("{error:?}"),
            })?;
            let put = PutOp {
                key: record_key(ENDPOINT_PREFIX, endpoint.id),
                value,
                lease: Some(*lease),
            };
            let transaction = Transaction {
                puts: vec![put],
                ..Transaction::default()
            };
            store.commit(&transaction).await?;
            Ok(RegistrationOutcome::Written)
        }
        RegistrationAction::Renew(lease) => {
            store.keep_alive(*lease).await?;
            Ok(RegistrationOutcome::Renewed)
        }
        RegistrationAction::Revoke(lease) => {
            store.revoke(*lease).await?;
            Ok(RegistrationOutcome::Revoked)
        }
        RegistrationAction::Remove(id) => {
            let key = record_key(ENDPOINT_PREFIX, *id);
            let delete = DeleteOp {
                to: format!("{key}\0"),
                from: key,
            };
            let transaction = Transaction {
                deletes: vec![delete],
                ..Transaction::default()
            };
            store.commit(&transaction).await?;
            Ok(RegistrationOutcome::Removed)
        }
    }
}

fn outcome_of(result: Result<RegistrationOutcome, StoreError>) -> RegistrationOutcome {
    match result {
        Ok(outcome) => outcome,
        Err(StoreError::LeaseNotFound { .. }) => RegistrationOutcome::LeaseLost,
        Err(_) => RegistrationOutcome::Failed,
    }
}

fn log_outcome(action: &RegistrationAction, outcome: RegistrationOutcome) {
    match (action, outcome) {
        (RegistrationAction::Write(endpoint, lease), RegistrationOutcome::Written) => emit(
            EventCode::EndpointRegistered,
            &[
                ("endpoint", &address_of(endpoint.id)),
                ("incarnation", &endpoint.incarnation),
                ("lease", lease),
            ],
        ),
        (RegistrationAction::Revoke(_), _) => {}
        (action, RegistrationOutcome::LeaseLost) => {
            let lease: &dyn Display = match action {
                RegistrationAction::Write(_, lease) | RegistrationAction::Renew(lease) => lease,
                _ => &0,
            };
            emit(EventCode::LeaseLost, &[("lease", lease)]);
        }
        _ => {}
    }
}
