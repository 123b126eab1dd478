//! Request routing on a platform that provides the configuration, the registrations and the list of hosts.
//!
//! [`plan`] is the configuration that hosts install, and [`fleet`] the registered backend servers and hosts. [`choice`]
//! selects a backend server for a request ([`query`]) from its [`server_state`], the load reports of other hosts
//! ([`loads`]) and the measured [`work`]. [`placement`] determines the region in which an object is kept, and
//! [`rejection`] describes why no server accepts a request. While the store is unavailable, [`cold`] determines which
//! hosts probe servers for being cold. [`notices`] holds what servers announced about themselves in responses.
//!
//! [`shares`] divides global limits among the hosts, and [`tokens`] holds the admissions that a host obtained under
//! quotas. During a rollout [`version`] selects the version that serves a request, within the limit of [`exposure`] and
//! by the [`evidence`] of all hosts. `server_losses` classifies requests without a response, and [`slowness`] slow
//! responses.
//!
//! [`host_lookup`] selects the hosts that a look-up returns. [`feed_copy`] keeps a copy of the store's contents for
//! hosts that cannot read it, and [`copy_search`] picks one of several copies. [`core`] combines all of these.

pub mod choice;
pub mod cold;
pub mod copy_search;
pub mod core;
pub mod evidence;
pub mod exposure;
pub mod feed_copy;
pub mod fleet;
pub mod host_lookup;
mod limits;
pub mod loads;
pub mod notices;
pub mod placement;
pub mod plan;
pub mod query;
pub mod rejection;
mod server_losses;
pub mod server_state;
pub mod shares;
pub mod slowness;
pub mod tokens;
pub mod version;
pub mod work;
