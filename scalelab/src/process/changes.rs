//! What list changes take.
use super::{exact, listed, measured, mib, replaced, ACROSS, LIST, PART, SETTLE};
use crate::harness::{hollow, parts, Board, Program, Told};
use crate::{Fault, Sweep};
use std::time::Instant;

pub(super) fn changes(sizes: &[u64], seed: u64) -> Result<Vec<Sweep>, Fault> {
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
