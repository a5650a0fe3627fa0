//! Measures the resources that one front end process uses in a large fleet. Runs simulated workers that speak the frame
//! protocol, peers that gossip, and KServe v2 clients whose calls reach most of the workers. Ends by itself after some
//! seconds of calls and prints the result as a table. The arguments are the numbers of workers and of front ends:
//! `cargo build --release && cargo run --release --example large_fleet -- 700 350`
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{mpsc, Arc};
use std::time::{Duration, Instant};
use wrenseam::process_state::ProcessState;
use wrenseam::queue::CoreHandle;
use wrenseam::worker::frames::encode;

/// Duration of the calls, in seconds.
const SECONDS: u64 = 12;
const CLIENTS: usize = 200;
const CLASS: &str = "tile-render";

fn spawn_thread(run: impl FnOnce() + Send + 'static) {
    std::thread::Builder::new()
        .stack_size(128 * 1024)
        .spawn(run)
        .expect("a thread");
}

/// Answers all calls (code 2) and load orders (code 6) on a worker connection until it is closed. A frame from a worker
/// starts with the byte 127.
fn serve(mut stream: TcpStream) {
    let mut head = [0u8; 16];
    while stream.read_exact(&mut head).is_ok() {
        let fields = usize::from(u16::from_be_bytes([head[2], head[3]]));
        let body = u32::from_be_bytes([head[4], head[5], head[6], head[7]]) as usize;
        let mut rest = vec![0; fields + body + 4];
        if stream.read_exact(&mut rest).is_err() {
            return;
        }
        let id = u64::from_be_bytes(head[8..].try_into().expect("eight bytes"));
        let answer_fields = if head[1] == 6 {
            "slots_up=1"
        } else {
            "detail=resident"
        };
        if matches!(head[1], 2 | 6) {
            std::thread::sleep(Duration::from_millis(5));
            let mut answer = encode(200, id, answer_fields, &rest[fields..fields + body]);
            answer[0] = 127;
            if stream.write_all(&answer).is_err() {
                return;
            }
        }
    }
}

/// Starts a worker and returns its address. Its first connection increments `called_workers`.
fn start_worker(called_workers: Arc<AtomicUsize>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    spawn_thread(move || {
        for (n, stream) in listener.incoming().flatten().enumerate() {
            called_workers.fetch_add(usize::from(n == 0), Ordering::Relaxed);
            let _ = stream.set_nodelay(true);
            spawn_thread(move || serve(stream));
        }
    });
    address
}

/// Calls random functions on one persistent connection until the given time.
fn run_client(
    to: SocketAddr,
    seed: u64,
    until: Instant,
    answered: &AtomicUsize,
    served: &AtomicUsize,
) {
    let Ok(mut stream) = TcpStream::connect(to) else {
        return;
    };
    let Ok(reader) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(reader);
    let mut n = seed;
    while Instant::now() < until {
        n = n
            .wrapping_mul(6364136223846793005)
            .wrapping_add(1442695040888963407);
        let body = format!(
            r#"{{"id":"{n:016x}","parameters":{{"class":"{CLASS}","tenant":"acme","wait_ms":2000,"memory_mb":500,"lanes":4,"load_ms":600}},"inputs":[]}}"#
        );
        let function = (n >> 33) % 4_000 + 1;
        let head = format!(
            "POST /v2/models/{function:016x}/infer HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        if stream.write_all(head.as_bytes()).is_err() {
            return;
        }
        let (mut status_line, mut length) = (String::new(), 0);
        if reader.read_line(&mut status_line).is_err() || status_line.is_empty() {
            return;
        }
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).is_err() || line.trim().is_empty() {
                break;
            }
            if let Some(value) = line.to_ascii_lowercase().strip_prefix("content-length:") {
                length = value.trim().parse().unwrap_or(0);
            }
        }
        let mut rest = vec![0; length];
        if reader.read_exact(&mut rest).is_err() {
            return;
        }
        answered.fetch_add(1, Ordering::Relaxed);
        served.fetch_add(
            usize::from(status_line.contains(" 200 ")),
            Ordering::Relaxed,
        );
        std::thread::sleep(Duration::from_millis(150));
    }
}

