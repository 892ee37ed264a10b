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

/** Tests which responses a poller uses, also after its server has moved or become slow. */
public class LongPollerTest {
  private static final long TIMEOUT_SECONDS = 10;

  private final Vertx vertx = Vertx.vertx();
  private final Context context = vertx.getOrCreateContext();

  /** What the servers and requests of a test have reported, in order. */
  private final BlockingQueue<String> reports = new LinkedBlockingQueue<>();

  @After
  public void close() throws Exception {
    vertx.close().toCompletionStage().toCompletableFuture().get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  /** Returns the next report, or null if none comes in time. */
  private String next() throws InterruptedException {
    return reports.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  /**
   * The server moves while a request still waits for a connection to the old one, as the HTTP
   * client allows five connections per server. Open requests to the old server must end and the
   * waiting one must not be sent: a response of the old server would be taken for one of the new.
   */
  @Test
  public void theOldServerIsNotAskedAfterAMove() throws Exception {
    int maxConnections = 5;
    AtomicInteger requests = new AtomicInteger();
    SocketAddress old =
        listening(
            vertx
                .createHttpServer()
                .connectionHandler(c -> c.closeHandler(v -> reports.add("closed")))
                .requestHandler(
                    r ->
                        reports.add(
                            requests.incrementAndGet() <= maxConnections ? "hung" : r.path())));
    SocketAddress current = listening(vertx.createHttpServer().requestHandler(r -> {}));
    LongPoller poller = new LongPoller(vertx, old, new Counters());
    context.runOnContext(
        v -> {
          for (int i = 0; i < maxConnections; i++) {
            poller.request(HttpMethod.GET, "/", Buffer.buffer(), 100);
          }
        });
    expect(maxConnections, "hung");
    context.runOnContext(
        v -> {
          poller.repeat(
              TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS),
              () ->
                  poller
                      .request(
                          HttpMethod.GET,
                          "/late",
                          Buffer.buffer(),
                          TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS))
                      .mapEmpty());
          poller.moveTo(current);
        });
    expect(maxConnections, "closed");
    context.runOnContext(
        v ->
            new LongPoller(vertx, old, new Counters())
                .request(HttpMethod.GET, "/other", Buffer.buffer(), 1_000));
    expect(1, "/other");
  }

  private void expect(int times, String report) throws InterruptedException {
    for (int i = 0; i < times; i++) {
      assertEquals(report, next());
    }
  }

  /** Starts the server on a free port and returns its address. */
  private static SocketAddress listening(HttpServer server) throws Exception {
    return SocketAddress.inetSocketAddress(
        server
            .listen(0, "127.0.0.1")
            .toCompletionStage()
            .toCompletableFuture()
            .get(TIMEOUT_SECONDS, TimeUnit.SECONDS)
            .actualPort(),
        "127.0.0.1");
  }

  /** A response without an end is aborted once it exceeds the size limit. */
  @Test
  public void anEndlessResponseIsAborted() throws Exception {
    int port =
        vertx
            .createNetServer()
            .connectHandler(
                s -> {
                  s.write("HTTP/1.1 200 OK\r\n\r\n");
                  writeForever(s);
                })
            .listen(0, "127.0.0.1")
            .toCompletionStage()
            .toCompletableFuture()
            .get(TIMEOUT_SECONDS, TimeUnit.SECONDS)
            .actualPort();
    context.runOnContext(
        v ->
            new LongPoller(
                    vertx, SocketAddress.inetSocketAddress(port, "127.0.0.1"), new Counters())
                .request(
                    HttpMethod.GET,
                    "/",
                    Buffer.buffer(),
                    TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS))
                .onComplete(a -> reports.add("whole"), e -> reports.add(e.getMessage())));
    String outcome = next();
    assertTrue(outcome, outcome.startsWith("an answer of more than"));
  }

  /**
   * The response of a slow server is used although the next poll has begun by then, and a server
   * that loses a request is asked again.
   */
  @Test
  public void aLateResponseIsUsedBesideTheNextPoll() throws Exception {
    AtomicInteger polls = new AtomicInteger();
    SocketAddress slow =
        listening(
            vertx
                .createHttpServer()
                .requestHandler(
                    r -> {
                      if (polls.incrementAndGet() == 2) {
                        // The second request is lost: it never gets a response.
                        return;
                      }
                      vertx.setTimer(1_200, t -> r.response().end("late"));
                    }));
    LongPoller poller = new LongPoller(vertx, slow, new Counters());
    context.runOnContext(
        v ->
            poller.repeat(
                100,
                () ->
                    poller
                        .request(
                            HttpMethod.GET,
                            "/",
                            Buffer.buffer(),
                            100 + LongPoller.LATE_RESPONSE_MILLIS)
                        .map(
                            a -> {
                              reports.add(a.body().toString());
                              return null;
                            })));
    expect(3, "late");
    assertTrue(polls.get() + " polls", polls.get() >= 4);
  }

  private void writeForever(NetSocket socket) {
    socket.write(Buffer.buffer(new byte[64 << 10])).onSuccess(v -> writeForever(socket));
  }
}
