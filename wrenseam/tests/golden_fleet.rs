//! Golden bytes of the datagrams between front ends: each encoder with fixed input, and its bytes decoded back. A
//! change of one of these literals is a change of the protocol between processes of different versions.
use rstest::rstest;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use wrenseam::fleet::average::{Exchange, ExchangeKind};
use wrenseam::fleet::identity::{
    address_hash, header, mix, put_address, take_address, AVERAGE_VERSION, SWIM_VERSION,
};
use wrenseam::fleet::member_digest::{Liveness, MemberDigest, PARTS};
use wrenseam::fleet::message::{Envelope, Message, RECORDS_VERSION};
use wrenseam::fleet::record::{Entry, Record, Stamp};
use wrenseam::fleet::{Lifecycle, Metadata, PeerId, Summary, Swim, SwimSettings};

const CLUSTER: u32 = 0x0102_0304;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn v4() -> SocketAddr {
    SocketAddr::from(([10, 1, 2, 3], 7946))
}

fn v6() -> SocketAddr {
    "[2001:db8::7]:7947".parse().expect("valid address")
}

fn peer(addr: SocketAddr) -> PeerId {
    PeerId {
        addr,
        incarnation: 0x1122_3344_5566,
    }
}

fn stamp() -> Stamp {
    Stamp {
        incarnation: 0x1122_3344_5566,
        version: 9,
    }
}

/// A record with entries, in which each field has a different value.
fn record(owner: SocketAddr, lifecycle: Lifecycle) -> Record {
    let entry = |version, value: &str| Entry {
        version,
        value: value.to_owned(),
    };
    let entries = BTreeMap::from([
        ("alpha".to_owned(), entry(1, "one")),
        ("beta".to_owned(), entry(2, "")),
    ]);
    let metadata = Metadata {
        lifecycle,
        zone: "east".to_owned(),
        program: "0.1.0".to_owned(),
        config_digest: 0xdead_beef_0102_0304,
        entries,
    };
    Record {
        owner,
        stamp: stamp(),
        metadata,
    }
}

fn bare_record(lifecycle: Lifecycle) -> Record {
    let metadata = Metadata {
        lifecycle,
        ..Metadata::default()
    };
    Record {
        owner: v4(),
        stamp: stamp(),
        metadata,
    }
}

fn member_digest(owner: SocketAddr, liveness: Liveness) -> MemberDigest {
    MemberDigest {
        owner,
        stamp: stamp(),
        liveness,
        checksum: 0xcafe_f00d,
    }
}

fn digest_message() -> Message {
    Message::Digest(std::array::from_fn::<u32, PARTS, _>(|part| {
        0x0101_0101 * part as u32
    }))
}

fn hashes_message() -> Message {
    Message::Hashes {
        parts: 0x8001,
        hashes: vec![1, 0xffff_fffe],
    }
}

fn member_digests_message() -> Message {
    let member_digests = vec![
        member_digest(v4(), Liveness::Alive),
        member_digest(v6(), Liveness::Left),
        member_digest(v4(), Liveness::Down),
    ];
    Message::MemberDigests {
        unmatched: vec![0x0a0b_0c0d],
        member_digests,
    }
}

fn records_message(is_update: bool) -> Message {
    let records = vec![
        record(v4(), Lifecycle::Ready),
        record(v6(), Lifecycle::Leaving),
    ];
    Message::Records { is_update, records }
}

fn wanted_message() -> Message {
    Message::RecordRequest(vec![v4(), v6()])
}

fn alive_query_message(gone: bool) -> Message {
    Message::AliveQuery {
        target: peer(v6()),
        gone,
        origin: v4(),
    }
}

fn alive_reply_message() -> Message {
    Message::AliveReply {
        record: Box::new(record(v4(), Lifecycle::Draining)),
        origin: v6(),
    }
}

/// Complete datagrams of each kind of record message.
#[rstest]
#[case::digest(digest_message(), "77460301020304041f0a0a01020300001122334455660000000000010101010202020203030303040404040505050506\
         0606060707070708080808090909090a0a0a0a0b0b0b0b0c0c0c0c0d0d0d0d0e0e0e0e0f0f0f0fd72c803a")]
#[case::hashes(
    hashes_message(),
    "77460301020304041f0a0a010203000011223344556601800100000001fffffffef474ff4a"
)]
#[case::member_digests(member_digests_message(), "77460301020304041f0a0a01020300001122334455660200010a0b0c0d041f0a0a010203000011223344556600000009\
         00cafef00d061f0b20010db800000000000000000000000700001122334455660000000901cafef00d041f0a0a010203\
         00001122334455660000000902cafef00de5e8245d")]
