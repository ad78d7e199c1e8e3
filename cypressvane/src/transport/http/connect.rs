//! Opens TCP connections from a chosen local address.

use std::io;
use std::net::{IpAddr, SocketAddr, TcpStream as StdTcpStream};

use rustix::io::Errno;
use rustix::net::{AddressFamily, SocketFlags, SocketType, bind, connect, socket_with};
use smol::Async;
use smol::net::TcpStream;

/// Opens a connection to `address`; `source` is its local address, which the system selects if absent.
///
/// # Errors
/// When the connection is refused or no path exists, or when `source` is not an address of this machine.
pub(crate) async fn connect_from(
    source: Option<IpAddr>,
    address: SocketAddr,
) -> io::Result<TcpStream> {
    let Some(source) = source else {
        return TcpStream::connect(address).await;
    };
    let family = if address.is_ipv4() {
        AddressFamily::INET
    } else {
        AddressFamily::INET6
    };
    let flags = SocketFlags::CLOEXEC | SocketFlags::NONBLOCK;
    let socket = socket_with(family, SocketType::STREAM, flags, None)?;
    bind(&socket, &SocketAddr::new(source, 0))?;
    match connect(&socket, &address) {
        Ok(()) | Err(Errno::INPROGRESS) => {}
        Err(error) => return Err(error.into()),
    }
    let stream = Async::new(StdTcpStream::from(socket))?;
    stream.writable().await?;
    match stream.get_ref().take_error()? {
        None => Ok(TcpStream::from(stream)),
        Some(error) => Err(error),
    }
}
