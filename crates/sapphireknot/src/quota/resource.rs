//! Identifiers of the resources that quotas limit.

use std::{fmt, str::FromStr};

use serde_with::{DeserializeFromStr, SerializeDisplay};
use thiserror::Error;

use crate::ids::{IdError, OrganisationId, RegionId, ServiceId};

/// Resource whose quota is shared by all hosts.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub enum ResourceId {
    /// Requests of an organisation; text `organisation/a`.
    Organisation(OrganisationId),
    /// Requests of a service that other regions send into a region; text `spill/reports/dublin`.
    Spill {
        /// Service that receives the requests.
        service: ServiceId,
        /// Region that receives the requests.
        region: RegionId,
    },
    /// Traffic on one direction of a link; text `link/dublin/cork`.
    Link {
        /// Region that sends the traffic.
        from: RegionId,
        /// Region that receives the traffic.
        to: RegionId,
    },
}

/// Error from parsing a [`ResourceId`].
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ResourceError {
    /// The text does not have the form of a resource.
    #[error(
        "{0:?} is not a resource such as organisation/a, spill/reports/dublin or link/dublin/cork"
    )]
    Form(String),
    /// A part of the text is not a valid identifier.
    #[error(transparent)]
    Part(#[from] IdError),
}

impl fmt::Display for ResourceId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Organisation(organisation) => write!(f, "organisation/{organisation}"),
            Self::Spill { service, region } => write!(f, "spill/{service}/{region}"),
            Self::Link { from, to } => write!(f, "link/{from}/{to}"),
        }
    }
}

impl FromStr for ResourceId {
    type Err = ResourceError;

    fn from_str(text: &str) -> Result<Self, ResourceError> {
        let parts: Vec<&str> = text.split('/').collect();
        Ok(match parts[..] {
            ["organisation", organisation] => Self::Organisation(organisation.parse()?),
            ["spill", service, region] => {
                Self::Spill { service: service.parse()?, region: region.parse()? }
            }
            ["link", from, to] => Self::Link { from: from.parse()?, to: to.parse()? },
            _ => return Err(ResourceError::Form(text.to_owned())),
        })
    }
}
