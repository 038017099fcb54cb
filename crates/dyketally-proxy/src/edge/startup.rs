//! The start of a caller's connection: encryption refused, tenant and database looked up.

use std::collections::BTreeMap;

use dyketally::identifiers::{GroupName, TenantName};
use dyketally::policy::{PolicySet, TenantPolicy};
use dyketally::session::Session;
use futures::StreamExt;
use pgwire::messages::cancel::CancelRequest;
use pgwire::messages::response::{GssEncResponse, SslResponse};
use pgwire::messages::startup::{Authentication, BackendKeyData, SecretKey, Startup};
use pgwire::messages::{PgWireBackendMessage, PgWireFrontendMessage, SslNegotiationMetaMessage};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio_util::codec::FramedRead;

use super::answer::{AnswerBuffer, CallerFault, SESSION_PARAMETER, sqlstate};
use super::cancel::CancelKey;
use super::codec::{CallerCodec, CallerError, Phase};
use super::control::parse_token;
use super::writer::CallerWriter;

/// The version that drivers are told: they choose features by it.
const SERVER_VERSION: &str = "15.0 (dyketally)";
/// Encryption requests that one connection may make: one of each kind.
const NEGOTIATIONS_AT_MOST: usize = 2;

/// How a connection began.
#[derive(Debug)]
pub enum Opening {
    /// A caller wants to be served.
    Start(Startup),
    /// Stop another connection's statement.
    Cancel(CancelKey),
    /// Nothing came.
    Closed,
}

/// Reads up to the startup message; encryption is refused politely.
pub async fn read_opening<Reader, Writer>(
    reader: &mut FramedRead<Reader, CallerCodec>,
    writer: &mut CallerWriter<Writer>,
) -> Result<Opening, CallerError>
where
    Reader: AsyncRead + Unpin,
    Writer: AsyncWrite + Unpin,
{
    for _ in 0..=NEGOTIATIONS_AT_MOST {
        let Some(message) = reader.next().await.transpose()? else {
            return Ok(Opening::Closed);
        };
        match message {
            PgWireFrontendMessage::SslNegotiation(SslNegotiationMetaMessage::PostgresSsl(_)) => {
                let refuse = PgWireBackendMessage::SslResponse(SslResponse::Refuse);
                writer.answer.message(refuse);
                writer.flush().await?;
            }
            PgWireFrontendMessage::SslNegotiation(SslNegotiationMetaMessage::PostgresGss(_)) => {
                let refuse = PgWireBackendMessage::GssEncResponse(GssEncResponse::Refuse);
                writer.answer.message(refuse);
                writer.flush().await?;
            }
            PgWireFrontendMessage::SslNegotiation(SslNegotiationMetaMessage::None) => {
                reader.decoder_mut().enter(Phase::Startup);
                return read_startup(reader).await;
            }
            _ => return Err(CallerError::Malformed),
        }
    }
    Err(CallerError::Malformed)
}

async fn read_startup<Reader>(
    reader: &mut FramedRead<Reader, CallerCodec>,
) -> Result<Opening, CallerError>
where
    Reader: AsyncRead + Unpin,
{
    let Some(message) = reader.next().await.transpose()? else {
        return Ok(Opening::Closed);
    };
    match message {
        PgWireFrontendMessage::Startup(startup) => {
            reader.decoder_mut().enter(Phase::Serving);
            Ok(Opening::Start(startup))
        }
        PgWireFrontendMessage::CancelRequest(request) => {
            Ok(cancel_key(&request).map_or(Opening::Closed, Opening::Cancel))
        }
        _ => Err(CallerError::Malformed),
    }
}

fn cancel_key(request: &CancelRequest) -> Option<CancelKey> {
    Some(CancelKey {
        process: request.pid,
        secret: request.secret_key.as_i32()?,
    })
}

/// Whom a connection serves.
#[derive(Debug)]
pub struct Identity {
    /// The tenant.
    pub tenant: TenantName,
    /// The session, with the token that the caller brought along.
    pub session: Session,
}

/// Looks up the tenant and the database that a startup message names.
pub fn identify(startup: &Startup, policies: &PolicySet) -> Result<Identity, CallerFault> {
    let parameters = &startup.parameters;
    let user = parameters.get("user").map_or("", String::as_str);
    let database = parameters.get("database").map_or(user, String::as_str);
    let tenant = TenantName::new(user);
    let Some(policy) = policies.tenants.get(&tenant) else {
        return Err(unknown_tenant(user));
    };
    let group = group_of(policy, database)?;
    let mut session = Session::new(group);
    if let Some(text) = session_parameter(parameters) {
        let token = parse_token(&text)
            .map_err(|error| CallerFault::new(sqlstate::INVALID_VALUE, error.to_string()))?;
        token.iter().for_each(|token| session.offer(token));
    }
    Ok(Identity { tenant, session })
}

fn unknown_tenant(user: &str) -> CallerFault {
    CallerFault::new(
        sqlstate::INVALID_AUTHORIZATION,
        format!(
            "tenant {user:?} is not configured; connect with the tenant's name as user, see `dyketally tenant list`"
        ),
    )
}

fn group_of(policy: &TenantPolicy, database: &str) -> Result<GroupName, CallerFault> {
    policy.databases.get(database).cloned().ok_or_else(|| {
        let known: Vec<&str> = policy.databases.keys().map(String::as_str).collect();
        CallerFault::new(
            sqlstate::INVALID_AUTHORIZATION,
            format!(
                "tenant {} has no database {database:?}; connect to one of: {}",
                policy.name,
                known.join(", ")
            ),
        )
    })
}

/// The token from its own parameter, or from `options=-c dyketally.session=...`.
fn session_parameter(parameters: &BTreeMap<String, String>) -> Option<String> {
    if let Some(token) = parameters.get(SESSION_PARAMETER) {
        return Some(token.clone());
    }
    let options = parameters.get("options")?;
    options.split_whitespace().find_map(|word| {
        let word = word.strip_prefix("-c").unwrap_or(word);
        let word = word.strip_prefix("--").unwrap_or(word);
        let value = word.strip_prefix(SESSION_PARAMETER)?.strip_prefix('=')?;
        Some(value.to_owned())
    })
}

/// Appends what a caller is told once it is admitted.
pub fn welcome(answer: &mut AnswerBuffer, session: &Session, key: CancelKey) {
    answer.message(PgWireBackendMessage::Authentication(Authentication::Ok));
    for (name, value) in [
        ("server_version", SERVER_VERSION),
        ("server_encoding", "UTF8"),
        ("client_encoding", "UTF8"),
        ("DateStyle", "ISO, MDY"),
        ("TimeZone", "UTC"),
        ("integer_datetimes", "on"),
        ("standard_conforming_strings", "on"),
    ] {
        answer.parameter(name, value);
    }
    if let Some(token) = session.token() {
        answer.session_token(&token);
    }
    let secret = SecretKey::I32(key.secret);
    answer.message(PgWireBackendMessage::BackendKeyData(BackendKeyData::new(
        key.process,
        secret,
    )));
}
