//! The rules of member records: how member digests and records are merged, the limits of a record, the validity of
//! datagrams, and the state and answers after each message.
use rand::{rngs::SmallRng, RngExt, SeedableRng};
use rstest::rstest;
use std::net::SocketAddr;
use wrenseam::fleet::directory::{Directory, MergeAction, MAX_TOMBSTONES, TOMBSTONE_TTL};
use wrenseam::fleet::identity::{header, MAX_DATAGRAM, MAX_INCARNATION};
use wrenseam::fleet::member_digest::{Liveness, MemberDigest};
use wrenseam::fleet::members::Members;
use wrenseam::fleet::message::{Envelope, Message, MessageError, RECORDS_VERSION};
use wrenseam::fleet::record::{Entry, Record, RecordError, Stamp, MAX_ENTRIES, MAX_RECORD_BYTES};
use wrenseam::fleet::{Lifecycle, Metadata, PeerEvent, PeerId, SwimSettings};

const MS: u64 = 1000;
const CLUSTER: u32 = 7;

fn addr(member: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (member >> 8) as u8, member as u8], 7946))
}

fn id(member: usize, incarnation: u64) -> PeerId {
    PeerId {
        addr: addr(member),
        incarnation,
    }
}

/// A record of this member whose content depends on `content` alone.
fn record(member: usize, incarnation: u64, version: u32, content: u64) -> Record {
    let metadata = Metadata {
        lifecycle: Lifecycle::Ready,
        config_digest: content,
        ..Metadata::default()
    };
    Record {
        owner: addr(member),
        stamp: Stamp {
            incarnation,
            version,
        },
        metadata,
    }
}

/// The directory of member 0 at stamp (5, 3) with content 1. Unless `liveness` is `None`, it knows member 1 at stamp
/// (5, 3) with content 1 and this liveness.
fn directory(liveness: Option<Liveness>) -> Directory {
    let mut directory = Directory::new(record(0, 5, 3, 1));
    let Some(liveness) = liveness else {
        return directory;
    };
    directory.mark_alive(0, id(1, 5));
    assert!(directory.merge_record(record(1, 5, 3, 1)));
    if liveness == Liveness::Left {
        directory.mark_leaving(id(1, 5));
    }
    if liveness.is_gone() {
        assert_eq!(directory.mark_gone(0, id(1, 5)), liveness);
    }
    directory
}

use Liveness::{Alive, Down, Left};
use MergeAction::{AddMember, AdoptStamp, CheckLiveness, FetchRecord, NoChange, Refute, SendNewer};

#[rstest]
// A member not known here is added only if it is alive.
#[case::unknown_and_alive(None, (1, 5, 3, Alive, 1), AddMember)]
#[case::unknown_and_down(None, (1, 5, 3, Down, 1), NoChange)]
#[case::unknown_and_left(None, (1, 5, 3, Left, 1), NoChange)]
// In the same incarnation the larger version wins; the larger checksum breaks a tie.
#[case::the_same_digest(Some(Alive), (1, 5, 3, Alive, 1), NoChange)]
#[case::a_newer_version(Some(Alive), (1, 5, 4, Alive, 2), FetchRecord)]
#[case::a_newer_version_of_the_same_content(Some(Alive), (1, 5, 4, Alive, 1), AdoptStamp)]
#[case::an_older_version(Some(Alive), (1, 5, 2, Alive, 2), SendNewer)]
#[case::no_record_elsewhere(Some(Alive), (1, 5, 0, Alive, 0), SendNewer)]
#[case::the_largest_version(Some(Alive), (1, 5, u32::MAX, Alive, 2), FetchRecord)]
// A larger incarnation wins with any version.
#[case::a_larger_incarnation(Some(Alive), (1, 6, 0, Alive, 0), AddMember)]
#[case::a_larger_incarnation_of_a_gone_member(Some(Down), (1, 6, 1, Alive, 2), AddMember)]
#[case::a_smaller_incarnation(Some(Alive), (1, 4, u32::MAX, Alive, 2), SendNewer)]
#[case::a_smaller_incarnation_down(Some(Alive), (1, 4, 9, Down, 2), SendNewer)]
// A member that is down elsewhere is queried first; one that announced its leave has left.
#[case::down_elsewhere(Some(Alive), (1, 5, 3, Down, 1), CheckLiveness)]
#[case::a_larger_incarnation_down_elsewhere(Some(Alive), (1, 6, 1, Down, 1), CheckLiveness)]
#[case::left_elsewhere(Some(Alive), (1, 5, 4, Left, 2), MergeAction::MarkLeft)]
#[case::alive_elsewhere_down_here(Some(Down), (1, 5, 9, Alive, 2), SendNewer)]
#[case::alive_elsewhere_left_here(Some(Left), (1, 5, 9, Alive, 2), SendNewer)]
#[case::gone_on_both_sides(Some(Down), (1, 7, 9, Left, 2), NoChange)]
// About ourselves: a digest that contradicts what we published is refuted.
#[case::own_digest(None, (0, 5, 3, Alive, 1), NoChange)]
#[case::own_older_version(None, (0, 5, 2, Alive, 2), SendNewer)]
#[case::own_version_never_published(None, (0, 5, 4, Alive, 2), Refute)]
#[case::own_stamp_with_other_content(None, (0, 5, 3, Alive, 2), Refute)]
#[case::own_incarnation_never_used(None, (0, 9, 1, Alive, 1), Refute)]
#[case::own_incarnation_down(None, (0, 5, 3, Down, 1), Refute)]
#[case::own_former_incarnation_down(None, (0, 4, 3, Down, 1), SendNewer)]
fn member_digest_leads_to_merge_action(
    #[case] known: Option<Liveness>,
    #[case] member_digest: (usize, u64, u32, Liveness, u64),
    #[case] want: MergeAction,
) {
    let (owner, incarnation, version, liveness, content) = member_digest;
    let checksum = if content == 0 {
        0
    } else {
        record(owner, 5, 3, content).metadata.checksum()
    };
    let member_digest = MemberDigest {
        owner: addr(owner),
        stamp: Stamp {
            incarnation,
            version,
        },
        liveness,
        checksum,
    };
    assert_eq!(directory(known).merge_action(&member_digest), want);
}

