//! The messages of a front end that cannot be started.
use rstest::rstest;
use std::error::Error;
use std::io;
use std::net::SocketAddr;
use wrenseam::StartError;

fn denied() -> io::Error {
    io::Error::other("not allowed")
}

fn address() -> SocketAddr {
    "127.0.0.1:8080".parse().expect("an address")
}

#[rstest]
#[case::gossip(StartError::Gossip("gossip 127.0.0.1:1: not allowed".into()), "gossip 127.0.0.1:1: not allowed")]
#[case::core(StartError::CoreThread(denied()), "core thread: not allowed")]
#[case::discovery(StartError::Discovery(denied()), "discovery: not allowed")]
#[case::endpoints(StartError::Endpoints("not an address: w1".into()), "endpoints: not an address: w1")]
#[case::listener(
    StartError::Listener { address: address(), source: denied() },
    "127.0.0.1:8080: not allowed"
)]
#[case::admin(
    StartError::AdminEndpoint { address: address(), source: denied() },
    "admin 127.0.0.1:8080: not allowed"
)]
#[case::exclusions(StartError::Exclusions(denied()), "exclusions: not allowed")]
fn each_part_has_its_message(#[case] error: StartError, #[case] text: &str) {
    assert_eq!(error.to_string(), text);
}

#[test]
fn the_cause_is_the_source() {
    let error = StartError::Listener {
        address: address(),
        source: denied(),
    };
    let source = error.source().expect("a cause");
    assert_eq!(source.to_string(), "not allowed");
}
