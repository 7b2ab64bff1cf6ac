//! Attributes lost worth to causes.

use super::explain::{find_cause, find_restart};
use super::line::{group_by_request, last_value, start_lines};
use super::{Cause, LogLine};
use serde::Serialize;
use std::collections::{BTreeMap, HashMap};

/// Time after an unsuccessful attempt within which the same request counts as its next attempt, in
/// seconds.
const RETURN_WINDOW_S: f64 = 20.0;

/// Weight of an output token in the size of a generation; a prompt token has a weight of 1.
const OUTPUT_TOKEN_WEIGHT: f64 = 10.0;

/// Part of a generation's worth that does not depend on its size.
const FIXED_PART: f64 = 0.3;

/// Largest worth of a generation, as a multiple of the worth of its class.
const MAX_WORTH: f64 = 4.0;

/// What an answer of a class is worth.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ClassWorth {
    /// Worth of a mean answer that is on time.
    pub on_time: f64,
    /// Worth of a mean answer that is late.
    pub late: f64,
}

impl Default for ClassWorth {
    fn default() -> Self {
        Self {
            on_time: 1.0,
            late: 0.15,
        }
    }
}

/// The worth that the orders of a class lost to one cause.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct LossRow {
    /// The class; `-` if it is unknown.
    pub class: String,
    /// The cause.
    pub cause: Cause,
    /// Whether another decision of the fleet could have avoided the loss.
    pub avoidable: bool,
    /// Number of orders.
    pub orders: usize,
    /// The worth that they lost.
    pub lost: f64,
    /// The fraction of the worth of all orders of the class.
    pub fraction: f64,
    /// The id of the last attempt of one of them.
    pub example: String,
}

/// The worth that all orders lost, by class and cause.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Losses {
    /// Rows, in descending order of the worth lost.
    pub rows: Vec<LossRow>,
    /// The worth of all orders.
    pub owed: f64,
    /// The worth lost.
    pub lost: f64,
    /// The worth lost to unknown causes.
    pub unknown: f64,
}

/// One attempt of a caller.
struct Attempt<'a> {
    request: &'a str,
    lines: Vec<&'a LogLine>,
    cause: Cause,
    late: bool,
}

impl<'a> Attempt<'a> {
    fn new(request: &'a str, lines: Vec<&'a LogLine>, starts: &[&LogLine]) -> Self {
        let cause = find_cause(&lines, || find_restart(starts, &lines).is_some());
        let end = lines.iter().rev().find(|line| line.event == "request");
        let answered = end.is_some_and(|line| line.get("outcome") == "answered");
        let failed = end.is_some_and(|line| line.number("status") >= 400.0);
        Self {
            request,
            late: answered && !failed && cause != Cause::Answered,
            lines,
            cause,
        }
    }

    fn first_at(&self) -> f64 {
        self.lines.first().map_or(0.0, |line| line.at)
    }

    fn last_at(&self) -> f64 {
        self.lines.last().map_or(0.0, |line| line.at)
    }

    fn class(&self) -> String {
        last_value(&self.lines, "class").unwrap_or("-").to_owned()
    }

    /// Returns the size of the generation; 0 for a call to a plain service.
    fn size(&self) -> f64 {
        let tokens = |key| {
            let value = last_value(&self.lines, key);
            value.and_then(|value| value.parse().ok()).unwrap_or(0.0)
        };
        tokens("prompt") + OUTPUT_TOKEN_WEIGHT * tokens("output")
    }

    /// Returns whether the caller got no answer of use, so that it may try again.
    fn is_unsuccessful(&self) -> bool {
        !matches!(self.cause, Cause::Answered) && !self.late
    }
}

/// What a caller wants, with all its attempts.
struct Order<'a> {
    attempts: Vec<Attempt<'a>>,
}

impl Order<'_> {
    fn last(&self) -> &Attempt<'_> {
        self.attempts.last().expect("an order has an attempt")
    }

    /// Returns the cause of the loss, or `None` if the order was answered in time.
    ///
    /// An attempt that was answered in time after a refusal counts as answered: the logs do not
    /// contain the caller's objective.
    fn cause(&self) -> Option<Cause> {
        let last = self.last();
        match last.cause {
            Cause::Answered | Cause::NotPermitted | Cause::BadRequest => None,
            cause => Some(cause),
        }
    }

    /// Returns whether the order counts: callers are not owed what is not permitted.
    fn is_owed(&self) -> bool {
        !matches!(self.last().cause, Cause::NotPermitted | Cause::BadRequest)
    }
}

