//! Guards against a call that may have had an effect but is reported as having had none.

mod support;

use std::time::Duration;

use arbutuspick_clients::{CallError, CallPriority, ClientOptions, TableClient};
use arbutuspick_model::WriteId;
use arbutuspick_records::TableTransaction;
use support::{FakeServer, ServerAction, http_response};
use tokio::net::TcpListener;
use yare::parameterized;

async fn transact_once(action: ServerAction, timeout_ms: u64) -> CallError {
    let server = FakeServer::start(move |_| action.clone()).await;
    let options = ClientOptions::new(server.address).with_call_timeout(Duration::from_millis(timeout_ms));
    let error = TableClient::new(options)
        .transact(
            &TableTransaction::new(WriteId::generate()),
            CallPriority::Submission,
        )
        .await
        .unwrap_err();
    assert_eq!(server.request_count(), 1, "the client must not retry a call");
    error
}

#[parameterized(
    dropped = { ServerAction::Close },
    cut_in_head = { ServerAction::RespondAndClose("HTTP/1.1 200 O".into()) },
    cut_in_body = { ServerAction::RespondAndClose("HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n{".into()) },
    no_length = { ServerAction::RespondAndClose("HTTP/1.1 200 OK\r\n\r\n{}".into()) },
    cut_chunk = { ServerAction::RespondAndClose("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nab".into()) },
    not_json = { ServerAction::Respond(http_response(200, "<html>")) },
    server_error = { ServerAction::Respond(http_response(500, "{}")) },
    gateway_error = { ServerAction::Respond(http_response(504, "{}")) },
)]
#[test_macro(tokio::test)]
async fn ambiguous_responses(action: ServerAction) {
    let error = transact_once(action, 10_000).await;
    assert!(matches!(error, CallError::Ambiguous { .. }), "{error}");
    assert!(!error.had_no_effect());
}

#[tokio::test]
async fn hanging_server() {
    let error = transact_once(ServerAction::Hang, 200).await;
    assert!(matches!(error, CallError::Ambiguous { .. }), "{error}");
}

#[tokio::test]
async fn rejected_call() {
    let error = transact_once(ServerAction::Respond(http_response(400, "bad key")), 10_000).await;
    let expected = CallError::Rejected {
        status: 400,
        message: "bad key".into(),
    };
    assert_eq!(error, expected);
}

#[tokio::test]
async fn refused_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let error = TableClient::new(ClientOptions::new(address))
        .transact(
            &TableTransaction::new(WriteId::generate()),
            CallPriority::Submission,
        )
        .await
        .unwrap_err();
    assert!(matches!(error, CallError::NotSent { .. }), "{error}");
}
