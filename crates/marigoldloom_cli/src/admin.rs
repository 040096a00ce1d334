//! Commands that query the admin interface of an instance: its events and members.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use http_types::{Method, StatusCode};
use marigoldloom_http::{client, message};
use marigoldloom_telemetry::event;
use serde::de;
use serde_json::Value;

use crate::error::Error;
use crate::output::Printer;
use crate::table::Table;
use crate::time;

/// Client of an instance's admin interface.
#[derive(Clone, Copy, Debug)]
pub struct AdminClient {
    /// Admin address of the instance.
    pub address: SocketAddr,
    /// Timeout of one call.
    pub timeout: Duration,
}

impl AdminClient {
    /// Prints the instance's events after number `after`.
    ///
    /// # Errors
    ///
    /// [`Error::InstanceUnreachable`] or [`Error::UnexpectedResponse`].
    pub async fn events(
        &self,
        printer: &mut Printer<impl io::Write>,
        after: u64,
    ) -> Result<(), Error> {
        print_events(printer, &self.fetch_events(after).await?)
    }

    /// Prints the members that the instance knows.
    ///
    /// # Errors
    ///
    /// [`Error::InstanceUnreachable`] or [`Error::UnexpectedResponse`].
    pub async fn members(&self, printer: &mut Printer<impl io::Write>) -> Result<(), Error> {
        let members: Vec<Value> = self.fetch("/admin/members").await?;
        printer.items(&members)
    }

    /// Prints the instance's events that concern one request.
    ///
    /// # Errors
    ///
    /// [`Error::NoEvents`], [`Error::InstanceUnreachable`] or [`Error::UnexpectedResponse`].
    pub async fn explain(
        &self,
        printer: &mut Printer<impl io::Write>,
        request: &str,
    ) -> Result<(), Error> {
        let mut events = self.fetch_events(0).await?;
        events.retain(|e| is_about(e, request));
        match events.is_empty() {
            false => print_events(printer, &events),
            true => Err(Error::NoEvents {
                address: self.address,
                request: request.to_owned(),
            }),
        }
    }

    async fn fetch_events(&self, after: u64) -> Result<Vec<event::Event>, Error> {
        self.fetch(&format!("/admin/events?after={after}")).await
    }

    async fn fetch<T: de::DeserializeOwned>(&self, target: &str) -> Result<T, Error> {
        let response = self
            .send(target)
            .await
            .map_err(|_error| Error::InstanceUnreachable {
                address: self.address,
            })?;
        let unexpected_response = || Error::UnexpectedResponse {
            address: self.address,
            status: response.status().into(),
        };
        match response.status() {
            StatusCode::Ok => response.json().map_err(|_error| unexpected_response()),
            _ => Err(unexpected_response()),
        }
    }

    async fn send(&self, target: &str) -> Result<message::Response, client::Error> {
        let mut connection = client::open(self.address, self.timeout).await?;
        let request = message::Request::new(Method::Get, target);
        Box::pin(connection.send(request, self.timeout)).await
    }
}

fn print_events(
    printer: &mut Printer<impl io::Write>,
    events: &[event::Event],
) -> Result<(), Error> {
    let mut table = Table::new(["number", "time", "decision", "subject", "cause", "evidence"]);
    for event in events {
        table.add_row([
            event.number.to_string(),
            time::format_time(event.at_ms),
            event.kind.to_string(),
            event.subject.clone(),
            event.cause.clone(),
            event.evidence.to_string(),
        ]);
    }
    printer.json_or_tables(&events, &[table])
}

/// Whether the request is the event's subject or occurs anywhere in its evidence.
fn is_about(event: &event::Event, request: &str) -> bool {
    event.subject == request || mentions(&event.evidence, request)
}

fn mentions(value: &Value, text: &str) -> bool {
    match value {
        Value::String(string) => string == text,
        Value::Array(items) => items.iter().any(|item| mentions(item, text)),
        Value::Object(fields) => fields.values().any(|field| mentions(field, text)),
        _ => false,
    }
}
