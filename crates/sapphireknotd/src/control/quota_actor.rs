//! Quota actor: limits from the configuration, transfers between hosts and claims in the store.
//!
//! The decisions are made in the `sapphireknot` library. The actor supplies the time, makes the calls in separate
//! tasks, and keeps the state of other hosts that the decisions need. The rules for claims are described in
//! `docs/quota.md`.

mod claims;
mod transfers;

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use ractor::{Actor, ActorProcessingErr, ActorRef, RpcReplyPort};
use sapphireknot::{
    ids::{ConfigGeneration, HostId},
    installed::InstalledConfig,
    membership::MemberRecord,
    quota::{LeaseKind, PeerDistance, PeerOrder, QuotaLimits, ResourceId},
    time::MonoTime,
};
use xxhash_rust::xxh3::xxh3_64;

use self::claims::ClaimState;
use super::shared::{ActorResult, ControlShared, send};
use crate::{interfaces::ShortageSink, peer::PeerClients, quota::HostQuotas};

/// Interval at which the actor checks its resources.
const TICK: Duration = Duration::from_millis(50);
/// Number of ticks between checks whether to borrow before a request has to wait. With checks every 200 ms, these calls
/// made up most of the messages.
const BORROW_AHEAD_TICKS: u32 = 6;
/// Time before the end of a sublease at which it is given back, so that its unused tokens return instead of being lost.
const RETURN_LEAD: Duration = Duration::from_millis(300);
/// Time for which a host that is gone still counts for equal parts, so that it finds its part unclaimed after a
/// restart.
const RESTART_GRACE: Duration = Duration::from_secs(30);

/// Message to the quota actor.
#[derive(Debug)]
pub enum QuotaMessage {
    /// Applies configuration and member changes, and checks all resources.
    Tick,
    /// A request is waiting for a token.
    Shortage(ResourceId),
    /// A borrow call to a lender ended.
    BorrowEnded(transfers::LenderAnswer),
    /// A lease was created, for which grants have to be claimed.
    LeaseStarted(LeaseKind),
    /// A round of claims ended.
    ClaimsEnded(claims::ClaimResult),
    /// Returns borrowed shares and releases grants; the reply is whether shares are still lent.
    Stop(RpcReplyPort<bool>),
}

/// Forwards shortages to the quota actor.
struct ActorShortages(ActorRef<QuotaMessage>);

impl ShortageSink for ActorShortages {
    fn report_shortage(&self, resource: &ResourceId) {
        send(&self.0, QuotaMessage::Shortage(resource.clone()));
    }
}

/// Actor that claims, borrows and returns the quota shares of this host.
pub(super) struct QuotaActor;

/// Start arguments of the quota actor.
pub(super) struct QuotaArguments {
    /// State shared by the control modules.
    pub shared: Arc<ControlShared>,
    /// gRPC clients for other hosts.
    pub peers: Arc<PeerClients>,
}

/// State of the quota actor.
pub(super) struct QuotaState {
    shared: Arc<ControlShared>,
    peers: Arc<PeerClients>,
    quotas: Arc<HostQuotas>,
    generation: Option<ConfigGeneration>,
    resources: Vec<ResourceId>,
    lender_orders: HashMap<ResourceId, PeerOrder>,
    members: Arc<Vec<MemberRecord>>,
    /// Time until which each host counts for equal parts.
    counted_until: HashMap<HostId, MonoTime>,
    claims: ClaimState,
    ticks: u32,
    is_stopped: bool,
}

#[ractor::async_trait]
impl Actor for QuotaActor {
    type Msg = QuotaMessage;
    type State = QuotaState;
    type Arguments = QuotaArguments;

