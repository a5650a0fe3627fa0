//! What an idle process takes.
use super::{exact, listed, measured, mib, ms, over, ACROSS, PART, SETTLE};
use crate::harness::{hollow, parts, Board, Program, Told};
use crate::{Fault, Sweep};

pub(super) fn idle(sizes: &[u64], seed: u64) -> Result<Vec<Sweep>, Fault> {
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