#[test]
fn equal_stamps_with_different_contents_converge_to_the_same_record() {
    let first = record(1, 5, 3, 1);
    let second = record(1, 5, 3, 2);
    let ends: Vec<_> = [[&first, &second], [&second, &first]]
        .iter()
        .map(|order| {
            let mut directory = directory(None);
            directory.mark_alive(0, id(1, 5));
            for record in order {
                directory.merge_record((*record).clone());
            }
            directory.digest()
        })
        .collect();
    assert_eq!(ends[0], ends[1]);
}

/// The newest record of the newest incarnation wins, whatever the order and number of deliveries.
#[test]
fn records_converge_for_any_order_of_delivery() {
    let mut rng = SmallRng::seed_from_u64(1);
    let all: Vec<Record> = (0..24)
        .map(|n| record(1, 5 + n / 8, 1 + (n % 8) as u32, n))
        .collect();
    let want = directory_with(&all);
    for _ in 0..200 {
        let order: Vec<Record> = (0..60)
            .map(|_| all[rng.random_range(0..all.len())].clone())
            .chain(all.last().cloned())
            .collect();
        assert_eq!(directory_with(&order), want);
    }
}

fn directory_with(order: &[Record]) -> (u64, Option<Record>) {
    let mut directory = directory(None);
    for record in order {
        if directory
            .member_digest(addr(1))
            .is_none_or(|known| known.stamp.incarnation < record.stamp.incarnation)
        {
            directory.mark_alive(0, record.id());
        }
        directory.merge_record(record.clone());
    }
    (directory.digest(), directory.record(addr(1)))
}

#[rstest]
#[case::the_next_version(Stamp { incarnation: 5, version: 3 }, Some(Stamp { incarnation: 5, version: 4 }))]
#[case::after_the_largest_version(
    Stamp { incarnation: 5, version: u32::MAX },
    Some(Stamp { incarnation: 6, version: 1 })
)]
#[case::after_the_largest_stamp(Stamp { incarnation: MAX_INCARNATION, version: u32::MAX }, None)]
fn next_stamp_is_larger(#[case] of: Stamp, #[case] want: Option<Stamp>) {
    assert_eq!(of.next(), want);
    assert!(want.is_none_or(|next| next > of));
}

fn with_entries(count: usize, value: usize) -> Metadata {
    let entry = |n: usize| {
        (
            format!("name-{n:02}"),
            Entry {
                version: 1,
                value: "x".repeat(value),
            },
        )
    };
    Metadata {
        entries: (0..count).map(entry).collect(),
        ..Metadata::default()
    }
}

