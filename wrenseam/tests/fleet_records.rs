//! The rules of member records as tables: which member digest wins and what follows from it, what a record may hold, what a
//! datagram must look like, and which state follows which message.
use rand::{rngs::SmallRng, RngExt, SeedableRng};
use rstest::rstest;
use std::net::SocketAddr;
use wrenseam::fleet::directory::{Directory, MergeAction, GONE_FOR, GONE_HELD};
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

/// A record of member `i` whose content depends on `content` alone.
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

/// Member 0 at (5, 3) with content 1, which holds member 1 at (5, 3) with content 1, in this liveness.
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
// Not known here: only a live member is worth learning.
#[case::unknown_and_alive(None, (1, 5, 3, Alive, 1), AddMember)]
#[case::unknown_and_down(None, (1, 5, 3, Down, 1), NoChange)]
#[case::unknown_and_left(None, (1, 5, 3, Left, 1), NoChange)]
// The same incarnation: the larger version wins, and content breaks a tie the same way everywhere.
#[case::the_same(Some(Alive), (1, 5, 3, Alive, 1), NoChange)]
#[case::a_newer_version(Some(Alive), (1, 5, 4, Alive, 2), FetchRecord)]
#[case::a_newer_version_of_the_same_content(Some(Alive), (1, 5, 4, Alive, 1), AdoptStamp)]
#[case::an_older_version(Some(Alive), (1, 5, 2, Alive, 2), SendNewer)]
#[case::no_record_there(Some(Alive), (1, 5, 0, Alive, 0), SendNewer)]
#[case::the_largest_version(Some(Alive), (1, 5, u32::MAX, Alive, 2), FetchRecord)]
// A larger incarnation wins whatever the versions.
#[case::a_larger_incarnation(Some(Alive), (1, 6, 0, Alive, 0), AddMember)]
#[case::a_larger_incarnation_over_gone(Some(Down), (1, 6, 1, Alive, 2), AddMember)]
#[case::a_smaller_incarnation(Some(Alive), (1, 4, u32::MAX, Alive, 2), SendNewer)]
#[case::a_smaller_incarnation_gone(Some(Alive), (1, 4, 9, Down, 2), SendNewer)]
// Gone against alive: who is said to be down is asked first, who said so itself has left.
#[case::down_there(Some(Alive), (1, 5, 3, Down, 1), CheckLiveness)]
#[case::a_larger_incarnation_down_there(Some(Alive), (1, 6, 1, Down, 1), CheckLiveness)]
#[case::left_there(Some(Alive), (1, 5, 4, Left, 2), MergeAction::MarkLeft)]
#[case::alive_there_down_here(Some(Down), (1, 5, 9, Alive, 2), SendNewer)]
#[case::alive_there_left_here(Some(Left), (1, 5, 9, Alive, 2), SendNewer)]
#[case::gone_on_both_sides(Some(Down), (1, 7, 9, Left, 2), NoChange)]
// Ourselves: nobody else writes our record.
#[case::ours(None, (0, 5, 3, Alive, 1), NoChange)]
#[case::ours_before(None, (0, 5, 2, Alive, 2), SendNewer)]
#[case::ours_that_we_never_said(None, (0, 5, 4, Alive, 2), Refute)]
#[case::ours_with_another_content(None, (0, 5, 3, Alive, 2), Refute)]
#[case::ours_of_a_former_clock(None, (0, 9, 1, Alive, 1), Refute)]
#[case::ours_held_as_down(None, (0, 5, 3, Down, 1), Refute)]
#[case::ours_before_held_as_down(None, (0, 4, 3, Down, 1), SendNewer)]
fn which_member_digest_wins(
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
    // The tie of equal stamps goes by checksum, whichever is larger.
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
fn equal_stamps_with_two_contents_end_in_the_same_one_everywhere() {
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

/// Whatever the order and number of deliveries, all end with the newest record of the newest incarnation.
#[test]
fn any_order_of_deliveries_ends_the_same() {
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
#[case::after_the_last_version(
    Stamp { incarnation: 5, version: u32::MAX },
    Some(Stamp { incarnation: 6, version: 1 })
)]
#[case::after_the_last_of_all(Stamp { incarnation: MAX_INCARNATION, version: u32::MAX }, None)]
fn the_next_stamp(#[case] of: Stamp, #[case] want: Option<Stamp>) {
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
#[case::full(with_entries(MAX_ENTRIES, 10), None)]
#[case::too_many(with_entries(MAX_ENTRIES + 1, 1), Some(RecordError::TooManyEntries(MAX_ENTRIES + 1)))]
#[case::too_large(with_entries(10, 100), Some(RecordError::TooLarge(1172)))]
#[case::a_long_zone(Metadata { zone: "z".repeat(65), ..Metadata::default() }, Some(RecordError::NameTooLong(65)))]
#[case::a_value_of_any_text(Metadata { zone: "zona-ñ".to_owned(), ..Metadata::default() }, None)]
fn a_record_is_bounded(#[case] metadata: Metadata, #[case] want: Option<RecordError>) {
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

/// The standard library's error for the one byte 0xff.
fn invalid_utf8() -> std::string::FromUtf8Error {
    String::from_utf8(vec![0xff]).expect_err("0xff is in no UTF-8 text")
}

#[rstest]
#[case::cut_short(|bytes: &mut Vec<u8>| bytes.truncate(bytes.len() - 1), RecordError::Truncated)]
#[case::longer(|bytes: &mut Vec<u8>| bytes.push(0), RecordError::Truncated)]
#[case::another_form(|bytes: &mut Vec<u8>| bytes[19] = 2, RecordError::UnknownFormat(2))]
#[case::another_lifecycle(|bytes: &mut Vec<u8>| bytes[20] = 4, RecordError::UnknownLifecycle(4))]
#[case::an_endless_incarnation(|bytes: &mut Vec<u8>| bytes[7] = 0xff, RecordError::IncarnationOutOfRange(0xff00_0000_0000_0005))]
#[case::no_text(|bytes: &mut Vec<u8>| bytes[30] = 0xff, RecordError::NotText(invalid_utf8()))]
fn what_is_no_record_is_refused(#[case] spoil: fn(&mut Vec<u8>), #[case] want: RecordError) {
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
    spoil(&mut bytes);
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
    let present = Message::AliveReply {
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
        present,
    ]
}

#[test]
fn datagrams_round_trip_and_any_flipped_bit_is_caught() {
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
        probe: 500 * MS,
        suspect_for: 1500 * MS,
        expected: 3,
        extra_transmissions: 0,
        fresh_for: 1500 * MS,
        capacity: 64,
    }
}

fn members() -> Members {
    let metadata = Metadata {
        lifecycle: Lifecycle::Ready,
        ..Metadata::default()
    };
    Members::new(id(0, 5), metadata, settings(), 1)
}

/// Hands `members` a message of member `from`; what it answers, with whom to.
fn tell(
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
    let out = members.outbox().into_iter();
    out.filter_map(|out| Some((out.to, Envelope::decode(&out.bytes).ok()?.message)))
        .collect()
}

fn news(record: Record) -> Message {
    Message::Records {
        is_update: true,
        records: vec![record],
    }
}

/// Our own stamp after what others say of us: always larger than theirs, and unchanged by what is past.
#[rstest]
#[case::a_forged_record(news(record(0, 5, 9, 9)), (5, 10))]
#[case::one_at_the_largest_version(news(record(0, 5, u32::MAX, 9)), (6, 1))]
#[case::one_of_a_former_clock(news(record(0, 8, 2, 9)), (8, 3))]
#[case::one_that_is_past(news(record(0, 4, 9, 9)), (5, 1))]
#[case::held_as_gone(Message::AliveQuery { target: id(0, 5), gone: true, origin: addr(1) }, (6, 1))]
#[case::a_larger_one_held_as_gone(Message::AliveQuery { target: id(0, 9), gone: true, origin: addr(1) }, (10, 1))]
#[case::a_larger_one_held_alive(Message::AliveQuery { target: id(0, 9), gone: false, origin: addr(1) }, (10, 1))]
#[case::ours_asked_for(Message::AliveQuery { target: id(0, 5), gone: false, origin: addr(1) }, (5, 1))]
#[case::a_past_one_held_as_gone(Message::AliveQuery { target: id(0, 4), gone: true, origin: addr(1) }, (5, 1))]
fn only_we_write_our_record(#[case] message: Message, #[case] want: (u64, u32)) {
    let mut members = members();
    tell(&mut members, MS, id(1, 5), message);
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

/// What follows from each message about member 1, known alive at incarnation 5: its liveness, and its incarnation.
#[rstest]
#[case::nothing(None, Some((5, Alive)))]
#[case::it_leaves(Some(news(leaving(1, 5))), Some((5, Left)))]
#[case::it_left_before(Some(news(leaving(1, 4))), Some((5, Alive)))]
#[case::it_started_again(Some(news(record(1, 6, 1, 1))), Some((6, Alive)))]
#[case::down_there(Some(member_digests(1, 5, Down)), Some((5, Alive)))]
#[case::left_there(Some(member_digests(1, 5, Left)), Some((5, Left)))]
#[case::a_former_one_down(Some(member_digests(1, 4, Down)), Some((5, Alive)))]
fn which_state_follows(#[case] message: Option<Message>, #[case] want: Option<(u64, Liveness)>) {
    let mut members = members();
    tell(&mut members, MS, id(2, 5), news(record(1, 5, 1, 1)));
    message
        .into_iter()
        .for_each(|message| drop(tell(&mut members, 2 * MS, id(2, 5), message)));
    let known = members
        .directory()
        .member_digest(addr(1))
        .map(|member_digest| (member_digest.stamp.incarnation, member_digest.liveness));
    assert_eq!(known, want);
    let downs = members
        .events()
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

/// Who left or died is not taken up again by what others say; its own next incarnation is.
#[rstest]
#[case::by_a_record(news(record(1, 5, 3, 1)), false)]
#[case::by_a_newer_record(news(record(1, 5, 99, 1)), false)]
#[case::by_a_member_digest(member_digests(1, 5, Alive), false)]
#[case::by_a_former_incarnation(news(record(1, 4, 99, 1)), false)]
#[case::by_its_next_incarnation(news(record(1, 6, 1, 1)), true)]
fn none_comes_back_by_hearsay(#[case] message: Message, #[case] back: bool) {
    let mut members = members();
    tell(&mut members, MS, id(2, 5), news(record(1, 5, 1, 1)));
    tell(&mut members, 2 * MS, id(2, 5), news(leaving(1, 5)));
    assert_eq!(members.alive(), 1);
    tell(&mut members, 3 * MS, id(2, 5), message);
    assert_eq!(members.alive() == 2, back);
}

/// Who is held as down elsewhere is asked, and told that it needs a larger incarnation; who asks is answered once,
/// and what a relay passed on goes no further.
#[test]
fn alive_queries_go_one_relay_far() {
    let mut members = members();
    tell(&mut members, MS, id(1, 5), news(record(1, 5, 1, 1)));
    let answers_sent = tell(&mut members, 2 * MS, id(2, 5), member_digests(1, 5, Down));
    let query = Message::AliveQuery {
        target: id(1, 5),
        gone: true,
        origin: addr(0),
    };
    assert!(answers_sent.contains(&(addr(1), query)), "{answers_sent:?}");
    let of_another = Message::AliveQuery {
        target: id(1, 5),
        gone: false,
        origin: addr(2),
    };
    assert_eq!(
        tell(&mut members, 3 * MS, id(2, 5), of_another.clone()),
        [(addr(1), of_another.clone())]
    );
    assert_eq!(tell(&mut members, 4 * MS, id(3, 5), of_another), []);
    let own = Box::new(members.directory().own().clone());
    let of_us = Message::AliveQuery {
        target: id(0, 5),
        gone: false,
        origin: addr(2),
    };
    let present = Message::AliveReply {
        record: own,
        origin: addr(2),
    };
    assert_eq!(
        tell(&mut members, 5 * MS, id(2, 5), of_us),
        [(addr(2), present)]
    );
    let passed = Message::AliveReply {
        record: Box::new(record(1, 5, 1, 1)),
        origin: addr(2),
    };
    assert_eq!(
        tell(&mut members, 6 * MS, id(1, 5), passed.clone()),
        [(addr(2), passed.clone())]
    );
    assert_eq!(tell(&mut members, 7 * MS, id(3, 5), passed), []);
}

/// Two that hold the same say nothing; answers end, whatever is claimed.
#[test]
fn no_repair_goes_round_in_circles() {
    let mut members = members();
    tell(&mut members, MS, id(1, 5), news(record(1, 5, 1, 1)));
    let same = members.directory().part_digests();
    assert_eq!(
        tell(&mut members, 2 * MS, id(1, 5), Message::Digest(same)),
        []
    );
    // A digest that lies costs one answer of bounded size, and member digests of what is held just so none.
    let answers_sent = tell(&mut members, 3 * MS, id(1, 5), Message::Digest([1; 16]));
    assert!(
        matches!(&answers_sent[..], [(_, Message::Hashes { .. })]),
        "{answers_sent:?}"
    );
    assert_eq!(
        tell(&mut members, 4 * MS, id(1, 5), member_digests(1, 5, Alive)),
        []
    );
    let hashes = Message::Hashes {
        parts: u16::MAX,
        hashes: vec![1, 2, 3],
    };
    let answers_sent = tell(&mut members, 5 * MS, id(1, 5), hashes);
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
#[case::of_a_version_to_come(b"wF\x09\x00\x00\x00\x07and more".to_vec(), [0, 1, 0, 0, 0])]
#[case::from_ourselves(
    Envelope { from: id(0, 5), message: Message::Digest([0; 16]) }.encode(&header(3, CLUSTER)).expect("small"),
    [0, 0, 0, 0, 1]
)]
#[case::from_a_past_incarnation(
    Envelope { from: id(1, 4), message: Message::Digest([0; 16]) }.encode(&header(3, CLUSTER)).expect("small"),
    [0, 0, 0, 0, 1]
)]
fn bad_datagrams_are_counted_by_cause(#[case] bytes: Vec<u8>, #[case] want: [u64; 5]) {
    let mut members = members();
    tell(&mut members, MS, id(1, 5), news(record(1, 5, 1, 1)));
    let digest = members.directory().digest();
    members.handle_datagram(2 * MS, &bytes);
    let (dropped, counts) = (members.swim().dropped, members.counts);
    let got = [
        dropped.oversized,
        dropped.foreign,
        dropped.garbled,
        counts.garbled,
        counts.stranger,
    ];
    assert_eq!((got, members.directory().digest()), (want, digest));
}

/// Random bytes behind each of our headers, some with a valid checksum: no table grows beyond the members named.
#[test]
fn no_bytes_end_or_swell_a_front_end() {
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
        members.outbox();
    }
    assert!(members.directory().alive().count() < 1_024);
}

/// Members gone are forgotten after a day, and sooner where there are too many.
#[rstest]
#[case::soon(10, 1000 * MS, 10)]
#[case::too_many(GONE_HELD + 100, 1000 * MS, GONE_HELD)]
#[case::long_ago(10, GONE_FOR, 0)]
fn the_gone_are_forgotten_in_bounded_time_and_number(
    #[case] gone: usize,
    #[case] after: u64,
    #[case] known: usize,
) {
    let mut directory = Directory::new(record(0, 5, 1, 1));
    for member in 1..=gone {
        directory.mark_alive(0, id(member, 5));
        directory.mark_gone(member as u64, id(member, 5));
    }
    let forgotten = directory.forget_gone(after + gone as u64);
    let left = (1..=gone)
        .filter(|&member| directory.member_digest(addr(member)).is_some())
        .count();
    assert_eq!((left, forgotten.len()), (known, gone - known));
    // Those gone longest go first.
    assert!(known == 0 || directory.member_digest(addr(gone)).is_some());
}
