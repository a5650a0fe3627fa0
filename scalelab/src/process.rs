//! Real processes on loopback: what an idle one takes, list changes, a list read anew, starts, a fleet, cold starts.
use crate::rig::{self, event, hollow, instance, parts, until, Board, Program, Told, Usage};
use crate::yard::{Work, Yard};
use crate::{Column, Experiment, Fault, Sweep};
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The experiments of this file.
pub const EXPERIMENTS: &[Experiment] = &[
    Experiment {
        name: "idle",
        about: "One process that nobody calls, against the workers its board has told (in events of 4,000).",
        sizes: &[500, 1_000, 2_000, 4_000, 10_000],
        bound: 20_000,
        run: idle,
    },
    Experiment {
        name: "changes",
        about: "One process that nobody calls, against the instances replaced a second, before 1,000 and 4,000 workers.",
        sizes: &[1, 5, 20, 80],
        bound: 200,
        run: changes,
    },
    Experiment {
        name: "anew",
        about: "One process whose board was cut and tells the whole list anew, against the workers in it.",
        sizes: &[1_000, 2_000, 4_000, 10_000, 20_000],
        bound: 20_000, // one event of the board is at most a 64th of the memory limit: 3 MiB
        run: anew,
    },
    Experiment {
        name: "redial",
        about: "Processes whose board was cut and that all read it anew while it changes, 4,000 workers, against their number.",
        sizes: &[1, 10, 30, 79],
        bound: 100,
        run: redial,
    },
    Experiment {
        name: "restart",
        about: "Processes started at once before one board of 4,000 workers, against their number.",
        sizes: &[1, 10, 30, 79],
        bound: 100,
        run: restart,
    },
    Experiment {
        name: "fleet",
        about: "Real processes that gossip (a probe each 0.5 s, 100 workers listed), against their number.",
        sizes: &[10, 30, 60, 120],
        bound: 200, // some 10 MB each, and half of the machine at the most
        run: fleet,
    },
    Experiment {
        name: "cold",
        about: "300 calls, each of a function loaded nowhere, against the time in ms that its load takes; 1,000 workers.",
        sizes: &[50, 100, 200, 400],
        bound: 2_000,
        run: cold,
    },
];

/// Instances in one event of the board: 4,000 take 0.57 MB, and 1 MiB is the most.
pub const PART: usize = 4_000;
const ACROSS: Duration = Duration::from_secs(10); // what processor time is taken over
const SETTLE: Duration = Duration::from_secs(2);
/// The list of the tests that vary something else, in workers.
const LIST: u64 = 4_000;
/// Calls of a cold start's test, and how many are out at a time.
const CALLS: u64 = 300;
const CALLERS: u64 = 4;

fn measured(name: &'static str) -> Column {
    Column { name, exact: false }
}

fn exact(name: &'static str) -> Column {
    Column { name, exact: true }
}

fn mib(kib: u64) -> f64 {
    kib as f64 / 1024.0
}

fn ms(time: Duration) -> f64 {
    time.as_secs_f64() * 1000.0
}

/// A part of some times, ms; 0 of none.
pub fn part_of(times: &mut [f64], part: f64) -> f64 {
    times.sort_by(f64::total_cmp);
    let last = times.len().saturating_sub(1);
    times
        .get((last as f64 * part).round() as usize)
        .copied()
        .unwrap_or(0.0)
}

/// Waits until a process has taken so many members.
fn listed(program: &mut Program, workers: u64) -> Result<(), Fault> {
    let mut seen = 0;
    until("the whole list is taken", Duration::from_millis(10), || {
        seen += program
            .news()
            .lines()
            .filter(|l| l.starts_with("endpoint "))
            .count() as u64;
        seen >= workers
    })
}

fn over(program: &Program, time: Duration) -> Result<(Usage, Usage), Fault> {
    let before = program.usage()?;
    std::thread::sleep(time);
    Ok((before, program.usage()?))
}

