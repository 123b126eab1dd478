//! Units for sizes, rates and shares.
//!
//! All values are integers in a small fixed unit, so that sums are exact: checking that shares do not exceed the whole
//! involves no rounding.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use serde_with::{DeserializeFromStr, SerializeDisplay};
use thiserror::Error;

use crate::time::MonoTime;

/// Error when parsing a value with a unit.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{text:?} is not {allowed}")]
pub struct UnitError {
    text: String,
    allowed: &'static str,
}

impl UnitError {
    fn new(text: &str, allowed: &'static str) -> Self {
        Self { text: text.to_owned(), allowed }
    }
}

/// Parses a non-negative decimal number with at most `places` decimal places and scales it by `10^places`.
fn parse_decimal(text: &str, places: u32) -> Option<u64> {
    let (whole, part) = text.split_once('.').unwrap_or((text, ""));
    let digits = |it: &str| it.bytes().all(|byte| byte.is_ascii_digit());
    if whole.is_empty() || !digits(whole) || !digits(part) || part.len() > places as usize {
        return None;
    }
    let scale = 10u64.checked_pow(places)?;
    let padded = format!("{part:0<width$}", width = places as usize);
    let fraction = if padded.is_empty() { 0 } else { padded.parse::<u64>().ok()? };
    whole.parse::<u64>().ok()?.checked_mul(scale)?.checked_add(fraction)
}

/// Formats `value / 10^places` without trailing zeros.
fn write_decimal(f: &mut fmt::Formatter<'_>, value: u64, places: u32) -> fmt::Result {
    let scale = 10u64.pow(places);
    let (whole, fraction) = (value / scale, value % scale);
    if fraction == 0 {
        return write!(f, "{whole}");
    }
    let digits = format!("{fraction:0width$}", width = places as usize);
    write!(f, "{whole}.{}", digits.trim_end_matches('0'))
}

macro_rules! unit {
    ($(#[$meta:meta])* $name:ident, $number:ty) => {
        $(#[$meta])*
        #[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $number);
    };
}

unit!(
    /// Request rate in thousandths of a request per second; formatted as `200/s` or `0.5/s`.
    #[derive(SerializeDisplay, DeserializeFromStr)]
    RequestRate,
    u64
);
unit!(
    /// Number of requests that can be admitted at once; formatted as `400`.
    #[derive(Serialize, Deserialize)]
    #[serde(transparent)]
    BurstSize,
    u64
);
unit!(
    /// Fraction of a whole in parts per million; formatted as `12.5%`.
    #[derive(SerializeDisplay, DeserializeFromStr)]
    TrafficShare,
    u32
);
unit!(
    /// Bandwidth in bytes per second; formatted as `300Mbit/s`.
    #[derive(SerializeDisplay, DeserializeFromStr)]
    ByteRate,
    u64
);
unit!(
    /// Size in bytes; formatted as `160MB`.
    #[derive(SerializeDisplay, DeserializeFromStr)]
    ByteCount,
    u64
);
unit!(
    /// Number of requests that a backend server runs concurrently.
    #[derive(Serialize, Deserialize)]
    #[serde(transparent)]
    SlotCount,
    u32
);
unit!(
    /// Admission tokens in millionths of a request.
    #[derive(SerializeDisplay, DeserializeFromStr)]
    TokenCount,
    u64
);

impl RequestRate {
    /// Creates a rate of `count` requests per second.
    pub const fn per_second(count: u64) -> Self {
        Self(count * 1_000)
    }

    /// Returns the fraction `share` of this rate, rounded down.
    pub fn scaled(self, share: TrafficShare) -> Self {
        Self(scale_down(self.0, share))
    }

    /// Returns the tokens that accrue between `start` and `end`, rounded down.
    pub fn accrued(self, start: MonoTime, end: MonoTime) -> TokenCount {
        let micros = u128::from(end.0.saturating_sub(start.0));
        let tokens = u128::from(self.0) * micros / 1_000;
        TokenCount(u64::try_from(tokens).unwrap_or(u64::MAX))
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_decimal(f, self.0, 3)?;
        f.write_str("/s")
    }
}

impl FromStr for RequestRate {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        text.strip_suffix("/s")
            .and_then(|it| parse_decimal(it, 3))
            .map(Self)
            .ok_or_else(|| UnitError::new(text, "a rate such as 200/s"))
    }
}

impl BurstSize {
    /// Returns the fraction `share` of this burst, rounded down.
    pub fn scaled(self, share: TrafficShare) -> TokenCount {
        TokenCount(scale_down(self.0.saturating_mul(TokenCount::ONE.0), share))
    }
}

impl fmt::Display for BurstSize {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for BurstSize {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        text.parse().map(Self).map_err(|_| UnitError::new(text, "a number of requests"))
    }
}

impl TrafficShare {
    /// Zero.
    pub const NONE: Self = Self(0);
    /// The whole (100%).
    pub const WHOLE: Self = Self(1_000_000);

    /// Creates a share of `percent` percent.
    pub const fn percent(percent: u32) -> Self {
        Self(percent * 10_000)
    }

    /// Subtracts `other`; saturates at zero.
    pub fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// Adds `other`; saturates at the whole.
    pub fn saturating_add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0).min(Self::WHOLE.0))
    }

    /// Returns the share as a number from 0 to 1.
    pub fn as_fraction(self) -> f64 {
        f64::from(self.0) / f64::from(Self::WHOLE.0)
    }
}

