//! Membership of hosts.
//!
//! [`MemberTable`] is a failure detector with constant cost per host: at each interval it probes one random host, asks
//! others to probe a host that did not answer, suspects it, and declares it failed when it does not refute in time.
//! Updates travel with the probes, a bounded number per message.

mod merge;
mod record;
mod table;
mod updates;

pub use self::{
    record::{MemberRecord, MemberState},
    table::{MemberAction, MemberEvent, MemberSettings, MemberTable},
    updates::{MAX_UPDATES, RETRANSMIT_FACTOR},
};