fn idle(sizes: &[u64], seed: u64) -> Result<Vec<Sweep>, Fault> {
    let mut rows = Vec::new();
    for &workers in sizes {
        let board = Board::start(parts(&hollow(workers), PART))?;
        let told = Told {
            board: Some(board.address),
            seed,
            ..Told::default()
        };
        let mut program = Program::start(&told)?;
        listed(&mut program, workers)?;
        let (whole, started) = (program.since.elapsed(), program.usage()?);
        std::thread::sleep(SETTLE);
        let (before, after) = over(&program, ACROSS)?;
        rows.push((
            workers,
            vec![
                after.share(&before),
                after.core_share(&before),
                mib(after.rss),
                board.bytes() as f64,
                ms(whole),
                ms(started.cpu),
            ],
        ));
    }
    let columns = vec![
        measured("% of a core, idle"),
        measured("of it the core's thread"),
        measured("RSS, MiB"),
        exact("bytes of the list at a start"),
        measured("ms from exec to the whole list"),
        measured("ms of processor to there"),
    ];
    let title = "An idle process against the workers listed; 10 s each, nobody calls".to_owned();
    Ok(vec![Sweep {
        title,
        varied: "workers",
        columns,
        rows,
    }])
}

/// The event in which worker `n` of a list gives way to a new one at its address.
fn replaced(rev: u64, n: u64, workers: u64) -> String {
    let (round, place) = (n / workers, n % workers);
    let address = format!(
        "127.{}.{}.{}:8443",
        1 + (place >> 16),
        (place >> 8) & 255,
        place & 255
    );
    let id = |round: u64| place + round * 0x10_0000;
    let now = [
        instance(id(round), &address, "gone"),
        instance(id(round + 1), &address, "ready"),
    ];
    event(rev, false, &now)
}

fn changes(sizes: &[u64], seed: u64) -> Result<Vec<Sweep>, Fault> {
    let mut sweeps = Vec::new();
    for workers in [1_000, LIST] {
        let mut rows = Vec::new();
        for &rate in sizes {
            let board = Board::start(parts(&hollow(workers), PART))?;
            let told = Told {
                board: Some(board.address),
                seed,
                ..Told::default()
            };
            let mut program = Program::start(&told)?;
            listed(&mut program, workers)?;
            std::thread::sleep(SETTLE);
            let (list, before, since) = (board.bytes(), program.usage()?, Instant::now());
            let count = rate * ACROSS.as_secs();
            for n in 0..count {
                let due = since + ACROSS.mul_f64((n + 1) as f64 / count as f64);
                std::thread::sleep(due.saturating_duration_since(Instant::now()));
                board.tell(2 + n, replaced(2 + n, n, workers));
            }
            let after = program.usage()?;
            listed(&mut program, 2 * count)?;
            let bytes = (board.bytes() - list) as f64;
            rows.push((
                rate,
                vec![
                    after.share(&before),
                    after.core_share(&before),
                    bytes / count as f64,
                    bytes / ACROSS.as_secs_f64(),
                    mib(after.rss) - mib(before.rss),
                ],
            ));
        }
        let columns = vec![
            measured("% of a core"),
            measured("of it the core's thread"),
            exact("bytes a change"),
            exact("bytes/s"),
            measured("MiB grown in 10 s"),
        ];
        let title = format!(
            "List changes: one process, {workers} workers, each change an instance replaced"
        );
        sweeps.push(Sweep {
            title,
            varied: "changes a second",
            columns,
            rows,
        });
    }
    Ok(sweeps)
}

/// The worker that shows in a log that what was told last has been taken.
fn marker(n: u64) -> (String, String) {
    let id = 0xF000_0000 + n;
    (
        instance(id, &format!("127.200.0.{n}:8443"), "ready"),
        format!("endpoint s-{id:08x}: Ready"),
    )
}

/// What it took to have the whole list again.
#[derive(Clone, Copy, Debug)]
pub struct Anew {
    pub bytes: u64,
    pub calls: u64,
    pub time: Duration,
    pub cpu: Duration,
}

