//! Gradual rollouts: moves of traffic between versions of a service.
//!
//! [`EvidenceLedger`] merges the cumulative counts of all hosts, [`EvidenceEvaluator`] runs sequential tests of every
//! route on them, and [`RolloutPlanner`] decides the next [`RolloutState`]. Each host has a [`RolloutView`], which
//! returns the shares to use, and a [`LocalTrip`], which rolls a version back on the host's own evidence. [`drain`]
//! limits how much of the capacity of a service may leave at once.
//!
//! The share of a new version rises in capped steps. A rollback is not capped: all traffic returns to the old version
//! at once.

pub mod betting;
pub mod drain;
pub mod evaluator;
pub mod evidence;
pub mod planner;
pub mod state;
pub mod timing;
pub mod trip;
pub mod view;

pub use self::{
    betting::{BettingDetector, RateSample},
    drain::{DrainSchedule, DrainServer, DrainStep, next_drain},
    evaluator::{EvidenceEvaluator, RouteAssessment},
    evidence::{EvidenceLedger, OutcomeCounts, SampleKey},
    planner::{PlannerAction, PlannerInput, PlannerLimits, RolloutPlanner},
    state::{RolloutState, RolloutVerdict, ShareMap, TrafficMove},
    timing::RolloutTiming,
    trip::{LocalTrip, SlowThreshold, TripNotice, TripSet},
    view::{RolloutView, ShareNotice},
};
