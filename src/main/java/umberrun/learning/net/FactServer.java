package umberrun.learning.net;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.net.SocketAddress;
import java.util.List;
import umberrun.admission.ConnectionLimits;
import umberrun.admission.ConnectionLimits.Purpose;
import umberrun.admission.TokenBucket;
import umberrun.core.Clock;
import umberrun.core.DispatchLoop;
import umberrun.learning.Fact;
import umberrun.learning.FactPage;
import umberrun.learning.net.FactClient.Settings;
import umberrun.stats.Counters;
import umberrun.stats.Counters.Count;
import umberrun.transport.HttpInputLimit;

/**
 * Serves the facts of this front end to other front ends over HTTP, at its own address and within a
 * budget of bytes. Calls take precedence: while the event loop is late, requests for facts are
 * refused.
 */
public final class FactServer {
  private static final int IDLE_SECONDS = 5;
  private static final int MAX_HEADER_BYTES = 2_048;

  /** How long the pages after the first are taken from the same snapshot. */
  private static final long SNAPSHOT_MICROS = 2_000_000;

  /**
   * Maximum age of the snapshot for a first page, so that a restart of half a fleet needs only one.
   */
  private static final long FIRST_PAGE_SNAPSHOT_MICROS = SNAPSHOT_MICROS / 4;

  /** When a client may try again after a refusal because the event loop is late. */
  private static final long LOOP_LATE_MICROS = 1_000_000;

  private final DispatchLoop dispatchLoop;
  private final Clock clock;
  private final Counters counters;
  private final Settings settings;
  private final ConnectionLimits connectionLimits;
  private final HttpServer server;
  private final TokenBucket budget;
  private final long startedAt;
  private List<Fact> snapshot = List.of();
  private long snapshotAt = Long.MIN_VALUE / 2;

  /** Creates a server that does not listen yet. */
  public FactServer(
      Vertx vertx,
      DispatchLoop dispatchLoop,
      Clock clock,
      Counters counters,
      Settings settings,
      ConnectionLimits connectionLimits) {
    this.connectionLimits = connectionLimits;
    this.dispatchLoop = dispatchLoop;
    this.clock = clock;
    this.counters = counters;
    this.settings = settings;
    this.startedAt = clock.now();
    this.budget =
        new TokenBucket(
            settings.bytesPerSecond(),
            Math.max(settings.bytesPerSecond(), settings.pageBytes()),
            startedAt);
    this.server =
        vertx.createHttpServer(
            new HttpServerOptions()
                .setTcpNoDelay(true)
                .setReuseAddress(true)
                .setReusePort(true)
                .setHttp2ClearTextEnabled(false)
                .setMaxInitialLineLength(MAX_HEADER_BYTES)
                .setMaxHeaderSize(MAX_HEADER_BYTES)
                .setIdleTimeout(IDLE_SECONDS));
    server.connectionHandler(
        connection -> {
          // Above the limit of file descriptors, peers can ask another front end.
          if (!connectionLimits.tryAcquire(Purpose.PEERS)) {
            connection.close();
            return;
          }
          HttpInputLimit.apply(connection, () -> counters.add(Count.HTTP_CLOSED_HEAD));
          connection.closeHandler(v -> connectionLimits.release(Purpose.PEERS));
        });
    server.requestHandler(this::handle);
  }

  /** Opens the listener. Returns the actual port. */
  public Future<Integer> listen(SocketAddress address) {
    return server.listen(address).map(HttpServer::actualPort);
  }

  private void handle(HttpServerRequest request) {
    if (!"/v1/knowledge".equals(request.path()) || !request.method().equals(HttpMethod.GET)) {
      request.response().setStatusCode(404).end();
      return;
    }
    long from = number(request.getParam("from"), 0);
    long withinMillis = number(request.getParam("within_ms"), Long.MAX_VALUE / 4_000);
    if (number(request.getParam("v"), -1) != FactPage.VERSION || from < 0 || withinMillis < 0) {
      request.response().setStatusCode(400).end("only v=" + FactPage.VERSION + " is spoken here\n");
      return;
    }
    long waitMicros =
        dispatchLoop.isKeepingUp()
            ? budget.take(settings.pageBytes(), clock.now())
            : LOOP_LATE_MICROS;
    if (waitMicros > 0) {
      counters.add(Count.PAGES_REFUSED);
      request
          .response()
          .setStatusCode(503)
          .putHeader("Retry-After", Long.toString(1 + waitMicros / 1_000_000))
          .end();
      return;
    }
    snapshot(from > 0)
        .onSuccess(
            facts -> {
              counters.add(Count.FACT_PAGES_SERVED);
              long now = clock.now();
              List<Fact> wanted =
                  facts.stream().filter(f -> now - f.seenAt() <= withinMillis * 1_000).toList();
              request
                  .response()
                  .putHeader("Content-Type", "application/json")
                  .end(
                      FactPage.write(
                          dispatchLoop.instanceId(),
                          now - startedAt,
                          wanted,
                          (int) Math.min(from, wanted.size()),
                          settings.pageBytes(),
                          now));
            })
        .onFailure(e -> request.response().setStatusCode(500).end());
  }

  /**
   * Returns the facts, the most useful first, so that a peer that gets only a part gets the best
   * part.
   *
   * @param continues whether the request is for a page after the first
   */
  private Future<List<Fact>> snapshot(boolean continues) {
    long age = clock.now() - snapshotAt;
    if (age < (continues ? SNAPSHOT_MICROS : FIRST_PAGE_SNAPSHOT_MICROS)) {
      return Future.succeededFuture(snapshot);
    }
    return dispatchLoop
        .facts()
        .map(
            facts -> {
              snapshot = facts;
              snapshotAt = clock.now();
              return snapshot;
            });
  }

  /** Parses a parameter; -1 if it is not a number, {@code absent} if it is null. */
  private static long number(String text, long absent) {
    try {
      return text == null ? absent : Long.parseLong(text);
    } catch (NumberFormatException e) {
      return -1;
    }
  }
}
