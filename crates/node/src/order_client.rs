use std::net::SocketAddr;

use async_net::TcpStream;
use bay_store::exchange;
use bay_wire::{Order, OrderReply};
use http_types::{Method, Request, StatusCode, Url};

/// Sends an order to a server; returns its reply, or `None` if there is no complete and valid one.
pub(crate) async fn post_order(to: SocketAddr, order: &Order) -> Option<OrderReply> {
    let url = Url::parse(&format!("http://{to}/bay/order")).ok()?;
    let mut req = Request::new(Method::Post, url);
    req.set_body(serde_json::to_string(order).ok()?);
    let stream = TcpStream::connect(to).await.ok()?;
    let (res, body) = exchange(stream, req).await.ok()?;
    if res.status() != StatusCode::Ok {
        return None;
    }
    serde_json::from_str(&body).ok()
}
