//! Request routing.
//!
//! The first path segment identifies the service; the rest of the path selects the route with the longest matching
//! prefix.

use std::{collections::HashMap, sync::Arc};

use crate::{
    config::{ConfigDocument, RouteEntry, ServiceEntry},
    ids::ServiceId,
};

/// Route matched by a request.
#[derive(Debug, Clone)]
pub struct RouteMatch {
    /// Service that contains the route.
    pub service: Arc<ServiceEntry>,
    /// Index of the route in the service.
    index: usize,
}

impl RouteMatch {
    /// Returns the route.
    pub fn route(&self) -> &RouteEntry {
        &self.service.routes[self.index]
    }
}

/// Reason why no route matches.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteError {
    /// No service or prefix matches the path.
    Path,
    /// A route matches the path but not the method.
    Method,
}

/// Routes of all services.
#[derive(Debug, Default)]
pub struct RouteTable {
    services: HashMap<ServiceId, Arc<ServiceEntry>>,
}

impl RouteTable {
    /// Indexes the services of `document`.
    pub fn new(document: &ConfigDocument) -> Self {
        let services = document.services.iter();
        Self { services: services.map(|it| (it.id.clone(), Arc::new(it.clone()))).collect() }
    }

    /// Returns the service `id`.
    pub fn service(&self, id: &ServiceId) -> Option<&Arc<ServiceEntry>> {
        self.services.get(id)
    }

    /// Finds the route for a request.
    pub fn find(&self, method: &str, path: &str) -> Result<RouteMatch, RouteError> {
        let (service, rest) = split_service(path).ok_or(RouteError::Path)?;
        let id: ServiceId = service.parse().map_err(|_| RouteError::Path)?;
        let service = self.services.get(&id).ok_or(RouteError::Path)?;
        let matches_path = |it: &RouteEntry| has_path_prefix(rest, &it.prefix);
        let matches_method =
            |it: &RouteEntry| it.methods.is_empty() || it.methods.iter().any(|it| it == method);
        let routes = service.routes.iter().enumerate();
        let best = routes
            .clone()
            .filter(|(_, it)| matches_path(it) && matches_method(it))
            .max_by_key(|(_, it)| it.prefix.len());
        match best {
            Some((index, _)) => Ok(RouteMatch { service: service.clone(), index }),
            None if routes.clone().any(|(_, it)| matches_path(it)) => Err(RouteError::Method),
            None => Err(RouteError::Path),
        }
    }
}

/// Splits `/service/rest` into the service and `/rest`.
fn split_service(path: &str) -> Option<(&str, &str)> {
    let path = path.strip_prefix('/')?;
    let end = path.find('/').unwrap_or(path.len());
    let (service, rest) = path.split_at(end);
    Some((service, if rest.is_empty() { "/" } else { rest }))
}

/// Returns whether `prefix` matches `path` up to a segment boundary.
fn has_path_prefix(path: &str, prefix: &str) -> bool {
    let prefix = prefix.trim_end_matches('/');
    match path.strip_prefix(prefix) {
        Some(rest) => rest.is_empty() || rest.starts_with('/'),
        None => false,
    }
}
