//! Tests of the request path of a host, with backend servers in the same process.

#[cfg(test)]
mod bad_input;
#[cfg(test)]
mod graceful_shutdown;
#[cfg(test)]
mod idempotency_keys;
#[cfg(test)]
mod request_forwarding;
#[cfg(test)]
mod request_refusals;
#[cfg(test)]
mod request_retries;
#[cfg(test)]
mod server_choice;
#[cfg(test)]
mod support;
