//! Fits, tables and charts of experiments, and the rejection of sizes and names that cannot be run.
use rstest::rstest;
use scalelab::{chart, Column, Experiment, ExperimentError, Fit, Sweep};

/// An experiment that measures nothing.
const NONE: Experiment = Experiment {
    name: "none",
    about: "Nothing.",
    sizes: &[1, 2, 3, 4],
    bound: 100,
    run: |_, _| Ok(vec![]),
};

#[rstest]
#[case::flat(&[(1., 5.), (10., 5.), (100., 5.), (1000., 5.)], 0.0, 5.0, 1.0, Some(0.0))]
#[case::linear(&[(1., 3.), (2., 6.), (3., 9.), (4., 12.)], 3.0, 0.0, 1.0, Some(1.0))]
#[case::offset(&[(0., 10.), (10., 30.), (20., 50.)], 2.0, 10.0, 1.0, None)]
#[case::quadratic(&[(1., 1.), (2., 4.), (4., 16.), (8., 64.)], 9.26087, -13.47826, 0.96213, Some(2.0))]
fn a_fit_yields_the_line_and_the_exponent(
    #[case] points: &[(f64, f64)],
    #[case] slope: f64,
    #[case] intercept: f64,
    #[case] r2: f64,
    #[case] exponent: Option<f64>,
) {
    let fit = Fit::of(points).expect("two sizes or more");
    let near = |actual: f64, expected: f64| (actual - expected).abs() < 1e-3;
    assert!(
        near(fit.slope, slope) && near(fit.intercept, intercept) && near(fit.r2, r2),
        "{fit:?}"
    );
    assert_eq!(fit.exponent.is_some(), exponent.is_some(), "{fit:?}");
    assert!(
        near(fit.exponent.unwrap_or(0.0), exponent.unwrap_or(0.0)),
        "{fit:?}"
    );
}

#[rstest]
#[case::one_size(&[(1., 1.), (1., 2.)])]
#[case::no_points(&[])]
#[case::infinite(&[(1., 1.), (2., f64::INFINITY)])]
fn points_without_a_slope_have_no_fit(#[case] points: &[(f64, f64)]) {
    assert_eq!(Fit::of(points), None);
}

#[rstest]
#[case::defaults(&[], Ok(vec![1, 2, 3, 4]))]
#[case::requested(&[9, 7, 8, 7, 5], Ok(vec![5, 7, 8, 9]))]
#[case::above_the_bound(&[1, 2, 3, 101], Err(ExperimentError::SizeOutOfBounds { asked: 101, bound: 100 }))]
#[case::zero(&[0, 1, 2, 3], Err(ExperimentError::SizeOutOfBounds { asked: 0, bound: 100 }))]
#[case::too_few(&[1, 2, 2, 3], Err(ExperimentError::TooFewSizes { given: 3, least: 4 }))]
fn sizes_are_sorted_and_checked(
    #[case] requested: &[u64],
    #[case] expected: Result<Vec<u64>, ExperimentError>,
) {
    assert_eq!(NONE.sizes(requested), expected);
}

#[test]
fn a_sweep_prints_its_table_fits_and_chart() {
    let columns = vec![
        Column {
            name: "bytes",
            exact: true,
        },
        Column {
            name: "us",
            exact: false,
        },
    ];
    let rows = (1..=4u64)
        .map(|size| (size, vec![7.0, size as f64]))
        .collect();
    let sweep = Sweep {
        title: "Seven".into(),
        varied: "x",
        columns,
        rows,
    };
    let markdown = sweep.markdown();
    assert!(markdown.contains("| 4 | 7.00 | 4.00 |"), "{markdown}");
    assert!(
        markdown.contains("| bytes (exact) | 0 |") && markdown.contains("| us | 1.00 |"),
        "{markdown}"
    );
    let path = std::env::temp_dir().join(format!("scalelab-{}.svg", std::process::id()));
    chart::draw(&sweep, &path).expect("drawn");
    assert!(std::fs::read_to_string(&path)
        .expect("written")
        .contains("bytes (largest 7.00)"));
    std::fs::remove_file(path).expect("removed");
}

/// From the command line, an unknown experiment is reported on standard error with exit status 2.
#[rstest]
#[case::unknown(&["run", "no-such"], "no experiment is named no-such")]
fn the_command_reports_an_error_and_exits(#[case] arguments: &[&str], #[case] message: &str) {
    let output = std::process::Command::new(env!("CARGO_BIN_EXE_scalelab"))
        .args(arguments)
        .output()
        .expect("runs");
    assert_eq!(output.status.code(), Some(2));
    assert!(
        String::from_utf8_lossy(&output.stderr).contains(message),
        "{output:?}"
    );
}