#[case::records_as_rumor(records_message(true), "77460301020304041f0a0a010203000011223344556603010043041f0a0a0102030000112233445566000000090101de\
         adbeef01020304046561737405302e312e300205616c7068610000000100036f6e650462657461000000020000004f06\
         1f0b20010db80000000000000000000000070000112233445566000000090103deadbeef01020304046561737405302e\
         312e300205616c7068610000000100036f6e6504626574610000000200007bfc2434")]
#[case::records_of_repair(records_message(false), "77460301020304041f0a0a010203000011223344556603000043041f0a0a0102030000112233445566000000090101de\
         adbeef01020304046561737405302e312e300205616c7068610000000100036f6e650462657461000000020000004f06\
         1f0b20010db80000000000000000000000070000112233445566000000090103deadbeef01020304046561737405302e\
         312e300205616c7068610000000100036f6e650462657461000000020000e234043b")]
#[case::wanted(wanted_message(), "77460301020304041f0a0a010203000011223344556604041f0a0a010203061f0b20010db80000000000000000000000\
         07b350ca17")]
#[case::alive_query_of_alive_member(alive_query_message(false), "77460301020304041f0a0a010203000011223344556605061f0b20010db8000000000000000000000007000011223344\
         556600041f0a0a010203c015b788")]
#[case::alive_query_of_gone_member(alive_query_message(true), "77460301020304041f0a0a010203000011223344556605061f0b20010db8000000000000000000000007000011223344\
         556601041f0a0a0102030cbfb716")]
#[case::alive_reply(alive_reply_message(), "77460301020304041f0a0a010203000011223344556606061f0b20010db80000000000000000000000070043041f0a0a\
         0102030000112233445566000000090102deadbeef01020304046561737405302e312e300205616c7068610000000100\
         036f6e65046265746100000002000076606392")]
fn record_datagrams_keep_their_bytes(#[case] message: Message, #[case] golden: &str) {
    let envelope = Envelope {
        from: peer(v4()),
        message,
    };
    let bytes = envelope
        .encode(&header(RECORDS_VERSION, CLUSTER))
        .expect("datagram within the size limit");
    assert_golden(&bytes, golden);
    assert_eq!(Envelope::decode(&bytes), Ok(envelope));
}

#[rstest]
#[case::starting(
    bare_record(Lifecycle::Starting),
    "041f0a0a01020300001122334455660000000901000000000000000000000000"
)]
#[case::ready(
    bare_record(Lifecycle::Ready),
    "041f0a0a01020300001122334455660000000901010000000000000000000000"
)]
#[case::draining(
    bare_record(Lifecycle::Draining),
    "041f0a0a01020300001122334455660000000901020000000000000000000000"
)]
#[case::leaving(
    bare_record(Lifecycle::Leaving),
    "041f0a0a01020300001122334455660000000901030000000000000000000000"
)]
#[case::with_entries(record(v6(), Lifecycle::Ready), "061f0b20010db80000000000000000000000070000112233445566000000090101deadbeef0102030404656173740530\
         2e312e300205616c7068610000000100036f6e650462657461000000020000")]
fn records_keep_their_bytes(#[case] record: Record, #[case] golden: &str) {
    let bytes = record.encode().expect("record within its limits");
    assert_golden(&bytes, golden);
    assert_eq!(Record::decode(&bytes), Ok(record));
}

/// Processes of different versions compare these values, so they must not change.
#[test]
fn checksums_and_hashes_keep_their_values() {
    assert_eq!(
        record(v4(), Lifecycle::Ready).metadata.checksum(),
        0xe955_e9ab
    );
    assert_eq!(Metadata::default().checksum(), 0xd2e2_9f07);
    assert_eq!(address_hash(v4()), 0xa04a_20dd_9f2f_1a6a);
    assert_eq!(address_hash(v6()), 0x4260_fd16_fab8_efd8);
    assert_eq!(mix(1), 0x5692_161d_100b_05e5);
}

fn full_summary(origin: Option<SocketAddr>) -> Summary {
    Summary {
        origin,
        seq: 0x0102_0304_0506_0708,
        in_flight: 0x11,
        pressure: 1234,
        first_attempts: 0x22,
        extra_attempts: 0x33,
        denied: 0x44,
        shed: 0x55,
        healthy: 0x6677,
        supports_averaging: true,
    }
}

#[rstest]
#[case::of_v4(full_summary(Some(v4())), "7753041f0a0a010203000000000000000000000000010203040506070800000011000004d20000002200000033000000\
         440000005566770100000000a72589ef")]
#[case::of_v6(full_summary(Some(v6())), "7753061f0b20010db8000000000000000000000007010203040506070800000011000004d20000002200000033000000\
         440000005566770100000000969d1289")]
#[case::without_origin(full_summary(None), "775300000000000000000000000000000000000000010203040506070800000011000004d20000002200000033000000\
         440000005566770100000000963eb12b")]
