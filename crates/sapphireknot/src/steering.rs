//! Steering of requests on a platform that holds the configuration, the registrations and the list of hosts.
//!
//! [`plan`] is the configuration that hosts install, [`fleet`] the registered backend servers and hosts. [`choice`]
//! picks a backend server for a request ([`query`]) by what [`server_state`], the reports of other hosts ([`loads`]) and
//! the measured [`work`] say of it, [`cold`] tells which hosts ask servers whether they are cold while the store is away, [`placement`] decides in which region its object is kept, and [`rejection`] tells why no server
//! takes a request. [`shares`] divides what is bounded over all hosts together and [`tokens`] holds admissions under
//! quotas. [`version`] decides which version of a service takes a request while a rollout runs, by the limit of its
//! [`exposure`] and the [`evidence`] that all hosts have on it; `server_losses` says what requests without a response tell
//! of a version, [`slowness`] which responses are slow. [`notices`] holds what servers told of themselves in responses.
//! [`host_lookup`] decides which hosts a caller is told. [`core`] holds them together. [`feed_copy`] keeps what the store told
//! for hosts that cannot read it, and [`copy_search`] picks one of several copies.

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