/// Attributes the worth lost in the lines of all VMs to causes.
///
/// `worths` holds the worth of classes; other classes have the default. Attempts with the same
/// content that follow an unsuccessful one count as one order with it.
#[must_use]
pub fn attribute_losses(lines: &[LogLine], worths: &BTreeMap<String, ClassWorth>) -> Losses {
    let orders = group_orders(lines);
    let owed: Vec<&Order> = orders.iter().filter(|order| order.is_owed()).collect();
    let mut sizes: BTreeMap<String, (f64, f64)> = BTreeMap::new();
    for order in &owed {
        let (sum, count) = sizes.entry(order.last().class()).or_default();
        *sum += order.last().size();
        *count += 1.0;
    }
    let mut class_worth: BTreeMap<String, f64> = BTreeMap::new();
    let mut rows: BTreeMap<(String, Cause), LossRow> = BTreeMap::new();
    for order in owed {
        let (last, class) = (order.last(), order.last().class());
        let worth = worths.get(&class).copied().unwrap_or_default();
        let (sum, count) = sizes[&class];
        let scale = size_scale(last.size(), sum / count);
        *class_worth.entry(class.clone()).or_default() += worth.on_time * scale;
        let Some(cause) = order.cause() else {
            continue;
        };
        let kept = if last.late { worth.late } else { 0.0 };
        let row = rows.entry((class.clone(), cause)).or_insert(LossRow {
            class,
            cause,
            avoidable: cause.is_avoidable(),
            orders: 0,
            lost: 0.0,
            fraction: 0.0,
            example: last.request.to_owned(),
        });
        row.orders += 1;
        row.lost += (worth.on_time - kept) * scale;
    }
    Losses::new(rows.into_values().collect(), &class_worth)
}

/// Returns the worth of a generation relative to the mean of its class.
fn size_scale(size: f64, mean: f64) -> f64 {
    if mean > 0.0 {
        (FIXED_PART + (1.0 - FIXED_PART) * size / mean).min(MAX_WORTH)
    } else {
        1.0
    }
}

/// Groups the lines by attempt and the attempts by order.
fn group_orders(lines: &[LogLine]) -> Vec<Order<'_>> {
    let starts = start_lines(lines);
    let mut attempts: Vec<Attempt> = group_by_request(lines)
        .into_iter()
        .map(|(request, lines)| Attempt::new(request, lines, &starts))
        .collect();
    attempts.sort_by(|a, b| a.first_at().total_cmp(&b.first_at()));
    let mut orders: Vec<Order> = Vec::new();
    let mut open: HashMap<String, usize> = HashMap::new();
    for attempt in attempts {
        let key = last_value(&attempt.lines, "order").unwrap_or_default();
        let key = key.to_owned();
        let returned = open.get(&key).copied().filter(|index| {
            let before = orders[*index].last();
            let elapsed = attempt.first_at() - before.last_at();
            !key.is_empty() && before.is_unsuccessful() && elapsed < RETURN_WINDOW_S
        });
        if let Some(index) = returned {
            orders[index].attempts.push(attempt);
        } else {
            open.insert(key, orders.len());
            orders.push(Order {
                attempts: vec![attempt],
            });
        }
    }
    orders
}

impl Losses {
    fn new(mut rows: Vec<LossRow>, class_worth: &BTreeMap<String, f64>) -> Self {
        for row in &mut rows {
            row.fraction = row.lost / class_worth[&row.class];
        }
        rows.sort_by(|a, b| b.lost.total_cmp(&a.lost));
        let unknown = rows.iter().filter(|row| row.cause == Cause::Unknown);
        Self {
            owed: class_worth.values().sum(),
            lost: rows.iter().fold(0.0, |sum, row| sum + row.lost),
            unknown: unknown.fold(0.0, |sum, row| sum + row.lost),
            rows,
        }
    }
}
