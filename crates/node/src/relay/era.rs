//! Metrics and log lines of the era of the store, which entries and agents share.

use crate::event::{emit, EventCode};
use prometheus::{IntCounter, IntGauge, Registry, Result};
use quetzalhill_core::ids::StoreEra;
use quetzalhill_core::relay::era::EraChange;

/// Metrics of the era of the store.
#[derive(Clone, Debug)]
pub struct EraCounters {
    era: IntGauge,
    restores: IntCounter,
}

impl EraCounters {
    /// Creates the metrics and registers them.
    ///
    /// # Errors
    ///
    /// The registry already has metrics with these names.
    pub fn new(registry: &Registry) -> Result<Self> {
        let era = IntGauge::new(
            "quetzalhill_store_era",
            "Highest era of the store that its answers have shown; 0 if they tell none.",
        )?;
        registry.register(Box::new(era.clone()))?;
        let restores = IntCounter::new(
            "quetzalhill_store_restores_total",
            "Restores of the store from an older copy that this process has noticed.",
        )?;
        registry.register(Box::new(restores.clone()))?;
        Ok(Self { era, restores })
    }

    /// Counts and logs a change to `era`, which an answer to a call of `follows` has shown.
    pub fn record(&self, change: EraChange, era: StoreEra, follows: &str) {
        match change {
            EraChange::Unchanged | EraChange::Older => return,
            EraChange::First => {}
            EraChange::Restored { before } => {
                self.restores.inc();
                emit(
                    EventCode::StoreRestored,
                    &[("before", &before), ("era", &era), ("source", &follows)],
                );
            }
        }
        self.era.set(era.try_into().unwrap_or(i64::MAX));
    }
}