/// Cuts the board of one process and has it tell the whole list of one worker more, after so many events that the
/// process missed.
///
/// # Errors
/// The process does not come up, or never has the list.
pub fn told_anew(workers: u64, missed: u64, seed: u64) -> Result<Anew, Fault> {
    let mut list = hollow(workers);
    let board = Board::start(vec![(1, event(1, true, &list))])?;
    let told = Told {
        board: Some(board.address),
        seed,
        ..Told::default()
    };
    let mut program = Program::start(&told)?;
    listed(&mut program, workers)?;
    let (shown, says) = marker(1);
    list.push(shown);
    board.cut(vec![(1 + missed, event(1 + missed, true, &list))]);
    until(
        "the process has lost its board",
        Duration::from_millis(5),
        || board.turned_away() > 1,
    )?;
    let (bytes, calls, before, since) = (
        board.bytes(),
        board.calls(),
        program.usage()?,
        Instant::now(),
    );
    board.up();
    program.says(&says)?;
    let (time, after) = (since.elapsed(), program.usage()?);
    let (bytes, calls) = (board.bytes() - bytes, board.calls() - calls);
    Ok(Anew {
        bytes,
        calls,
        time,
        cpu: after.cpu - before.cpu,
    })
}

fn anew(sizes: &[u64], seed: u64) -> Result<Vec<Sweep>, Fault> {
    let mut rows = Vec::new();
    for &workers in sizes {
        let mut row = Vec::new();
        // One event missed, or five, so that the numbers show a gap.
        for missed in [1, 5] {
            let Anew {
                bytes,
                calls,
                time,
                cpu,
            } = told_anew(workers, missed, seed)?;
            row.extend([bytes as f64, calls as f64, ms(time), ms(cpu)]);
        }
        rows.push((workers, row));
    }
    let columns = vec![
        exact("bytes, one event missed"),
        exact("calls of the board"),
        measured("ms to have it"),
        measured("ms of processor"),
        exact("bytes, five events missed"),
        exact("calls of the board "),
        measured("ms to have it "),
        measured("ms of processor "),
    ];
    let title = "The whole list told anew after a cut board, one process".to_owned();
    Ok(vec![Sweep {
        title,
        varied: "workers",
        columns,
        rows,
    }])
}

fn redial(sizes: &[u64], seed: u64) -> Result<Vec<Sweep>, Fault> {
    let mut sweeps = Vec::new();
    for (whole, title) in [
        (false, "A cut board that tells what was missed; 4,000 workers, 10 more changes within a second"),
        (true, "A cut board that tells the whole list anew; 4,000 workers, 10 more changes within a second"),
    ] {
        let mut rows = Vec::new();
        for &processes in sizes {
            let mut list = hollow(LIST);
            let board = Board::start(vec![(1, event(1, true, &list))])?;
            let told = |index| Told {
                board: Some(board.address),
                index,
                seed: seed + index as u64,
                known: (1, vec![event(1, true, &list)]),
                ..Told::default()
            };
            let mut programs =
                (0..processes as usize).map(|i| Program::spawn(&told(i))).collect::<Result<Vec<_>, _>>()?;
            for program in &mut programs {
                program.listening()?;
                listed(program, LIST)?;
            }
            until("all hang on the board", Duration::from_millis(20), || board.calls() >= processes)?;
            let missed: Vec<_> = (0..5).map(|n| (2 + n, replaced(2 + n, n, LIST))).collect();
            list[..5].clone_from_slice(
                &(0..5)
                    .map(|n| instance(n + 0x10_0000, &format!("127.1.0.{n}:8443"), "ready"))
                    .collect::<Vec<_>>(),
            );
            board.cut(if whole { vec![(6, event(6, true, &list))] } else { missed });
            let lost = || board.turned_away() > 3 * processes;
            until("all have lost their board", Duration::from_millis(20), lost)?;
            let before = programs.iter().map(Program::usage).collect::<Result<Vec<_>, _>>()?;
            let (bytes, calls, since) = (board.bytes(), board.calls(), Instant::now());
            board.up();
            for n in 0..10 {
                let due = since + Duration::from_millis(100 * (n + 1));
                std::thread::sleep(due.saturating_duration_since(Instant::now()));
                let last = (n == 9).then(|| event(7 + n, false, &[marker(1).0]));
                board.tell(7 + n, last.unwrap_or_else(|| replaced(7 + n, 100 + n, LIST)));
            }
            let says = marker(1).1;
            for program in &mut programs {
                program.says(&says)?;
            }
            let time = since.elapsed();
            let mut spent = Vec::new();
            for (program, before) in programs.iter().zip(&before) {
                spent.push(ms(program.usage()?.cpu - before.cpu));
            }
            let each = |all: u64| all as f64 / processes as f64;
            rows.push((
                processes,
                vec![
                    each(board.bytes() - bytes),
                    each(board.calls() - calls),
                    ms(time) - 1000.0,
                    part_of(&mut spent, 0.5),
                    part_of(&mut spent, 1.0),
                ],
            ));
        }
        let columns = vec![
            measured("bytes each"),
            measured("calls of the board each"),
            measured("ms from the last change to the last that has it"),
            measured("ms of processor each, median"),
            measured("most"),
        ];
        sweeps.push(Sweep { title: title.to_owned(), varied: "processes", columns, rows });
    }
    Ok(sweeps)
}

