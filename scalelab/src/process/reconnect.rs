//! What a list read anew takes after its board was cut.
use super::{exact, listed, measured, ms, part_of, replaced, LIST};
use crate::harness::{event, hollow, instance, until, Board, Program, Told};
use crate::{Fault, Sweep};
use std::time::{Duration, Instant};

/// The worker that shows in a log that what was told last has been taken.
fn marker(n: u64) -> (String, String) {
    let id = 0xF000_0000 + n;
    (
        instance(id, &format!("127.200.0.{n}:8443"), "ready"),
        format!("member s-{id:08x}: Ready"),
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

pub(super) fn anew(sizes: &[u64], seed: u64) -> Result<Vec<Sweep>, Fault> {
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

pub(super) fn redial(sizes: &[u64], seed: u64) -> Result<Vec<Sweep>, Fault> {
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
