//! Routes of services.
//!
//! The first segment of a path names the service; the route with the longest matching prefix of the rest wins.

use std::{collections::HashMap, sync::Arc};

use crate::{
    config::{ConfigDocument, RouteEntry, ServiceEntry},
    ids::ServiceId,
};

/// Route that a request matches.
#[derive(Debug, Clone)]
pub struct RouteMatch {
    /// Service.
    pub service: Arc<ServiceEntry>,
    /// Position of the route in the service.
    index: usize,
}

impl RouteMatch {
    /// The route.
    pub fn route(&self) -> &RouteEntry {
        &self.service.routes[self.index]
    }
}

/// Why no route matches.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteError {
    /// No service or prefix fits the path.
    Path,
    /// A route fits the path but not the method.
    Method,
}

/// Routes of all services.
#[derive(Debug, Default)]
pub struct RouteTable {
    services: HashMap<ServiceId, Arc<ServiceEntry>>,
}

impl RouteTable {
    /// The routes of `document`.
    pub fn new(document: &ConfigDocument) -> Self {
        let services = document.services.iter();
        Self { services: services.map(|it| (it.id.clone(), Arc::new(it.clone()))).collect() }
    }

    /// The service `id`.
    pub fn service(&self, id: &ServiceId) -> Option<&Arc<ServiceEntry>> {
        self.services.get(id)
    }

    /// The route for a request.
    pub fn find(&self, method: &str, path: &str) -> Result<RouteMatch, RouteError> {
        let (service, rest) = split_service(path).ok_or(RouteError::Path)?;
        let id: ServiceId = service.parse().map_err(|_| RouteError::Path)?;
        let service = self.services.get(&id).ok_or(RouteError::Path)?;
        let fits_path = |it: &RouteEntry| is_below(rest, &it.prefix);
        let fits_method =
            |it: &RouteEntry| it.methods.is_empty() || it.methods.iter().any(|it| it == method);
        let routes = service.routes.iter().enumerate();
        let best = routes
            .clone()
            .filter(|(_, it)| fits_path(it) && fits_method(it))
            .max_by_key(|(_, it)| it.prefix.len());
        match best {
            Some((index, _)) => Ok(RouteMatch { service: service.clone(), index }),
            None if routes.clone().any(|(_, it)| fits_path(it)) => Err(RouteError::Method),
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

/// Whether `path` equals `prefix` or continues it at a segment boundary.
fn is_below(path: &str, prefix: &str) -> bool {
    let prefix = prefix.trim_end_matches('/');
    match path.strip_prefix(prefix) {
        Some(rest) => rest.is_empty() || rest.starts_with('/'),
        None => false,
    }
}