#[rstest]
#[case::empty(Metadata::default(), None)]
#[case::most_entries(with_entries(MAX_ENTRIES, 10), None)]
#[case::too_many_entries(with_entries(MAX_ENTRIES + 1, 1), Some(RecordError::TooManyEntries(MAX_ENTRIES + 1)))]
#[case::too_large(with_entries(10, 100), Some(RecordError::TooLarge(1172)))]
#[case::a_long_zone(Metadata { zone: "z".repeat(65), ..Metadata::default() }, Some(RecordError::NameTooLong(65)))]
#[case::a_zone_beyond_ascii(Metadata { zone: "zona-ñ".to_owned(), ..Metadata::default() }, None)]
fn record_size_is_limited(#[case] metadata: Metadata, #[case] want: Option<RecordError>) {
    let record = Record {
        owner: addr(1),
        stamp: Stamp {
            incarnation: 5,
            version: 3,
        },
        metadata,
    };
    match (record.encode(), want) {
        (Ok(bytes), None) => {
            assert!(bytes.len() <= MAX_RECORD_BYTES);
            assert_eq!(Record::decode(&bytes), Ok(record));
        }
        (encoded, want) => assert_eq!(encoded.err(), want),
    }
}

/// The standard library's error for the byte 0xff, which occurs in no UTF-8 text.
fn invalid_utf8() -> std::string::FromUtf8Error {
    String::from_utf8(vec![0xff]).expect_err("0xff is in no UTF-8 text")
}

#[rstest]
#[case::truncated(|bytes: &mut Vec<u8>| bytes.truncate(bytes.len() - 1), RecordError::InvalidLength)]
#[case::trailing_byte(|bytes: &mut Vec<u8>| bytes.push(0), RecordError::InvalidLength)]
#[case::unknown_format(|bytes: &mut Vec<u8>| bytes[19] = 2, RecordError::UnknownFormat(2))]
#[case::unknown_lifecycle(|bytes: &mut Vec<u8>| bytes[20] = 4, RecordError::UnknownLifecycle(4))]
#[case::incarnation_out_of_range(|bytes: &mut Vec<u8>| bytes[7] = 0xff, RecordError::IncarnationOutOfRange(0xff00_0000_0000_0005))]
#[case::invalid_utf8(|bytes: &mut Vec<u8>| bytes[30] = 0xff, RecordError::InvalidUtf8(invalid_utf8()))]
fn invalid_records_are_rejected(#[case] corrupt: fn(&mut Vec<u8>), #[case] want: RecordError) {
    let metadata = Metadata {
        zone: "z".to_owned(),
        ..Metadata::default()
    };
    let record = Record {
        owner: addr(1),
        stamp: Stamp {
            incarnation: 5,
            version: 3,
        },
        metadata,
    };
    let mut bytes = record.encode().expect("small");
    corrupt(&mut bytes);
    assert_eq!(Record::decode(&bytes), Err(want));
}

fn messages() -> Vec<Message> {
    let member_digest = MemberDigest {
        owner: addr(3),
        stamp: Stamp {
            incarnation: 5,
            version: 3,
        },
        liveness: Left,
        checksum: 9,
    };
    let alive_reply = Message::AliveReply {
        record: Box::new(record(1, 5, 3, 1)),
        origin: addr(2),
    };
    vec![
        Message::Digest([7; 16]),
        Message::Hashes {
            parts: 0x8001,
            hashes: vec![1, u32::MAX],
        },
        Message::MemberDigests {
            unmatched: vec![4],
            member_digests: vec![member_digest; 3],
        },
        Message::Records {
            is_update: true,
            records: vec![record(1, 5, 3, 1), record(2, 5, 3, 2)],
        },
        Message::RecordRequest(vec![addr(1), "[fd00::7]:9".parse().expect("an address")]),
        Message::AliveQuery {
            target: id(1, 5),
            gone: true,
            origin: addr(2),
        },
        alive_reply,
    ]
}

#[test]
fn datagrams_round_trip_and_any_flipped_bit_is_detected() {
    let header = header(RECORDS_VERSION, CLUSTER);
    for message in messages() {
        let envelope = Envelope {
            from: id(4, 5),
            message,
        };
        let good = envelope.encode(&header).expect("small");
        assert_eq!(Envelope::decode(&good), Ok(envelope));
        for bit in 0..8 * good.len() {
            let mut bad = good.clone();
            bad[bit / 8] ^= 1 << (bit % 8);
            assert_eq!(
                Envelope::decode(&bad),
                Err(MessageError::Checksum),
                "bit {bit}"
            );
        }
        (0..good.len()).for_each(|cut| assert!(Envelope::decode(&good[..cut]).is_err()));
    }
}

