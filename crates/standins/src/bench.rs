//! Benchmark of the dispatch policies: real entries and agents serve the same load in real time under each policy.

pub mod figures;
pub mod phases;
pub mod report;

use crate::caller::CallerStandin;
use crate::delay::DelayLine;
use crate::deployment::{DeploymentPlan, ServicePlan};
use crate::testbed::Testbed;
use crate::workload::SessionPool;
use anyhow::{Context, Result};
use figures::PolicyFigures;
use quetzalhill_core::dispatch::DispatchPolicy;
use serde::Serialize;
use std::sync::Arc;
use std::time::Duration;
use tokio::runtime::Runtime;

/// Caller sessions, over which the requests are spread at random.
const SESSIONS: usize = 140;

/// Worker threads of the runtime that runs the callers.
const CALLER_THREADS: usize = 3;

/// A way to distribute the requests of a service over its endpoints.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum BenchPolicy {
    /// One endpoint that has the slots of all, which acts as an ideal central queue: the reference for the others.
    Central,
    /// The default policy: agents hand requests over to peers with free slots, and idle agents pull waiting requests.
    Pooled,
    /// Each request runs on a random endpoint.
    Random,
    /// Requests run on all endpoints in turn.
    RoundRobin,
    /// Each request runs on the endpoint with the least load according to the last reports.
    LeastReported,
}

impl BenchPolicy {
    /// All policies; the central queue comes first, because the others are compared with it.
    pub const ALL: [BenchPolicy; 5] = [
        BenchPolicy::Central,
        BenchPolicy::Pooled,
        BenchPolicy::Random,
        BenchPolicy::RoundRobin,
        BenchPolicy::LeastReported,
    ];

    /// Returns the name of the policy on the command line and in reports.
    pub fn name(self) -> &'static str {
        match self {
            BenchPolicy::Central => "central",
            BenchPolicy::Pooled => "pooled",
            BenchPolicy::Random => "random",
            BenchPolicy::RoundRobin => "round-robin",
            BenchPolicy::LeastReported => "least-reported",
        }
    }

    fn dispatch_policy(self) -> DispatchPolicy {
        match self {
            BenchPolicy::Central | BenchPolicy::Pooled => DispatchPolicy::Pooled,
            BenchPolicy::Random => DispatchPolicy::Random,
            BenchPolicy::RoundRobin => DispatchPolicy::RoundRobin,
            BenchPolicy::LeastReported => DispatchPolicy::LeastReported,
        }
    }

    /// Returns the deployment in which this policy is measured: `plan` reduced to its most urgent service, which has
    /// a single endpoint with the slots and limits of all for the central queue.
    fn deployment(self, plan: &DeploymentPlan) -> Result<DeploymentPlan> {
        let mut plan = plan.clone();
        let (name, mut service) = most_urgent_service(&plan)?;
        if self == BenchPolicy::Central {
            service.slots *= service.endpoints;
            service.limits.queue *= u32::from(service.endpoints);
            service.limits.in_flight *= u32::from(service.endpoints);
            service.endpoints = 1;
        }
        plan.service = [(name, service)].into();
        Ok(plan)
    }
}

/// Returns the name and the plan of the service with the most urgent traffic class.
///
/// # Errors
///
/// Returns an error if the deployment has no service.
pub fn most_urgent_service(plan: &DeploymentPlan) -> Result<(String, ServicePlan)> {
    let most_urgent = plan.service.iter().min_by_key(|(_, service)| service.class);
    let (name, service) = most_urgent.context("the deployment has no service")?;
    Ok((name.clone(), service.clone()))
}

/// A deployment that runs under one policy, and the callers that send requests to it.
pub struct PolicyBench {
    /// Entries, agents and upstreams of the deployment.
    pub testbed: Testbed,
    /// Sessions on which the callers send requests.
    pub pool: Arc<SessionPool>,
    /// Async runtime of the callers.
    pub runtime: Runtime,
    /// Starts requests at their arrival times, with a finer resolution than the timers of the runtime.
    pub delay_line: DelayLine,
    /// Name of the service that is measured.
    pub service: String,
    /// Sum of the slots of the service's endpoints; load 1 keeps all of them busy.
    pub slots: f64,
    /// Mean time that the upstream works on a request, in milliseconds.
    pub mean_ms: f64,
    /// Path prefix whose requests have a less urgent class.
    pub standard_path: String,
    /// Duration of a phase with steady load.
    pub steady_time: Duration,
}

impl PolicyBench {
    /// Starts the deployment and the callers of one policy.
    ///
    /// # Errors
    ///
    /// Returns an error if the deployment or the callers cannot start, or if the service has no path of another class.
    pub fn start(
        plan: &DeploymentPlan,
        policy: BenchPolicy,
        steady_time: Duration,
    ) -> Result<Self> {
        let plan = policy.deployment(plan)?;
        let (service, service_plan) = most_urgent_service(&plan)?;
        let testbed = Testbed::start(plan, policy.dispatch_policy(), 1)?;
        testbed.wait_all_ready()?;
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(CALLER_THREADS)
            .enable_all()
            .build()?;
        let address = testbed
            .service_address(&service)
            .context("the service has no address in the testbed")?;
        let pool = runtime.block_on(async {
            let caller = CallerStandin::new(&testbed.certificate.root)?;
            SessionPool::open(&caller, address, SESSIONS).await
        })?;
        let prefix = service_plan
            .path_classes
            .first()
            .map(|class| class.prefix.clone());
        Ok(Self {
            testbed,
            pool,
            runtime,
            delay_line: DelayLine::start(),
            service,
            slots: f64::from(service_plan.slots) * f64::from(service_plan.endpoints),
            mean_ms: service_plan.mean_ms,
            standard_path: prefix.context("the service has no path of a lower class")?,
            steady_time,
        })
    }
}

/// Measures one policy in all phases that apply to it and passes the name of each phase to `on_phase` before it starts.
///
/// The phases with failing endpoints need several endpoints, which the central queue does not have. Planned changes
/// are measured only for the pooled policy.
///
/// # Errors
///
/// Returns an error if the deployment cannot start or a planned change fails.
pub fn measure_policy(
    plan: &DeploymentPlan,
    policy: BenchPolicy,
    steady_time: Duration,
    on_phase: &dyn Fn(&str),
) -> Result<PolicyFigures> {
    let mut bench = PolicyBench::start(plan, policy, steady_time)?;
    let mut figures = PolicyFigures::new(policy);
    on_phase("0.8 load");
    figures.p99_80_ms = phases::steady_p99(&bench, 0.8);
    on_phase("0.9 load");
    figures.p99_90_ms = phases::steady_p99(&bench, 0.9);
    on_phase("short requests alone and mixed with long ones");
    phases::short_behind_long(&bench, &mut figures);
    on_phase("imbalance at 0.7 load");
    phases::imbalance(&bench, &mut figures);
    on_phase("overload of 3 times the capacity");
    phases::overload(&bench, &mut figures);
    if policy != BenchPolicy::Central {
        on_phase("one endpoint passes health checks but fails every request");
        phases::failing_endpoint(&bench, &mut figures);
        on_phase("every third endpoint fails every request");
        phases::every_third_fails(&bench, &mut figures);
    }
    if policy == BenchPolicy::Pooled {
        on_phase("replaced entries, a catalogue change and a draining endpoint");
        phases::planned_changes(&mut bench, &mut figures)?;
    }
    Ok(figures)
}
