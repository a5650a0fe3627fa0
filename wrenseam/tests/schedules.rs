//! Seeded schedules of trouble between the core with both its transports and stand-in workers: connects that fail or come
//! late, short and failed writes, resets, half-closes, answers that come late, twice or spoilt, cancels, drains, moves and
//! time-outs. The invariant is seen from the workers' side: no request that must not be repeated comes whole twice.
mod standin;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use standin::{Arrival, Behaviour, Ledger, SeededRandom, Worker};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Sender};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use wrenseam::core::Core;
use wrenseam::limits::Limits;
use wrenseam::model::{Answer, Client, Endpoint, Payload, Request, TransportProtocol};
use wrenseam::net::{sleep, DirectCalls, SystemCalls};
use wrenseam::process_state::ProcessState;
use wrenseam::queue::{CoreHandle, Message};
use wrenseam_policy::{ClassSettings, Idempotency, KeyScope, Settings, WorkerState};

const SAFE: &str = "safe";
const KEYED: &str = "keyed";
const UNSAFE: &str = "unsafe";

/// How long workers drop repeats of a key, and how late the account may note a call on a busy machine.
const WINDOW: Duration = Duration::from_millis(150);
const SLACK: Duration = Duration::from_millis(400);

/// How long clients wait, ms: the shortest and the longest.
const WAITS: (u32, u32) = (80, 1_500);

const REQUESTS: u64 = 150;
const WORKERS: usize = 6;

/// How much goes wrong, in hundredths.
#[derive(Clone, Copy, Debug)]
struct Mix {
    seed: u64,
    workers: u32,
    writes: u32,
    connects: u32,
    leaves: u32,
    news: u32,
    hedging: bool,
}

fn mixes() -> impl Strategy<Value = Mix> {
    (
        any::<u64>(),
        10..90u32,
        0..50u32,
        0..25u32,
        0..20u32,
        0..10u32,
        any::<bool>(),
    )
        .prop_map(
            |(seed, workers, writes, connects, leaves, news, hedging)| Mix {
                seed,
                workers,
                writes,
                connects,
                leaves,
                news,
                hedging,
            },
        )
}

/// System calls that fail, come short, or return late.
struct Troubled {
    mix: Mix,
    die: SeededRandom,
}

impl SystemCalls for Troubled {
    fn connect(&self, address: &SocketAddr, within: Duration) -> io::Result<may::net::TcpStream> {
        if self.die.percent(self.mix.connects) {
            match self.die.below(3) {
                0 => return Err(io::Error::from_raw_os_error(101)), // ENETUNREACH
                1 => return Err(io::Error::from_raw_os_error(99)),  // EADDRNOTAVAIL
                _ => sleep(Duration::from_millis(self.die.below(1_000).into())),
            }
        }
        DirectCalls.connect(address, within)
    }

    fn write(&self, stream: &may::net::TcpStream, bytes: &[u8]) -> io::Result<usize> {
        if !self.die.percent(self.mix.writes) {
            return DirectCalls.write(stream, bytes);
        }
        match self.die.below(8) {
            0 => Err(io::ErrorKind::WouldBlock.into()),
            1 => Err(io::Error::from_raw_os_error(4)), // EINTR
            2 => Err(io::Error::from_raw_os_error(105)), // ENOBUFS
            3 => Err(io::Error::from_raw_os_error(104)), // ECONNRESET
            4 | 5 => {
                let some = 1 + self.die.below(bytes.len() as u32) as usize;
                DirectCalls.write(stream, &bytes[..some])
            }
            _ => {
                let n = DirectCalls.write(stream, bytes)?;
                sleep(Duration::from_millis(self.die.below(30).into())); // others run before it returns
                Ok(n)
            }
        }
    }
}

/// A client connection that notes the answer to each request, by its tag.
struct Answers {
    number: u64,
    got: Mutex<BTreeMap<u64, Vec<&'static str>>>,
}

impl Client for Answers {
    fn answer(&self, tag: u64, answer: Answer) {
        let word = match answer {
            Answer::Served(_) => "served",
            Answer::Rejected { .. } => "refused",
            Answer::Failed => "failed",
        };
        self.got
            .lock()
            .expect("sound")
            .entry(tag)
            .or_default()
            .push(word);
    }

    fn connection(&self) -> u64 {
        self.number
    }
}

