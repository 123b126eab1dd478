//! In-memory platform and hosts for tests of the control modules.

mod hosts;
mod store;

pub(crate) use self::{hosts::*, store::*};
