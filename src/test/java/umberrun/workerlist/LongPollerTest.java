package umberrun.workerlist;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.net.NetSocket;
import io.vertx.core.net.SocketAddress;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.After;
import org.junit.Test;
import umberrun.stats.Counters;

/** What a poller takes for an answer, and from whom. */
public class LongPollerTest {
  private static final long PATIENCE_SECONDS = 10;
  private final Vertx vertx = Vertx.vertx();
  private final Context loop = vertx.getOrCreateContext();
  private final BlockingQueue<String> taken = new LinkedBlockingQueue<>();

  @After
  public void close() throws Exception {
    vertx.close().toCompletionStage().toCompletableFuture().get(PATIENCE_SECONDS, TimeUnit.SECONDS);
  }

  private String next() throws InterruptedException {
    return taken.poll(PATIENCE_SECONDS, TimeUnit.SECONDS);
  }

  /**
   * The server moves while the poller still waits for a connection to the old one, as the library
   * gives five to a server: what is asked there ends, and what waits is not asked, since what the
   * old one says is nobody's word any more.
   */
  @Test
  public void theOldServerIsNotAskedAfterAMove() throws Exception {
    int most = 5;
    AtomicInteger hung = new AtomicInteger();
    SocketAddress old =
        listening(
            vertx
                .createHttpServer()
                .connectionHandler(c -> c.closeHandler(v -> taken.add("closed")))
                .requestHandler(
                    r -> taken.add(hung.incrementAndGet() <= most ? "hung" : r.path())));
    SocketAddress now = listening(vertx.createHttpServer().requestHandler(r -> {}));
    LongPoller poller = new LongPoller(vertx, old, new Counters());
    loop.runOnContext(
        v -> {
          for (int i = 0; i < most; i++) {
            poller.ask(HttpMethod.GET, "/", Buffer.buffer(), 100);
          }
        });
    expect(most, "hung");
    loop.runOnContext(
        v -> {
          poller.repeat(
              TimeUnit.SECONDS.toMillis(PATIENCE_SECONDS),
              () ->
                  poller
                      .ask(
                          HttpMethod.GET,
                          "/late",
                          Buffer.buffer(),
                          TimeUnit.SECONDS.toMillis(PATIENCE_SECONDS))
                      .mapEmpty());
          poller.moveTo(now);
        });
    expect(most, "closed");
    loop.runOnContext(
        v ->
            new LongPoller(vertx, old, new Counters())
                .ask(HttpMethod.GET, "/other", Buffer.buffer(), 1_000));
    expect(1, "/other");
  }

  private void expect(int times, String what) throws InterruptedException {
    for (int i = 0; i < times; i++) {
      assertEquals(what, next());
    }
  }

  private static SocketAddress listening(HttpServer server) throws Exception {
    return SocketAddress.inetSocketAddress(
        server
            .listen(0, "127.0.0.1")
            .toCompletionStage()
            .toCompletableFuture()
            .get(PATIENCE_SECONDS, TimeUnit.SECONDS)
            .actualPort(),
        "127.0.0.1");
  }

  /** An answer without an end is given up when it is longer than any list. */
  @Test
  public void anAnswerWithoutAnEndIsGivenUp() throws Exception {
    int port =
        vertx
            .createNetServer()
            .connectHandler(
                s -> {
                  s.write("HTTP/1.1 200 OK\r\n\r\n");
                  pour(s);
                })
            .listen(0, "127.0.0.1")
            .toCompletionStage()
            .toCompletableFuture()
            .get(PATIENCE_SECONDS, TimeUnit.SECONDS)
            .actualPort();
    loop.runOnContext(
        v ->
            new LongPoller(
                    vertx, SocketAddress.inetSocketAddress(port, "127.0.0.1"), new Counters())
                .ask(
                    HttpMethod.GET,
                    "/",
                    Buffer.buffer(),
                    TimeUnit.SECONDS.toMillis(PATIENCE_SECONDS))
                .onComplete(a -> taken.add("whole"), e -> taken.add(e.getMessage())));
    String end = next();
    assertTrue(end, end.startsWith("an answer of more than"));
  }

  /**
   * A slow server is heard though the next round has begun by then, and one that forgets a request
   * is asked anew.
   */
  @Test
  public void aLateAnswerCountsBesideTheNextRound() throws Exception {
    AtomicInteger rounds = new AtomicInteger();
    SocketAddress slow =
        listening(
            vertx
                .createHttpServer()
                .requestHandler(
                    r -> {
                      if (rounds.incrementAndGet() == 2) {
                        return; // forgotten
                      }
                      vertx.setTimer(1_200, t -> r.response().end("late"));
                    }));
    LongPoller poller = new LongPoller(vertx, slow, new Counters());
    loop.runOnContext(
        v ->
            poller.repeat(
                100,
                () ->
                    poller
                        .ask(HttpMethod.GET, "/", Buffer.buffer(), 100 + LongPoller.LATE_MILLIS)
                        .map(
                            a -> {
                              taken.add(a.body().toString());
                              return null;
                            })));
    expect(3, "late");
    assertTrue(rounds.get() + " rounds", rounds.get() >= 4);
  }

  private void pour(NetSocket s) {
    s.write(Buffer.buffer(new byte[64 << 10])).onSuccess(v -> pour(s));
  }
}