fn restart(sizes: &[u64], seed: u64) -> Result<Vec<Sweep>, Fault> {
    let mut sweeps = Vec::new();
    for (known, title) in [
        (
            false,
            "Processes started at once; the board tells 4,000 workers; one core for all",
        ),
        (
            true,
            "Processes started at once; their configuration tells 4,000 workers; one core for all",
        ),
    ] {
        let mut rows = Vec::new();
        for &processes in sizes {
            let list = event(1, true, &hollow(LIST));
            let board = Board::start(vec![(1, list.clone())])?;
            let told = |index| Told {
                board: Some(board.address),
                index,
                seed: seed + index as u64,
                known: if known {
                    (1, vec![list.clone()])
                } else {
                    (0, Vec::new())
                },
                ..Told::default()
            };
            let programs = (0..processes as usize)
                .map(|i| Program::spawn(&told(i)))
                .collect::<Result<Vec<_>, _>>()?;
            let (done, times) = std::sync::mpsc::channel();
            let waits: Vec<_> = programs
                .into_iter()
                .map(|mut program| {
                    let done = done.clone();
                    move || {
                        let up = program.listening().and_then(|()| {
                            until("ready", Duration::from_millis(20), || program.is_ready())?;
                            Ok((ms(program.since.elapsed()), program.usage()?))
                        });
                        let _ = done.send(up.map(|(time, usage)| (time, usage, program)));
                    }
                })
                .collect();
            for wait in waits {
                rig::thread(wait)?;
            }
            drop(done);
            let up = times.iter().collect::<Result<Vec<_>, _>>()?;
            let mut waited: Vec<f64> = up.iter().map(|u| u.0).collect();
            let mut spent: Vec<f64> = up.iter().map(|u| ms(u.1.cpu)).collect();
            let mut most: Vec<f64> = up.iter().map(|u| mib(u.1.most)).collect();
            rows.push((
                processes,
                vec![
                    part_of(&mut waited, 0.5),
                    part_of(&mut waited, 0.9),
                    part_of(&mut waited, 1.0),
                    part_of(&mut spent, 0.5),
                    part_of(&mut most, 1.0),
                ],
            ));
        }
        let columns = vec![
            measured("ms from exec to ready, median"),
            measured("nine in ten"),
            measured("last"),
            measured("ms of processor each"),
            measured("most RSS of one, MiB"),
        ];
        sweeps.push(Sweep {
            title: title.to_owned(),
            varied: "processes at once",
            columns,
            rows,
        });
    }
    Ok(sweeps)
}

/// Counts datagrams to one process on their way.
struct Relay {
    address: SocketAddr,
    to: Arc<Mutex<Option<SocketAddr>>>,
    datagrams: Arc<AtomicU64>,
    bytes: Arc<AtomicU64>,
}

