//! Parsing and formatting of units and identifiers.

use sapphireknot::{
    ids::{HostId, OrganisationId},
    time::{ClockSpan, WallTime},
    units::{ByteCount, ByteRate, RequestRate, TokenCount, TrafficShare},
};

/// Guards against a value that changes when it is formatted and parsed again.
#[test]
fn text_round_trip() {
    for text in ["200/s", "0.5/s", "0/s", "1.001/s"] {
        assert_eq!(text.parse::<RequestRate>().unwrap().to_string(), text);
    }
    for text in ["0%", "12.5%", "100%", "0.0001%"] {
        assert_eq!(text.parse::<TrafficShare>().unwrap().to_string(), text);
    }
    for text in ["300Mbit/s", "4Gbit/s", "8bit/s"] {
        assert_eq!(text.parse::<ByteRate>().unwrap().to_string(), text);
    }
    for text in ["160MB", "4GB", "64KB", "1001B", "0B"] {
        assert_eq!(text.parse::<ByteCount>().unwrap().to_string(), text);
    }
    assert_eq!("1.5".parse::<TokenCount>().unwrap(), TokenCount(1_500_000));
    assert_eq!("5s".parse::<ClockSpan>().unwrap(), ClockSpan::from_secs(5));
    let time = "2026-12-04T08:00:00.000Z";
    assert_eq!(time.parse::<WallTime>().unwrap().to_string(), time);
}

/// Guards against malformed text that is parsed as another value instead of being rejected.
#[test]
fn malformed_text_is_rejected() {
    for text in ["", "/s", "200", "-1/s", "1.0001/s", "1e3/s"] {
        assert!(text.parse::<RequestRate>().is_err(), "{text}");
    }
    for text in ["101%", "12", "%", "-1%"] {
        assert!(text.parse::<TrafficShare>().is_err(), "{text}");
    }
    for text in ["", "MB", "160", "-1MB", "160Mb", "1.5GB", "99999999999GB"] {
        assert!(text.parse::<ByteCount>().is_err(), "{text}");
    }
    for text in ["", "UPPER", "a b", "a/b", &"x".repeat(65)] {
        assert!(text.parse::<OrganisationId>().is_err(), "{text}");
        assert!(text.parse::<HostId>().is_err(), "{text}");
    }
}
