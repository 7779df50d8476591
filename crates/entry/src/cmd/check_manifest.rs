//! `quetzalhill check-manifest NEW`: checks a manifest before an operator sends it.

use super::parse_args;
use anyhow::{ensure, Context, Result};
use argh::FromArgs;
use quetzalhill_core::relay::draft::change::{changes, ChangeKind, DraftChange};
use quetzalhill_core::relay::draft::check::{findings, DraftFinding, FindingSeverity};
use quetzalhill_core::relay::draft::{DraftItem, DraftKey, DraftValue, RoutesDraft};
use quetzalhill_platform::manifest::describe::{
    allowed_values, encode_value, field_name, item_label,
};
use quetzalhill_platform::manifest::draft::{decode_draft, MANIFEST_MAX_BYTES};
use serde_json::{json, Value};
use std::fmt::Write as _;
use std::fs::File;
use std::io::{stdout, Read, Write as _};
use std::process::ExitCode;

/// Exit code if something was found.
const EXIT_FINDINGS: u8 = 1;

/// Exit code if a file cannot be read or decoded.
const EXIT_UNREADABLE: u8 = 2;

/// Longest message about a file that cannot be decoded, in characters; it may quote a value of any length.
const MESSAGE_MAX: usize = 300;

/// Check a manifest before it is sent. Prints one line for each finding and for each difference from the manifest in
/// force. Exits with 0 if nothing is found, with 1 if there are findings, and with 2 if a file cannot be read or
/// decoded. Differences are no findings.
#[derive(Debug, FromArgs)]
struct CheckArgs {
    /// manifest in JSON
    #[argh(positional, arg_name = "NEW")]
    new: String,
    /// manifest in force, in JSON
    #[argh(option, arg_name = "OLD")]
    in_force: Option<String>,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// What the check of a manifest found.
#[derive(Clone, Debug)]
pub struct ManifestReport {
    /// Path of the manifest.
    pub file: String,
    /// What is wrong.
    pub findings: Vec<DraftFinding>,
    /// Differences from the manifest in force; empty if it is not known.
    pub changes: Vec<DraftChange>,
}

/// Runs the command.
///
/// # Errors
///
/// Fails if the report cannot be printed.
pub fn run(argv: &[&str]) -> Result<ExitCode> {
    let args: CheckArgs = match parse_args(argv) {
        Ok(args) => args,
        Err(code) => return Ok(code),
    };
    let report = match execute(&args.new, args.in_force.as_deref()) {
        Ok(report) => report,
        Err(error) => {
            let message: String = format!("{error:#}").chars().take(MESSAGE_MAX).collect();
            eprintln!("quetzalhill: {message}");
            return Ok(ExitCode::from(EXIT_UNREADABLE));
        }
    };
    let text = match args.json {
        true => format!("{}\n", report.to_json()),
        false => report.to_text(),
    };
    stdout()
        .write_all(text.as_bytes())
        .context("printing the report")?;
    Ok(match report.findings.is_empty() {
        true => ExitCode::SUCCESS,
        false => ExitCode::from(EXIT_FINDINGS),
    })
}

/// Checks the manifest in the file `new`, and compares it with the one in the file `in_force`.
///
/// # Errors
///
/// Fails if a file cannot be read or decoded. The error names the file.
pub fn execute(new: &str, in_force: Option<&str>) -> Result<ManifestReport> {
    let draft = read(new)?;
    let old = in_force.map(read).transpose()?;
    let revision = old.as_ref().and_then(|old| old.revision);
    Ok(ManifestReport {
        file: new.into(),
        findings: findings(&draft, revision.unwrap_or_default()),
        changes: old.map_or_else(Vec::new, |old| changes(&old, &draft)),
    })
}

fn read(path: &str) -> Result<RoutesDraft> {
    let mut value = Vec::new();
    let file = File::open(path).with_context(|| format!("reading {path}"))?;
    // One byte more shows that the file is too long. CAST: The limit is far below 2^64.
    let mut start = file.take(MANIFEST_MAX_BYTES as u64 + 1);
    start
        .read_to_end(&mut value)
        .with_context(|| format!("reading {path}"))?;
    ensure!(
        value.len() <= MANIFEST_MAX_BYTES,
        "{path} has more than {MANIFEST_MAX_BYTES} bytes"
    );
    decode_draft(&value).with_context(|| format!("decoding {path}"))
}

impl ManifestReport {
    /// Formats the report as text: a line for each finding and each difference.
    pub fn to_text(&self) -> String {
        let mut text = String::new();
        let file = &self.file;
        for finding in &self.findings {
            // Writing to a String cannot fail.
            let _ = writeln!(
                text,
                "{file}: {}: {}: {} is {}; allowed: {}",
                severity_name(finding.kind.severity()),
                item_label(&finding.item),
                field_name(finding.key),
                value_text(finding.key, &finding.value),
                allowed_values(&finding.kind),
            );
        }
        if self.findings.is_empty() {
            let _ = writeln!(text, "{file}: no findings");
        }
        for change in &self.changes {
            let label = item_label(&change.item);
            let _ = writeln!(
                text,
                "{file}: change: {label}: {}",
                change_text(&change.kind)
            );
        }
        text
    }

