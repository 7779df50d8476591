//! Store calls that register the agent's endpoint under a lease and renew it.

use quetzalhill_core::ids::address_of;
use quetzalhill_core::relay::fleet::ListedEndpoint;
use quetzalhill_core::relay::registration::{
    RegistrationAction, RegistrationController, RegistrationOutcome, LEASE_TTL,
};
use quetzalhill_node::event::{emit, EventCode};
use quetzalhill_node::relay::settings::ENDPOINT_PREFIX;
use quetzalhill_store::api::{CallEnd, CatalogueStore, PutOp, StoreError, Transaction};
use quetzalhill_wire::relay::{encode_endpoint, record_key};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::fmt::Display;
use std::time::Instant;
use tokio::sync::watch;
use tokio::time::timeout_at;

/// Keeps the endpoint in `target` registered in the store, or no endpoint if it is `None`. Ends when the sender of
/// `target` is dropped.
pub(super) async fn keep_registered<S: CatalogueStore>(
    store: S,
    mut target: watch::Receiver<Option<ListedEndpoint>>,
) {
    let mut controller = RegistrationController::new();
    let mut rng = SmallRng::from_os_rng();
    let mut unavailable = false;
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
        let outcome = outcome_of(result);
        log_outcome(&action, outcome);
        controller.finish(&action, outcome, rng.random_range(0.0..1.0), Instant::now());
    }
}

fn is_lease_lost(error: &StoreError) -> bool {
    matches!(error, StoreError::LeaseNotFound { .. })
}

fn log_store_state(error: Option<&StoreError>) {
    match error {
        Some(error) => emit(
            EventCode::StoreUnavailable,
            &[("follows", &"registration"), ("error", error)],
        ),
        None => emit(EventCode::StoreAvailable, &[("follows", &"registration")]),
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
