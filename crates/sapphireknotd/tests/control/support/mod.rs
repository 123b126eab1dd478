//! In-memory platform and test hosts for the control modules.

mod hosts;
mod store;

pub(crate) use self::{hosts::*, store::*};
