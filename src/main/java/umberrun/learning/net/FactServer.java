package umberrun.learning.net;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.net.SocketAddress;
import java.util.Comparator;
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

/**
 * Answers other instances that ask what this one knows, at a listener of its own and within a
 * budget. Calls come first: while this machine is late nobody is answered but with a refusal.
 */
public final class FactServer {
  private static final int IDLE_SECONDS = 5;
  private static final int MOST_HEAD = 2_048;

  /** The pages of one snapshot are cut from the same list for this long. */
  private static final long SNAPSHOT_MICROS = 2_000_000;

  private static final long BUSY_MICROS = 1_000_000;

  private final DispatchLoop owner;
  private final Clock clock;
  private final Counters counters;
  private final Settings settings;
  private final ConnectionLimits account;
  private final HttpServer server;
  private final TokenBucket budget;
  private final long startedAt;
  private List<Fact> snapshot = List.of();
  private long snapshotAt = Long.MIN_VALUE / 2;

  public FactServer(
      Vertx vertx,
      DispatchLoop owner,
      Clock clock,
      Counters counters,
      Settings settings,
      ConnectionLimits account) {
    this.account = account;
    this.owner = owner;
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
                .setMaxInitialLineLength(MOST_HEAD)
                .setMaxHeaderSize(MOST_HEAD)
                .setIdleTimeout(IDLE_SECONDS));
    server.connectionHandler(
        c -> {
          if (!account.tryAcquire(
              Purpose.PEERS)) { // guards the descriptors: peers can ask somebody else
            c.close();
            return;
          }
          c.closeHandler(v -> account.release(Purpose.PEERS));
        });
    server.requestHandler(this::handle);
  }

  public Future<Integer> listen(SocketAddress address) {
    return server.listen(address).map(HttpServer::actualPort);
  }

  private void handle(HttpServerRequest request) {
    if (!"/v1/knowledge".equals(request.path()) || !request.method().equals(HttpMethod.GET)) {
      request.response().setStatusCode(404).end();
      return;
    }
    long from = number(request.getParam("from"), 0);
    long within = number(request.getParam("within_ms"), Long.MAX_VALUE / 4_000);
    if (number(request.getParam("v"), -1) != FactPage.VERSION || from < 0 || within < 0) {
      request.response().setStatusCode(400).end("only v=" + FactPage.VERSION + " is spoken here\n");
      return;
    }
    long wait = owner.isKeepingUp() ? budget.take(settings.pageBytes(), clock.now()) : BUSY_MICROS;
    if (wait > 0) {
      counters.add(Count.PAGES_REFUSED);
      request
          .response()
          .setStatusCode(503)
          .putHeader("Retry-After", Long.toString(1 + wait / 1_000_000))
          .end();
      return;
    }
    snapshot(from > 0)
        .onSuccess(
            facts -> {
              counters.add(Count.PAGES_GIVEN);
              long now = clock.now();
              List<Fact> wanted =
                  facts.stream().filter(f -> now - f.seenAt() <= within * 1_000).toList();
              request
                  .response()
                  .putHeader("Content-Type", "application/json")
                  .end(
                      FactPage.write(
                          owner.instanceId(),
                          now - startedAt,
                          wanted,
                          (int) Math.min(from, wanted.size()),
                          settings.pageBytes(),
                          now));
            })
        .onFailure(e -> request.response().setStatusCode(500).end());
  }

  /** The facts, what was seen last first: whoever hears only a part of them hears the best part. */
  private Future<List<Fact>> snapshot(boolean continues) {
    long age = clock.now() - snapshotAt;
    if (age
        < (continues
            ? SNAPSHOT_MICROS
            : SNAPSHOT_MICROS / 4)) { // half a fleet that restarts costs one list
      return Future.succeededFuture(snapshot);
    }
    return owner
        .facts()
        .map(
            facts -> {
              snapshot =
                  facts.stream().sorted(Comparator.comparingLong(Fact::seenAt).reversed()).toList();
              snapshotAt = clock.now();
              return snapshot;
            });
  }

  /** A number, or -1 where it is none. */
  private static long number(String text, long absent) {
    try {
      return text == null ? absent : Long.parseLong(text);
    } catch (NumberFormatException e) {
      return -1;
    }
  }
}
