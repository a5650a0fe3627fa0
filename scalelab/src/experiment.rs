//! What an experiment is: the thing varied, the sizes it may be asked for, and the table it leaves.
use crate::Fit;

/// One experiment.
pub struct Experiment {
    /// Its name on the command line.
    pub name: &'static str,
    /// What is varied and what is held, in a sentence.
    pub about: &'static str,
    /// The sizes it runs at unless others are named.
    pub sizes: &'static [u64],
    /// Largest size it may be asked for: what memory and time of half a machine bear.
    pub bound: u64,
    /// Runs at the sizes, with the seed; one sweep for each thing that was varied.
    pub run: fn(&[u64], u64) -> Result<Vec<Sweep>, ExperimentError>,
}

/// Why an experiment did not run.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ExperimentError {
    /// A size of 0, or beyond the experiment's bound.
    #[error("size {asked} is not within 1 to {bound}, this test's bound")]
    SizeOutOfBounds {
        /// The size that was asked for.
        asked: u64,
        /// The largest size that the experiment runs at.
        bound: u64,
    },
    /// A slope needs more sizes than were given.
    #[error("{given} sizes given, a slope needs {least} different ones")]
    TooFewSizes {
        /// Different sizes that were given.
        given: usize,
        /// Different sizes that a slope needs.
        least: usize,
    },
    /// No experiment of this name.
    #[error("no experiment is named {0}; `scalelab list` names them")]
    UnknownExperiment(String),
    /// A process, socket or file failed.
    #[error("{0}")]
    Failed(String),
}

/// Fewest sizes of a slope.
pub const MIN_SIZES: usize = 4;

impl Experiment {
    /// The sizes to run at, sorted, each once: those named, or its own.
    ///
    /// # Errors
    /// A size out of bounds, or fewer than [`MIN_SIZES`] different ones.
    pub fn sizes(&self, named: &[u64]) -> Result<Vec<u64>, ExperimentError> {
        let mut sizes = if named.is_empty() {
            self.sizes.to_vec()
        } else {
            named.to_vec()
        };
        sizes.sort_unstable();
        sizes.dedup();
        if let Some(&asked) = sizes.iter().find(|&&size| size == 0 || size > self.bound) {
            return Err(ExperimentError::SizeOutOfBounds {
                asked,
                bound: self.bound,
            });
        }
        if sizes.len() < MIN_SIZES {
            return Err(ExperimentError::TooFewSizes {
                given: sizes.len(),
                least: MIN_SIZES,
            });
        }
        Ok(sizes)
    }
}

/// A figure measured at each size.
#[derive(Clone, Debug)]
pub struct Column {
    /// What it is, with its unit: `bytes/s each`.
    pub name: &'static str,
    /// Whether it is the same every run (counts and bytes), so that CI may check it.
    pub exact: bool,
}

/// The table of one thing varied.
#[derive(Clone, Debug)]
pub struct Sweep {
    /// A title, and the base point: what was held.
    pub title: String,
    /// What was varied, as the first column's head.
    pub varied: &'static str,
    /// What was measured.
    pub columns: Vec<Column>,
    /// A size and its figures, in the order of the columns.
    pub rows: Vec<(u64, Vec<f64>)>,
}

impl Sweep {
    /// The points of a column.
    pub fn points(&self, column: usize) -> Vec<(f64, f64)> {
        self.rows
            .iter()
            .map(|(x, ys)| (*x as f64, ys[column]))
            .collect()
    }

    /// The fit of a column; `None` as in [`Fit::of`].
    pub fn fit(&self, column: usize) -> Option<Fit> {
        Fit::of(&self.points(column))
    }

    /// The table, and a line for each column's fit with its spread.
    pub fn markdown(&self) -> String {
        let mut text = format!("### {}\n\n| {} |", self.title, self.varied);
        for column in &self.columns {
            text += &format!(" {} |", column.name);
        }
        text += "\n| --- |";
        text += &" --- |".repeat(self.columns.len());
        for (size, figures) in &self.rows {
            text += &format!("\n| {size} |");
            for value in figures {
                text += &format!(" {} |", figure(*value));
            }
        }
        text += "\n\n| fit | slope | ± | at 0 | r2 | largest residual | exponent |\n| --- | --- | --- | --- | --- | --- | --- |\n";
        for (position, column) in self.columns.iter().enumerate() {
            if let Some(fit) = self.fit(position) {
                text += &fit_line(column, &fit);
            }
        }
        text
    }
}

fn fit_line(column: &Column, fit: &Fit) -> String {
    let suffix = if column.exact { " (exact)" } else { "" };
    let exponent = fit
        .exponent
        .map_or("-".to_owned(), |exponent| format!("{exponent:.2}"));
    format!(
        "| {}{suffix} | {} | {} | {} | {:.3} | {:.1}% | {exponent} |\n",
        column.name,
        figure(fit.slope),
        figure(fit.slope_error),
        figure(fit.intercept),
        fit.r2,
        fit.residual * 100.0,
    )
}

/// Three or four digits that count, plain.
pub fn figure(y: f64) -> String {
    match y.abs() {
        a if a == 0.0 || a >= 1000.0 => format!("{y:.0}"),
        a if a >= 100.0 => format!("{y:.1}"),
        a if a >= 1.0 => format!("{y:.2}"),
        a if a >= 0.01 => format!("{y:.4}"),
        _ => format!("{y:.2e}"),
    }
}
