//! Golden files of whole sessions: the operators' commands, the callers' requests and the state at the end.
//!
//! `INSTA_UPDATE=always cargo test -p sapphireknot-standin --test golden_sessions` rewrites the files.

#[cfg(test)]
mod change_sessions;
#[cfg(test)]
mod recorder;
#[cfg(test)]
mod request_sessions;