impl fmt::Display for TrafficShare {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_decimal(f, u64::from(self.0), 4)?;
        f.write_str("%")
    }
}

impl FromStr for TrafficShare {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        text.strip_suffix('%')
            .and_then(|it| parse_decimal(it, 4))
            .filter(|&it| it <= u64::from(Self::WHOLE.0))
            .and_then(|it| u32::try_from(it).ok())
            .map(Self)
            .ok_or_else(|| UnitError::new(text, "a share from 0% to 100%"))
    }
}

/// Unit suffixes of [`ByteRate`] with their size in bits per second, largest first.
const BIT_UNITS: [(&str, u64); 3] =
    [("Gbit/s", 1_000_000_000), ("Mbit/s", 1_000_000), ("kbit/s", 1_000)];

impl fmt::Display for ByteRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let bits = self.0.saturating_mul(8);
        let unit = BIT_UNITS.iter().find(|(_, size)| bits >= *size && bits.is_multiple_of(*size));
        match unit {
            Some((suffix, size)) => write!(f, "{}{suffix}", bits / size),
            None => write!(f, "{bits}bit/s"),
        }
    }
}

impl FromStr for ByteRate {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let units = BIT_UNITS.iter().copied().chain([("bit/s", 1)]);
        units
            .filter_map(|(suffix, size)| Some((text.strip_suffix(suffix)?, size)))
            .find_map(|(number, size)| number.parse::<u64>().ok()?.checked_mul(size))
            .map(|bits| Self(bits / 8))
            .ok_or_else(|| UnitError::new(text, "a link rate such as 300Mbit/s or 4Gbit/s"))
    }
}

/// Unit suffixes of [`ByteCount`] with their size in bytes, largest first.
const BYTE_UNITS: [(&str, u64); 3] = [("GB", 1_000_000_000), ("MB", 1_000_000), ("KB", 1_000)];

impl fmt::Display for ByteCount {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let unit =
            BYTE_UNITS.iter().find(|(_, size)| self.0 >= *size && self.0.is_multiple_of(*size));
        match unit {
            Some((suffix, size)) => write!(f, "{}{suffix}", self.0 / size),
            None => write!(f, "{}B", self.0),
        }
    }
}

impl FromStr for ByteCount {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let units = BYTE_UNITS.iter().copied().chain([("B", 1)]);
        units
            .filter_map(|(suffix, size)| Some((text.strip_suffix(suffix)?, size)))
            .find_map(|(number, size)| number.parse::<u64>().ok()?.checked_mul(size))
            .map(Self)
            .ok_or_else(|| UnitError::new(text, "a size such as 160MB or 4GB"))
    }
}

impl fmt::Display for SlotCount {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for SlotCount {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        text.parse().map(Self).map_err(|_| UnitError::new(text, "a number of slots"))
    }
}

impl TokenCount {
    /// Zero tokens.
    pub const NONE: Self = Self(0);
    /// Tokens of one request.
    pub const ONE: Self = Self(1_000_000);

    /// Subtracts `other`; saturates at zero.
    pub fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// Adds `other`; saturates at the maximum.
    pub fn saturating_add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl fmt::Display for TokenCount {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_decimal(f, self.0, 6)
    }
}

impl FromStr for TokenCount {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        parse_decimal(text, 6)
            .map(Self)
            .ok_or_else(|| UnitError::new(text, "a number of requests such as 1.5"))
    }
}

/// Returns the fraction `share` of `value`, rounded down.
fn scale_down(value: u64, share: TrafficShare) -> u64 {
    let scaled = u128::from(value) * u128::from(share.0) / u128::from(TrafficShare::WHOLE.0);
    u64::try_from(scaled).unwrap_or(u64::MAX)
}