fn settings(mix: Mix) -> Settings {
    let class = |name: &str, effect, group| ClassSettings {
        name: name.to_owned(),
        idempotency: effect,
        key_scope: group,
        key_memory: WINDOW.as_micros() as u64,
        latency_objective: 400_000,
        priority_weight: 1.0,
    };
    Settings {
        front_ends: 1,
        classes: vec![
            class(SAFE, Idempotency::Idempotent, KeyScope::All),
            class(KEYED, Idempotency::Keyed, KeyScope::Zone),
            class(UNSAFE, Idempotency::NotIdempotent, KeyScope::All),
        ],
        zones: vec!["zone-0".to_owned(), "zone-1".to_owned()],
        kinds: vec!["std".to_owned()],
        kind_memory_mb: vec![90_000.0],
        keep_alive: 8_000_000,
        load_on_demand: true,
        load_orders: true,
        max_attempts: 5,
        cancellation: true,
        hedging: mix.hedging,
        max_retry_after: 1_000_000,
        slow_start_initial_share: 0.2,
        ..Settings::default()
    }
}

fn member(n: usize, address: SocketAddr, state: WorkerState) -> Endpoint {
    Endpoint {
        id: format!("w{n}"),
        address,
        state,
        started_at: 0,
        zone: format!("zone-{}", n % 2),
        kind: "std".to_owned(),
        cell: Some(n as u64 / 2),
        protocol: protocol(n),
    }
}

fn protocol(n: usize) -> TransportProtocol {
    if n < WORKERS - 2 {
        TransportProtocol::Frames
    } else {
        TransportProtocol::Kserve
    }
}

fn start(n: usize, mix: Mix, die: &SeededRandom, ledger: &Ledger) -> SocketAddr {
    let worker = Worker {
        zone: n % 2,
        fault_percent: mix.workers,
        random: die.clone(),
        ledger: ledger.clone(),
    };
    worker.start(protocol(n))
}

/// A running core before its workers.
struct Play {
    mix: Mix,
    die: SeededRandom,
    ledger: Ledger,
    queue: Sender<Message>,
    addresses: Vec<SocketAddr>,
    answers: Arc<Answers>,
}

impl Play {
    fn start(mix: Mix) -> Play {
        may::config().set_workers(1).set_worker_pin(false); // as the program has it
        let (die, ledger) = (SeededRandom::new(mix.seed), Ledger::default());
        let (queue, inbox) = channel();
        let settings = settings(mix);
        let limits = Arc::new(Limits::new(192, 1024, &settings));
        let calls = Arc::new(Troubled {
            mix,
            die: die.clone(),
        });
        let (reports, shared) = (
            CoreHandle::new(queue.clone()),
            Arc::<ProcessState>::default(),
        );
        let core =
            Core::new(settings, mix.seed, limits, inbox, reports, shared).with_system_calls(calls);
        std::thread::spawn(move || core.run());
        let addresses: Vec<SocketAddr> =
            (0..WORKERS).map(|n| start(n, mix, &die, &ledger)).collect();
        let answers = Arc::new(Answers {
            number: 1,
            got: Mutex::default(),
        });
        let play = Play {
            mix,
            die,
            ledger,
            queue,
            addresses,
            answers,
        };
        for source in [TransportProtocol::Frames, TransportProtocol::Kserve] {
            let of = (0..WORKERS).filter(|&n| protocol(n) == source);
            let members = of
                .map(|n| member(n, play.addresses[n], WorkerState::Ready))
                .collect();
            play.tell(Message::EndpointUpdate {
                source,
                complete: true,
                endpoints: members,
            });
        }
        play
    }

    fn tell(&self, message: Message) {
        self.queue.send(message).expect("the core runs");
    }

    /// A worker drains, is back, or stands elsewhere from now on.
    fn news(&mut self) {
        let n = self.die.below(WORKERS as u32) as usize;
        let state = match self.die.below(3) {
            0 => WorkerState::Draining,
            1 => WorkerState::Ready,
            _ => {
                self.addresses[n] = start(n, self.mix, &self.die, &self.ledger);
                WorkerState::Ready
            }
        };
        let members = vec![member(n, self.addresses[n], state)];
        self.tell(Message::EndpointUpdate {
            source: protocol(n),
            complete: false,
            endpoints: members,
        });
    }

    /// A request of any class; the class, and whether its client leaves.
    fn request(&mut self, id: u64) -> (&'static str, bool) {
        let class = [SAFE, KEYED, UNSAFE, UNSAFE][self.die.below(4) as usize];
        let wait = u64::from(WAITS.0 + self.die.below(WAITS.1 - WAITS.0)) * 1_000;
        let gone = Arc::new(AtomicBool::new(false));
        let request = Request {
            wire_id: id,
            class: class.to_owned(),
            tenant: String::new(),
            function: 1 + u64::from(self.die.below(4)),
            timeout: wait,
            received_at: Instant::now(),
            idempotency_key: (class == KEYED).then(|| format!("key-{id}")),
            is_retry: false,
            memory_mb: 100.0,
            concurrency: 4,
            load_time: 20_000,
            payload: Payload::Bytes(vec![b'x'; self.die.below(4_000) as usize]),
            reserved_bytes: None,
            client_gone: gone.clone(),
            client_probe: None,
        };
        self.tell(Message::Request {
            request,
            client: self.answers.clone(),
            tag: id,
        });
        let leaves = self.die.percent(self.mix.leaves);
        if leaves {
            std::thread::sleep(Duration::from_millis(self.die.below(20).into()));
            gone.store(true, Ordering::Release);
            self.tell(Message::RequestCancelled {
                connection: 1,
                tag: id,
            });
        }
        (class, leaves)
    }
}

