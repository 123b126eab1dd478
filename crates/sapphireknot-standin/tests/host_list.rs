//! Tests of the host list stand-in: delayed visibility of changes and outages.

use std::time::Duration;

use http::Method;
use sapphireknot_platform::{GrpcHosts, HostList};
use sapphireknot_standin::{
    client::HttpClient,
    hosts::{HostFaults, HostListServer, HostRow},
    store::OutageKind,
};

/// Guards against a stand-in that ignores the configured lag, never lists a new host, or answers during an outage.
#[tokio::test]
async fn answers_lag() {
    let address = "127.0.0.1:0".parse().unwrap();
    let server = HostListServer::start(address, address).unwrap();
    let list = GrpcHosts::new(server.addresses().hosts, Duration::from_secs(5));
    let caller = HttpClient::new(Duration::from_secs(5));
    let row = HostRow {
        id: "h1".to_owned(),
        region: "west".to_owned(),
        datacentre: "west-1".to_owned(),
        peer_address: "127.0.1.1:7000".parse().unwrap(),
        caller_address: "127.0.1.1:7001".parse().unwrap(),
        leaving: true,
    };
    let faults = HostFaults { outage: None, lag_ms: 400 };
    let control = server.addresses().control;
    caller.write_control(control, Method::PUT, "/faults", &faults).await.unwrap();
    caller.write_control(control, Method::PUT, "/hosts", &vec![row]).await.unwrap();
    assert_eq!(list.list_hosts().await.unwrap(), []);
    let poll = async {
        loop {
            let hosts = list.list_hosts().await.unwrap();
            if !hosts.is_empty() {
                return hosts;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let hosts = tokio::time::timeout(Duration::from_secs(5), poll).await.unwrap();
    assert_eq!((hosts[0].id.as_str(), hosts[0].leaving), ("h1", true));
    server.registry().set_faults(HostFaults { outage: Some(OutageKind::Refused), lag_ms: 0 });
    assert!(list.list_hosts().await.is_err());
}