fn settings() -> SwimSettings {
    SwimSettings {
        cluster: CLUSTER,
        probe_period: 500 * MS,
        suspicion_timeout: 1500 * MS,
        expected_members: 3,
        extra_transmissions: 0,
        summary_ttl: 1500 * MS,
        max_summaries: 64,
    }
}

fn members() -> Members {
    let metadata = Metadata {
        lifecycle: Lifecycle::Ready,
        ..Metadata::default()
    };
    Members::new(id(0, 5), metadata, settings(), 1)
}

/// Delivers a message from member `from`; returns the answers with their receivers.
fn deliver(
    members: &mut Members,
    now: u64,
    from: PeerId,
    message: Message,
) -> Vec<(SocketAddr, Message)> {
    let header = header(RECORDS_VERSION, CLUSTER);
    let bytes = Envelope { from, message }.encode(&header).expect("small");
    members.handle_datagram(now, &bytes);
    answers(members)
}

fn answers(members: &mut Members) -> Vec<(SocketAddr, Message)> {
    let out = members.take_outbox().into_iter();
    out.filter_map(|out| Some((out.to, Envelope::decode(&out.bytes).ok()?.message)))
        .collect()
}

fn update(record: Record) -> Message {
    Message::Records {
        is_update: true,
        records: vec![record],
    }
}

/// Another member's record or query about us raises our stamp above its own, unless that is not newer than ours. Our
/// metadata stays.
#[rstest]
#[case::a_forged_record(update(record(0, 5, 9, 9)), (5, 10))]
#[case::a_forged_record_at_the_largest_version(update(record(0, 5, u32::MAX, 9)), (6, 1))]
#[case::a_record_of_a_larger_incarnation(update(record(0, 8, 2, 9)), (8, 3))]
#[case::a_record_of_a_former_incarnation(update(record(0, 4, 9, 9)), (5, 1))]
#[case::own_incarnation_gone(Message::AliveQuery { target: id(0, 5), gone: true, origin: addr(1) }, (6, 1))]
#[case::a_larger_incarnation_gone(Message::AliveQuery { target: id(0, 9), gone: true, origin: addr(1) }, (10, 1))]
#[case::a_larger_incarnation_alive(Message::AliveQuery { target: id(0, 9), gone: false, origin: addr(1) }, (10, 1))]
#[case::own_incarnation_alive(Message::AliveQuery { target: id(0, 5), gone: false, origin: addr(1) }, (5, 1))]
#[case::a_former_incarnation_gone(Message::AliveQuery { target: id(0, 4), gone: true, origin: addr(1) }, (5, 1))]
fn only_the_owner_changes_its_record(#[case] message: Message, #[case] want: (u64, u32)) {
    let mut members = members();
    deliver(&mut members, MS, id(1, 5), message);
    let own = members.directory().own().clone();
    assert_eq!((own.stamp.incarnation, own.stamp.version), want);
    assert_eq!(
        own.metadata,
        Metadata {
            lifecycle: Lifecycle::Ready,
            ..Metadata::default()
        }
    );
}

/// The incarnation and liveness of member 1, which was alive at incarnation 5, after a message about it.
#[rstest]
#[case::no_message(None, Some((5, Alive)))]
#[case::it_leaves(Some(update(leaving(1, 5))), Some((5, Left)))]
#[case::a_former_incarnation_leaves(Some(update(leaving(1, 4))), Some((5, Alive)))]
#[case::it_restarts(Some(update(record(1, 6, 1, 1))), Some((6, Alive)))]
#[case::down_elsewhere(Some(member_digests(1, 5, Down)), Some((5, Alive)))]
#[case::left_elsewhere(Some(member_digests(1, 5, Left)), Some((5, Left)))]
#[case::a_former_incarnation_down(Some(member_digests(1, 4, Down)), Some((5, Alive)))]
fn message_leads_to_liveness(
    #[case] message: Option<Message>,
    #[case] want: Option<(u64, Liveness)>,
) {
    let mut members = members();
    deliver(&mut members, MS, id(2, 5), update(record(1, 5, 1, 1)));
    message
        .into_iter()
        .for_each(|message| drop(deliver(&mut members, 2 * MS, id(2, 5), message)));
    let known = members
        .directory()
        .member_digest(addr(1))
        .map(|member_digest| (member_digest.stamp.incarnation, member_digest.liveness));
    assert_eq!(known, want);
    let downs = members
        .take_events()
        .into_iter()
        .filter(|timed| matches!(timed.event, PeerEvent::Down(_)));
    assert_eq!(downs.count(), 0);
}