impl Relay {
    fn start() -> Result<Relay, Fault> {
        let failed = |e: std::io::Error| Fault::Failed(e.to_string());
        let socket = UdpSocket::bind("127.0.0.1:0").map_err(failed)?;
        let address = socket.local_addr().map_err(failed)?;
        let (to, datagrams, bytes) = (Arc::new(Mutex::new(None)), Arc::default(), Arc::default());
        let relay = Relay {
            address,
            to,
            datagrams,
            bytes,
        };
        let (to, datagrams, bytes) = (
            relay.to.clone(),
            relay.datagrams.clone(),
            relay.bytes.clone(),
        );
        rig::thread(move || {
            let mut buffer = [0u8; 65_536];
            while let Ok((n, _)) = socket.recv_from(&mut buffer) {
                datagrams.fetch_add(1, Ordering::Relaxed);
                bytes.fetch_add(n as u64, Ordering::Relaxed);
                if let Some(to) = *rig::lock(&to) {
                    let _ = socket.send_to(&buffer[..n], to); // one that has ended takes none
                }
            }
        })?;
        Ok(relay)
    }
}

fn fleet(sizes: &[u64], seed: u64) -> Result<Vec<Sweep>, Fault> {
    let mut rows = Vec::new();
    for &processes in sizes {
        let list = event(1, true, &hollow(100));
        let relays = (0..processes)
            .map(|_| Relay::start())
            .collect::<Result<Vec<_>, _>>()?;
        let seeds = format!(r#""{}""#, relays[0].address);
        let mut programs = Vec::new();
        for (index, relay) in relays.iter().enumerate() {
            let file = format!(
                r#"{{"listen":"127.0.0.1:0","advertise":"{}","seeds":[{}],"cluster":"scale","expected":{processes}}}"#,
                relay.address,
                if index == 0 { "" } else { &seeds }
            );
            let known = (1, vec![event(1, true, &[]), list.clone()]);
            let told = Told {
                known,
                index,
                seed: seed + index as u64,
                fleet: Some(file),
                ..Told::default()
            };
            programs.push(Program::spawn(&told)?);
        }
        let since = Instant::now();
        for (program, relay) in programs.iter_mut().zip(&relays) {
            program.listening()?;
            *rig::lock(&relay.to) = program.gossip;
        }
        let alive = |p: &Program| p.gauge("app.fleet.peers") == Some(processes - 1);
        for program in &programs {
            until("all count all", Duration::from_millis(50), || {
                alive(program)
            })?;
        }
        let joined = since.elapsed();
        std::thread::sleep(Duration::from_secs(5));
        let count = || {
            let sum = |of: fn(&Relay) -> &AtomicU64| {
                relays
                    .iter()
                    .map(|r| of(r).load(Ordering::Relaxed))
                    .sum::<u64>()
            };
            (sum(|r| &r.datagrams), sum(|r| &r.bytes))
        };
        let (sent, before) = (
            count(),
            programs
                .iter()
                .map(Program::usage)
                .collect::<Result<Vec<_>, _>>()?,
        );
        std::thread::sleep(ACROSS);
        let (then, after) = (
            count(),
            programs
                .iter()
                .map(Program::usage)
                .collect::<Result<Vec<_>, _>>()?,
        );
        let missing = programs.iter().filter(|p| !alive(p)).count();
        let time = (after[0].at - before[0].at).as_secs_f64() * processes as f64;
        let mut shares: Vec<f64> = before.iter().zip(&after).map(|(b, a)| a.share(b)).collect();
        let mut memory: Vec<f64> = after.iter().map(|a| mib(a.rss)).collect();
        rows.push((
            processes,
            vec![
                (then.0 - sent.0) as f64 / time,
                (then.1 - sent.1) as f64 / time,
                part_of(&mut shares, 0.5),
                part_of(&mut shares, 1.0),
                part_of(&mut memory, 0.5),
                part_of(&mut memory, 1.0),
                joined.as_secs_f64(),
                missing as f64,
            ],
        ));
    }
    let columns = vec![
        measured("datagrams/s sent by each"),
        measured("bytes/s sent by each"),
        measured("% of a core, median"),
        measured("most"),
        measured("RSS, MiB, median"),
        measured("most "),
        measured("s until all counted all"),
        measured("processes that miss one at the end"),
    ];
    let title =
        "A fleet of real processes on one core, all counted alive, 10 s; nobody calls".to_owned();
    Ok(vec![Sweep {
        title,
        varied: "processes",
        columns,
        rows,
    }])
}

/// The parts of a cold start, ms.
struct Parts {
    whole: f64,
    /// To the worker, with a new connection or on one that stands; from the order's answer to the call; back.
    there: f64,
    new: bool,
    between: f64,
    back: f64,
}

fn cold(sizes: &[u64], seed: u64) -> Result<Vec<Sweep>, Fault> {
    let mut rows = Vec::new();
    for &load in sizes {
        let work = Work {
            load: Duration::from_millis(load),
            call: Duration::from_millis(5),
        };
        let yard = Yard::start(1_000, work)?;
        let told = Told {
            known: (1, vec![event(1, true, &yard.list)]),
            seed,
            ..Told::default()
        };
        let program = Program::start(&told)?;
        std::thread::sleep(Duration::from_millis(500));
        let (ended, parts) = std::sync::mpsc::channel();
        for caller in 0..CALLERS {
            let (tally, ended, to) = (yard.tally.clone(), ended.clone(), program.kserve);
            rig::thread(move || {
                let Ok(mut stream) = rig::Caller::connect(to) else {
                    return;
                };
                for n in 0..CALLS / CALLERS {
                    let function = (caller << 32 | n) + 1 + (seed << 40);
                    let sent = Instant::now();
                    let status = stream.call(function, work.load);
                    let (end, seen) = (
                        Instant::now(),
                        rig::lock(&tally.seen).get(&function).copied(),
                    );
                    let part = seen
                        .filter(|_| matches!(status, Ok(200)))
                        .map(|seen| Parts {
                            whole: ms(end - sent),
                            there: ms(seen.came.saturating_duration_since(sent)),
                            new: seen.first,
                            between: if seen.ordered {
                                ms(seen.called - seen.came) - load as f64
                            } else {
                                0.0
                            },
                            back: ms(end.saturating_duration_since(seen.answered)),
                        });
                    let _ = ended.send(part);
                }
            })?;
        }
        drop(ended);
        let all: Vec<Option<Parts>> = parts.iter().collect();
        let served: Vec<&Parts> = all.iter().flatten().collect();
        let of = |part: f64, f: &dyn Fn(&Parts) -> f64| {
            part_of(&mut served.iter().map(|p| f(p)).collect::<Vec<_>>(), part)
        };
        let there = |new: bool| {
            part_of(
                &mut served
                    .iter()
                    .filter(|p| p.new == new)
                    .map(|p| p.there)
                    .collect::<Vec<_>>(),
                0.5,
            )
        };
        let own = |p: &Parts| p.there + p.between + p.back;
        rows.push((
            load,
            vec![
                of(0.5, &|p| p.whole),
                of(0.99, &|p| p.whole),
                of(0.5, &own),
                of(0.99, &own),
                there(true),
                there(false),
                of(0.5, &|p| p.between),
                of(0.5, &|p| p.back),
                100.0 * served.iter().filter(|p| p.new).count() as f64 / served.len().max(1) as f64,
                (CALLS - served.len() as u64) as f64,
            ],
        ));
    }
    let columns = vec![
        measured("whole p50, ms"),
        measured("whole p99"),
        measured("front end's part p50"),
        measured("front end's part p99"),
        measured("there by a new connection p50"),
        measured("there by one that stood p50"),
        measured("order's answer to call p50"),
        measured("back p50"),
        measured("% by a new connection"),
        measured("not served"),
    ];
    let title = format!(
        "A cold start on the wire: {CALLS} calls of new functions, {CALLERS} at a time, call 5 ms"
    );
    Ok(vec![Sweep {
        title,
        varied: "load, ms",
        columns,
        rows,
    }])
}
