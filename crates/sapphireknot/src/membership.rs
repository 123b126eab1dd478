//! Membership and failure detection of hosts.
//!
//! [`MemberTable`] is a failure detector with constant cost per host. At each interval it probes one random host. If
//! that host does not answer, it asks others to probe it, then suspects it, and declares it failed if it does not
//! refute the suspicion in time. Updates are piggybacked on the probes, a bounded number per message.

mod merge;
mod record;
mod table;
mod updates;

pub use self::{
    record::{MemberRecord, MemberState},
    table::{MemberAction, MemberEvent, MemberSettings, MemberTable},
    updates::{MAX_UPDATES, RETRANSMIT_FACTOR},
};
