//! The text of each log line of the fleet, as docs/oncall.md lists them for operators.
use rstest::rstest;
use std::net::SocketAddr;
use wrenseam::fleet::record::RecordError;
use wrenseam::fleet::swim::DropCounts;
use wrenseam::gossip::log_lines;

fn peer() -> SocketAddr {
    SocketAddr::from(([10, 1, 2, 3], 7946))
}

#[rstest]
#[case::peer_up(log_lines::peer_up(peer(), 3), "fleet: peer 10.1.2.3:7946 up, 3 alive")]
#[case::peer_down(
    log_lines::peer_down(peer(), 2),
    "fleet: peer 10.1.2.3:7946 down, 2 alive"
)]
#[case::peer_left(
    log_lines::peer_left(peer(), 2),
    "fleet: peer 10.1.2.3:7946 left, 2 alive"
)]
#[case::isolated(
    log_lines::isolated(),
    "fleet: no peer alive; retry budget by this front end's share only"
)]
#[case::rejoined(
    log_lines::rejoined(),
    "fleet: declared down by peers, rejoined under a new incarnation"
)]
#[case::record_not_published(
    log_lines::record_not_published(&RecordError::NameTooLong(65)),
    "fleet: member record not published: name of 65 bytes exceeds the limit of 64"
)]
#[case::datagrams_dropped(
    log_lines::datagrams_dropped(&DropCounts { oversized: 1, foreign: 2, garbled: 3 }),
    "fleet: datagrams dropped: 1 oversized, 2 foreign, 3 garbled"
)]
#[case::mixed_versions(
    log_lines::mixed_versions(true),
    "fleet: mixed versions: load summaries are gossiped for front ends without averaging"
)]
#[case::no_mixed_versions(
    log_lines::mixed_versions(false),
    "fleet: no mixed versions any more: load summaries stopped"
)]
fn log_lines_keep_their_texts(#[case] line: String, #[case] want: &str) {
    assert_eq!(line, want);
}