fn leaving(member: usize, incarnation: u64) -> Record {
    let metadata = Metadata {
        lifecycle: Lifecycle::Leaving,
        ..Metadata::default()
    };
    Record {
        metadata,
        ..record(member, incarnation, 9, 1)
    }
}

fn member_digests(member: usize, incarnation: u64, liveness: Liveness) -> Message {
    let stamp = Stamp {
        incarnation,
        version: 1,
    };
    let checksum = record(member, incarnation, 1, 1).metadata.checksum();
    Message::MemberDigests {
        unmatched: Vec::new(),
        member_digests: vec![MemberDigest {
            owner: addr(member),
            stamp,
            liveness,
            checksum,
        }],
    }
}

/// Records and digests from other members do not bring a gone member back; only its next incarnation does.
#[rstest]
#[case::by_a_record(update(record(1, 5, 3, 1)), false)]
#[case::by_a_newer_record(update(record(1, 5, 99, 1)), false)]
#[case::by_a_member_digest(member_digests(1, 5, Alive), false)]
#[case::by_a_former_incarnation(update(record(1, 4, 99, 1)), false)]
#[case::by_its_next_incarnation(update(record(1, 6, 1, 1)), true)]
fn gone_member_returns_only_by_its_next_incarnation(
    #[case] message: Message,
    #[case] returns: bool,
) {
    let mut members = members();
    deliver(&mut members, MS, id(2, 5), update(record(1, 5, 1, 1)));
    deliver(&mut members, 2 * MS, id(2, 5), update(leaving(1, 5)));
    assert_eq!(members.alive(), 1);
    deliver(&mut members, 3 * MS, id(2, 5), message);
    assert_eq!(members.alive() == 2, returns);
}

/// A member that is down elsewhere gets an alive query by which it learns that it needs a larger incarnation. A query
/// is answered once, and queries and replies take one relay at most.
#[test]
fn alive_queries_take_one_relay_at_most() {
    let mut members = members();
    deliver(&mut members, MS, id(1, 5), update(record(1, 5, 1, 1)));
    let answers_sent = deliver(&mut members, 2 * MS, id(2, 5), member_digests(1, 5, Down));
    let query = Message::AliveQuery {
        target: id(1, 5),
        gone: true,
        origin: addr(0),
    };
    assert!(answers_sent.contains(&(addr(1), query)), "{answers_sent:?}");
    let query_of_another = Message::AliveQuery {
        target: id(1, 5),
        gone: false,
        origin: addr(2),
    };
    assert_eq!(
        deliver(&mut members, 3 * MS, id(2, 5), query_of_another.clone()),
        [(addr(1), query_of_another.clone())]
    );
    assert_eq!(
        deliver(&mut members, 4 * MS, id(3, 5), query_of_another),
        []
    );
    let own = Box::new(members.directory().own().clone());
    let query_of_us = Message::AliveQuery {
        target: id(0, 5),
        gone: false,
        origin: addr(2),
    };
    let reply_of_us = Message::AliveReply {
        record: own,
        origin: addr(2),
    };
    assert_eq!(
        deliver(&mut members, 5 * MS, id(2, 5), query_of_us),
        [(addr(2), reply_of_us)]
    );
    let reply_of_another = Message::AliveReply {
        record: Box::new(record(1, 5, 1, 1)),
        origin: addr(2),
    };
    assert_eq!(
        deliver(&mut members, 6 * MS, id(1, 5), reply_of_another.clone()),
        [(addr(2), reply_of_another.clone())]
    );
    assert_eq!(
        deliver(&mut members, 7 * MS, id(3, 5), reply_of_another),
        []
    );
}