    async fn pre_start(
        &self,
        myself: ActorRef<QuotaMessage>,
        arguments: QuotaArguments,
    ) -> Result<QuotaState, ActorProcessingErr> {
        let QuotaArguments { shared, peers } = arguments;
        let quotas = shared.context.quotas.clone();
        quotas.connect(Arc::new(ActorShortages(myself.clone())));
        myself.send_interval(TICK, || QuotaMessage::Tick);
        let claims = ClaimState::new(shared.context.clock.now());
        Ok(QuotaState {
            shared,
            peers,
            quotas,
            generation: None,
            resources: Vec::new(),
            lender_orders: HashMap::new(),
            members: Arc::default(),
            counted_until: HashMap::new(),
            claims,
            ticks: 0,
            is_stopped: false,
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<QuotaMessage>,
        message: QuotaMessage,
        state: &mut QuotaState,
    ) -> ActorResult {
        match message {
            QuotaMessage::Stop(port) => {
                let has_lent_shares = state.stop().await;
                if port.send(has_lent_shares).is_err() {
                    log::debug!("the caller no longer waits for the end of the quotas");
                }
            }
            _ if state.is_stopped => {}
            QuotaMessage::Tick => state.tick(&myself),
            QuotaMessage::Shortage(resource) => state.borrow(&myself, &resource),
            QuotaMessage::BorrowEnded(answer) => state.process_answer(&myself, answer),
            QuotaMessage::LeaseStarted(kind) => {
                log::debug!(kind:? = kind; "claiming grants for a new lease");
                state.claims.schedule_now();
            }
            QuotaMessage::ClaimsEnded(result) => state.record_claims(result),
        }
        Ok(())
    }
}

impl QuotaState {
    fn now(&self) -> MonoTime {
        self.shared.context.clock.now()
    }

    fn tick(&mut self, myself: &ActorRef<QuotaMessage>) {
        self.apply_config();
        self.apply_members();
        self.ticks = self.ticks.wrapping_add(1);
        let borrows_ahead = self.ticks.is_multiple_of(BORROW_AHEAD_TICKS);
        for resource in self.resources.clone() {
            self.return_unused(&resource);
            if borrows_ahead || self.quotas.waiting(&resource) > 0 {
                self.borrow(myself, &resource);
            }
        }
        self.claim_due(myself);
    }

    /// Applies the limits of a new configuration generation.
    fn apply_config(&mut self) {
        let config = self.shared.context.config.load_full();
        let Some(config) = config.filter(|it| Some(it.generation) != self.generation) else {
            return;
        };
        self.generation = Some(config.generation);
        let limits = configured_limits(&config);
        let now = self.now();
        let configured: HashSet<&ResourceId> = limits.iter().map(|it| &it.0).collect();
        for removed in self.resources.iter().filter(|it| !configured.contains(it)) {
            let nothing = QuotaLimits::default();
            self.quotas.ledger().ledger(removed).set_limits(now, removed, nothing);
        }
        for (resource, limits) in &limits {
            self.quotas.ledger().ledger(resource).set_limits(now, resource, *limits);
        }
        self.resources = limits.into_iter().map(|it| it.0).collect();
        self.lender_orders.retain(|it, _| self.resources.contains(it));
        self.rank_lenders();
        self.claims.schedule_now();
    }

    /// Applies member changes to the order of lenders and to the number of hosts that share quotas.
    fn apply_members(&mut self) {
        let members = self.shared.context.members.load_full();
        let now = self.now();
        for live in members.iter().filter(|it| it.state.is_live()) {
            self.counted_until.insert(live.id.clone(), now.after(RESTART_GRACE));
        }
        if !Arc::ptr_eq(&members, &self.members) {
            self.members = members;
            self.counted_until.retain(|_, until| now < *until);
            self.rank_lenders();
        }
    }

    fn rank_lenders(&mut self) {
        let own = &self.shared.context.identity;
        for resource in &self.resources {
            let lenders = self.members.iter().filter(|it| it.state.takes_callers());
            let lenders = lenders.filter(|it| it.id != own.id && it.incarnation.0 > 0);
            let ranks = lenders.map(|it| {
                let distance = match () {
                    () if it.datacentre == own.datacentre => PeerDistance::Datacentre,
                    () if it.region == own.region => PeerDistance::Region,
                    () => PeerDistance::OtherRegion,
                };
                let rank = xxh3_64(format!("{resource} {} {}", own.id, it.id).as_bytes());
                (distance, rank, it.id.clone())
            });
            self.lender_orders.entry(resource.clone()).or_default().set_peers(ranks);
        }
    }

    /// Returns the number of hosts among which quotas are split.
    fn count_sharing_hosts(&self) -> u32 {
        let now = self.now();
        let count = self.counted_until.values().filter(|it| now < **it).count();
        u32::try_from(count).unwrap_or(u32::MAX).max(1)
    }
}

/// Returns the configured rates and bursts, which apply to all hosts together.
fn configured_limits(config: &InstalledConfig) -> Vec<(ResourceId, QuotaLimits)> {
    let document = &config.document;
    let organisations = document.organisations.iter().map(|it| {
        let resource = ResourceId::Organisation(it.id.clone());
        (resource, QuotaLimits { rate: it.rate, burst: it.burst })
    });
    let spills = document.services.iter().flat_map(|service| {
        service.spill.iter().map(|it| {
            let (service, region) = (service.id.clone(), it.into.clone());
            let limits = QuotaLimits { rate: it.rate, burst: it.burst };
            (ResourceId::Spill { service, region }, limits)
        })
    });
    organisations.chain(spills).collect()
}
