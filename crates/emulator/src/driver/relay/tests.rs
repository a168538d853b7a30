use super::*;

/// Sends data through a relay to an echo server, and checks what returns in each state of the link.
#[tokio::test]
async fn link_forwards_holds_and_resets() -> std::io::Result<()> {
    let echo = TcpListener::bind("127.0.0.1:0").await?;
    let to = echo.local_addr()?.to_string();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = echo.accept().await {
            tokio::spawn(async move {
                let (mut read, mut write) = stream.split();
                let _ = tokio::io::copy(&mut read, &mut write).await;
            });
        }
    });
    let switch = Arc::new(LinkSwitch::default());
    let addr = relay(to, switch.clone()).await?;
    let mut stream = TcpStream::connect(&addr).await?;
    let mut received = [0; 2];
    stream.write_all(b"a1").await?;
    stream.read_exact(&mut received).await?;
    assert_eq!(&received, b"a1", "an open link must forward");
    switch.set(LinkState::Held);
    stream.write_all(b"b2").await?;
    let echoed = tokio::time::timeout(Duration::from_millis(80), stream.read_exact(&mut received)).await;
    assert!(echoed.is_err(), "a held link must not forward");
    switch.set(LinkState::Open);
    stream.read_exact(&mut received).await?;
    assert_eq!(&received, b"b2", "held data must be delivered once the link is open again");
    switch.set(LinkState::Reset);
    assert_eq!(stream.read(&mut received).await.unwrap_or(0), 0, "a reset link must close the connection");
    Ok(())
}
