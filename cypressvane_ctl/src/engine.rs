//! `cypressvane engine`: orders to backend servers.

use cypressvane::order::{Kind, Order, OrderRow};
use http_types::Method;

use crate::cli::{Engine, EngineCommand, LoadArguments};
use crate::error::Error;
use crate::operator::{Client, parse};
use crate::output::Output;

/// Runs a subcommand.
pub async fn run(client: &Client, engine: Engine, output: Output) -> Result<(), Error> {
    let (server, order) = match engine.command {
        Some(EngineCommand::Load(arguments)) => {
            let kind = kind(&arguments)?;
            (
                arguments.server,
                Order::Load {
                    kind,
                    name: arguments.name,
                },
            )
        }
        Some(EngineCommand::Unload(arguments)) => {
            let kind = kind(&arguments)?;
            (
                arguments.server,
                Order::Unload {
                    kind,
                    name: arguments.name,
                },
            )
        }
        Some(EngineCommand::Role(role)) => (role.server, Order::Role { name: role.name }),
        None => {
            return Err(Error::Usage(
                "engine: load, unload or role is needed".to_owned(),
            ));
        }
    };
    let body = serde_json::to_string(&order).map_err(|error| Error::Usage(error.to_string()))?;
    let reply = client
        .call(Method::Post, &format!("/v1/orders?server={server}"), &body)
        .await?;
    let row: OrderRow = parse(&reply)?;
    output.print(&row, || {
        format!("{server} carried out order {}", row.newest.number)
    })
}

fn kind(arguments: &LoadArguments) -> Result<Kind, Error> {
    match arguments.kind.as_str() {
        "model" => Ok(Kind::Model),
        "adapter" => Ok(Kind::Adapter),
        "version" => Ok(Kind::Version),
        other => Err(Error::Usage(format!(
            "--kind: {other:?} found, model, adapter or version allowed"
        ))),
    }
}
