//! Membership of hosts.

mod record;

pub use self::record::{MemberRecord, MemberState};