#[case::default(Summary::default(), "775300000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000\
         0000000000000000000000004c2455d5")]
fn summaries_keep_their_bytes(#[case] summary: Summary, #[case] golden: &str) {
    let bytes = summary.encode();
    assert_golden(&bytes, golden);
    assert_eq!(Summary::decode(&bytes), Ok(summary));
}

fn exchange(kind: ExchangeKind, from: SocketAddr) -> Exchange {
    Exchange {
        kind,
        from: peer(from),
        seq: 0x0a0b_0c0d,
        flow: -4_000_000,
        estimate: 1_234_567,
    }
}

#[rstest]
#[case::request(
    exchange(ExchangeKind::Request, v4()),
    "7746020102030400041f0a0a01020300001122334455660a0b0c0dffc2f7000012d6879cf29ccd"
)]
#[case::reply(
    exchange(ExchangeKind::Reply, v4()),
    "7746020102030401041f0a0a01020300001122334455660a0b0c0dffc2f7000012d6879d4761d0"
)]
#[case::reply_of_v6(exchange(ExchangeKind::Reply, v6()), "7746020102030401061f0b20010db800000000000000000000000700001122334455660a0b0c0dffc2f7000012d68772\
         621f15")]
fn averaging_exchanges_keep_their_bytes(#[case] exchange: Exchange, #[case] golden: &str) {
    let bytes = exchange.encode(&header(AVERAGE_VERSION, CLUSTER));
    assert_golden(&bytes, golden);
    assert_eq!(Exchange::decode(&bytes), Some(exchange));
}

#[rstest]
#[case::of_swim(SWIM_VERSION, "77460101020304")]
#[case::of_averaging(AVERAGE_VERSION, "77460201020304")]
#[case::of_records(RECORDS_VERSION, "77460301020304")]
fn headers_keep_their_bytes(#[case] version: u8, #[case] golden: &str) {
    assert_eq!(hex(&header(version, CLUSTER)), golden);
}

#[rstest]
#[case::of_v4(v4(), "041f0a0a010203")]
#[case::of_v6(v6(), "061f0b20010db8000000000000000000000007")]
fn addresses_keep_their_bytes(#[case] address: SocketAddr, #[case] golden: &str) {
    let mut bytes = Vec::new();
    put_address(&mut bytes, address);
    assert_eq!(hex(&bytes), golden);
    let mut rest = &bytes[..];
    assert_eq!((take_address(&mut rest), rest), (Some(address), &[][..]));
}

fn swim(address: SocketAddr) -> Swim {
    let settings = SwimSettings {
        cluster: CLUSTER,
        probe_period: 500_000,
        suspicion_timeout: 1_500_000,
        expected_members: 4,
        extra_transmissions: 0,
        summary_ttl: 3_000_000,
        max_summaries: 16,
    };
    Swim::new(address, 0x1122_3344_5566, settings, 42)
}

/// The datagrams of a join: the announce, the answer with the known members, and the announcement of a leave.
#[test]
fn membership_datagrams_keep_their_bytes() {
    let (mut joining, mut seed) = (swim(v4()), swim(v6()));
    joining.join(0, v6());
    let announce = only_datagram(&mut joining);
    assert_golden(
        &announce,
        "77460101020304000a0102038a3ee6aa919aa3a404000120010db80000000000000000000000078b3e0006",
    );
    assert_eq!(seed.handle_datagram(0, &announce), Some(peer(v4())));
    let feed = only_datagram(&mut seed);
    assert_golden(&feed, "774601010203040120010db80000000000000000000000078b3ee6aa919aa3a40400000a0102038a3ee6aa919aa3a404\
         070000");
    assert_eq!(joining.handle_datagram(0, &feed), Some(peer(v6())));
    assert_eq!(joining.members().collect::<Vec<_>>(), [v6()]);
    joining.publish(0, full_summary(None));
    joining.leave(0, true);
    assert_golden(&only_datagram(&mut joining), "77460101020304000a0102038a3ee6aa919aa3a404000120010db80000000000000000000000078b3ee6aa919aa3a404\
         0800020120010db80000000000000000000000078b3ee6aa919aa3a4040000000a0102038a3ee6aa919aa3a404000200\
         407753041f0a0a010203000000000000000000000000000000000000000100000011000004d200000022000000330000\
         0044000000556677010000000045e779cd");
}

fn only_datagram(swim: &mut Swim) -> Vec<u8> {
    let mut datagrams = swim.take_outbox();
    assert_eq!(datagrams.len(), 1);
    datagrams.remove(0).bytes
}

fn assert_golden(bytes: &[u8], golden: &str) {
    assert_eq!(hex(bytes), golden);
}