#[allow(clippy::too_many_lines)] // a script that sets up one measurement
fn main() {
    let mut sizes = std::env::args()
        .skip(1)
        .filter_map(|argument| argument.parse::<usize>().ok());
    let (workers, peers) = (sizes.next().unwrap_or(700), sizes.next().unwrap_or(350));
    let directory = std::env::temp_dir().join(format!("large-fleet-{}", std::process::id()));
    std::fs::create_dir_all(&directory).expect("directory created");
    let called_workers = Arc::new(AtomicUsize::new(0));
    let instances: Vec<String> = (0..workers)
        .map(|worker| {
            let address = start_worker(called_workers.clone());
            format!(
                r#"{{"instanceId":"s-{worker:08x}","hostPort":"{address}","zone":"hall-a","machineType":"std","cell":0,"lifecycle":"ready","weight":1,"startedAtMs":0}}"#
            )
        })
        .collect();
    let write = |name: &str, text: String| {
        std::fs::write(directory.join(name), text).expect("written");
        directory.join(name)
    };
    let config = write(
        "config.json",
        format!(
            r#"{{"name":"n0","listen":"127.0.0.1:0","seed":"1","limits":{{"memory_mb":192,"sockets":1024}},
            "known":{{"rev":1,"notices":[{{"rev":1,"pool":{{"generation":1,"reset":true,"instances":[{}]}}}}]}},
            "settings":{{"balancers":{peers},"index":0,"classes":[{{"effect":"retryable","goal-time":400,"name":"{CLASS}","worth":1}}],
            "failure-domains":["hall-a"],"flavors":["std"],"tenants":[{{"name":"acme","portion":1,"quota-per-s":100000}}],
            "family-info":{{"keep":8000,"load-wait":4000,"machine-mb":[30000],"orders":true,"tells-warm":true,"when-absent":"load"}},
            "limits":{{"conn-idle":15000,"connect-timeout":250,"max-attempts":3,"may-cancel":true,"retry-after":true,"max-retry-after":1000,"streams-per-conn":100}},
            "rules":{{"cold-from":0.2,"fall":1000,"fall-multiple":2,"warm-within":17000}}}}}}"#,
            instances.join(",")
        ),
    );
    let kserve = write("kserve.json", r#"{"listen":"127.0.0.1:0"}"#.to_owned());
    let fleet = write(
        "fleet.json",
        format!(r#"{{"listen":"127.0.0.1:0","seeds":[],"cluster":"large","expected":{peers}}}"#),
    );
    let program = std::env::current_exe().expect("own path");
    let program = program
        .ancestors()
        .nth(2)
        .expect("examples/..")
        .join("wrenseam");
    let mut child = Command::new(&program)
        .env("NODE_CONFIG", config)
        .env("NODE_LISTEN", "127.0.0.1:0")
        .env("WRENSEAM_KSERVE", kserve)
        .env("WRENSEAM_FLEET", &fleet)
        .stderr(Stdio::piped())
        .spawn()
        .expect("a release build of wrenseam");
    let mut lines = BufReader::new(child.stderr.take().expect("piped stderr"))
        .lines()
        .map_while(Result::ok);
    let (mut front, mut gossip) = (None, None);
    while front.is_none() || gossip.is_none() {
        let line = lines.next().expect("start lines with the addresses");
        let address = || {
            line.rsplit_once(" listens on ")
                .and_then(|(_, text)| text.parse::<SocketAddr>().ok())
        };
        front = front.or(address().filter(|_| line.contains("KServe v2")));
        gossip = gossip.or(address().filter(|_| line.contains("gossip")));
    }
    let log = directory.join("log");
    let mut log = std::fs::File::create(log).expect("log file created");
    spawn_thread(move || lines.for_each(|line| drop(writeln!(log, "{line}"))));
    let (front, gossip) = (front.expect("found above"), gossip.expect("found above"));
    may::config().set_workers(2);
    let mut status_receivers = Vec::new(); // kept until the end: a peer's gossip stops once its core's queue is closed
    for n in 1..peers {
        let (core, statuses) = mpsc::channel();
        let mut file =
            wrenseam::config::FleetConfig::read(&fleet.display().to_string()).expect("read");
        file.seeds = vec![gossip];
        wrenseam::gossip::start(
            &file,
            n as u64,
            CoreHandle::new(core),
            Arc::new(ProcessState::default()),
            64 * 1024,
        )
        .expect("a peer");
        status_receivers.push(statuses);
    }
    let until = Instant::now() + Duration::from_secs(SECONDS);
    let (answered, served) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    for n in 0..CLIENTS {
        let (answered, served) = (answered.clone(), served.clone());
        spawn_thread(move || run_client(front, n as u64 + 1, until, &answered, &served));
    }
    let proc_directory = format!("/proc/{}", child.id());
    let (mut memory, mut threads, mut descriptors) = (0, 0, 0);
    while Instant::now() < until {
        let status =
            std::fs::read_to_string(format!("{proc_directory}/status")).unwrap_or_default();
        let value_of = |name: &str| {
            let line = status.lines().find_map(|line| line.strip_prefix(name));
            line.and_then(|line| line.split_whitespace().next()?.parse::<usize>().ok())
                .unwrap_or(0)
        };
        memory = memory.max(value_of("VmRSS:"));
        threads = threads.max(value_of("Threads:"));
        descriptors = descriptors
            .max(std::fs::read_dir(format!("{proc_directory}/fd")).map_or(0, Iterator::count));
        std::thread::sleep(Duration::from_millis(20));
    }
    let ended = child.try_wait().ok().flatten();
    let _ = child.kill();
    let _ = child.wait();
    println!("| workers | peers | clients | workers called | answered | served | memory, MB | threads | descriptors | ended |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    println!(
        "| {workers} | {peers} | {CLIENTS} | {} | {} | {} | {:.0} | {threads} | {descriptors} | {} |",
        called_workers.load(Ordering::Relaxed),
        answered.load(Ordering::Relaxed),
        served.load(Ordering::Relaxed),
        memory as f64 / 1024.0,
        ended.map_or("no".to_owned(), |e| e.to_string()),
    );
    let _ = std::fs::remove_dir_all(directory);
}