    /// Formats the report as JSON.
    pub fn to_json(&self) -> Value {
        let findings = self
            .findings
            .iter()
            .map(|finding| self.finding_json(finding));
        let changes = self.changes.iter().map(change_json);
        json!({
            "findings": findings.collect::<Vec<_>>(),
            "changes": changes.collect::<Vec<_>>(),
        })
    }

    fn finding_json(&self, finding: &DraftFinding) -> Value {
        json!({
            "file": self.file,
            "severity": severity_name(finding.kind.severity()),
            "kind": finding.kind.name(),
            "item": item_json(&finding.item),
            "key": field_name(finding.key),
            "value": encode_value(finding.key, &finding.value),
            "allowed": allowed_values(&finding.kind),
        })
    }
}

fn severity_name(severity: FindingSeverity) -> &'static str {
    match severity {
        FindingSeverity::Error => "error",
        FindingSeverity::Warning => "warning",
    }
}

fn value_text(key: DraftKey, value: &DraftValue) -> String {
    match value {
        DraftValue::Absent => "absent".into(),
        value => encode_value(key, value).to_string(),
    }
}

fn change_text(kind: &ChangeKind) -> String {
    match kind {
        ChangeKind::Added => "added".into(),
        ChangeKind::Removed => "removed".into(),
        ChangeKind::Changed { key, old, new } => format!(
            "{} changes from {} to {}",
            field_name(*key),
            value_text(*key, old),
            value_text(*key, new),
        ),
        ChangeKind::Moved { from, to } => {
            format!(
                "new flows move from {from:?} to {to:?}; open flows stay with the former services"
            )
        }
        ChangeKind::Withdrawn { address } => {
            format!("{address} has no route any more; its open flows end")
        }
    }
}

fn change_json(change: &DraftChange) -> Value {
    let item = item_json(&change.item);
    match &change.kind {
        ChangeKind::Added => json!({ "item": item, "change": "added" }),
        ChangeKind::Removed => json!({ "item": item, "change": "removed" }),
        ChangeKind::Changed { key, old, new } => json!({
            "item": item,
            "change": "changed",
            "key": field_name(*key),
            "old": encode_value(*key, old),
            "new": encode_value(*key, new),
        }),
        ChangeKind::Moved { from, to } => json!({
            "item": item,
            "change": "moved",
            "old": from,
            "new": to,
        }),
        ChangeKind::Withdrawn { address } => json!({
            "item": item,
            "change": "withdrawn",
            "address": address.to_string(),
        }),
    }
}

/// Encodes an item; its number in its list counts from 1.
fn item_json(item: &DraftItem) -> Value {
    match item {
        DraftItem::Whole => json!({ "type": "manifest" }),
        DraftItem::Route { name, position } => {
            json!({ "type": "route", "name": name, "number": position + 1 })
        }
        DraftItem::Service { name, position } => {
            json!({ "type": "service", "name": name, "number": position + 1 })
        }
        DraftItem::Limits => json!({ "type": "limits" }),
    }
}