/// Members with the same view exchange no more messages, and every repair ends, even after a wrong digest.
#[test]
fn every_repair_ends() {
    let mut members = members();
    deliver(&mut members, MS, id(1, 5), update(record(1, 5, 1, 1)));
    let same = members.directory().part_digests();
    assert_eq!(
        deliver(&mut members, 2 * MS, id(1, 5), Message::Digest(same)),
        []
    );
    // A wrong digest causes one answer of bounded size; member digests equal to our own cause none.
    let answers_sent = deliver(&mut members, 3 * MS, id(1, 5), Message::Digest([1; 16]));
    assert!(
        matches!(&answers_sent[..], [(_, Message::Hashes { .. })]),
        "{answers_sent:?}"
    );
    assert_eq!(
        deliver(&mut members, 4 * MS, id(1, 5), member_digests(1, 5, Alive)),
        []
    );
    let hashes = Message::Hashes {
        parts: u16::MAX,
        hashes: vec![1, 2, 3],
    };
    let answers_sent = deliver(&mut members, 5 * MS, id(1, 5), hashes);
    assert!(
        matches!(&answers_sent[..], [(_, Message::MemberDigests { .. })]),
        "{answers_sent:?}"
    );
}

#[rstest]
#[case::empty(vec![], [0, 1, 0, 0, 0])]
#[case::foreign(b"wF\x03\x00\x00\x00\x08and more".to_vec(), [0, 1, 0, 0, 0])]
#[case::oversized(vec![b'w'; MAX_DATAGRAM + 1], [1, 0, 0, 0, 0])]
#[case::garbled(b"wF\x03\x00\x00\x00\x07and more".to_vec(), [0, 0, 0, 1, 0])]
#[case::garbled_membership(b"wF\x01\x00\x00\x00\x07\xff\xff\xff".to_vec(), [0, 0, 1, 0, 0])]
#[case::of_a_future_version(b"wF\x09\x00\x00\x00\x07and more".to_vec(), [0, 1, 0, 0, 0])]
#[case::from_our_own_address(
    Envelope { from: id(0, 5), message: Message::Digest([0; 16]) }.encode(&header(3, CLUSTER)).expect("small"),
    [0, 0, 0, 0, 1]
)]
#[case::from_a_former_incarnation(
    Envelope { from: id(1, 4), message: Message::Digest([0; 16]) }.encode(&header(3, CLUSTER)).expect("small"),
    [0, 0, 0, 0, 1]
)]
fn invalid_datagrams_are_counted_by_cause(#[case] bytes: Vec<u8>, #[case] want: [u64; 5]) {
    let mut members = members();
    deliver(&mut members, MS, id(1, 5), update(record(1, 5, 1, 1)));
    let digest = members.directory().digest();
    members.handle_datagram(2 * MS, &bytes);
    let (dropped, counts) = (members.swim().dropped, members.counts);
    let got = [
        dropped.oversized,
        dropped.foreign,
        dropped.garbled,
        counts.garbled,
        counts.rejected_sender,
    ];
    assert_eq!((got, members.directory().digest()), (want, digest));
}

/// Random bytes behind each valid header, some with a valid checksum, cause no panic and few new members.
#[test]
fn random_datagrams_neither_panic_nor_add_many_members() {
    let (mut members, mut rng) = (members(), SmallRng::seed_from_u64(3));
    for n in 0..20_000u64 {
        let length = rng.random_range(0..300);
        let mut bytes = header(rng.random_range(1..=3), CLUSTER).to_vec();
        bytes.extend((0..length).map(|_| rng.random::<u8>()));
        if rng.random::<bool>() {
            bytes.extend(crc32fast::hash(&bytes).to_be_bytes());
        }
        members.handle_datagram(n * MS, &bytes);
        members.tick(n * MS);
        members.take_outbox();
    }
    assert!(members.directory().alive().count() < 1_024);
}

/// Tombstones expire after [`TOMBSTONE_TTL`], and sooner when there are too many.
#[rstest]
#[case::recent(10, 1000 * MS, 10)]
#[case::too_many(MAX_TOMBSTONES + 100, 1000 * MS, MAX_TOMBSTONES)]
#[case::expired(10, TOMBSTONE_TTL, 0)]
fn tombstones_are_limited_in_age_and_number(
    #[case] gone: usize,
    #[case] after: u64,
    #[case] known: usize,
) {
    let mut directory = Directory::new(record(0, 5, 1, 1));
    for member in 1..=gone {
        directory.mark_alive(0, id(member, 5));
        directory.mark_gone(member as u64, id(member, 5));
    }
    let expired = directory.expire_tombstones(after + gone as u64);
    let left = (1..=gone)
        .filter(|&member| directory.member_digest(addr(member)).is_some())
        .count();
    assert_eq!((left, expired.len()), (known, gone - known));
    // The oldest tombstones are removed first.
    assert!(known == 0 || directory.member_digest(addr(gone)).is_some());
}