/// What is wrong with what came of one request, if anything.
fn breach(class: &str, arrivals: &[Arrival], answers: &[&str]) -> Option<String> {
    for (n, later) in arrivals.iter().enumerate() {
        for earlier in arrivals[..n].iter().filter(|earlier| earlier.ran()) {
            let dropped = earlier.zone == later.zone && later.at - earlier.at <= WINDOW + SLACK;
            if class == UNSAFE || class == KEYED && !dropped {
                return Some(format!("came whole again: {arrivals:?}"));
            }
        }
    }
    let ran = arrivals.iter().any(Arrival::ran);
    if class != SAFE && ran && answers.contains(&"refused") {
        return Some(format!("refused though it may have run: {arrivals:?}"));
    }
    (answers.len() > 1).then(|| format!("answered more than once: {answers:?}"))
}

fn play(mix: Mix) -> Result<(), TestCaseError> {
    let mut play = Play::start(mix);
    let mut asked = BTreeMap::new();
    for id in 1..=REQUESTS {
        std::thread::sleep(Duration::from_millis(play.die.below(8).into()));
        if play.die.percent(mix.news) {
            play.news();
        }
        asked.insert(id, play.request(id));
    }
    let owed = |play: &Play| {
        let got = play.answers.got.lock().expect("sound");
        asked
            .iter()
            .filter(|(id, (_, leaves))| !leaves && !got.contains_key(id))
            .count()
    };
    let since = Instant::now();
    while owed(&play) > 0 && since.elapsed() < Duration::from_secs(20) {
        std::thread::sleep(Duration::from_millis(10));
    }
    prop_assert_eq!(owed(&play), 0, "requests without an answer: {:?}", mix);
    std::thread::sleep(Duration::from_millis(100)); // what is under way comes
    let (ledger, got) = (
        play.ledger.lock().expect("sound"),
        play.answers.got.lock().expect("sound"),
    );
    let none = (Vec::new(), Vec::new());
    for (id, (class, _)) in &asked {
        let arrivals = ledger.get(id).unwrap_or(&none.0);
        let wrong = breach(class, arrivals, got.get(id).unwrap_or(&none.1));
        prop_assert_eq!(wrong, None, "{} request {} of {:?}", class, id, mix);
    }
    let came = ledger.values().map(Vec::len).sum::<usize>();
    let served = got.values().flatten().filter(|a| **a == "served").count();
    eprintln!("{mix:?}: {came} calls came whole, {served} of {REQUESTS} served");
    prop_assert!(came > 20, "the schedule reaches the workers: {came} calls");
    Ok(())
}

#[test]
fn no_request_that_must_not_be_repeated_comes_whole_twice() {
    let config = Config {
        cases: 12,
        max_shrink_iters: 0,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    runner
        .run(&mixes(), play)
        .unwrap_or_else(|why| panic!("{why}"));
}

/// The account finds what it is to find.
#[test]
fn the_account_sees_a_repeat() {
    let at = Instant::now();
    let behaviour = |ran: bool| {
        if ran {
            Behaviour::Serve
        } else {
            Behaviour::Reject
        }
    };
    let arrival = |zone, ran, ms| Arrival {
        at: at + Duration::from_millis(ms),
        zone,
        behaviour: behaviour(ran),
    };
    let (first, never) = (arrival(0, true, 0), arrival(0, false, 0));
    assert!(breach(UNSAFE, &[first, arrival(0, true, 9)], &[]).is_some());
    assert!(breach(UNSAFE, &[never, arrival(0, true, 9)], &["served"]).is_none());
    assert!(breach(KEYED, &[first, arrival(0, true, 9)], &["served"]).is_none());
    assert!(
        breach(KEYED, &[first, arrival(1, true, 9)], &[]).is_some(),
        "in another zone"
    );
    assert!(
        breach(KEYED, &[first, arrival(0, true, 600)], &[]).is_some(),
        "past the window"
    );
    assert!(breach(SAFE, &[first, arrival(1, true, 300)], &["served"]).is_none());
    assert!(breach(UNSAFE, &[first], &["refused"]).is_some());
    assert!(breach(UNSAFE, &[never], &["refused"]).is_none());
    assert!(breach(SAFE, &[first], &["served", "served"]).is_some());
}
