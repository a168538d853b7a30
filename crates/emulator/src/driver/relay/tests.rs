use super::*;

/// An echo behind a relay; what comes back within a moment, if anything does.
#[tokio::test]
async fn links_hold_and_reset() -> std::io::Result<()> {
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
    let gate = Arc::new(Gate::default());
    let addr = relay(to, gate.clone()).await?;
    let mut stream = TcpStream::connect(&addr).await?;
    let mut heard = [0; 2];
    stream.write_all(b"a1").await?;
    stream.read_exact(&mut heard).await?;
    assert_eq!(&heard, b"a1", "open");
    gate.set(Passing::Held);
    stream.write_all(b"b2").await?;
    let nothing = tokio::time::timeout(Duration::from_millis(80), stream.read_exact(&mut heard)).await;
    assert!(nothing.is_err(), "held");
    gate.set(Passing::Open);
    stream.read_exact(&mut heard).await?;
    assert_eq!(&heard, b"b2", "and delivered once the link is open again");
    gate.set(Passing::Reset);
    assert_eq!(stream.read(&mut heard).await.unwrap_or(0), 0, "closed");
    Ok(())
}
